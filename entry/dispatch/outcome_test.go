package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestOutcomeUnderEachFault compares the caller's reply under each fault, and how
// many times the request ran, with the golden file.
func TestOutcomeUnderEachFault(t *testing.T) {
	longBody := strings.Repeat("manuscript ", 2000)
	cases := []struct {
		name  string
		fault func(*cluster)
		query string
		// key is the key to send, or "" for a caller's own key, "none" for no key,
		// "ticket" for a ticket of the receiving entry, or "foreign ticket" for one of
		// another entry.
		key       string
		firstSend bool
		body      string
	}{
		{
			name: "no fault",
		},
		{
			name: "no fault, long body",
			body: longBody,
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
			body:  longBody,
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
			fault: func(c *cluster) { c.storeDown = true },
		},
		{
			name:      "store down, sent first",
			fault:     func(c *cluster) { c.storeDown = true },
			firstSend: true,
		},
		{
			name:  "store down, ticket",
			fault: func(c *cluster) { c.storeDown = true },
			key:   "ticket",
		},
		{
			name:  "store's answer lost",
			fault: func(c *cluster) { c.loseCommitAnswer = func() bool { return true } },
		},
		{
			name:  "ticket of another entry",
			key:   "foreign ticket",
			body:  longBody,
			fault: func(*cluster) {},
		},
		{
			name:  "ticket of a replaced entry",
			key:   "foreign ticket",
			fault: func(c *cluster) { c.replace("entry-1") },
		},
		{
			name:      "ticket of a replaced entry, sent first",
			key:       "foreign ticket",
			firstSend: true,
			fault:     func(c *cluster) { c.replace("entry-1") },
		},
		{
			name:  "ticket of an entry that is cut off",
			key:   "foreign ticket",
			fault: func(c *cluster) { c.network.partition(c.processOf("entry-0"), c.processOf("entry-1")) },
		},
		{
			name: "forged ticket",
			key:  "ticket:entry-0:1:1:0:AAAAAAAAAAAAAAAAAAAAAA",
		},
		{
			name: "own servers cannot be reached",
			fault: func(c *cluster) {
				c.network.partition(c.processOf("entry-0"), "server-0-0")
				c.network.partition(c.processOf("entry-0"), "server-0-1")
			},
			body: longBody,
		},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-38s %-8s %-22s %-6s %-5s %s\n", "case", "outcome", "reason", "status", "whole", "runs")
	for _, test := range cases {
		withCluster(t, func(c *cluster) {
			requestKey := test.key
			switch requestKey {
			case "":
				requestKey = "own-key"
			case "none":
				requestKey = ""
			case "ticket":
				requestKey = c.entry("entry-0").register.IssueTicket()
			case "foreign ticket":
				requestKey = c.entry("entry-1").register.IssueTicket()
			}
			if test.fault != nil {
				test.fault(c)
			}
			got := c.send(callerRequest{
				entry:     "entry-0",
				key:       requestKey,
				query:     test.query,
				body:      strings.NewReader(test.body),
				firstSend: test.firstSend,
			})
			fmt.Fprintf(&table, "%-38s %-8s %-22s %-6d %-5t %d\n", test.name, got.outcome, got.reason, got.status, got.complete, c.runsOfAllKeys())
		})
	}
	golden.Assert(t, table.String(), "outcomes.golden")
}

// TestTransportDoesNotResend checks that net/http doesn't retry a request by itself.
// If a reused connection broke before the response, it would send the request again
// and the request could run twice.
func TestTransportDoesNotResend(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for _, s := range c.servers {
			s.fault = func(r *http.Request) string {
				if r.URL.Query().Get("echo") == "second" {
					return "reset"
				}
				return ""
			}
		}
		for i := range serversPerEntry {
			first := c.send(callerRequest{
				entry: "entry-0",
				key:   fmt.Sprintf("first-%d", i),
			})
			assert.Equal(t, first.outcome, "done")
		}
		got := c.send(callerRequest{
			entry: "entry-0",
			key:   "second",
			query: "echo=second",
		})
		assert.Equal(t, got.outcome, "unknown")
		assert.Equal(t, c.runsOfKey("second"), 1)
	})
}

// TestRepeatsGetFirstAnswer sends a request with one key to all entries, first
// concurrently and then in turn. The request must run once and all callers must get
// its response. A different request under the key must be refused.
func TestRepeatsGetFirstAnswer(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for _, requestKey := range []string{"own-key", c.entry("entry-2").register.IssueTicket()} {
			var replies []reply
			done := make(chan reply)
			for i := range 2 * entryCount {
				c.goroutines.Go(func() {
					done <- c.send(callerRequest{
						entry: fmt.Sprintf("entry-%d", i%entryCount),
						key:   requestKey,
						query: "fault=slow",
					})
				})
			}
			for range 2 * entryCount {
				replies = append(replies, <-done)
			}
			for i := range entryCount {
				replies = append(replies, c.send(callerRequest{
					entry: fmt.Sprintf("entry-%d", i),
					key:   requestKey,
					query: "fault=slow",
				}))
			}
			for _, got := range replies {
				assert.Equal(t, got.outcome, "done")
				assert.Equal(t, got.body, replies[0].body)
			}
			assert.Equal(t, c.runsOfKey(requestKey), 1)
			other := c.send(callerRequest{
				entry: "entry-1",
				key:   requestKey,
				body:  strings.NewReader("another offer"),
			})
			assert.Equal(t, other.status, http.StatusUnprocessableEntity)
			assert.Equal(t, other.reason, "key-reused")
		}
	})
}

// TestServersDoNotStateOutcomes guards against a caller that is told that its request has not run,
// because a server's response to that request contains the headers by which entries say so.
func TestServersDoNotStateOutcomes(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for _, requestKey := range []string{"own-key", c.entry("entry-2").register.IssueTicket()} {
			for i := range 2 * entryCount {
				got := c.send(callerRequest{
					entry: fmt.Sprintf("entry-%d", i%entryCount),
					key:   requestKey,
					query: "fault=states-outcome",
				})
				assert.Equal(t, got.outcome, "done", "request %d with %s", i, requestKey)
				assert.Equal(t, got.reason, "")
			}
			assert.Equal(t, c.runsOfKey(requestKey), 1)
		}
	})
}

// TestRepeatAfterNotRun checks that a request whose outcome is not-run can be sent
// to another entry with the same key, even after the entry that had claimed the key
// was replaced.
func TestRepeatAfterNotRun(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for _, s := range c.servers {
			s.fault = func(*http.Request) string { return "shed" }
		}
		got := c.send(callerRequest{
			entry: "entry-0",
			key:   "own-key",
		})
		assert.Equal(t, got.outcome, "not-run")
		c.wait(deadline)
		c.replace("entry-0")
		for _, s := range c.servers {
			s.fault = func(*http.Request) string { return "" }
		}
		got = c.send(callerRequest{
			entry: "entry-1",
			key:   "own-key",
		})
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, c.runsOfKey("own-key"), 1)
	})
}

// TestRequestOutlivesItsCaller disconnects a caller while its request runs. The
// request must complete, and a repeat must get its response.
func TestRequestOutlivesItsCaller(t *testing.T) {
	withCluster(t, func(c *cluster) {
		gone := c.send(callerRequest{
			entry:         "entry-0",
			key:           "own-key",
			query:         "fault=slow",
			callerTimeout: deadline / 20,
		})
		assert.Equal(t, gone.outcome, "unknown")
		got := c.send(callerRequest{
			entry: "entry-1",
			key:   "own-key",
			query: "fault=slow",
		})
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, c.runsOfKey("own-key"), 1)
	})
}

// TestTargetsOfCallersAreKept guards against paths that reach backend servers escaped anew, as other
// paths, directly or through another entry.
func TestTargetsOfCallersAreKept(t *testing.T) {
	withCluster(t, func(c *cluster) {
		for number, target := range []string{"/offer/a|b%2Fc", "/offer/{1}%2f?x=|", "/offer%2F"} {
			for index := range entryCount {
				got := c.send(callerRequest{
					entry:  fmt.Sprintf("entry-%d", index),
					key:    fmt.Sprintf("key-%d-%d", number, index),
					target: target,
				})
				assert.Equal(t, got.outcome, "done")
			}
			arrived := 0
			for _, s := range c.servers {
				for _, each := range s.targets {
					if each == target {
						arrived++
					}
				}
			}
			assert.Equal(t, arrived, entryCount, target)
		}
	})
}
