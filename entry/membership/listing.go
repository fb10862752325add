package membership

import (
	"context"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

const (
	// listingLifetime is how long an answer of the platform's list is used.
	listingLifetime = 30 * time.Second
	// listingTimeout bounds one question.
	listingTimeout = 5 * time.Second
)

// VMStatusCache is what the platform's list of VMs says of entries. The list is
// asked only while some entry is silent.
type VMStatusCache struct {
	Machines platform.VMList

	mu     sync.Mutex
	asked  time.Time
	busy   bool
	states map[string]platform.VMState
	group  sync.WaitGroup
}

// Status reports whether the list says that an entry is gone, and whether it
// knows the entry at all. It answers from memory, and asks for the next time.
func (l *VMStatusCache) Status(name string) (gone, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.busy && time.Since(l.asked) > listingLifetime {
		l.busy = true
		l.group.Go(l.refresh)
	}
	state, known := l.states[name]
	return state == platform.VMGone, known
}

// Wait waits for a question that is on its way.
func (l *VMStatusCache) Wait() {
	l.group.Wait()
}

func (l *VMStatusCache) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), listingTimeout)
	defer cancel()
	machines, err := l.Machines.List(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	l.asked = time.Now()
	if err != nil {
		return
	}
	l.states = make(map[string]platform.VMState, len(machines))
	for _, machine := range machines {
		l.states[machine.Name] = machine.State
	}
}
