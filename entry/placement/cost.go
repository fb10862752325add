package placement

import (
	"math"
	"time"
)

// expectedLatency estimates how long an answer from a server takes: the round
// trip, the wait for a slot and the service time, which is longer if the server
// does not have the object warm. The first server of the object's order is
// assumed to have it warm.
func (f *Fleet) expectedLatency(request *Request, server *serverRecord, rank int, now time.Time) time.Duration {
	serviceTime := f.serviceTimeOf(request)
	slots := float64(server.Slots)
	queued := max(0, f.load(server, now)+1-slots) / slots
	objectFactor := 1.0
	if rank > 0 && !f.warm.contains(server.hash, request.Object, now) {
		objectFactor = coldObjectFactor
	}
	busy := (queued + objectFactor) * server.slowdownNow(now) * float64(serviceTime)
	return f.roundTrips[server.Region] + time.Duration(busy) + server.overdue(now)
}

// overdue returns how long beyond silenceLimit the server has ended no request while
// requests of this entry are in flight. Nothing else reveals a server that hangs.
func (s *serverRecord) overdue(now time.Time) time.Duration {
	if s.inFlight == 0 || s.silentSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.silentSince)-s.silenceLimit)
}

const (
	// coldObjectFactor multiplies the service time for an object that a server does
	// not have warm. The true factor is higher, but the request leaves a second
	// warm copy, which takes load off the object's first server from then on.
	coldObjectFactor = 2
	// slowdownHalfLife is the half-life of a server's slowdown without new answers.
	// The decay lets a slow server be tried again.
	slowdownHalfLife = 3 * time.Second
	// slowdownSmoothing is the weight of one answer in the exponential moving
	// average of a server's slowdown.
	slowdownSmoothing = 0.3
	// maxSlowdown bounds the slowdown that one answer can indicate.
	maxSlowdown = 20
)

// observeLatency updates a server's slowdown and the service time of a route with
// the time that an answer took.
func (f *Fleet) observeLatency(server *serverRecord, choice *Choice, took time.Duration, now time.Time) {
	took = max(time.Millisecond, took-f.roundTrips[server.Region])
	var estimate *serviceTimeEstimate
	if choice.route != nil {
		estimate = f.estimateFor(choice.route, server.Service, choice.serviceTime)
	}
	// A late answer for an object that was not warm does not show a slow server.
	expected := choice.ExpectedLatency - f.roundTrips[server.Region]
	if expected > 0 && (choice.objectWarm || took < expected) {
		ratio := min(maxSlowdown, float64(took)/float64(expected)*choice.Slowdown)
		server.slowdown = server.slowdownNow(now) + slowdownSmoothing*(ratio-server.slowdownNow(now))
		server.slowdownAt = now
	}
	if estimate != nil && choice.Slowdown < normalSlowdown {
		estimate.observe(took, now)
	}
}

// normalSlowdown is the slowdown up to which a server's answers count for the
// service time of a route; the times of a slower one depend on the server.
const normalSlowdown = 1.5

// slowdownNow returns the server's slowdown, decayed to the present; at least 1.
func (s *serverRecord) slowdownNow(now time.Time) float64 {
	if s.slowdown <= 1 {
		return 1
	}
	return 1 + (s.slowdown-1)*math.Exp2(-float64(now.Sub(s.slowdownAt))/float64(slowdownHalfLife))
}

// ObserveRoundTrip updates the estimated round-trip time to a region's servers
// with the time that it took to connect to one of them.
func (f *Fleet) ObserveRoundTrip(region string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	estimate, found := f.roundTrips[region]
	if !found || took < estimate {
		f.roundTrips[region] = took
		return
	}
	f.roundTrips[region] += (took - estimate) / roundTripDivisor
}

// roundTripDivisor divides the amount by which a longer time raises the estimate.
// The minimum approximates the round trip; the excess is mostly queueing delay.
const roundTripDivisor = 32

// warmObjects records which objects this entry has had which servers handle, and
// when. A server is assumed to keep such an object warm for warmLifetime.
type warmObjects struct {
	lastUsed map[warmKey]time.Time
}

// warmKey consists of the hashes of a server's ID and of an object.
type warmKey struct {
	server uint64
	object uint64
}

const (
	// warmLifetime is how long a server is assumed to keep an object warm.
	warmLifetime = 20 * time.Second
	// maxWarmObjects bounds the number of records, of 40 bytes each.
	maxWarmObjects = 1 << 14
)

// contains reports whether a server is assumed to have an object warm.
func (w *warmObjects) contains(server, object uint64, now time.Time) bool {
	used, found := w.lastUsed[warmKey{
		server: server,
		object: object,
	}]
	return found && now.Sub(used) < warmLifetime
}

// markWarm records that a server has handled an object. If there is no room, it
// drops the older records first.
func (f *Fleet) markWarm(object uint64, server *serverRecord, now time.Time) {
	if f.warm.lastUsed == nil {
		f.warm.lastUsed = make(map[warmKey]time.Time)
	}
	if len(f.warm.lastUsed) >= maxWarmObjects {
		for key, used := range f.warm.lastUsed {
			if now.Sub(used) > warmLifetime/2 {
				delete(f.warm.lastUsed, key)
			}
		}
		if len(f.warm.lastUsed) >= maxWarmObjects {
			clear(f.warm.lastUsed)
		}
	}
	f.warm.lastUsed[warmKey{
		server: server.hash,
		object: object,
	}] = now
}
