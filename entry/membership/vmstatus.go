package membership

import (
	"context"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

const (
	// vmStatusTTL is the time after which a cached list of VMs expires.
	vmStatusTTL = 30 * time.Second
	// vmListTimeout is the timeout of one call for the list.
	vmListTimeout = 5 * time.Second
)

// VMStatusCache caches the platform's list of VMs. It asks for the list only when
// Status is called, which a Roster does only while a peer is silent.
type VMStatusCache struct {
	// VMs asks the platform for its list of VMs.
	VMs platform.VMList

	mu sync.Mutex
	// refreshedAt is when the last call for the list ended.
	refreshedAt time.Time
	// refreshing is true while a call for the list is in flight.
	refreshing bool
	// states holds the VMs' states by name.
	states map[string]platform.VMState
	// group holds the refresh in flight.
	group sync.WaitGroup
}

// Status reports whether the VM with a name is gone, and whether the cached list contains
// it at all. It doesn't wait for the platform: if the list has expired, a refresh in the
// background serves later calls.
func (c *VMStatusCache) Status(name string) (gone, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refreshing && time.Since(c.refreshedAt) > vmStatusTTL {
		c.refreshing = true
		c.group.Go(c.refresh)
	}
	state, known := c.states[name]
	return state == platform.VMGone, known
}

// Wait waits until no refresh is in flight.
func (c *VMStatusCache) Wait() {
	c.group.Wait()
}

// refresh asks the platform for the list. If the call fails, the old list is kept.
func (c *VMStatusCache) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
	defer cancel()
	vms, err := c.VMs.List(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	c.refreshedAt = time.Now()
	if err != nil {
		return
	}
	c.states = make(map[string]platform.VMState, len(vms))
	for _, vm := range vms {
		c.states[vm.Name] = vm.State
	}
}
