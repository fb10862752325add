package slot

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// share is an entry's part of the caps of one service in one region: as large a
// part as its usable slots are of the region's slots. Whoever owns the slots owns
// the part, so the sum over all entries stays within the caps without a message.
//
// A token bucket of rate r and burst b lets at most b + rT requests through in T
// seconds. A part of x requests a second therefore gets the burst b = 1 + x/100,
// rounded down, and the rate x - min(b, x/2): then b + rT <= xT for every T of at
// least max(1, 2b/x) seconds. So over any second the sum of all entries is within
// the cap while each part is at least two requests a second, and over any 2/x
// seconds below that.
type share struct {
	caps intent.ServiceRegion
	ramp time.Duration
	// slots is the region's, owned this entry's part of them.
	slots int
	owned int

	// fresh says that the buckets begin full, for want of any other owner.
	fresh bool
	all   *rate.Limiter
	moved *rate.Limiter
	// shiftStart is when other regions began to move requests here, shiftLast the
	// last one.
	shiftStart time.Time
	shiftLast  time.Time
}

// firstShift is the part of the shift rate that a new shift starts with.
const firstShift = 0.1

func newShare() *share {
	return &share{
		all:   rate.NewLimiter(0, 0),
		moved: rate.NewLimiter(0, 0),
	}
}

// set brings the rates up to the slots owned now.
func (s *share) set(now time.Time) {
	part := 0.0
	if s.slots > 0 {
		part = float64(s.owned) / float64(s.slots)
	}
	setRate(s.all, now, s.caps.MaxRate*part)
	setRate(s.moved, now, s.caps.ShiftRate*part*s.shiftFraction(now))
	if s.fresh && s.owned > 0 {
		s.fresh = false
		s.all.ReserveN(now, -s.all.Burst())
		s.moved.ReserveN(now, -s.moved.Burst())
	}
}

// burstDivisor is the part, in requests a second, for each further request that
// may start at once.
const burstDivisor = 100

// setRate changes a bucket's rate and burst. A part that ends loses its tokens,
// so that an owner that gets it back does not start with a burst.
func setRate(bucket *rate.Limiter, now time.Time, part float64) {
	burst := 0
	if part > 0 {
		burst = 1 + int(part/burstDivisor)
	}
	next := rate.Limit(part - min(float64(burst), part/2))
	if next == bucket.Limit() && burst == bucket.Burst() {
		return
	}
	bucket.SetLimitAt(now, next)
	bucket.SetBurstAt(now, burst)
}

// shiftFraction grows from firstShift to 1 over the ramp, since caches are cold
// when a shift begins.
func (s *share) shiftFraction(now time.Time) float64 {
	if s.shiftStart.IsZero() || now.Sub(s.shiftLast) > s.ramp {
		return firstShift
	}
	return min(1, firstShift+(1-firstShift)*float64(now.Sub(s.shiftStart))/float64(s.ramp))
}

// allows reports whether a request may start now.
func (s *share) allows(now time.Time, moved bool) bool {
	return s.all.TokensAt(now) >= 1 && (!moved || s.moved.TokensAt(now) >= 1)
}

// take counts a request that allows let through.
func (s *share) take(now time.Time, moved bool) {
	s.all.AllowN(now, 1)
	if !moved {
		return
	}
	s.moved.AllowN(now, 1)
	if now.Sub(s.shiftLast) > s.ramp {
		s.shiftStart = now
	}
	s.shiftLast = now
}

// noWait is the wait for what never comes.
const noWait = 365 * 24 * time.Hour

// wait returns how long a request at a position, 1 for the next, has to wait.
func (s *share) wait(now time.Time, moved bool, position int) time.Duration {
	wait := bucketWait(s.all, now, position)
	if moved {
		wait = max(wait, bucketWait(s.moved, now, position))
	}
	return wait
}

func bucketWait(bucket *rate.Limiter, now time.Time, position int) time.Duration {
	missing := float64(position) - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if bucket.Limit() <= 0 {
		return noWait
	}
	seconds := min(noWait.Seconds(), missing/float64(bucket.Limit()))
	return time.Duration(seconds * float64(time.Second))
}

// warmSlots returns how many slots a server that warms up may have in use: one
// at first, all after its service's ramp.
func (s *server) warmSlots(now time.Time) int {
	warm := now.Sub(s.cold)
	if s.cold.IsZero() || warm >= s.ramp {
		return s.intent.Slots
	}
	return min(s.intent.Slots, 1+int(float64(s.intent.Slots)*float64(warm)/float64(s.ramp)))
}
