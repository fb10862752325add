package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverdueByEitherClock checks that a request is overdue if its deadline has
// passed by the monotonic clock or by the wall clock: the former stops while a VM
// is suspended, and the latter can be set back.
func TestOverdueByEitherClock(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
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
			arrived:     test.arrived,
			arrivedWall: test.arrivedWall,
			timeout:     time.Minute,
		}
		assert.Equal(t, req.overdue(), test.overdue, test.name)
	}
}
