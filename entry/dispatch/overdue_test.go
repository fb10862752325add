package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverdueByEitherClock counts the time by both clocks: a suspended VM's monotonic clock
// stands still.
func TestOverdueByEitherClock(t *testing.T) {
	now := time.Now()
	for _, each := range []struct {
		name        string
		arrived     time.Time
		arrivedWall time.Time
		overdue     bool
	}{
		{
			name:        "just arrived",
			arrived:     now,
			arrivedWall: now.Round(0),
		},
		{
			name:        "paused process, its wall clock set back",
			arrived:     now.Add(-time.Hour),
			arrivedWall: now.Round(0),
			overdue:     true,
		},
		{
			name:        "suspended VM",
			arrived:     now,
			arrivedWall: now.Round(0).Add(-time.Hour),
			overdue:     true,
		},
	} {
		req := &Request{
			arrived:     each.arrived,
			arrivedWall: each.arrivedWall,
			timeout:     time.Minute,
		}
		assert.Equal(t, req.overdue(), each.overdue, each.name)
	}
}
