package link

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/intent"
)

const (
	// testRate is the link's, in bytes a second, shared by two entries.
	testRate = 8_000_000
	share    = testRate / 2
	reserve  = 0.25
)

func newShaper(t *testing.T) *Shaper {
	configuration, err := intent.Compile(1, []intent.Document{
		{
			Name: intent.DeploymentDocument,
			Content: []byte(`name = "test"
[objective]
latency = 1
[[region]]
name = "north"
[[region]]
name = "south"
[[failure-domain]]
name = "north-a"
region = "north"
[[entry]]
name = "one"
failure-domain = "north-a"
[[entry]]
name = "two"
failure-domain = "north-a"
[[link]]
between = ["north", "south"]
rate = "64 Mbit/s"
interactive-reserve = 0.25
`),
		},
	})
	assert.NilError(t, err)
	shaper := &Shaper{
		Region: "north",
	}
	shaper.Configure(configuration)
	return shaper
}

// sent counts the bytes that left in each tenth of a second.
type sent struct {
	mu    sync.Mutex
	start time.Time
	byInt map[int]int
	total int
}

func (s *sent) Write(content []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byInt[int(time.Since(s.start)/(100*time.Millisecond))] += len(content)
	s.total += len(content)
	return len(content), nil
}

// busiestSecond returns the most bytes within any ten tenths in a row.
func (s *sent) busiestSecond() int {
	busiest := 0
	for first := range s.byInt {
		sum := 0
		for at := first; at < first+10; at++ {
			sum += s.byInt[at]
		}
		busiest = max(busiest, sum)
	}
	return busiest
}

// onLink runs transfers of both classes on the paused clock until a time is over
// and returns what each class sent.
func onLink(t *testing.T, interactive, bulk int, length time.Duration) (all, offers, uploads *sent) {
	synctest.Test(t, func(t *testing.T) {
		shaper := newShaper(t)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		counter := func() *sent {
			return &sent{
				start: time.Now(),
				byInt: make(map[int]int),
			}
		}
		all, offers, uploads = counter(), counter(), counter()
		var group sync.WaitGroup
		run := func(class intent.Class, to *sent) {
			group.Go(func() {
				_, _ = io.Copy(io.MultiWriter(to, all), shaper.Pace(ctx, "south", class, endless{}))
			})
		}
		for range interactive {
			run(intent.Interactive, offers)
		}
		for range bulk {
			run(intent.Bulk, uploads)
		}
		group.Wait()
	})
	return all, offers, uploads
}

type endless struct{}

func (endless) Read(buffer []byte) (int, error) {
	return len(buffer), nil
}

func TestTrafficStaysWithinShare(t *testing.T) {
	for _, c := range []struct {
		name              string
		interactive, bulk int
	}{
		{
			name:        "interactive",
			interactive: 5,
		},
		{
			name: "bulk",
			bulk: 5,
		},
		{
			name:        "both",
			interactive: 5,
			bulk:        5,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, _, _ := onLink(t, c.interactive, c.bulk, 5*time.Second)
			assert.Assert(t, all.busiestSecond() <= share, "%d bytes in a second", all.busiestSecond())
			assert.Assert(t, float64(all.total) >= 0.6*5*share)
		})
	}
}

// TestBulkLeavesInteractiveReserve has bulk alone: it leaves the reserve.
func TestBulkLeavesInteractiveReserve(t *testing.T) {
	_, _, uploads := onLink(t, 0, 5, 5*time.Second)
	assert.Assert(t, float64(uploads.busiestSecond()) <= (1-reserve)*share)
}

// TestInteractiveGoesBeforeBulk has more interactive traffic than the link carries: bulk is left
// with its floor, and no less.
func TestInteractiveGoesBeforeBulk(t *testing.T) {
	_, offers, uploads := onLink(t, 20, 5, 5*time.Second)
	assert.Assert(t, float64(offers.total) >= 0.85*5*share, "interactive sent %d", offers.total)
	assert.Assert(t, float64(uploads.total) >= 0.03*5*share, "bulk sent %d", uploads.total)
	assert.Assert(t, float64(uploads.total) <= 0.1*5*share, "bulk sent %d", uploads.total)
}

// TestInteractiveDelayIsAtMostOneBurst sends a small answer while uploads fill the link: it waits
// for no more than a burst.
func TestInteractiveDelayIsAtMostOneBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper := newShaper(t)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				_, _ = io.Copy(io.Discard, shaper.Pace(ctx, "south", intent.Bulk, endless{}))
			})
		}
		time.Sleep(3 * time.Second)
		before := time.Now()
		_, err := io.Copy(io.Discard, shaper.Pace(ctx, "south", intent.Interactive, bytes.NewReader(make([]byte, chunk))))
		assert.NilError(t, err)
		waited := time.Since(before)
		cancel()
		group.Wait()
		allowed := time.Duration(float64(burst) / share * float64(time.Second))
		assert.Assert(t, waited <= allowed, "waited %s, allowed %s", waited, allowed)
	})
}

// TestAdmitLimitsBulkTransfers promises bulk transfers a rate until none is left, and takes one more
// when one has ended.
func TestAdmitLimitsBulkTransfers(t *testing.T) {
	shaper := newShaper(t)
	const third = share * 0.3
	first, admitted := shaper.Admit("south", intent.Bulk, third*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Bulk, third*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Bulk, third*10, 10*time.Second)
	assert.Assert(t, !admitted)
	first()
	_, admitted = shaper.Admit("south", intent.Bulk, third*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Interactive, third*100, time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("north", intent.Bulk, third*100, time.Second)
	assert.Assert(t, admitted, "no link lies between")
}
