package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestAtMostOneRunWhenEntryIsKilled kills an entry at each step of a request and
// repeats the request at the other entries and at the new incarnation of the killed
// one. The request must not run twice, and the outcomes must match the golden
// file.
func TestAtMostOneRunWhenEntryIsKilled(t *testing.T) {
	steps := []struct {
		name string
		// arm makes the cluster call reached when the request gets to the step.
		arm func(c *cluster, reached func())
	}{
		{
			name: "before the claim takes effect",
			arm: func(c *cluster, reached func()) {
				c.beforeCommit = reached
			},
		},
		{
			name: "after the claim, before its answer",
			arm: func(c *cluster, reached func()) {
				c.loseCommitAnswer = func() bool {
					reached()
					return true
				}
			},
		},
		{
			name: "after dispatch",
			arm: func(c *cluster, reached func()) {
				c.setAllServerFaults(func(*http.Request) string {
					reached()
					return "slow"
				})
			},
		},
		{
			name: "before the caller's answer",
			arm: func(c *cluster, reached func()) {
				c.network.pause(directionName(c.processOf("entry-0"), "caller"))
				c.setAllServerFaults(func(*http.Request) string {
					c.faultTasks.Go(func() {
						c.wait(deadline / 2)
						reached()
					})
					return ""
				})
			},
		},
	}
	var table strings.Builder
	for _, step := range steps {
		for _, kind := range []string{"own key", "ticket"} {
			for _, storeFault := range []string{"", ", store down 1 ms later"} {
				withCluster(t, func(c *cluster) {
					requestKey := "own-key"
					if kind == "ticket" {
						requestKey = c.entry("entry-0").register.IssueTicket()
					}
					var fired atomic.Bool
					step.arm(c, func() {
						if fired.Swap(true) {
							return
						}
						c.faultTasks.Go(func() { c.replace("entry-0") })
						c.wait(time.Millisecond)
						c.setStoreDown(storeFault != "")
					})
					outcomes := []string{c.send(callerRequest{
						entry:     "entry-0",
						key:       requestKey,
						firstSend: true,
					}).outcome}
					c.faultTasks.Wait()
					for i := range entryCount {
						got := c.send(callerRequest{
							entry: fmt.Sprintf("entry-%d", entryCount-1-i),
							key:   requestKey,
						})
						outcomes = append(outcomes, got.outcome+" "+got.reason)
					}
					c.wait(deadline)
					runs := c.runsOfKey(requestKey)
					assert.Assert(t, runs <= 1, "%s, %s%s: %d runs", step.name, kind, storeFault, runs)
					fmt.Fprintf(&table, "%s, %s%s: %s; runs %d\n", step.name, kind, storeFault, strings.Join(outcomes, ", "), runs)
				})
			}
		}
	}
	golden.Assert(t, table.String(), "kill.golden")
}
