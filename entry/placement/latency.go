package placement

import (
	"math"
	"slices"
	"time"
)

// expectedLatency estimates the time until a server answers: the round trip, the
// wait for a slot, the service time, and the time by which the server is overdue.
// The service time is longer if the server does not have the object warm. The server
// of rank 0 is assumed to have it warm.
func (f *Fleet) expectedLatency(request *Request, server *serverRecord, rank int, now time.Time) time.Duration {
	serviceTime := f.expectedServiceTime(request)
	slots := float64(server.Slots)
	queuedPerSlot := max(0, f.load(server, now)+1-slots) / slots
	objectFactor := 1.0
	if rank > 0 && !f.warm.contains(server.hash, request.Object, now) {
		objectFactor = coldObjectFactor
	}
	serverTime := (queuedPerSlot + objectFactor) * server.slowdownNow(now) * float64(serviceTime)
	return f.roundTrips[server.Region] + time.Duration(serverTime) + server.overdue(now)
}

// overdue returns by how much the time since silentSince exceeds silenceLimit, or 0
// if no request of this entry is in flight. Only this time shows that a server hangs,
// because a request that runs into its deadline is SignalNone.
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
	// slowdownHalfLife is the half-life of a server's slowdown while no answer updates
	// it. Because it decays, a slow server is tried again.
	slowdownHalfLife = 3 * time.Second
	// slowdownSmoothing is the weight of one answer in the exponential moving average of a
	// server's slowdown, and warmSlowdownSmoothing that of one for a warm object that raises it.
	slowdownSmoothing     = 0.3
	warmSlowdownSmoothing = 0.15
	// maxSlowdown bounds the slowdown that one answer can indicate.
	maxSlowdown = 20
)

// observeLatency updates the server's slowdown and the route's estimated service
// time after an answer. took is the time from sending the request to the answer, without
// the time to connect.
func (f *Fleet) observeLatency(server *serverRecord, choice *Choice, took time.Duration, now time.Time) {
	took = max(time.Millisecond, took-f.roundTrips[server.Region])
	var estimate *serviceTimeEstimate
	if choice.route != nil {
		estimate = f.estimateFor(choice.route, server.Service, choice.serviceTime)
	}
	// If the object was not warm, only an answer that came early tells how fast the
	// server is.
	expected := choice.ExpectedLatency - f.roundTrips[server.Region]
	if expected > 0 && (choice.objectWarm || took < expected) {
		ratio := min(maxSlowdown, float64(took)/float64(expected)*choice.Slowdown)
		server.observeSlowdown(ratio, choice.objectWarm, now)
	}
	if estimate != nil && choice.Slowdown < maxNormalSlowdown {
		estimate.observe(took, now)
	}
}

// observeSlowdown updates the server's slowdown after an answer that indicates the given one. A slow
// server is slow for every request, while one that has evicted an object, which this entry cannot
// know, is so for that one only. So the slowdown that the last answers for warm objects all show
// counts, and a lower one at once.
func (s *serverRecord) observeSlowdown(indicated float64, objectWarm bool, now time.Time) {
	current := s.slowdownNow(now)
	weight := slowdownSmoothing
	if objectWarm {
		copy(s.recentSlowdowns[1:], s.recentSlowdowns[:])
		s.recentSlowdowns[0] = indicated
		indicated = slices.Min(s.recentSlowdowns[:])
		weight = warmSlowdownSmoothing
		if indicated < current {
			weight = 1
		}
	}
	s.slowdown = current + weight*(indicated-current)
	s.slowdownAt = now
}

// maxNormalSlowdown is the slowdown below which a server's answers update the
// estimated service time of a route. The times of a slower server say more about
// the server than about the route.
const maxNormalSlowdown = 1.5

// slowdownNow returns the server's slowdown, decayed from slowdownAt to now. It is at
// least 1.
func (s *serverRecord) slowdownNow(now time.Time) float64 {
	if s.slowdown <= 1 {
		return 1
	}
	return 1 + (s.slowdown-1)*math.Exp2(-float64(now.Sub(s.slowdownAt))/float64(slowdownHalfLife))
}

// ObserveRoundTrip updates the estimated round-trip time to a region's servers. took
// is the time that it took to connect to one of them.
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

// roundTripDivisor divides the difference between a longer observed time and the
// estimate; the quotient is added to the estimate, which thus stays near the minimum.
// What exceeds the minimum is mostly queueing delay.
const roundTripDivisor = 32

// warmObjects records when a server last handled an object for this entry. The
// server is assumed to keep the object warm for warmLifetime.
type warmObjects struct {
	lastUsed map[warmKey]time.Time
}

// warmKey identifies a server and an object.
type warmKey struct {
	server uint64 // hash of the server's ID
	object uint64 // hash of the object
}

const (
	// warmLifetime is how long a server is assumed to keep an object warm.
	warmLifetime = 20 * time.Second
	// maxWarmObjects is the maximum number of records, of 40 bytes each.
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

// markWarm records that a server has handled an object. At maxWarmObjects records,
// it first drops those older than half of warmLifetime, or all if none are.
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
