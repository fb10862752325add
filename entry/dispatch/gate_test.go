package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestGateShutdown shuts a gate while requests come and go, and again with one inside.
func TestGateShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		var group sync.WaitGroup
		for range 64 {
			group.Go(func() {
				if g.enter() {
					g.leave()
				}
			})
		}
		assert.NilError(t, g.shut(t.Context()))
		group.Wait()
		assert.Assert(t, !g.enter())

		var busy gate
		assert.Assert(t, busy.enter())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, busy.shut(ctx), context.Canceled)
		assert.Equal(t, busy.inFlight(), int64(1))
		busy.leave()
		assert.NilError(t, busy.shut(t.Context()))
	})
}
