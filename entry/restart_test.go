package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// restartPerSecond is the number of requests a second of callers in these tests, restartColdPerSecond
// that which a cold server bears, and restartColdTime how long one is cold.
const (
	restartPerSecond     = 240
	restartColdPerSecond = 5
	restartColdTime      = 4 * time.Second
)

// siteFailure is how servers of a platformSite fail for a while.
type siteFailure struct {
	name string
	// closes reports whether the connections to the server are closed at the beginning, refuses
	// whether new ones are refused meanwhile, and silent whether nothing is answered meanwhile.
	closes, refuses, silent bool
	duration                time.Duration
	// slow is by how much requests take longer meanwhile, 0 for no change.
	slow time.Duration
}

// siteFailures are the failures after which the same or another process may run.
var siteFailures = []siteFailure{
	{
		name:     "refused for seconds",
		closes:   true,
		refuses:  true,
		duration: 2200 * time.Millisecond,
	},
	{
		name:     "closed for a moment",
		closes:   true,
		refuses:  true,
		duration: 5 * time.Millisecond,
	},
	{
		name:     "silent for seconds",
		silent:   true,
		duration: 3 * time.Second,
	},
	{
		name:     "silent for a second",
		silent:   true,
		duration: 1200 * time.Millisecond,
	},
}

// storeState is what the store does around a failure, which begins 500 ms later.
type storeState struct {
	name     string
	fault    store.Fault
	duration time.Duration
	// registersMeanwhile reports whether processes that start meanwhile can register, and
	// registersAfter is how long after their start, or that the store answers, they do.
	registersMeanwhile bool
	registersAfter     time.Duration
}

var storeStates = []storeState{
	{
		name: "hanging store",
		fault: store.Fault{
			Outage: store.OutageHang,
		},
		duration: 9 * time.Second,
	},
	{
		name: "refusing store",
		fault: store.Fault{
			Outage: store.OutageRefuse,
		},
		duration: 9 * time.Second,
	},
	{
		name: "store that comes back before the registration",
		fault: store.Fault{
			Outage: store.OutageHang,
		},
		duration:       4500 * time.Millisecond,
		registersAfter: 1900 * time.Millisecond,
	},
	{
		name: "slow store",
		fault: store.Fault{
			Delay: document.Duration(1200 * time.Millisecond),
		},
		duration:           9 * time.Second,
		registersMeanwhile: true,
	},
	{
		name:               "late registration",
		registersMeanwhile: true,
		registersAfter:     1400 * time.Millisecond,
	},
}

// failingServers are servers that fail at the same time: one, one of each region, and all of a region.
var failingServers = [][]int{
	{0},
	{0, 1, 2},
	{0, 3},
}

// TestRestartedServersAreNotFlooded guards against more requests than cold servers bear, where servers
// start again under their IDs at their addresses before their registrations can be read.
func TestRestartedServersAreNotFlooded(t *testing.T) {
	testSiteFailures(t, siteFailures, storeStates, true)
}

// TestServersThatDidNotRestartGetTheirShareBack guards against servers that get few requests for long,
// because they were cut off, frozen or slow, and not restarted, while their registrations can't be
// read.
func TestServersThatDidNotRestartGetTheirShareBack(t *testing.T) {
	testSiteFailures(t, append(slices.Clone(siteFailures), siteFailure{
		name:     "slow",
		slow:     3 * time.Second,
		duration: 3 * time.Second,
	}), []storeState{storeStates[0], storeStates[len(storeStates)-1]}, false)
}

// testSiteFailures lets servers fail in each way and each state of the store, other servers each time.
// With restart, other processes run afterwards, which are cold.
func testSiteFailures(t *testing.T, failures []siteFailure, states []storeState, restart bool) {
	number := 0
	for _, failure := range failures {
		for _, state := range states {
			failing := failingServers[number%len(failingServers)]
			number++
			t.Run(fmt.Sprintf("%s, %s, servers %v", failure.name, state.name, failing), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newRestartSite(t)
					var back time.Time
					var script sync.WaitGroup
					script.Go(func() {
						time.Sleep(3 * time.Second)
						s.store.SetFault(state.fault)
						storeBack := time.Now().Add(state.duration)
						script.Go(func() {
							time.Sleep(state.duration)
							s.store.SetFault(store.Fault{})
						})
						time.Sleep(500 * time.Millisecond)
						s.failServers(failing, failure, restart)
						back = time.Now()
						if !restart {
							return
						}
						if !state.registersMeanwhile {
							time.Sleep(time.Until(storeBack))
						}
						time.Sleep(state.registersAfter)
						for _, index := range failing {
							s.registerAgain(index, back)
						}
					})
					s.runCallers(t, restartPerSecond, 18*time.Second)
					script.Wait()
					// Exclusions end after four seconds at most, and a registration may be
					// read late and say how long the server was cold then.
					shareBack := back.Add(4 * time.Second)
					if restart {
						shareBack = back.Add(restartColdTime + 3*time.Second)
					}
					for _, index := range failing {
						if restart {
							s.assertNotFlooded(t, index, back)
						}
						s.assertShareIsBack(t, index, shareBack)
					}
				})
			})
		}
	}
}

// TestServersBackFromEvacuationInOutage guards against cold servers that are flooded, and warm ones that
// get few requests for long, because the store is away from just after the end of an evacuation on.
func TestServersBackFromEvacuationInOutage(t *testing.T) {
	for _, cold := range []bool{false, true} {
		t.Run(fmt.Sprintf("cold %t", cold), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const evacuation = "evacuate/region-0-a"
				s := newRestartSite(t)
				s.store.PutRow(platform.OperatorTable, evacuation, []byte("{}"))
				var back time.Time
				var script sync.WaitGroup
				script.Go(func() {
					time.Sleep(3 * time.Second)
					if cold {
						s.server(0).setCold(restartColdTime)
						s.server(3).setCold(restartColdTime)
					}
					s.store.RemoveRow(platform.OperatorTable, evacuation)
					time.Sleep(100 * time.Millisecond)
					back = time.Now()
					s.store.SetFault(store.Fault{
						Outage: store.OutageHang,
					})
				})
				s.runCallers(t, restartPerSecond, 12*time.Second)
				script.Wait()
				for _, index := range []int{0, 3} {
					if cold {
						s.assertNotFlooded(t, index, back)
					}
					from := back.Add(time.Second)
					if cold {
						from = from.Add(restartColdTime)
					}
					s.assertShareIsBack(t, index, from)
				}
			})
		})
	}
}

// newRestartSite returns a site with six servers and seven entries, with a configuration that says what
// cold servers bear.
func newRestartSite(t *testing.T) *platformSite {
	t.Helper()
	s := newPlatformSite(t, &platformSite{
		regions: 3,
		slots:   20,
	}, 7, 6)
	s.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":2,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"%s","cold_per_s":%d}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"2s","goal":"600ms","priority":2,"service":"desk","attempts":2,"sticky":true}]}]}`,
		restartColdTime, restartColdPerSecond))
	return s
}

// server returns the server with an index.
func (s *platformSite) server(index int) *siteServer {
	return s.servers[fmt.Sprintf("10.9.0.%d:8080", index+1)]
}

// failServers lets servers fail at the same time, and returns when that is over. With restart, other
// processes run then, which are cold.
func (s *platformSite) failServers(indices []int, failure siteFailure, restart bool) {
	for _, index := range indices {
		s.server(index).fail(failure)
	}
	time.Sleep(failure.duration)
	for _, index := range indices {
		s.server(index).recover(restart)
	}
}

// registerAgain writes the registration of the process that has run since a time.
func (s *platformSite) registerAgain(index int, started time.Time) {
	coldLeft := max(0, time.Until(started.Add(restartColdTime)))
	s.store.PutRow(platform.ServerTable, fmt.Sprintf("i-%d", index), fmt.Appendf(nil,
		`{"addr":"10.9.0.%d:8080","info":{"service":"desk","version":"v1","zone":"region-%d-a","slots":%d},"status":{"state":"ready","seq":1,"cold_left":"%dms"},"born":%d}`,
		index+1, index%s.regions, s.slots, coldLeft.Milliseconds(), started.UnixMilli()))
}

// assertNotFlooded checks that a server got at most what it bears in each second while it was cold.
func (s *platformSite) assertNotFlooded(t *testing.T, index int, started time.Time) {
	t.Helper()
	server := s.server(index)
	const allowed = restartColdPerSecond*1.5 + 5
	for at := started; at.Before(started.Add(restartColdTime - time.Second)); at = at.Add(20 * time.Millisecond) {
		count := server.arrivalsBetween(at, at.Add(time.Second), false)
		assert.Assert(t, float64(count) <= allowed, "cold server %s got %d requests in the second from %s after its start, allowed %g",
			server.id, count, at.Sub(started), allowed)
	}
}

// assertShareIsBack checks that a server gets more requests in the four seconds from a time on than
// its turns as a cold server would give it. Some of its objects stay with servers that have them warm.
func (s *platformSite) assertShareIsBack(t *testing.T, index int, from time.Time) {
	t.Helper()
	const turns = 4 * (restartColdPerSecond*1.5 + 5) / 2
	got := s.server(index).arrivalsBetween(from, from.Add(4*time.Second), false)
	assert.Assert(t, float64(got) > turns, "server %d got %d requests in four seconds", index, got)
}

// errRefused is the error of a connection that a server's host refuses.
var errRefused = errors.New("connection refused")

// awaitAccept waits until the server's host answers to a connection.
func (s *siteServer) awaitAccept(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, silent := s.down, s.silent
		s.mu.Unlock()
		switch {
		case down:
			return errRefused
		case !silent:
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// accept records a connection, and returns the number of the process that it leads to.
func (s *siteServer) accept(conn net.Conn) (start int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
	return s.starts
}

// awaitProcess waits while the server is silent, and reports whether the process still runs.
func (s *siteServer) awaitProcess(start int) bool {
	for {
		s.mu.Lock()
		current, silent := s.starts, s.silent
		s.mu.Unlock()
		if !silent {
			return current == start
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// fail begins a failure.
func (s *siteServer) fail(failure siteFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = failure.refuses, failure.silent
	s.slowness = failure.slow
	if failure.closes {
		s.closeConns()
	}
}

// recover ends a failure. With restart, another process runs from now on.
func (s *siteServer) recover(restart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = false, false
	s.slowness = 0
	if restart {
		s.starts++
		s.coldUntil = time.Now().Add(restartColdTime)
	}
}

// setCold makes the server cold for a time.
func (s *siteServer) setCold(coldLeft time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(coldLeft)
}

// closeConns closes the connections to the server. The caller must hold s.mu.
func (s *siteServer) closeConns() {
	for _, conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}

// healthResponse returns the response to a health check.
func (s *siteServer) healthResponse() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	coldLeft := max(0, time.Until(s.coldUntil))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Teaselstack-Instance-Id: %s\r\nX-Teaselstack-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.id, coldLeft.Milliseconds())
}
