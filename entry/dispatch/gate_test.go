package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestGateShutdown checks that no request enters a gate after its shutdown, which
// runs concurrently with requests that enter and leave, and that shutdown waits
// for a request in flight.
func TestGateShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g shutdownGate
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				if g.enter() {
					g.leave()
				}
			})
		}
		assert.NilError(t, g.shutdown(t.Context()))
		group.Wait()
		assert.Assert(t, !g.enter())

		var busy shutdownGate
		assert.Assert(t, busy.enter())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, busy.shutdown(ctx), context.Canceled)
		assert.Equal(t, busy.inFlight(), int64(1))
		busy.leave()
		assert.NilError(t, busy.shutdown(t.Context()))
	})
}
