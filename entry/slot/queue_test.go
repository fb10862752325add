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

// bench is the ledger of a deployment with one entry VM and two backend
// servers, on the paused clock.
type bench struct {
	t      *testing.T
	ledger *Ledger
	group  sync.WaitGroup

	mu    sync.Mutex
	order []string
}

func onBench(t *testing.T, slots int, run func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{
			t: t,
			ledger: &Ledger{
				Entry: "one",
			},
		}
		b.ledger.Configure(compile(t, 1, []string{"one@north-a"}, slots, openCaps))
		time.Sleep(time.Second)
		run(b)
		b.group.Wait()
	})
}

func (b *bench) acquire(timeout time.Duration, ask Request) (*Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return b.ledger.Acquire(ctx, ask)
}

func (b *bench) fill(count int) []*Grant {
	var grants []*Grant
	for range count {
		grant, err := b.acquire(time.Minute, ask(PriorityIdempotent, "filler"))
		assert.NilError(b.t, err)
		grants = append(grants, grant)
	}
	return grants
}

// enter lets a request wait, hold its slot for a second and note its name.
func (b *bench) enter(name string, ask Request) {
	b.group.Go(func() {
		grant, err := b.acquire(time.Hour, ask)
		if err != nil {
			name += ": " + err.Error()
		}
		b.mu.Lock()
		b.order = append(b.order, name)
		b.mu.Unlock()
		time.Sleep(time.Second)
		if grant != nil {
			grant.Release()
		}
	})
	synctest.Wait()
}

func ask(priority Priority, caller string) Request {
	return Request{
		Service:    "desk",
		Priority:   priority,
		Caller:     caller,
		FromRegion: "north",
	}
}

func TestWaitingOrder(t *testing.T) {
	onBench(t, 1, func(b *bench) {
		held := b.fill(2)
		b.enter("upload", ask(PriorityBulk, "writer"))
		b.enter("browse-a1", ask(PriorityIdempotent, "a"))
		b.enter("browse-a2", ask(PriorityIdempotent, "a"))
		b.enter("browse-b1", ask(PriorityIdempotent, "b"))
		b.enter("offer", ask(PriorityNonIdempotent, "agent"))
		held[0].Release()
		b.group.Wait()
		assert.DeepEqual(t, b.order, []string{"offer", "browse-a1", "browse-b1", "browse-a2", "upload"})
		held[1].Release()
	})
}

// TestLowPriorityIsNotStarved keeps offers waiting all the time; the upload goes
// after maxPassedOver of them.
func TestLowPriorityIsNotStarved(t *testing.T) {
	onBench(t, 1, func(b *bench) {
		held := b.fill(2)
		b.enter("upload", ask(PriorityBulk, "writer"))
		for range 20 {
			b.enter("offer", ask(PriorityNonIdempotent, "agent"))
		}
		held[0].Release()
		b.group.Wait()
		assert.Equal(t, b.order[maxPassedOver], "upload")
		held[1].Release()
	})
}

// TestRefusesWaitBeyondDeadline measures a hold of one second, fills the slots and the queue,
// and asks with a deadline that the wait would pass.
func TestRefusesWaitBeyondDeadline(t *testing.T) {
	onBench(t, 1, func(b *bench) {
		for range 3 {
			b.enter("warm up", ask(PriorityIdempotent, "a"))
		}
		b.group.Wait()
		for range 6 {
			b.enter("ahead", ask(PriorityIdempotent, "a"))
		}
		before := time.Now()
		_, err := b.acquire(2500*time.Millisecond, ask(PriorityIdempotent, "late"))
		assert.ErrorIs(t, err, ErrNoSlot)
		assert.Equal(t, time.Since(before), time.Duration(0))
		// An offer goes ahead of them and still ends in time: it is one of the two
		// that start when the first two end, at the same instant.
		b.enter("offer", ask(PriorityNonIdempotent, "agent"))
		b.group.Wait()
		assert.Assert(t, slices.Contains(b.order[5:7], "offer"), "%v", b.order)
	})
}

func TestDeadlineExpiresInQueue(t *testing.T) {
	onBench(t, 1, func(b *bench) {
		held := b.fill(2)
		before := time.Now()
		_, err := b.acquire(3*time.Second, ask(PriorityIdempotent, "a"))
		assert.ErrorIs(t, err, ErrNoSlot)
		assert.Equal(t, time.Since(before), 3*time.Second)
		held[0].Release()
		_, err = b.acquire(time.Second, ask(PriorityIdempotent, "a"))
		assert.NilError(t, err)
	})
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	onBench(t, 3, func(b *bench) {
		excluding := ask(PriorityIdempotent, "a")
		excluding.Exclude = []string{"desk-1"}
		for range 3 {
			grant, err := b.acquire(time.Second, excluding)
			assert.NilError(t, err)
			assert.Equal(t, grant.Server.Name, "desk-2")
		}
		_, err := b.acquire(time.Second, excluding)
		assert.ErrorIs(t, err, ErrNoSlot)
		excluding.Exclude = []string{"desk-1", "desk-2"}
		_, err = b.acquire(time.Second, excluding)
		assert.ErrorIs(t, err, ErrNoServer)
	})
}

// TestDrainRefusesWaitingRequests drains both backend servers while one request waits: it is refused at
// once, and the requests in flight are not touched.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	onBench(t, 1, func(b *bench) {
		held := b.fill(2)
		b.enter("waiting", ask(PriorityIdempotent, "a"))
		b.ledger.Configure(compile(t, 2, []string{"one@north-a"}, 1, openCaps, intent.Document{
			Name:    "drains/desk.toml",
			Content: []byte("kind = \"service-region\"\nname = \"north\"\nservice = \"desk\"\n"),
		}))
		synctest.Wait()
		assert.DeepEqual(t, b.order, []string{"waiting: no backend server"})
		held[0].Release()
		_, err := b.acquire(time.Second, ask(PriorityIdempotent, "a"))
		assert.ErrorIs(t, err, ErrNoServer)
		held[1].Release()
		for _, status := range b.ledger.Status() {
			assert.Equal(t, status.InUse, 0)
		}
	})
}

// TestEqualServersShareRequests spreads requests over servers with equal room.
func TestEqualServersShareRequests(t *testing.T) {
	onBench(t, 3, func(b *bench) {
		for range 10 {
			grant, err := b.acquire(time.Second, ask(PriorityIdempotent, "a"))
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
			grant.Release()
		}
		for _, status := range b.ledger.Status() {
			assert.Equal(t, status.Requests, uint64(5))
		}
	})
}

func TestRecoveredServerRampsUp(t *testing.T) {
	onBench(t, 4, func(b *bench) {
		b.ledger.MarkFailing("desk-1", true)
		load, _ := b.ledger.Load("desk")
		assert.Equal(t, load.Slots, 4)
		b.ledger.MarkFailing("desk-1", false)
		var usable []int
		for range 6 {
			load, _ = b.ledger.Load("desk")
			usable = append(usable, load.Slots)
			time.Sleep(time.Second)
		}
		assert.DeepEqual(t, usable, []int{5, 6, 7, 8, 8, 8})
	})
}

// TestDrainLeavesNoUsableSlot drains the server that this entry is home of while
// a request waits. What is left is the lent part of another server's slots, so
// the request is refused at once and can go to another home.
func TestDrainLeavesNoUsableSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Each of the two is home of one server.
		entries := []string{"one@north-a", "four@north-a"}
		b := &bench{
			t: t,
			ledger: &Ledger{
				Entry:         "four",
				LeasesEnabled: true,
			},
		}
		configuration := compile(t, 1, entries, 3, openCaps)
		b.ledger.Configure(configuration)
		pair := &pairBench{
			now:    time.Now(),
			ledger: b.ledger,
		}
		for range 80 {
			time.Sleep(tickInterval)
			pair.now = time.Now()
			pair.beat(1)
			b.ledger.Tick()
		}
		held := b.fill(pair.usable())
		b.enter("waiting", ask(PriorityIdempotent, "a"))
		b.ledger.Configure(compile(t, 2, entries, 3, openCaps, intent.Document{
			Name:    "drains/own.toml",
			Content: []byte("kind = \"backend-server\"\nname = \"" + held[0].Server.Name + "\"\n"),
		}))
		pair.beat(2)
		synctest.Wait()
		assert.DeepEqual(t, b.order, []string{"waiting: no backend server"})
		for _, grant := range held {
			grant.Release()
		}
		b.group.Wait()
	})
}
