package gate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/server"
)

// TestStatementsOfServersAreObeyed lets servers state a limit on the rate of requests, that they
// are leaving, and a wait, under load. The entries together must keep the limit, and stop sending
// to the others, while all requests are served.
func TestStatementsOfServersAreObeyed(t *testing.T) {
	const (
		limit = 2
		span  = 4 * time.Second
		// stableWindow is the value of bounds.stable_window in the settings of every entry.
		stableWindow = 3 * time.Second
		wait         = 6 * time.Second
	)
	d := startDeployment(t, 9)
	d.underLoad(callerCount, func() {
		d.awaitServing()
		d.servers[0].SetStatement(server.Statement{
			Limit: "2",
		})
		d.servers[1].SetStatement(server.Statement{
			Leaving: "1",
		})
		d.servers[2].SetStatement(server.Statement{
			Wait: "6",
		})
		stated := time.Now()
		d.eventually("the servers have been watched", func() bool { return time.Since(stated) > 12*time.Second })
		assert.Assert(t, countBetween(d.servers[1].Arrivals(), stated.Add(drainTime), time.Now()) == 0, "the leaving server got requests")
		// An entry may send two requests within the wait; the waits of the entries begin with
		// their first refusals.
		first := d.servers[2].Arrivals()[0]
		waited := countBetween(d.servers[2].Arrivals(), first.Add(time.Second), first.Add(wait-time.Second))
		assert.Assert(t, waited <= 2*len(d.entries), "the waiting server got %d requests", waited)
		for start := stated.Add(stableWindow); start.Add(span).Before(time.Now()); start = start.Add(100 * time.Millisecond) {
			count := countBetween(d.servers[0].Arrivals(), start, start.Add(span))
			assert.Assert(t, float64(count) <= 1.5*limit*span.Seconds()+5, "the limited server got %d requests in %s", count, span)
		}
	})
}

// countBetween returns the number of times in an interval.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, each := range times {
		if !each.Before(from) && each.Before(to) {
			count++
		}
	}
	return count
}
