package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// newTestServer returns a registered server with three slots in region north.
func newTestServer(id string) routing.Server {
	return routing.Server{
		ID:            id,
		Service:       "desk",
		Address:       id,
		FailureDomain: "north-a",
		Region:        "north",
		Slots:         3,
	}
}

// newTestFleet returns the fleet of the first of three entries. Together, they may send
// a cold server 2.4*1.5 + 5 requests per second: its service's ColdRateLimit times the
// factor, plus the slack.
func newTestFleet(servers ...routing.Server) *placement.Fleet {
	fleet := placement.New("north", func() (int, int) { return 0, 3 },
		placement.WithColdRateLimit(func() (factor, slack float64) { return 1.5, 5 }))
	fleet.Configure(routing.NewConfiguration(1, []*routing.Service{
		{
			Name:          "desk",
			ColdRateLimit: 2.4,
		},
	}, routing.Limits{}, nil))
	fleet.Update(servers)
	return fleet
}

// newRequest returns a request for the object with the given number.
func newRequest(objectNumber int) *placement.Request {
	return &placement.Request{
		Service: "desk",
		Object:  placement.ObjectHash("browse", fmt.Sprint(objectNumber)),
	}
}

// placeAndComplete places a request for an object, completes it immediately and returns
// the ID of the server. It fails the test if placement refuses the request. The answer
// has no load report, and its latency is not recorded.
func placeAndComplete(t *testing.T, fleet *placement.Fleet, objectNumber int) string {
	t.Helper()
	choice, refusal := fleet.Choose(newRequest(objectNumber))
	assert.Equal(t, refusal, placement.RefusalNone)
	fleet.Done(&choice, placement.SignalAnswered, nil, 0)
	return choice.Server.ID
}

// newTestServers returns servers named server-0, server-1 and so on.
func newTestServers(count int) []routing.Server {
	var servers []routing.Server
	for i := range count {
		servers = append(servers, newTestServer(fmt.Sprintf("server-%d", i)))
	}
	return servers
}

// TestMembershipChangeMovesOnlyAffectedObjects removes a server from the fleet and adds
// it again. Only requests for the objects that were placed on it may go to other servers,
// and they must return to it afterwards.
func TestMembershipChangeMovesOnlyAffectedObjects(t *testing.T) {
	fleet := newTestFleet(newTestServers(20)...)
	const objects = 500
	before := make([]string, objects)
	for i := range before {
		before[i] = placeAndComplete(t, fleet, i)
	}
	fleet.Remove([]string{"server-7"})
	for i, serverBefore := range before {
		serverAfter := placeAndComplete(t, fleet, i)
		assert.Assert(t, serverAfter == serverBefore || serverBefore == "server-7")
	}
	fleet.Update([]routing.Server{newTestServer("server-7")})
	for i, serverBefore := range before {
		assert.Equal(t, placeAndComplete(t, fleet, i), serverBefore)
	}
}

// TestFleetsOfOneRegionPlaceObjectsAlike checks that two fleets with the same servers
// place each object on the same server without communicating. Both are fleets of entries
// in region north; fleets of other regions may differ, see WithLocalRegionWeight.
func TestFleetsOfOneRegionPlaceObjectsAlike(t *testing.T) {
	first, second := newTestFleet(newTestServers(20)...), newTestFleet(newTestServers(20)...)
	for i := range 200 {
		assert.Equal(t, placeAndComplete(t, first, i), placeAndComplete(t, second, i))
	}
}

// TestDrainingAndEvacuatedServersGetNoRequests checks that neither a draining server nor
// one of an evacuated failure domain gets requests, even if there is no other server.
func TestDrainingAndEvacuatedServersGetNoRequests(t *testing.T) {
	draining := newTestServer("server-1")
	draining.Draining = true
	evacuated := newTestServer("server-2")
	evacuated.FailureDomain = "north-b"
	fleet := newTestFleet(newTestServer("server-0"), draining, evacuated)
	fleet.SetEvacuated(map[string]bool{"north-b": true})
	for i := range 100 {
		assert.Equal(t, placeAndComplete(t, fleet, i), "server-0")
	}
	fleet.Remove([]string{"server-0"})
	_, refusal := fleet.Choose(newRequest(1))
	assert.Equal(t, refusal, placement.RefusalNoServer)
}

// TestAllowedRegionsRestrictPlacement checks that requests of a route with AllowedRegions
// go only to servers of these regions.
func TestAllowedRegionsRestrictPlacement(t *testing.T) {
	remote := newTestServer("server-1")
	remote.Region = "south"
	fleet := newTestFleet(newTestServer("server-0"), remote)
	request := newRequest(1)
	request.Route = &routing.Route{
		Name:           "browse",
		AllowedRegions: []string{"south"},
	}
	for range 5 {
		choice, refusal := fleet.Choose(request)
		assert.Equal(t, refusal, placement.RefusalNone)
		assert.Equal(t, choice.Server.ID, "server-1")
	}
}

// TestReplacedServerNeedsNewRegistration checks that a server gets no request once
// another server has answered at its address, until it registers again as a new
// incarnation.
func TestReplacedServerNeedsNewRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(newTestServer("server-0"))
		choice, _ := fleet.Choose(newRequest(1))
		fleet.Done(&choice, placement.SignalReplaced, nil, 0)
		// One minute is longer than any exclusion.
		time.Sleep(time.Minute)
		_, refusal := fleet.Choose(newRequest(1))
		assert.Equal(t, refusal, placement.RefusalNoServer)
		restarted := newTestServer("server-0")
		restarted.StartUnixMS = 5 // another start time makes it a new incarnation
		fleet.Update([]routing.Server{restarted})
		assert.Equal(t, placeAndComplete(t, fleet, 1), "server-0")
	})
}

// TestColdServerRateLimit checks the rate limit of a cold server. Each of 26 entries
// tries to send it a request every 10 ms for 30 s. All entries together must not send
// more requests than the limit in any period of one second.
func TestColdServerRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 26
		const limit = 2.4*1.5 + 5 // ColdRateLimit * factor + slack, in requests per second
		cold := newTestServer("server-0")
		cold.ColdLeft = time.Minute
		var fleets []*placement.Fleet
		for index := range entries {
			fleet := placement.New("north", func() (int, int) { return index, entries },
				placement.WithColdRateLimit(func() (factor, slack float64) { return 1.5, 5 }))
			fleet.Configure(routing.NewConfiguration(1, []*routing.Service{
				{
					Name:          "desk",
					ColdRateLimit: 2.4,
				},
			}, routing.Limits{}, nil))
			fleet.Update([]routing.Server{cold})
			fleets = append(fleets, fleet)
		}
		var sent []time.Time
		for range 3000 {
			for _, fleet := range fleets {
				choice, refusal := fleet.Choose(newRequest(1))
				if refusal == placement.RefusalNone {
					sent = append(sent, time.Now())
					fleet.Done(&choice, placement.SignalAnswered, nil, 0)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		// More than one request per second, so that sending none does not pass the test.
		assert.Assert(t, len(sent) > 30)
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					count++
				}
			}
			assert.Assert(t, float64(count) <= limit, "%d requests were sent within one second", count)
		}
	})
}

// TestServerExcludedOnReportsOfTwoPeers checks that a server is excluded while two peers
// report it as failing. The report of one peer does not suffice, and reports expire.
func TestServerExcludedOnReportsOfTwoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(newTestServers(3)...)
		preferred := placeAndComplete(t, fleet, 1)
		peer := newTestFleet(newTestServers(3)...)
		choice, _ := peer.Choose(newRequest(1))
		peer.Done(&choice, placement.SignalNoConnection, nil, 0)
		message := &teaselv1.Presence{
			Name: "entry-1",
		}
		peer.FillPresence(message)
		assert.Equal(t, len(message.GetFailing()), 1)
		fleet.ApplyPresence(message)
		assert.Equal(t, placeAndComplete(t, fleet, 1), preferred)
		// The same report under another name stands for that of a second peer.
		message.Name = "entry-2"
		fleet.ApplyPresence(message)
		assert.Assert(t, placeAndComplete(t, fleet, 1) != preferred)
		// Two seconds exceed peerReportLifetime.
		time.Sleep(2 * time.Second)
		assert.Equal(t, placeAndComplete(t, fleet, 1), preferred)
	})
}

// TestDoubtfulServerIsLastChoice checks that a doubtful server, one that may be gone,
// gets no requests while another server is idle, and gets them if it is the only one.
func TestDoubtfulServerIsLastChoice(t *testing.T) {
	fleet := newTestFleet(newTestServers(2)...)
	fleet.SetDoubtful([]string{"server-0"})
	for i := range 20 {
		assert.Equal(t, placeAndComplete(t, fleet, i), "server-1")
	}
	fleet.Remove([]string{"server-1"})
	assert.Equal(t, placeAndComplete(t, fleet, 1), "server-0")
}

// TestEvictedObjectsDoNotMoveRequests places requests for objects of which the servers have evicted
// a share, so that they load them anew. That was taken for the servers' slowness, and a third of a
// region's requests moved from one window of two seconds to the next, where 15 in 100 may. Servers
// that are slow for all objects must still lose most requests.
func TestEvictedObjectsDoNotMoveRequests(t *testing.T) {
	for _, test := range []struct {
		name string
		// evictedShare is the share of the requests whose object is loaded, and slowdown the factor
		// by which the own region's servers take longer.
		evictedShare, slowdown float64
		// minHome and maxHome bound the share of the requests of a window that run at home.
		minHome, maxHome float64
	}{
		{
			name:         "third evicted",
			evictedShare: 0.36,
			slowdown:     1,
			minHome:      0.85,
			maxHome:      1,
		},
		{
			name:         "half evicted",
			evictedShare: 0.5,
			slowdown:     1,
			minHome:      0.85,
			maxHome:      1,
		},
		{
			name:     "slow",
			slowdown: 5,
			minHome:  0,
			maxHome:  0.5,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(12) {
				synctest.Test(t, func(t *testing.T) {
					remote := newTestServer("server-2")
					remote.Region, remote.FailureDomain = "south", "south-a"
					fleet := newTestFleet(append(newTestServers(2), remote)...)
					const roundTrip, work, loadFactor = 24 * time.Millisecond, 150 * time.Millisecond, 3.3
					fleet.ObserveRoundTrip("south", roundTrip)
					random := rand.New(rand.NewPCG(1, seed))
					const windows, windowRequests = 25, 80
					for window := range windows {
						home := 0
						for range windowRequests {
							request := newRequest(random.IntN(50))
							request.Route = &routing.Route{
								Name:             "browse",
								LatencyObjective: 2 * work,
							}
							choice, refusal := fleet.Choose(request)
							assert.Equal(t, refusal, placement.RefusalNone)
							factor := 0.85 + 0.3*random.Float64()
							// All objects stay warm for the first windows, in which the work becomes known.
							if random.Float64() < test.evictedShare && window >= windows/2 {
								factor *= loadFactor
							}
							way := roundTrip
							if choice.Server.Region != remote.Region {
								home++
								way = 0
								if window >= windows/2 {
									factor *= test.slowdown
								}
							}
							fleet.Done(&choice, placement.SignalAnswered, nil, way+time.Duration(factor*float64(work)))
							time.Sleep(2 * time.Second / windowRequests)
						}
						share := float64(home) / windowRequests
						assert.Check(t, share >= test.minHome, "seed %d, window %d: %.2f at home", seed, window, share)
						if window > windows/2 {
							assert.Check(t, share <= test.maxHome, "seed %d, window %d: %.2f at home", seed, window, share)
						}
					}
				})
			}
		})
	}
}

// TestStatementsOutliveRegistration guards against requests to a server that states that it is
// leaving, before its registration goes or in a response that arrives behind that, and whose
// registration comes back. One that starts again is used.
func TestStatementsOutliveRegistration(t *testing.T) {
	for _, late := range []bool{false, true} {
		server := newTestServer("server-0")
		server.StartUnixMS = 1000
		fleet := newTestFleet(server)
		choice, refusal := fleet.Choose(newRequest(1))
		assert.Equal(t, refusal, placement.RefusalNone)
		leaves := func() {
			fleet.ObserveStatement(&choice, routing.Statement{
				Leaving: true,
			})
		}
		if !late {
			leaves()
		}
		fleet.Remove([]string{server.ID})
		if late {
			leaves()
		}
		for range 3 {
			fleet.Update([]routing.Server{server})
			assert.Assert(t, !fleet.Eligible(&server), "late %t", late)
			fleet.Remove([]string{server.ID})
		}
		server.StartUnixMS = 2000
		fleet.Update([]routing.Server{server})
		assert.Assert(t, fleet.Eligible(&server), "late %t", late)
	}
}

// TestRegistrationRenewsNoTurn guards against more requests than a cold server bears: its new start
// is registered after it has got a request in this entry's turn, and gets another one.
func TestRegistrationRenewsNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := newTestServer("server-0")
		cold.ColdLeft = time.Minute
		fleet := newTestFleet(cold)
		for range 30 {
			sent := 0
			for start := range 5 {
				cold.StartUnixMS = int64(start + 1)
				fleet.Update([]routing.Server{cold})
				if choice, refusal := fleet.Choose(newRequest(1)); refusal == placement.RefusalNone {
					sent++
					fleet.Done(&choice, placement.SignalNone, nil, 0)
				}
			}
			assert.Assert(t, sent <= 1, "%d requests in one turn", sent)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestEntriesShareSignsAndHealth checks that an entry which saw no sign itself limits new connections
// to a server that may have started again, and that one entry's health check is enough for all.
func TestEntriesShareSignsAndHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer("server-0")
		witness, other := newTestFleet(server), newTestFleet(server)
		exchange := func() {
			message := &teaselv1.Presence{
				Name: "entry-1",
			}
			witness.FillPresence(message)
			other.ApplyPresence(message)
		}
		time.Sleep(time.Second)
		// A busy server resets single connections.
		witness.SuspectRestart(&server, placement.SignBroken, time.Now(), time.Time{})
		exchange()
		assert.Equal(t, other.Summary().Unverified, 0)
		witness.SuspectRestart(&server, placement.SignBroken, time.Now(), time.Time{})
		time.Sleep(200 * time.Millisecond)
		exchange()
		assert.Equal(t, other.Summary().Unverified, 1)
		_, before := other.UsableConnections(&server)
		assert.Assert(t, !before.IsZero())
		// The same report must not start the doubt anew once a connection from before has ended it.
		other.ObserveAnswer(&server, before.Add(-time.Second), time.Now())
		assert.Equal(t, other.Summary().Unverified, 0)
		time.Sleep(200 * time.Millisecond)
		exchange()
		assert.Equal(t, other.Summary().Unverified, 0)
		time.Sleep(time.Second)
		witness.ObserveHealth(&server, time.Now(), routing.Health{
			ServerID:  "server-0",
			ColdKnown: true,
			ColdLeft:  3 * time.Second,
		})
		time.Sleep(200 * time.Millisecond)
		exchange()
		assert.Equal(t, other.Summary().Cold, 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, other.Summary().Cold, 0)
	})
}

// TestHealthEndsExclusionOfUnreachableServer guards against a server that is left out for seconds after it
// can be reached again. One that fails requests is left out although its health is good.
func TestHealthEndsExclusionOfUnreachableServer(t *testing.T) {
	for signal, excluded := range map[placement.HealthSignal]bool{
		placement.SignalNoConnection: false,
		placement.SignalShed:         true,
	} {
		synctest.Test(t, func(t *testing.T) {
			servers := newTestServers(3)
			fleet := newTestFleet(servers...)
			choice, _ := fleet.Choose(newRequest(1))
			preferred := choice.Server
			fleet.Done(&choice, signal, nil, 0)
			if signal == placement.SignalNoConnection {
				fleet.SuspectRestart(&preferred, placement.SignRefused, time.Now(), time.Time{})
			}
			assert.Assert(t, placeAndComplete(t, fleet, 1) != preferred.ID)
			time.Sleep(300 * time.Millisecond)
			fleet.ObserveHealth(&preferred, time.Now(), routing.Health{
				ServerID:  preferred.ID,
				ColdKnown: true,
			})
			assert.Equal(t, placeAndComplete(t, fleet, 1) != preferred.ID, excluded)
		})
	}
}

// TestStatementsOfUnregisteredStartAreKept guards against requests to a server that has stated that it
// wants none, because the registration of its start is read only after that. What it stated before it
// started again is forgotten.
func TestStatementsOfUnregisteredStartAreKept(t *testing.T) {
	statements := map[string]routing.Statement{
		"wait": {
			Wait: 20 * time.Second,
		},
		"leaving": {
			Leaving: true,
		},
		"limit": {
			Limited:      true,
			RequestLimit: 0.5,
		},
	}
	for name, statement := range statements {
		for _, afterStart := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				server := newTestServer("server-0")
				server.StartUnixMS = 1
				fleet := newTestFleet(server)
				time.Sleep(time.Second)
				choice, _ := fleet.Choose(newRequest(1))
				fleet.Done(&choice, placement.SignalNone, nil, 0)
				if !afterStart {
					fleet.ObserveStatement(&choice, statement)
				}
				time.Sleep(time.Second)
				fleet.SuspectRestart(&server, placement.SignBroken, time.Now(), time.Time{})
				time.Sleep(time.Second)
				if afterStart {
					fleet.ObserveStatement(&choice, statement)
				}
				server.StartUnixMS = 2
				fleet.Update([]routing.Server{server})
				sum := fleet.Summary()
				assert.Equal(t, sum.Waiting+sum.Leaving+sum.Limited == 1, afterStart, "%s, after the start: %t", name, afterStart)
			})
		}
	}
}
