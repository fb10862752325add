package slot

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/intent"
)

// queueHarness runs the ledger of one entry VM for a service with two backend
// servers, on the fake clock of synctest.
type queueHarness struct {
	t        *testing.T
	ledger   *Ledger
	requests sync.WaitGroup

	mu sync.Mutex
	// started holds the names of the requests in the order in which Acquire
	// returned, with the error if there was one.
	started []string
}

// withQueueHarness runs a test with the only entry VM of a deployment in a synctest
// bubble and then waits for the test's requests. Each backend server has the given
// number of slots.
func withQueueHarness(t *testing.T, slots int, run func(h *queueHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &queueHarness{
			t: t,
			ledger: &Ledger{
				Entry: "one",
			},
		}
		h.ledger.Configure(compileConfiguration(t, 1, []string{"one@north-a"}, slots, unlimitedCaps))
		time.Sleep(time.Second)
		run(h)
		h.requests.Wait()
	})
}

func (h *queueHarness) acquire(timeout time.Duration, request Request) (*Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.ledger.Acquire(ctx, request)
}

// acquireSlots acquires a number of slots. If fewer are free, the test fails.
func (h *queueHarness) acquireSlots(count int) []*Grant {
	var grants []*Grant
	for range count {
		grant, err := h.acquire(time.Minute, newRequest(PriorityIdempotent, "filler"))
		assert.NilError(h.t, err)
		grants = append(grants, grant)
	}
	return grants
}

// startRequest starts a request that records its name when Acquire returns and
// holds the slot for a second. startRequest returns once the request has a slot,
// waits for one or is refused.
func (h *queueHarness) startRequest(name string, request Request) {
	h.requests.Go(func() {
		grant, err := h.acquire(time.Hour, request)
		if err != nil {
			name += ": " + err.Error()
		}
		h.mu.Lock()
		h.started = append(h.started, name)
		h.mu.Unlock()
		time.Sleep(time.Second)
		if grant != nil {
			grant.Release()
		}
	})
	synctest.Wait()
}

func newRequest(priority Priority, caller string) Request {
	return Request{
		Service:      "desk",
		Priority:     priority,
		Caller:       caller,
		OriginRegion: "north",
	}
}

// TestWaitingOrder checks that waiting requests get slots in order of priority, and
// that the callers of a priority take turns.
func TestWaitingOrder(t *testing.T) {
	withQueueHarness(t, 1, func(h *queueHarness) {
		held := h.acquireSlots(2)
		h.startRequest("upload", newRequest(PriorityBulk, "writer"))
		h.startRequest("browse-a1", newRequest(PriorityIdempotent, "a"))
		h.startRequest("browse-a2", newRequest(PriorityIdempotent, "a"))
		h.startRequest("browse-b1", newRequest(PriorityIdempotent, "b"))
		h.startRequest("offer", newRequest(PriorityNonIdempotent, "agent"))
		held[0].Release()
		h.requests.Wait()
		assert.DeepEqual(t, h.started, []string{"offer", "browse-a1", "browse-b1", "browse-a2", "upload"})
		held[1].Release()
	})
}

// TestLowPriorityIsNotStarved keeps requests of the highest priority waiting all the
// time. An upload of the lowest priority must start after maxPassedOver of them.
func TestLowPriorityIsNotStarved(t *testing.T) {
	withQueueHarness(t, 1, func(h *queueHarness) {
		held := h.acquireSlots(2)
		h.startRequest("upload", newRequest(PriorityBulk, "writer"))
		for range 20 {
			h.startRequest("offer", newRequest(PriorityNonIdempotent, "agent"))
		}
		held[0].Release()
		h.requests.Wait()
		assert.Equal(t, h.started[maxPassedOver], "upload")
		held[1].Release()
	})
}

// TestRefusesWaitBeyondDeadline lets the ledger measure that requests hold a slot
// for one second, then takes all slots and lets four requests wait. A request that
// could not end before its deadline must be refused at once.
func TestRefusesWaitBeyondDeadline(t *testing.T) {
	withQueueHarness(t, 1, func(h *queueHarness) {
		for range 3 {
			h.startRequest("warm up", newRequest(PriorityIdempotent, "a"))
		}
		h.requests.Wait()
		for range 6 {
			h.startRequest("ahead", newRequest(PriorityIdempotent, "a"))
		}
		before := time.Now()
		_, err := h.acquire(2500*time.Millisecond, newRequest(PriorityIdempotent, "late"))
		assert.ErrorIs(t, err, ErrNoSlot)
		assert.Equal(t, time.Since(before), time.Duration(0))
		// An offer overtakes the waiting requests: it is one of the two that start when
		// the first two end, at the same instant. Five have started
		// before: the warm-up requests and the first two.
		h.startRequest("offer", newRequest(PriorityNonIdempotent, "agent"))
		h.requests.Wait()
		assert.Assert(t, slices.Contains(h.started[5:7], "offer"), "%v", h.started)
	})
}

// TestDeadlineExpiresInQueue checks that a waiting request is refused at its
// deadline and doesn't keep the slot that comes free later.
func TestDeadlineExpiresInQueue(t *testing.T) {
	withQueueHarness(t, 1, func(h *queueHarness) {
		held := h.acquireSlots(2)
		before := time.Now()
		_, err := h.acquire(3*time.Second, newRequest(PriorityIdempotent, "a"))
		assert.ErrorIs(t, err, ErrNoSlot)
		assert.Equal(t, time.Since(before), 3*time.Second)
		held[0].Release()
		_, err = h.acquire(time.Second, newRequest(PriorityIdempotent, "a"))
		assert.NilError(t, err)
	})
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	withQueueHarness(t, 3, func(h *queueHarness) {
		excluding := newRequest(PriorityIdempotent, "a")
		excluding.Exclude = []string{"desk-1"}
		for range 3 {
			grant, err := h.acquire(time.Second, excluding)
			assert.NilError(t, err)
			assert.Equal(t, grant.Server.Name, "desk-2")
		}
		_, err := h.acquire(time.Second, excluding)
		assert.ErrorIs(t, err, ErrNoSlot)
		excluding.Exclude = []string{"desk-1", "desk-2"}
		_, err = h.acquire(time.Second, excluding)
		assert.ErrorIs(t, err, ErrNoServer)
	})
}

// TestDrainRefusesWaitingRequests drains both backend servers while a request
// waits. The request must be refused at once, and requests in flight must keep
// their slots.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	withQueueHarness(t, 1, func(h *queueHarness) {
		held := h.acquireSlots(2)
		h.startRequest("waiting", newRequest(PriorityIdempotent, "a"))
		h.ledger.Configure(compileConfiguration(t, 2, []string{"one@north-a"}, 1, unlimitedCaps, intent.Document{
			Name:    "drains/desk.toml",
			Content: []byte("kind = \"service-region\"\nname = \"north\"\nservice = \"desk\"\n"),
		}))
		synctest.Wait()
		assert.DeepEqual(t, h.started, []string{"waiting: no backend server"})
		held[0].Release()
		_, err := h.acquire(time.Second, newRequest(PriorityIdempotent, "a"))
		assert.ErrorIs(t, err, ErrNoServer)
		held[1].Release()
		for _, status := range h.ledger.Status() {
			assert.Equal(t, status.InUse, 0)
		}
	})
}

// TestEqualServersShareRequests checks that two servers with equally many free slots
// get equally many requests.
func TestEqualServersShareRequests(t *testing.T) {
	withQueueHarness(t, 3, func(h *queueHarness) {
		for range 10 {
			grant, err := h.acquire(time.Second, newRequest(PriorityIdempotent, "a"))
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
			grant.Release()
		}
		for _, status := range h.ledger.Status() {
			assert.Equal(t, status.Requests, uint64(5))
		}
	})
}

// TestRecoveredServerRampsUp checks that the usable slots of a recovered server
// grow over its service's ramp.
func TestRecoveredServerRampsUp(t *testing.T) {
	withQueueHarness(t, 4, func(h *queueHarness) {
		h.ledger.MarkFailing("desk-1", true)
		load, _ := h.ledger.Load("desk")
		assert.Equal(t, load.Slots, 4)
		h.ledger.MarkFailing("desk-1", false)
		var usable []int
		for range 6 {
			load, _ = h.ledger.Load("desk")
			usable = append(usable, load.Slots)
			time.Sleep(time.Second)
		}
		assert.DeepEqual(t, usable, []int{5, 6, 7, 8, 8, 8})
	})
}

// TestWaitingRequestIsRefusedWithoutUsableSlot drains the server whose home is this
// entry while a request waits. At the other server the entry is deputy and may use no
// slot, so the request must be refused at once; it can then be sent to another entry.
func TestWaitingRequestIsRefusedWithoutUsableSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Each of the two entries is home of one server.
		entries := []string{"one@north-a", "four@north-a"}
		h := &queueHarness{
			t: t,
			ledger: &Ledger{
				Entry:         "four",
				LeasesEnabled: true,
			},
		}
		configuration := compileConfiguration(t, 1, entries, 3, unlimitedCaps)
		h.ledger.Configure(configuration)
		deputy := &deputyHarness{
			now:    time.Now(),
			ledger: h.ledger,
		}
		for range 80 {
			time.Sleep(tickInterval)
			deputy.now = time.Now()
			deputy.exchangeHeartbeat(1)
			h.ledger.Tick()
		}
		held := h.acquireSlots(deputy.usableSlots())
		h.startRequest("waiting", newRequest(PriorityIdempotent, "a"))
		h.ledger.Configure(compileConfiguration(t, 2, entries, 3, unlimitedCaps, intent.Document{
			Name:    "drains/own.toml",
			Content: []byte("kind = \"backend-server\"\nname = \"" + held[0].Server.Name + "\"\n"),
		}))
		deputy.exchangeHeartbeat(2)
		synctest.Wait()
		assert.DeepEqual(t, h.started, []string{"waiting: no backend server"})
		for _, grant := range held {
			grant.Release()
		}
		h.requests.Wait()
	})
}
