package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// TestIdempotencyKeyLatency writes out how much longer a keyed request takes than one
// without a key, alone on an idle entry, with the store near, far and down.
func TestIdempotencyKeyLatency(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-10s %-6s %-10s %-8s %s\n", "store", "state", "key", "outcome", "added")
	for _, oneWay := range []time.Duration{time.Millisecond, 55 * time.Millisecond} {
		for _, down := range []bool{false, true} {
			for _, kind := range []string{"own", "ticket"} {
				withFleet(t, func(f *fleet) {
					f.storeDelay = 2 * oneWay
					f.setStoreDown(down)
					took := func(to sending) (time.Duration, string) {
						began := time.Now()
						got := f.send(to)
						return time.Since(began), got.outcome
					}
					plainly := sending{
						entry:  "entry-0",
						method: http.MethodGet,
					}
					// The first request waits until the ledger gives out slots.
					took(plainly)
					plain, _ := took(plainly)
					name := "own-key"
					if kind == "ticket" {
						name = f.node("entry-0").register.IssueTicket()
					}
					keyed, outcome := took(sending{
						entry: "entry-0",
						key:   name,
						first: true,
					})
					state := "up"
					if down {
						state = "down"
					}
					fmt.Fprintf(&table, "%-10s %-6s %-10s %-8s %s\n", oneWay, state, kind, outcome, keyed-plain)
				})
			}
		}
	}
	golden.Assert(t, table.String(), "latency.golden")
}
