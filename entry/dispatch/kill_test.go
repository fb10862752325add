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

// TestAtMostOneRunWhenEntryIsKilled kills the entry at each step of a request and sends the
// request again, to the other entries and to the one that takes its place.
func TestAtMostOneRunWhenEntryIsKilled(t *testing.T) {
	steps := []struct {
		name string
		// arm returns once the entry has come to the step.
		arm func(f *fleet, reached func())
	}{
		{
			name: "before the claim takes effect",
			arm: func(f *fleet, reached func()) {
				f.beforeCommit = reached
			},
		},
		{
			name: "after the claim, before its answer",
			arm: func(f *fleet, reached func()) {
				f.loseAnswer = func() bool {
					reached()
					return true
				}
			},
		},
		{
			name: "after dispatch",
			arm: func(f *fleet, reached func()) {
				f.everyServer(func(*http.Request) string {
					reached()
					return "slow"
				})
			},
		},
		{
			name: "before the caller's answer",
			arm: func(f *fleet, reached func()) {
				f.net.pause(direction(f.process("entry-0"), "caller"))
				f.everyServer(func(*http.Request) string {
					f.faults.Go(func() {
						f.wait(deadline / 2)
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
			for _, second := range []string{"", ", store down 1 ms later"} {
				withFleet(t, func(f *fleet) {
					name := "own-key"
					if kind == "ticket" {
						name = f.node("entry-0").register.IssueTicket()
					}
					var armed atomic.Bool
					step.arm(f, func() {
						if armed.Swap(true) {
							return
						}
						f.faults.Go(func() { f.replace("entry-0") })
						f.wait(time.Millisecond)
						f.setStoreDown(second != "")
					})
					told := []string{f.send(sending{
						entry: "entry-0",
						key:   name,
						first: true,
					}).outcome}
					f.faults.Wait()
					for i := range entries {
						got := f.send(sending{
							entry: fmt.Sprintf("entry-%d", entries-1-i),
							key:   name,
						})
						told = append(told, got.outcome+" "+got.reason)
					}
					f.wait(deadline)
					runs := f.totalRuns(name)
					assert.Assert(t, runs <= 1, "%s, %s%s: %d runs", step.name, kind, second, runs)
					fmt.Fprintf(&table, "%s, %s%s: %s; runs %d\n", step.name, kind, second, strings.Join(told, ", "), runs)
				})
			}
		}
	}
	golden.Assert(t, table.String(), "kill.golden")
}
