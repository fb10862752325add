package dispatch

import (
	"context"
	"sync"
)

// gate counts the requests in flight and lets no more in once it is shut. The
// zero value is open. A sync.WaitGroup does not serve: its Add must not race
// with its Wait while the count is 0.
type gate struct {
	mu     sync.Mutex
	count  int64
	closed bool
	// idle is closed when the gate is shut and the last request has left.
	idle chan struct{}
}

// enter counts a request in, unless the gate is shut.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// leave counts a request out.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.idle)
	}
}

// inFlight returns how many requests are in.
func (g *gate) inFlight() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// shut lets no more requests in, and waits until ctx is done or none is left.
func (g *gate) shut(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		g.idle = make(chan struct{})
		if g.count == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
