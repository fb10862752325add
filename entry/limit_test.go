package main

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// limitedServer is the address of the server of a platformSite that states a limit.
const limitedServer = "10.9.0.1:8080"

// TestEntriesTogetherKeepServerLimit guards against more requests to a backend server than the
// limit that it states allows, summed over all entries, and against requests that the server
// would take and that go elsewhere.
func TestEntriesTogetherKeepServerLimit(t *testing.T) {
	for _, test := range []struct {
		entries int
		limit   float64
		// perServer is the demand for each of ten servers, in requests per second.
		perServer float64
	}{
		{
			entries:   1,
			limit:     1,
			perServer: 6,
		},
		{
			entries:   7,
			limit:     0.2,
			perServer: 6,
		},
		{
			entries:   7,
			limit:     1,
			perServer: 6,
		},
		{
			entries:   7,
			limit:     3.7,
			perServer: 12,
		},
		{
			entries:   30,
			limit:     1,
			perServer: 12,
		},
		{
			entries:   30,
			limit:     20,
			perServer: 40,
		},
	} {
		t.Run(fmt.Sprintf("%d-entries-limit-%g", test.entries, test.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPlatformSite(t, &platformSite{
					regions: 3,
					slots:   20,
				}, test.entries, 10)
				server := s.servers[limitedServer]
				s.runCallers(t, 10*test.perServer, 6*time.Second)
				server.setLimit(strconv.FormatFloat(test.limit, 'g', -1, 64))
				named := time.Now()
				s.runCallers(t, 10*test.perServer, 30*time.Second)
				from := named.Add(undisturbedWindow)
				server.assertWithinLimit(t, test.limit, from, time.Now())
				used := float64(server.arrivalsBetween(from, time.Now(), false)) / time.Since(from).Seconds()
				t.Logf("the server got %.2f requests a second of %g", used, test.limit)
			})
		})
	}
}

// TestLiftedServerLimitIsForgotten guards against a server that gets fewer requests than the
// others of its service although it no longer states a limit.
func TestLiftedServerLimitIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 10)
		server := s.servers[limitedServer]
		s.runCallers(t, 60, 10*time.Second)
		before := server.arrivalsBetween(time.Now().Add(-8*time.Second), time.Now(), false)
		server.setLimit("1")
		s.runCallers(t, 60, 15*time.Second)
		server.setLimit("")
		s.runCallers(t, 60, 5*time.Second)
		lifted := time.Now()
		s.runCallers(t, 60, 8*time.Second)
		after := server.arrivalsBetween(lifted, lifted.Add(8*time.Second), false)
		assert.Assert(t, float64(after) >= 0.7*float64(before), "%d requests in eight seconds before the limit and %d after it", before, after)
	})
}

// TestServerLimitOutlivesEntries guards against more requests than a limit allows while entries
// restart one by one, which then know nothing of it, and while the limit changes.
func TestServerLimitOutlivesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 10)
		server := s.servers[limitedServer]
		s.runCallers(t, 60, 5*time.Second)
		server.setLimit("1")
		named := time.Now()
		s.runCallers(t, 60, 8*time.Second)
		for index := range s.nodes {
			s.stops[index]()
			s.start(index)
			s.runCallers(t, 60, 3*time.Second)
		}
		server.assertWithinLimit(t, 1, named.Add(undisturbedWindow), time.Now())
		server.setLimit("4")
		s.runCallers(t, 60, 10*time.Second)
		server.assertWithinLimit(t, 4, named.Add(undisturbedWindow), time.Now())
		server.setLimit("0.5")
		lowered := time.Now()
		s.runCallers(t, 60, 15*time.Second)
		server.assertWithinLimit(t, 0.5, lowered.Add(undisturbedWindow), time.Now())
	})
}

// TestAllServersAtTheirLimitsRefuseAtOnce checks that requests beyond the limits of all servers
// of a service are refused without a wait, as not run.
func TestAllServersAtTheirLimitsRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 4)
		for _, server := range s.servers {
			server.setLimit("1")
		}
		named := time.Now()
		s.runCallers(t, 60, 30*time.Second)
		for _, server := range s.servers {
			server.assertWithinLimit(t, 1, named.Add(undisturbedWindow), time.Now())
		}
		assert.Assert(t, s.statuses[503] > 1000, "statuses %v", s.statuses)
		assert.Equal(t, s.statuses[200]+s.statuses[503], s.sent, "statuses %v", s.statuses)
		assert.Assert(t, s.longestRefusal < time.Millisecond, "a refusal took %s", s.longestRefusal)
	})
}

// TestLiftedLimitIsNoticedWithoutDemandOfUsers guards against a server that gets no requests any
// more although it no longer states a limit, because those entries that may send to it have no
// callers.
func TestLiftedLimitIsNoticedWithoutDemandOfUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 4)
		server := s.servers[limitedServer]
		server.setLimit("0.5")
		s.runCallers(t, 40, 5*time.Second)
		limited := time.Now()
		s.runCallers(t, 40, 20*time.Second)
		users := server.entriesBetween(limited, time.Now())
		for index, node := range s.nodes {
			if !users[index] {
				s.withCallers = append(s.withCallers, node)
			}
		}
		assert.Assert(t, len(users) > 0 && len(s.withCallers) > 0)
		server.setLimit("")
		s.runCallers(t, 20, 90*time.Second)
		noticed := time.Now()
		s.runCallers(t, 20, 10*time.Second)
		assert.Assert(t, server.arrivalsBetween(noticed, time.Now(), false) > 20)
	})
}

// TestRefusalDoesNotLiftLimit guards against more requests than a limit allows because the server
// refuses some without stating it.
func TestRefusalDoesNotLiftLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   20,
		}, 7, 10)
		server := s.servers[limitedServer]
		s.runCallers(t, 60, 5*time.Second)
		server.setLimit("1")
		server.refuseEvery = 2
		named := time.Now()
		s.runCallers(t, 200, 20*time.Second)
		server.assertWithinLimit(t, 1, named.Add(undisturbedWindow), time.Now())
	})
}
