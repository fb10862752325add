package slot

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// capShare is this entry's share of the caps of one service in one region. The
// region has a cap on all its requests, the maximum rate, and one on the requests
// that other regions shift to it, the shift rate. The share is in proportion to this
// entry's usable slots among the region's slots. As no slot is usable by two entries
// at a time, the shares of all entries sum to at most the caps without an exchange
// of messages.
//
// A token bucket of rate r and burst b allows at most b + rT requests in T
// seconds. A share of x requests a second therefore gets the burst
// b = 1 + x/100, rounded down, and the rate r = x - min(b, x/2): then b + rT <= xT
// for every T of at least max(1, 2b/x) seconds. So the sum over all entries is
// within the cap over any second if each share is at least two requests a
// second, and over any 2/x seconds if a share is smaller.
type capShare struct {
	// caps holds the region's caps as configured.
	caps intent.ServiceRegion
	// ramp is how long a shift of requests to the region takes to reach the full
	// shift rate. A shift ends when no request of another region has started for longer
	// than ramp.
	ramp time.Duration
	// regionSlots is the number of the region's slots, usableSlots the number of
	// them that this entry may use.
	regionSlots int
	usableSlots int

	// startFull makes updateRates fill the buckets when the first slots are usable,
	// and is then cleared. It is set where no other entry can have used the tokens.
	startFull bool
	// allBucket limits all requests that start in the region. Those that come from
	// other regions also need a token of shiftBucket.
	allBucket   *rate.Limiter
	shiftBucket *rate.Limiter
	// shiftStart is when the first request of the newest shift started, lastShiftedAt
	// when the latest request of that shift started.
	shiftStart    time.Time
	lastShiftedAt time.Time
}

// initialShiftFraction is the fraction of the shift rate that is allowed when a
// shift begins.
const initialShiftFraction = 0.1

func newCapShare() *capShare {
	return &capShare{
		allBucket:   rate.NewLimiter(0, 0),
		shiftBucket: rate.NewLimiter(0, 0),
	}
}

// updateRates sets the rates of both buckets according to usableSlots and, for the
// requests from other regions, the progress of the shift.
func (s *capShare) updateRates(now time.Time) {
	fraction := 0.0
	if s.regionSlots > 0 {
		fraction = float64(s.usableSlots) / float64(s.regionSlots)
	}
	setBucketRate(s.allBucket, now, s.caps.MaxRate*fraction)
	setBucketRate(s.shiftBucket, now, s.caps.ShiftRate*fraction*s.shiftFraction(now))
	if s.startFull && s.usableSlots > 0 {
		s.startFull = false
		// A negative reservation adds tokens.
		s.allBucket.ReserveN(now, -s.allBucket.Burst())
		s.shiftBucket.ReserveN(now, -s.shiftBucket.Burst())
	}
}

// burstDivisor is the increase of a share, in requests a second, that raises its
// burst by one request.
const burstDivisor = 100

// setBucketRate sets the rate and burst of a bucket to those of a share, in requests
// a second. A bucket whose share drops to zero loses its tokens, so that an entry
// that gets the share back does not start with a burst.
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
	if s.shiftStart.IsZero() || now.Sub(s.lastShiftedAt) > s.ramp {
		return initialShiftFraction
	}
	return min(1, initialShiftFraction+(1-initialShiftFraction)*float64(now.Sub(s.shiftStart))/float64(s.ramp))
}

// allows reports whether the caps allow a request to start now. crossRegion is true
// for a request from another region.
func (s *capShare) allows(now time.Time, crossRegion bool) bool {
	return s.allBucket.TokensAt(now) >= 1 && (!crossRegion || s.shiftBucket.TokensAt(now) >= 1)
}

// consume takes the tokens of a request that allows has permitted.
func (s *capShare) consume(now time.Time, crossRegion bool) {
	s.allBucket.AllowN(now, 1)
	if !crossRegion {
		return
	}
	s.shiftBucket.AllowN(now, 1)
	if now.Sub(s.lastShiftedAt) > s.ramp {
		s.shiftStart = now
	}
	s.lastShiftedAt = now
}

// infiniteWait stands for the wait for a token of a bucket with rate 0. It is finite
// so that sums with it don't overflow.
const infiniteWait = 365 * 24 * time.Hour

// wait returns how long the caps delay a request at a position of the queue,
// counted from one.
func (s *capShare) wait(now time.Time, crossRegion bool, position int) time.Duration {
	wait := bucketWait(s.allBucket, now, position)
	if crossRegion {
		wait = max(wait, bucketWait(s.shiftBucket, now, position))
	}
	return wait
}

// bucketWait returns how long it takes until a bucket has the given number of tokens if
// none is consumed meanwhile, at most infiniteWait. It ignores the burst, so the number
// may exceed it.
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
