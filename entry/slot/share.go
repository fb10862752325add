package slot

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// capShare is this entry's share of the caps of one service in one region. The
// share is in proportion to this entry's usable slots among the region's slots.
// Shares follow the ownership of slots, so that their sum over all entries
// stays within the caps without an exchange of messages.
//
// A token bucket of rate r and burst b allows at most b + rT requests in T
// seconds. A share of x requests a second therefore gets the burst
// b = 1 + x/100, rounded down, and the rate x - min(b, x/2): then b + rT <= xT
// for every T of at least max(1, 2b/x) seconds. So the sum over all entries is
// within the cap over any second if each share is at least two requests a
// second, and over any 2/x seconds if a share is smaller.
type capShare struct {
	caps intent.ServiceRegion
	// ramp is how long a shift takes to reach the full shift rate.
	ramp time.Duration
	// regionSlots is the number of the region's slots, usableSlots the number of
	// them that this entry may use.
	regionSlots int
	usableSlots int

	// startFull makes the buckets full when the first slots are usable. It is
	// set where no other entry can have used the tokens.
	startFull bool
	// all limits all requests, crossRegion those that other regions shift here.
	all         *rate.Limiter
	crossRegion *rate.Limiter
	// shiftStart is when other regions began to shift requests here, shiftLast
	// when the last such request started.
	shiftStart time.Time
	shiftLast  time.Time
}

// initialShiftFraction is the fraction of the shift rate that a new shift
// begins with.
const initialShiftFraction = 0.1

func newCapShare() *capShare {
	return &capShare{
		all:         rate.NewLimiter(0, 0),
		crossRegion: rate.NewLimiter(0, 0),
	}
}

// updateRates adapts the rates to the slots that are usable now.
func (s *capShare) updateRates(now time.Time) {
	fraction := 0.0
	if s.regionSlots > 0 {
		fraction = float64(s.usableSlots) / float64(s.regionSlots)
	}
	setBucketRate(s.all, now, s.caps.MaxRate*fraction)
	setBucketRate(s.crossRegion, now, s.caps.ShiftRate*fraction*s.shiftFraction(now))
	if s.startFull && s.usableSlots > 0 {
		s.startFull = false
		s.all.ReserveN(now, -s.all.Burst())
		s.crossRegion.ReserveN(now, -s.crossRegion.Burst())
	}
}

// burstDivisor is the increase of a share, in requests a second, that raises its
// burst by one request.
const burstDivisor = 100

// setBucketRate sets the rate and burst of a bucket to those of a share. A
// bucket whose share drops to zero loses its tokens, so that an owner that gets
// the share back does not start with a burst.
func setBucketRate(bucket *rate.Limiter, now time.Time, share float64) {
	burst := 0
	if share > 0 {
		burst = 1 + int(share/burstDivisor)
	}
	next := rate.Limit(share - min(float64(burst), share/2))
	if next == bucket.Limit() && burst == bucket.Burst() {
		return
	}
	bucket.SetLimitAt(now, next)
	bucket.SetBurstAt(now, burst)
}

// shiftFraction returns the fraction of the shift rate that is allowed now. It
// grows from initialShiftFraction to 1 over the ramp, because caches are cold
// when a shift begins.
func (s *capShare) shiftFraction(now time.Time) float64 {
	if s.shiftStart.IsZero() || now.Sub(s.shiftLast) > s.ramp {
		return initialShiftFraction
	}
	return min(1, initialShiftFraction+(1-initialShiftFraction)*float64(now.Sub(s.shiftStart))/float64(s.ramp))
}

// allows reports whether a request may start now.
func (s *capShare) allows(now time.Time, crossRegion bool) bool {
	return s.all.TokensAt(now) >= 1 && (!crossRegion || s.crossRegion.TokensAt(now) >= 1)
}

// consume takes the tokens of a request that allows has permitted.
func (s *capShare) consume(now time.Time, crossRegion bool) {
	s.all.AllowN(now, 1)
	if !crossRegion {
		return
	}
	s.crossRegion.AllowN(now, 1)
	if now.Sub(s.shiftLast) > s.ramp {
		s.shiftStart = now
	}
	s.shiftLast = now
}

// infiniteWait stands for an infinite wait; it is finite so that sums with it
// don't overflow.
const infiniteWait = 365 * 24 * time.Hour

// wait returns how long the caps delay a request at a position of the queue,
// counted from one.
func (s *capShare) wait(now time.Time, crossRegion bool, position int) time.Duration {
	wait := bucketWait(s.all, now, position)
	if crossRegion {
		wait = max(wait, bucketWait(s.crossRegion, now, position))
	}
	return wait
}

// bucketWait returns how long it takes until a bucket has a number of tokens.
func bucketWait(bucket *rate.Limiter, now time.Time, tokens int) time.Duration {
	missing := float64(tokens) - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if bucket.Limit() <= 0 {
		return infiniteWait
	}
	seconds := min(infiniteWait.Seconds(), missing/float64(bucket.Limit()))
	return time.Duration(seconds * float64(time.Second))
}

// warmSlots returns how many slots of a server may be in use while it warms up:
// one at first, all of them after the ramp of its service.
func (s *server) warmSlots(now time.Time) int {
	warm := now.Sub(s.warmingSince)
	if s.warmingSince.IsZero() || warm >= s.ramp {
		return s.declared.Slots
	}
	return min(s.declared.Slots, 1+int(float64(s.declared.Slots)*float64(warm)/float64(s.ramp)))
}
