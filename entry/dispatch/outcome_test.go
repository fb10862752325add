package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestOutcomeUnderEachFault writes out what a caller is told under each fault, and how
// often the request ran.
func TestOutcomeUnderEachFault(t *testing.T) {
	long := strings.Repeat("manuscript ", 2000)
	cases := []struct {
		name  string
		fault func(*fleet)
		query string
		key   string
		first bool
		body  string
	}{
		{
			name: "no fault",
		},
		{
			name: "no fault, long body",
			body: long,
		},
		{
			name: "no key",
			key:  "none",
		},
		{
			name:  "shed",
			query: "fault=shed",
		},
		{
			name:  "crash",
			query: "fault=crash",
		},
		{
			name:  "reset, long body",
			query: "fault=reset",
			body:  long,
		},
		{
			name:  "late answer",
			query: "fault=late",
		},
		{
			name:  "crossed answer",
			query: "fault=crossed",
		},
		{
			name:  "short answer",
			query: "fault=short",
		},
		{
			name:  "unframed answer",
			query: "fault=unframed",
		},
		{
			name:  "store down",
			fault: func(f *fleet) { f.storeDown = true },
		},
		{
			name:  "store down, sent first",
			fault: func(f *fleet) { f.storeDown = true },
			first: true,
		},
		{
			name:  "store down, ticket",
			fault: func(f *fleet) { f.storeDown = true },
			key:   "ticket",
		},
		{
			name:  "store's answer lost",
			fault: func(f *fleet) { f.loseAnswer = func() bool { return true } },
		},
		{
			name:  "ticket of another entry",
			key:   "foreign ticket",
			body:  long,
			fault: func(*fleet) {},
		},
		{
			name:  "ticket of a replaced entry",
			key:   "foreign ticket",
			fault: func(f *fleet) { f.replace("entry-1") },
		},
		{
			name:  "ticket of a replaced entry, sent first",
			key:   "foreign ticket",
			first: true,
			fault: func(f *fleet) { f.replace("entry-1") },
		},
		{
			name:  "ticket of an entry that is cut off",
			key:   "foreign ticket",
			fault: func(f *fleet) { f.net.cut(f.process("entry-0"), f.process("entry-1")) },
		},
		{
			name: "forged ticket",
			key:  "ticket:entry-0:1:1:0:AAAAAAAAAAAAAAAAAAAAAA",
		},
		{
			name: "own servers cannot be reached",
			fault: func(f *fleet) {
				f.net.cut(f.process("entry-0"), "server-0-0")
				f.net.cut(f.process("entry-0"), "server-0-1")
			},
			body: long,
		},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-38s %-8s %-22s %-6s %-5s %s\n", "case", "outcome", "reason", "status", "whole", "runs")
	for _, each := range cases {
		withFleet(t, func(f *fleet) {
			name := each.key
			switch name {
			case "":
				name = "own-key"
			case "none":
				name = ""
			case "ticket":
				name = f.node("entry-0").register.IssueTicket()
			case "foreign ticket":
				name = f.node("entry-1").register.IssueTicket()
			}
			if each.fault != nil {
				each.fault(f)
			}
			got := f.send(sending{
				entry: "entry-0",
				key:   name,
				query: each.query,
				body:  strings.NewReader(each.body),
				first: each.first,
			})
			fmt.Fprintf(&table, "%-38s %-8s %-22s %-6d %-5t %d\n", each.name, got.outcome, got.reason, got.status, got.whole, f.allRuns())
		})
	}
	golden.Assert(t, table.String(), "outcomes.golden")
}

// TestTransportDoesNotResend proves the guard against net/http's own retry: it
// sends a request again when its kept connection breaks before the answer.
func TestTransportDoesNotResend(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for _, s := range f.servers {
			s.fault = func(r *http.Request) string {
				if r.URL.Query().Get("echo") == "second" {
					return "reset"
				}
				return ""
			}
		}
		for i := range serversEach {
			first := f.send(sending{
				entry: "entry-0",
				key:   fmt.Sprintf("first-%d", i),
			})
			assert.Equal(t, first.outcome, "done")
		}
		got := f.send(sending{
			entry: "entry-0",
			key:   "second",
			query: "echo=second",
		})
		assert.Equal(t, got.outcome, "unknown")
		assert.Equal(t, f.totalRuns("second"), 1)
	})
}

// TestRepeatsGetFirstAnswer sends a key again to all entries, at the same time and later.
func TestRepeatsGetFirstAnswer(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for _, name := range []string{"own-key", f.node("entry-2").register.IssueTicket()} {
			var group []reply
			done := make(chan reply)
			for i := range 2 * entries {
				f.group.Go(func() {
					done <- f.send(sending{
						entry: fmt.Sprintf("entry-%d", i%entries),
						key:   name,
						query: "fault=slow",
					})
				})
			}
			for range 2 * entries {
				group = append(group, <-done)
			}
			for i := range entries {
				group = append(group, f.send(sending{
					entry: fmt.Sprintf("entry-%d", i),
					key:   name,
					query: "fault=slow",
				}))
			}
			for _, got := range group {
				assert.Equal(t, got.outcome, "done")
				assert.Equal(t, got.body, group[0].body)
			}
			assert.Equal(t, f.totalRuns(name), 1)
			other := f.send(sending{
				entry: "entry-1",
				key:   name,
				body:  strings.NewReader("another offer"),
			})
			assert.Equal(t, other.status, http.StatusUnprocessableEntity)
			assert.Equal(t, other.reason, "key-reused")
		}
	})
}

// TestRepeatAfterNotRun runs a key at another entry after it did not run, and
// after the entry that claimed it was replaced.
func TestRepeatAfterNotRun(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for _, s := range f.servers {
			s.fault = func(*http.Request) string { return "shed" }
		}
		got := f.send(sending{
			entry: "entry-0",
			key:   "own-key",
		})
		assert.Equal(t, got.outcome, "not-run")
		f.wait(deadline)
		f.replace("entry-0")
		for _, s := range f.servers {
			s.fault = func(*http.Request) string { return "" }
		}
		got = f.send(sending{
			entry: "entry-1",
			key:   "own-key",
		})
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, f.totalRuns("own-key"), 1)
	})
}

// TestRequestOutlivesItsCaller lets a caller go while its offer runs; its repeat is told.
func TestRequestOutlivesItsCaller(t *testing.T) {
	withFleet(t, func(f *fleet) {
		gone := f.send(sending{
			entry:  "entry-0",
			key:    "own-key",
			query:  "fault=slow",
			within: deadline / 20,
		})
		assert.Equal(t, gone.outcome, "unknown")
		got := f.send(sending{
			entry: "entry-1",
			key:   "own-key",
			query: "fault=slow",
		})
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, f.totalRuns("own-key"), 1)
	})
}
