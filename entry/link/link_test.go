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
	// linkRate is the rate of the link in the configuration of newShaper, which two
	// entries share, and entryShare the share of one entry, both in bytes per second.
	linkRate   = 8_000_000
	entryShare = linkRate / 2
	// interactiveReserve is the fraction of the link's rate that is reserved for
	// interactive traffic.
	interactiveReserve = 0.25
)

// newShaper returns the shaper of an entry of region north, which has a link to
// region south.
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

// sentCounter is an io.Writer that counts the bytes written to it.
type sentCounter struct {
	mu    sync.Mutex
	start time.Time
	// byTenth counts the bytes written in each tenth of a second since start.
	byTenth map[int]int
	total   int
}

func (s *sentCounter) Write(content []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTenth[int(time.Since(s.start)/(100*time.Millisecond))] += len(content)
	s.total += len(content)
	return len(content), nil
}

// busiestSecond returns the maximum number of bytes written in ten consecutive tenths
// of a second.
func (s *sentCounter) busiestSecond() int {
	busiest := 0
	for first := range s.byTenth {
		sum := 0
		for tenth := first; tenth < first+10; tenth++ {
			sum += s.byTenth[tenth]
		}
		busiest = max(busiest, sum)
	}
	return busiest
}

// runTransfers runs the given numbers of endless interactive and bulk transfers
// for a duration on the fake clock, beginning with full token buckets. It returns the
// counts of all bytes sent and of those of each class.
func runTransfers(t *testing.T, interactive, bulk int, duration time.Duration) (allSent, interactiveSent, bulkSent *sentCounter) {
	synctest.Test(t, func(t *testing.T) {
		shaper := newShaper(t)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		newCounter := func() *sentCounter {
			return &sentCounter{
				start:   time.Now(),
				byTenth: make(map[int]int),
			}
		}
		allSent, interactiveSent, bulkSent = newCounter(), newCounter(), newCounter()
		var group sync.WaitGroup
		run := func(class intent.Class, counter *sentCounter) {
			group.Go(func() {
				_, _ = io.Copy(io.MultiWriter(counter, allSent), shaper.Pace(ctx, "south", class, endlessReader{}))
			})
		}
		for range interactive {
			run(intent.Interactive, interactiveSent)
		}
		for range bulk {
			run(intent.Bulk, bulkSent)
		}
		group.Wait()
	})
	return allSent, interactiveSent, bulkSent
}

// endlessReader is a source of unlimited length: Read fills every buffer.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) {
	return len(buffer), nil
}

// TestTrafficStaysWithinShare checks that no second of traffic exceeds the
// entry's share, and that most of the share is used.
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
			allSent, _, _ := runTransfers(t, c.interactive, c.bulk, 5*time.Second)
			assert.Assert(t, allSent.busiestSecond() <= entryShare, "%d bytes in a second", allSent.busiestSecond())
			assert.Assert(t, float64(allSent.total) >= 0.6*5*entryShare)
		})
	}
}

// TestBulkLeavesInteractiveReserve checks that bulk does not use the
// interactive reserve even while there is no interactive traffic.
func TestBulkLeavesInteractiveReserve(t *testing.T) {
	_, _, bulkSent := runTransfers(t, 0, 5, 5*time.Second)
	assert.Assert(t, float64(bulkSent.busiestSecond()) <= (1-interactiveReserve)*entryShare)
}

// TestInteractiveGoesBeforeBulk sends more interactive traffic than the link
// carries. Bulk must get the rate that is kept for it alone, see bulkFloorFraction,
// and little more.
func TestInteractiveGoesBeforeBulk(t *testing.T) {
	_, interactiveSent, bulkSent := runTransfers(t, 20, 5, 5*time.Second)
	assert.Assert(t, float64(interactiveSent.total) >= 0.85*5*entryShare, "interactive sent %d", interactiveSent.total)
	assert.Assert(t, float64(bulkSent.total) >= 0.03*5*entryShare, "bulk sent %d", bulkSent.total)
	assert.Assert(t, float64(bulkSent.total) <= 0.1*5*entryShare, "bulk sent %d", bulkSent.total)
}

// TestInteractiveDelayIsAtMostOneBurst sends a small response while bulk
// transfers fill the link. It must not wait longer than a burst takes to send.
func TestInteractiveDelayIsAtMostOneBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper := newShaper(t)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				_, _ = io.Copy(io.Discard, shaper.Pace(ctx, "south", intent.Bulk, endlessReader{}))
			})
		}
		time.Sleep(3 * time.Second)
		sent := time.Now()
		_, err := io.Copy(io.Discard, shaper.Pace(ctx, "south", intent.Interactive, bytes.NewReader(make([]byte, chunkBytes))))
		assert.NilError(t, err)
		waited := time.Since(sent)
		cancel()
		group.Wait()
		allowed := time.Duration(float64(burstBytes) / entryShare * float64(time.Second))
		assert.Assert(t, waited <= allowed, "waited %s, allowed %s", waited, allowed)
	})
}

// TestAdmitLimitsBulkTransfers checks that bulk transfers are admitted only while
// the sum of their rates stays within the part of the entry's share that is not
// reserved for interactive traffic, and that a transfer that ends makes room for
// another. Interactive traffic and traffic within the region are always admitted.
func TestAdmitLimitsBulkTransfers(t *testing.T) {
	shaper := newShaper(t)
	const transferRate = entryShare * 0.3
	endFirst, admitted := shaper.Admit("south", intent.Bulk, transferRate*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Bulk, transferRate*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Bulk, transferRate*10, 10*time.Second)
	assert.Assert(t, !admitted)
	endFirst()
	_, admitted = shaper.Admit("south", intent.Bulk, transferRate*10, 10*time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("south", intent.Interactive, transferRate*100, time.Second)
	assert.Assert(t, admitted)
	_, admitted = shaper.Admit("north", intent.Bulk, transferRate*100, time.Second)
	assert.Assert(t, admitted, "there is no link within a region")
}
