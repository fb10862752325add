package main

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// TestLeavingServerGetsNoRequests guards against requests to a server that has stated that it
// is shutting down while its registration still says that it is ready: because the store is
// away, or because the server never says so there.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for name, fault := range map[string]store.Fault{
		"store up": {},
		"store away": {
			Outage: store.OutageRefuse,
		},
		"store slow": {
			Delay: document.Duration(2 * time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPlatformSite(t, &platformSite{
					regions: 3,
					slots:   20,
				}, 7, 10)
				s.runCallers(t, 60, 5*time.Second)
				s.store.SetFault(fault)
				server := s.servers[limitedServer]
				server.leave()
				left := time.Now()
				s.runCallers(t, 60, 10*time.Second)
				// The response by which an entry hears of it takes up to the work time. The news
				// reach the others within a fraction of a second.
				drained := left.Add(1500 * time.Millisecond)
				assert.Equal(t, server.arrivalsBetween(drained, time.Now(), false), 0)
				assert.Equal(t, s.statuses[200], s.sent, "statuses %v", s.statuses)
				s.store.SetFault(store.Fault{})
			})
		})
	}
}

// TestStatementsOutliveRegistrations guards against requests to a server that has stated that it
// is shutting down, wants to wait or takes few, because its registration was gone for some seconds,
// as in an outage of the store or after the store came back from a copy.
func TestStatementsOutliveRegistrations(t *testing.T) {
	const (
		wait  = 20 * time.Second
		limit = 1
	)
	for name, test := range map[string]struct {
		state func(*siteServer)
		check func(t *testing.T, server *siteServer, stated time.Time)
	}{
		"leaving": {
			state: (*siteServer).leave,
			check: func(t *testing.T, server *siteServer, stated time.Time) {
				t.Helper()
				assert.Equal(t, server.arrivalsBetween(stated, time.Now(), false), 0)
			},
		},
		"wait": {
			state: func(server *siteServer) { server.refuse("20") },
			check: func(t *testing.T, server *siteServer, _ time.Time) {
				t.Helper()
				server.assertWaited(t, wait)
			},
		},
		"limit": {
			state: func(server *siteServer) { server.setLimit("1") },
			check: func(t *testing.T, server *siteServer, stated time.Time) {
				t.Helper()
				server.assertWithinLimit(t, limit, stated.Add(undisturbedWindow), time.Now())
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPlatformSite(t, &platformSite{
					regions: 3,
					slots:   20,
				}, 7, 10)
				s.runCallers(t, 60, 5*time.Second)
				server := s.servers[limitedServer]
				test.state(server)
				// The response by which an entry hears of it takes up to the work time.
				s.runCallers(t, 60, 3*time.Second)
				stated := time.Now()
				for range 3 {
					s.store.RemoveRow(platform.ServerTable, server.id)
					s.runCallers(t, 60, 3*time.Second)
					s.register(0, 1)
					s.runCallers(t, 60, 3*time.Second)
				}
				test.check(t, server, stated)
			})
		})
	}
}
