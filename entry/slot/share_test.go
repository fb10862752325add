package slot

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testMaxRate and testShiftRate are the caps that limitedCaps sets, in requests per
// second.
const (
	testMaxRate   = 60
	testShiftRate = 20
	limitedCaps   = "max-rate = 60\nshift-rate = 20"
)

// TestStartsStayWithinCaps applies actions to random entries in random order, with more
// load than the caps allow. In every period of a second, the number of requests that
// all entries start and the number of those from other regions must stay within the
// caps. All clocks run at the same rate.
func TestStartsStayWithinCaps(t *testing.T) {
	mostStarts, mostCrossRegion := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, []string{"one@north-a", "two-b@north-a", "three@north-b"}, limitedCaps)
		for _, entry := range s.entries {
			entry.clockRate = 1
		}
		var all, crossRegion []time.Duration
		s.onStart = func(request runningRequest) {
			all = dropOlderThanSecond(append(all, request.start), s.now)
			if request.originRegion != "north" {
				crossRegion = dropOlderThanSecond(append(crossRegion, request.start), s.now)
			}
			mostStarts, mostCrossRegion = max(mostStarts, len(all)), max(mostCrossRegion, len(crossRegion))
			if len(all) > testMaxRate || len(crossRegion) > testShiftRate {
				t.Fatalf("at %s: %d requests within a second, %d of them from other regions", s.now, len(all), len(crossRegion))
			}
		}
		s.shortRequests = true
		s.step = 10 * time.Millisecond
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			s.applyAction(rapid.SampledFrom(s.entries).Draw(t, "node"), rapid.SampledFrom(actions).Draw(t, "action"))
			s.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * 50 * time.Millisecond)
		}
	})
	t.Logf("most requests within a second: %d of %d, from other regions %d of %d", mostStarts, testMaxRate, mostCrossRegion, testShiftRate)
	assert.Assert(t, mostStarts > testMaxRate/2 && mostCrossRegion > testShiftRate/2)
}

// dropOlderThanSecond removes the start times that are at least a second old. The times
// are in ascending order.
func dropOlderThanSecond(starts []time.Duration, now time.Duration) []time.Duration {
	for len(starts) > 0 && now-starts[0] >= time.Second {
		starts = starts[1:]
	}
	return starts
}

// TestTokenBucketStaysWithinShare checks that a full bucket allows no more requests
// than the share in any period of at least the length that the comment on capShare
// states.
func TestTokenBucketStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRate := rapid.Float64Range(0.01, 5000).Draw(t, "part")
		now := simulationStart
		share := newCapShare()
		setBucketRate(share.allBucket, now, maxRate)
		now = now.Add(time.Hour)
		burst := float64(share.allBucket.Burst())
		window := max(1, 2*burst/maxRate) * rapid.Float64Range(1, 3).Draw(t, "window")
		assert.Assert(t, burst+float64(share.allBucket.Limit())*window <= maxRate*window*1.000001)
		assert.Equal(t, share.allBucket.TokensAt(now), burst)
	})
}

// TestShiftRateRampsUp counts the requests from another region that start in each
// second of a shift. The number must grow over the service's ramp, not exceed the
// rate allowed at the end of the second, and come close to the shift rate.
func TestShiftRateRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &Ledger{
			Entry: "one",
		}
		ledger.Configure(compileConfiguration(t, 1, []string{"one@north-a"}, 3, "max-rate = 1000\nshift-rate = 100"))
		time.Sleep(time.Second)
		crossRegion := newRequest(PriorityIdempotent, "a")
		crossRegion.OriginRegion = "south"
		last := 0
		for second := range 6 {
			count := 0
			for range 1000 {
				if grant := ledger.startWithoutWaiting(crossRegion); grant != nil {
					count++
					grant.Release()
				}
				time.Sleep(time.Millisecond)
			}
			// The shift rate at the end of the second; the ramp takes 4 seconds.
			bound := min(100, 100*(initialShiftFraction+(1-initialShiftFraction)*float64(second+1)/4))
			assert.Assert(t, count >= last && float64(count) <= bound, "second %d: %d requests", second, count)
			last = count
		}
		assert.Assert(t, last >= 95)
	})
}

// startWithoutWaiting grants a request a slot if it need not wait, and returns nil
// otherwise.
func (l *Ledger) startWithoutWaiting(request Request) *Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.readClock()
	if chosen := l.chooseServer(l.queues[request.Service], request, now); chosen != nil {
		return l.grantSlot(chosen, l.queues[request.Service], request, now)
	}
	return nil
}
