package main

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitOfServerIsKept guards against requests to a server that has refused one with 503 and a
// Retry-After, before that time is over.
func TestWaitOfServerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 10)
		server := s.servers[limitedServer]
		s.runCallers(t, 60, 5*time.Second)
		server.refuse("4.5")
		s.runCallers(t, 60, 10*time.Second)
		server.refuse("")
		s.runCallers(t, 60, 10*time.Second)
		server.assertWaited(t, 4500*time.Millisecond)
		assert.Equal(t, s.statuses[200], s.sent, "statuses %v", s.statuses)
		assert.Assert(t, server.arrivalsBetween(time.Now().Add(-4*time.Second), time.Now(), false) > 0, "the server is not used after its wait")
	})
}

// TestAllServersWaitingRefuseUntilTheirWaitEnds checks that requests are refused at once while
// all servers of a service want none, with a Retry-After that does not end before.
func TestAllServersWaitingRefuseUntilTheirWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 3)
		s.runCallers(t, 20, 5*time.Second)
		for _, server := range s.servers {
			server.refuse("10")
		}
		s.runCallers(t, 60, 3*time.Second)
		s.shortestRetryAfter = time.Hour
		s.runCallers(t, 60, time.Second)
		// Of the ten seconds, at most four are over.
		assert.Assert(t, s.shortestRetryAfter > 6*time.Second, "Retry-After %s", s.shortestRetryAfter)
		assert.Assert(t, s.shortestRetryAfter < time.Hour)
		assert.Assert(t, s.longestRefusal < time.Millisecond, "a refusal took %s", s.longestRefusal)
		for _, server := range s.servers {
			server.assertWaited(t, 10*time.Second)
			server.refuse("")
		}
	})
}
