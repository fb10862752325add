package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// TestIdempotencyKeyLatency measures the latency that a key adds to a request, and
// compares it with the golden file: for a caller's own key and for a ticket, with a
// store that is near or far, up or down, and without any other load. Each access to the
// store takes twice the one-way delay to it.
func TestIdempotencyKeyLatency(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-10s %-6s %-10s %-8s %s\n", "store", "state", "key", "outcome", "added")
	for _, oneWay := range []time.Duration{time.Millisecond, 55 * time.Millisecond} {
		for _, down := range []bool{false, true} {
			for _, kind := range []string{"own", "ticket"} {
				withCluster(t, func(c *cluster) {
					c.storeDelay = 2 * oneWay
					c.setStoreDown(down)
					measure := func(request callerRequest) (time.Duration, string) {
						began := time.Now()
						got := c.send(request)
						return time.Since(began), got.outcome
					}
					keyless := callerRequest{
						entry:  "entry-0",
						method: http.MethodGet,
					}
					// The first request waits until the ledger grants slots.
					measure(keyless)
					keylessLatency, _ := measure(keyless)
					requestKey := "own-key"
					if kind == "ticket" {
						requestKey = c.entry("entry-0").register.IssueTicket()
					}
					keyedLatency, outcome := measure(callerRequest{
						entry:     "entry-0",
						key:       requestKey,
						firstSend: true,
					})
					state := "up"
					if down {
						state = "down"
					}
					fmt.Fprintf(&table, "%-10s %-6s %-10s %-8s %s\n", oneWay, state, kind, outcome, keyedLatency-keylessLatency)
				})
			}
		}
	}
	golden.Assert(t, table.String(), "latency.golden")
}
