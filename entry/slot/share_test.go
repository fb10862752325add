package slot

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testMaxRate   = 60
	testShiftRate = 20
	testCaps      = "max-rate = 60\nshift-rate = 20"
)

// TestStartsStayWithinCaps draws faults in any order, with more load than the caps allow, and
// holds all starts and the moved ones of every second against the caps.
func TestStartsStayWithinCaps(t *testing.T) {
	busiest, most := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, []string{"one@north-a", "two-b@north-a", "three@north-b"}, testCaps)
		for _, each := range w.nodes {
			each.rate = 1
		}
		var all, moved []time.Duration
		w.started = func(work work) {
			all = inWindow(append(all, work.start), w.now)
			if work.from != "north" {
				moved = inWindow(append(moved, work.start), w.now)
			}
			busiest, most = max(busiest, len(all)), max(most, len(moved))
			if len(all) > testMaxRate || len(moved) > testShiftRate {
				t.Fatalf("at %s: %d requests within a second, %d of them moved here", w.now, len(all), len(moved))
			}
		}
		w.hurry = true
		w.step = 10 * time.Millisecond
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			w.act(rapid.SampledFrom(w.nodes).Draw(t, "node"), rapid.SampledFrom(actions).Draw(t, "action"))
			w.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * 50 * time.Millisecond)
		}
	})
	t.Logf("most within a second: %d of %d, moved %d of %d", busiest, testMaxRate, most, testShiftRate)
	assert.Assert(t, busiest > testMaxRate/2 && most > testShiftRate/2)
}

// inWindow drops the starts that are a second old.
func inWindow(starts []time.Duration, now time.Duration) []time.Duration {
	for len(starts) > 0 && now-starts[0] >= time.Second {
		starts = starts[1:]
	}
	return starts
}

// TestTokenBucketStaysWithinShare checks the bound that the comment on share states.
func TestTokenBucketStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.01, 5000).Draw(t, "part")
		now := worldStart
		known := newShare()
		setRate(known.all, now, part)
		now = now.Add(time.Hour)
		burst := float64(known.all.Burst())
		window := max(1, 2*burst/part) * rapid.Float64Range(1, 3).Draw(t, "window")
		assert.Assert(t, burst+float64(known.all.Limit())*window <= part*window*1.000001)
		assert.Equal(t, known.all.TokensAt(now), burst)
	})
}

// TestShiftRateRampsUp counts how many moved requests start in each second of a shift.
func TestShiftRateRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &Ledger{
			Entry: "one",
		}
		ledger.Configure(compile(t, 1, []string{"one@north-a"}, 3, "max-rate = 1000\nshift-rate = 100"))
		time.Sleep(time.Second)
		moved := ask(PriorityIdempotent, "a")
		moved.FromRegion = "south"
		last := 0
		for second := range 6 {
			count := 0
			for range 1000 {
				if known := ledger.chooseNow(moved); known != nil {
					count++
					known.Release()
				}
				time.Sleep(time.Millisecond)
			}
			// The ramp is 4 s long; at the end of each second this is its rate.
			bound := min(100, 100*(firstShift+(1-firstShift)*float64(second+1)/4))
			assert.Assert(t, count >= last && float64(count) <= bound, "second %d: %d requests", second, count)
			last = count
		}
		assert.Assert(t, last >= 95)
	})
}

// chooseNow starts a request if it need not wait.
func (l *Ledger) chooseNow(ask Request) *Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.observe()
	if chosen := l.choose(l.queues[ask.Service], ask, now); chosen != nil {
		return l.start(chosen, l.queues[ask.Service], ask, now)
	}
	return nil
}
