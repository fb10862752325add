package slot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// deputyHarness runs the ledger of an entry that is deputy of "one", on an explicit
// clock. The test acts as "one", the home.
type deputyHarness struct {
	// now is the time on the ledger's clock.
	now    time.Time
	ledger *Ledger
}

// newDeputyHarness returns a harness for the entry "two". The entries of the deployment
// are given as name@failure-domain.
func newDeputyHarness(t *testing.T, entries ...string) *deputyHarness {
	h := &deputyHarness{
		now: simulationStart,
	}
	h.ledger = &Ledger{
		Entry:         "two",
		LeasesEnabled: true,
		Clock:         func() time.Time { return h.now },
	}
	h.ledger.Configure(compileConfiguration(t, 1, entries, 3, unlimitedCaps))
	return h
}

// advance lets time pass and calls afterTick after each tick.
func (h *deputyHarness) advance(length time.Duration, afterTick func()) {
	for end := h.now.Add(length); h.now.Before(end); {
		h.now = h.now.Add(tickInterval)
		h.ledger.Tick()
		afterTick()
	}
}

// exchangeHeartbeat delivers a heartbeat of the home, and a response of the home to a
// heartbeat of the deputy. version is the home's configuration version.
func (h *deputyHarness) exchangeHeartbeat(version uint64) {
	home := &teaselv1.Member{
		Name:                 "one",
		FailureDomain:        "north-a",
		ConfigurationVersion: version,
	}
	h.ledger.handleRequest(&teaselv1.HeartbeatRequest{
		Sender: home,
		Slots: &teaselv1.SlotLease{
			AskMs: 3000,
		},
	}, &teaselv1.HeartbeatResponse{})
	h.ledger.handleResponse(h.now, newResponse(home))
}

func (h *deputyHarness) usableSlots() int {
	load, _ := h.ledger.Load("desk")
	return load.Slots
}

func doNothing() {}

// contactHomeDomain records that a backend server in north-a, the home's failure domain,
// has answered.
func (h *deputyHarness) contactHomeDomain() {
	h.ledger.MarkReachable("north-a")
}

const (
	// testWorkTimeout is the workTimeout of the servers of compileConfiguration.
	testWorkTimeout = 5*time.Second + deadlineMargin
	// takeoverDelay is the longest time from the home's last heartbeat until the deputy
	// may use all slots. Two ticks allow for rounding both waits up to ticks.
	takeoverDelay = silenceTimeout + testWorkTimeout + testWorkTimeout/driftDivisor + 2*tickInterval
)

// TestDeputyTakesOverSilentHome checks that the deputy may use all slots once the
// home has been silent for silenceTimeout and its work has passed the deadline, and
// none after the home's next heartbeat.
func TestDeputyTakesOverSilentHome(t *testing.T) {
	h := newDeputyHarness(t, "one@north-a", "two@north-b")
	h.exchangeHeartbeat(1)
	h.advance(time.Second, doNothing)
	h.exchangeHeartbeat(1)
	h.advance(silenceTimeout+testWorkTimeout, h.contactHomeDomain)
	assert.Equal(t, h.usableSlots(), 0)
	h.advance(takeoverDelay-silenceTimeout-testWorkTimeout, h.contactHomeDomain)
	assert.Equal(t, h.usableSlots(), 2*3)
	h.exchangeHeartbeat(1)
	assert.Equal(t, h.usableSlots(), 0)
}

// TestNoTakeoverAcrossPartition partitions the deputy from the home's failure
// domain and heals the partition. As silence during the partition is no evidence
// that the home is dead, silenceTimeout must count from the end of the partition.
func TestNoTakeoverAcrossPartition(t *testing.T) {
	h := newDeputyHarness(t, "one@north-a", "two@north-b")
	h.exchangeHeartbeat(1)
	h.advance(2*takeoverDelay, doNothing)
	assert.Equal(t, h.usableSlots(), 0)
	h.contactHomeDomain()
	h.advance(silenceTimeout-tickInterval, h.contactHomeDomain)
	assert.Assert(t, !h.ledger.peers["one"].takeover)
	h.advance(2*tickInterval, h.contactHomeDomain)
	assert.Assert(t, h.ledger.peers["one"].takeover)
}

// TestNoTakeoverUnderOldConfiguration checks that a deputy with an older
// configuration than its home takes over only after it has applied the newer
// one.
func TestNoTakeoverUnderOldConfiguration(t *testing.T) {
	h := newDeputyHarness(t, "one@north-a", "two@north-b")
	h.exchangeHeartbeat(2)
	h.advance(takeoverDelay, h.contactHomeDomain)
	assert.Equal(t, h.usableSlots(), 0)
	h.ledger.Configure(compileConfiguration(t, 2, []string{"one@north-a", "two@north-b"}, 3, unlimitedCaps))
	h.advance(takeoverDelay, h.contactHomeDomain)
	assert.Equal(t, h.usableSlots(), 2*3)
}

// TestPausedDeputyWaitsForHome pauses a deputy that owns a part of the slots, as no
// entry is in the failure domain of the servers. After the pause, the deputy may not
// use that part until the home has requested a lease and the lease has expired.
func TestPausedDeputyWaitsForHome(t *testing.T) {
	h := newDeputyHarness(t, "one@north-b", "two@south-a")
	h.exchangeHeartbeat(1)
	h.advance(takeoverDelay, doNothing)
	assert.Equal(t, h.usableSlots(), 2*1)
	h.now = h.now.Add(2 * pauseThreshold)
	h.advance(2*takeoverDelay, doNothing)
	assert.Equal(t, h.usableSlots(), 0)
	h.exchangeHeartbeat(1)
	h.advance(takeoverDelay, doNothing)
	assert.Equal(t, h.usableSlots(), 2*1)
}

// TestLeaseMarginCoversClockDrift compares a home whose clock is slow with a deputy
// whose clock is fast: the last request that the home starts under the lease must
// have ended before the deputy starts its first one.
func TestLeaseMarginCoversClockDrift(t *testing.T) {
	drift := 0.03
	lastEnd := time.Duration(float64(leaseDuration+testWorkTimeout) / (1 - drift))
	firstStart := time.Duration(float64(withDriftMargin(leaseDuration)+withDriftMargin(testWorkTimeout)) / (1 + drift))
	assert.Assert(t, firstStart >= lastEnd, "%s is before %s", firstStart, lastEnd)
}
