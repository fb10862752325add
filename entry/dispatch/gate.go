package dispatch

import (
	"context"
	"sync"
)

// shutdownGate counts the requests in flight and admits no more once shutdown was
// called. The zero value is open. It doesn't use a sync.WaitGroup, whose Add must not be
// called concurrently with Wait while the counter is 0.
type shutdownGate struct {
	mu       sync.Mutex
	requests int64
	closed   bool
	// idle is closed when the gate is closed and no request is in flight. It is
	// nil while the gate is open.
	idle chan struct{}
}

// enter counts a request as in flight and reports true, or reports false if the
// gate is closed. leave must follow if it reports true.
func (g *shutdownGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.requests++
	return true
}

// leave ends a request that enter has counted.
func (g *shutdownGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests--
	if g.closed && g.requests == 0 {
		close(g.idle)
	}
}

// inFlight returns the number of requests in flight.
func (g *shutdownGate) inFlight() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests
}

// shutdown closes the gate and waits until no request is in flight. It returns
// the error of ctx if ctx ends first. It may be called more than once.
func (g *shutdownGate) shutdown(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		g.idle = make(chan struct{})
		if g.requests == 0 {
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
