package slot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// pairBench is a deputy, "two", whose home, "one", is played by the test, on an
// explicit clock.
type pairBench struct {
	now    time.Time
	ledger *Ledger
}

func newPairBench(t *testing.T, entries ...string) *pairBench {
	b := &pairBench{
		now: worldStart,
	}
	b.ledger = &Ledger{
		Entry:         "two",
		LeasesEnabled: true,
		Clock:         func() time.Time { return b.now },
	}
	b.ledger.Configure(compile(t, 1, entries, 3, openCaps))
	return b
}

// wait lets time pass, with a tick every quarter of a second.
func (b *pairBench) wait(length time.Duration, each func()) {
	for end := b.now.Add(length); b.now.Before(end); {
		b.now = b.now.Add(tickInterval)
		b.ledger.Tick()
		each()
	}
}

// beat is a heartbeat of the home, both ways.
func (b *pairBench) beat(version uint64) {
	home := &teaselv1.Member{
		Name:                 "one",
		FailureDomain:        "north-a",
		ConfigurationVersion: version,
	}
	b.ledger.answer(&teaselv1.HeartbeatRequest{
		Sender: home,
		Slots: &teaselv1.SlotLease{
			AskMs: 3000,
		},
	}, &teaselv1.HeartbeatResponse{})
	b.ledger.learn(b.now, newResponse(home))
}

func (b *pairBench) usable() int {
	load, _ := b.ledger.Load("desk")
	return load.Slots
}

func nothing() {}

// sign is an answer of a backend server in the home's failure domain.
func (b *pairBench) sign() {
	b.ledger.MarkReachable("north-a")
}

const (
	testDeadline = 5*time.Second + settleTime
	// takeoverTime is within a tick of when the deputy has all slots.
	takeoverTime = silenceLimit + testDeadline + testDeadline/driftMargin + 2*tickInterval
)

func TestDeputyTakesOverSilentHome(t *testing.T) {
	b := newPairBench(t, "one@north-a", "two@north-b")
	b.beat(1)
	b.wait(time.Second, nothing)
	b.beat(1)
	b.wait(silenceLimit+testDeadline, b.sign)
	assert.Equal(t, b.usable(), 0)
	b.wait(takeoverTime-silenceLimit-testDeadline, b.sign)
	assert.Equal(t, b.usable(), 2*3)
	b.beat(1)
	assert.Equal(t, b.usable(), 0)
}

// TestNoTakeoverAcrossPartition cuts the failure domain off and lets it come back: the
// silence before does not count.
func TestNoTakeoverAcrossPartition(t *testing.T) {
	b := newPairBench(t, "one@north-a", "two@north-b")
	b.beat(1)
	b.wait(2*takeoverTime, nothing)
	assert.Equal(t, b.usable(), 0)
	b.sign()
	b.wait(silenceLimit-tickInterval, b.sign)
	assert.Assert(t, !b.ledger.peers["one"].takeover)
	b.wait(2*tickInterval, b.sign)
	assert.Assert(t, b.ledger.peers["one"].takeover)
}

func TestNoTakeoverUnderOldConfiguration(t *testing.T) {
	b := newPairBench(t, "one@north-a", "two@north-b")
	b.beat(2)
	b.wait(takeoverTime, b.sign)
	assert.Equal(t, b.usable(), 0)
	b.ledger.Configure(compile(t, 2, []string{"one@north-a", "two@north-b"}, 3, openCaps))
	b.wait(takeoverTime, b.sign)
	assert.Equal(t, b.usable(), 2*3)
}

// TestPausedDeputyWaitsForHome has no entry in the servers' failure domain, so that the
// deputy owns a part of the slots; after a pause it waits for its home.
func TestPausedDeputyWaitsForHome(t *testing.T) {
	b := newPairBench(t, "one@north-b", "two@south-a")
	b.beat(1)
	b.wait(takeoverTime, nothing)
	assert.Equal(t, b.usable(), 2*1)
	b.now = b.now.Add(2 * pauseLimit)
	b.wait(2*takeoverTime, nothing)
	assert.Equal(t, b.usable(), 0)
	b.beat(1)
	b.wait(takeoverTime, nothing)
	assert.Equal(t, b.usable(), 2*1)
}

// TestLeaseMarginCoversClockDrift compares a home whose clock is slow with a deputy whose clock
// is fast: the last request under the lease has ended before the deputy starts.
func TestLeaseMarginCoversClockDrift(t *testing.T) {
	drift := 0.03
	lastEnd := time.Duration(float64(leaseLength+testDeadline) / (1 - drift))
	firstStart := time.Duration(float64(withMargin(leaseLength)+withMargin(testDeadline)) / (1 + drift))
	assert.Assert(t, firstStart >= lastEnd, "%s is before %s", firstStart, lastEnd)
}
