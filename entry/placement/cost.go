package placement

import (
	"math"
	"time"
)

// cost is how long an answer is expected to take: the way there and back, the
// wait for a slot, and the work, which is longer where the object is not warm.
func (f *Fleet) cost(request *Request, each *server, rank int, now time.Time) time.Duration {
	work := f.workOf(request)
	slots := float64(each.Slots)
	queued := max(0, f.load(each, now)+1-slots) / slots
	own := 1.0
	if rank > 0 && !f.warm.has(each.hash, request.Object, now) {
		own = coldWork
	}
	busy := (queued + own) * each.paceAt(now) * float64(work)
	return f.travel[each.Region] + time.Duration(busy) + each.overdue(now)
}

// overdue is how much longer than expected this entry has been waiting for the
// server's first answer since. A server that hangs shows by nothing else.
func (s *server) overdue(now time.Time) time.Duration {
	if s.inFlight == 0 || s.waitingSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.waitingSince)-s.waitingFor)
}

const (
	// coldWork is how many times as long as for a warm object the work for another
	// counts. It takes longer than that, but leaves a second copy warm, which
	// relieves the object's first server from then on.
	coldWork = 2
	// paceHalfLife is how long it takes until half of a server's slowness counts as
	// over, so that it is tried again.
	paceHalfLife = 3 * time.Second
	// paceStep is the weight of one answer in a server's pace.
	paceStep = 0.3
	// paceMost bounds a server's pace.
	paceMost = 20
)

// learn takes the time of an answer over.
func (f *Fleet) learn(each *server, choice *Choice, took time.Duration, now time.Time) {
	took = max(time.Millisecond, took-f.travel[each.Region])
	var known *estimate
	if choice.route != nil {
		known = f.estimateOf(choice.route, each.Service, choice.work)
	}
	// An object that was not warm tells nothing of the server's pace.
	expected := choice.ExpectedLatency - f.travel[each.Region]
	if expected > 0 && (choice.known || took < expected) {
		ratio := min(paceMost, float64(took)/float64(expected)*choice.Slowdown)
		each.pace = each.paceAt(now) + paceStep*(ratio-each.paceAt(now))
		each.pacedAt = now
	}
	if known != nil && choice.Slowdown < paceNormal {
		known.observe(took, now)
	}
}

// paceNormal is the pace up to which a server's answers tell of the work of a
// route rather than of the server.
const paceNormal = 1.5

// paceAt returns a server's pace, at least 1.
func (s *server) paceAt(now time.Time) float64 {
	if s.pace <= 1 {
		return 1
	}
	return 1 + (s.pace-1)*math.Exp2(-float64(now.Sub(s.pacedAt))/float64(paceHalfLife))
}

// ObserveRoundTrip takes over how long a connection to a server of a region took: the
// way there and back.
func (f *Fleet) ObserveRoundTrip(region string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.travel[region]
	if !found || took < known {
		f.travel[region] = took
		return
	}
	f.travel[region] += (took - known) / travelShare
}

// travelShare is the part by which a longer way moves the estimate: the least is
// the way, the rest is waiting.
const travelShare = 32

// warmth remembers which objects this entry sent to which servers.
type warmth struct {
	used map[warmKey]time.Time
}

type warmKey struct {
	server uint64
	object uint64
}

const (
	// warmTime is how long a server is taken to keep an object that this entry
	// sent there.
	warmTime = 20 * time.Second
	// maxWarm bounds what is remembered; 40 bytes each.
	maxWarm = 1 << 14
)

func (w *warmth) has(server, object uint64, now time.Time) bool {
	at, found := w.used[warmKey{
		server: server,
		object: object,
	}]
	return found && now.Sub(at) < warmTime
}

// remember notes that a server handles an object.
func (f *Fleet) remember(object uint64, each *server, now time.Time) {
	if f.warm.used == nil {
		f.warm.used = make(map[warmKey]time.Time)
	}
	if len(f.warm.used) >= maxWarm {
		for key, at := range f.warm.used {
			if now.Sub(at) > warmTime/2 {
				delete(f.warm.used, key)
			}
		}
		if len(f.warm.used) >= maxWarm {
			clear(f.warm.used)
		}
	}
	f.warm.used[warmKey{
		server: each.hash,
		object: object,
	}] = now
}
