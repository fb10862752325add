package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsThatOutlastShutdownAreRefused guards against requests that are taken during a planned
// stop and cut off at its end: one whose deadline is later must be refused as not run, also where
// a peer relays it.
func TestRequestsThatOutlastShutdownAreRefused(t *testing.T) {
	for _, test := range []struct {
		name     string
		untilEnd time.Duration
		want     string
	}{
		{
			name: "no shutdown",
			want: "done",
		},
		{
			name:     "deadline before the end",
			untilEnd: deadline + time.Millisecond,
			want:     "done",
		},
		{
			name:     "deadline behind the end",
			untilEnd: deadline - time.Millisecond,
			want:     "not-run",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				var end time.Time
				if test.untilEnd > 0 {
					end = time.Now().Add(test.untilEnd)
				}
				for _, name := range []string{"entry-0", "entry-1"} {
					c.entry(name).dispatcher.ShutdownEnd = func() time.Time { return end }
				}
				got := c.send(callerRequest{
					entry:     "entry-0",
					key:       "own-key",
					firstSend: true,
				})
				assert.Equal(t, got.outcome, test.want)
				if test.want == "not-run" {
					assert.Equal(t, got.reason, "stopping")
					assert.Equal(t, c.runsOfAllKeys(), 0)
				}
			})
		})
	}
}
