package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

func newServer(id string) routing.Server {
	return routing.Server{
		ID:            id,
		Service:       "desk",
		Address:       id,
		FailureDomain: "north-a",
		Region:        "north",
		Slots:         3,
	}
}

func newFleet(servers ...routing.Server) *placement.Fleet {
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

func askFor(object int) *placement.Request {
	return &placement.Request{
		Service: "desk",
		Object:  placement.ObjectHash("browse", fmt.Sprint(object)),
	}
}

// choose places a request and ends it at once.
func choose(t *testing.T, fleet *placement.Fleet, object int) string {
	t.Helper()
	choice, refusal := fleet.Choose(askFor(object))
	assert.Equal(t, refusal, placement.RefusalNone)
	fleet.Done(&choice, placement.SignalAnswered, nil, 0)
	return choice.Server.ID
}

func many(count int) []routing.Server {
	var servers []routing.Server
	for i := range count {
		servers = append(servers, newServer(fmt.Sprintf("server-%d", i)))
	}
	return servers
}

// TestMembershipChangeMovesOnlyAffectedObjects takes a server away and brings it back: only its objects
// move, and they come back.
func TestMembershipChangeMovesOnlyAffectedObjects(t *testing.T) {
	fleet := newFleet(many(20)...)
	const objects = 500
	before := make([]string, objects)
	for i := range before {
		before[i] = choose(t, fleet, i)
	}
	fleet.Remove([]string{"server-7"})
	for i, was := range before {
		now := choose(t, fleet, i)
		assert.Assert(t, now == was || was == "server-7")
	}
	fleet.Update([]routing.Server{newServer("server-7")})
	for i, was := range before {
		assert.Equal(t, choose(t, fleet, i), was)
	}
}

// TestEntriesPlaceObjectsAlike: entries of other regions place an object on the same server
// unless one of their own region is preferred.
func TestEntriesPlaceObjectsAlike(t *testing.T) {
	one, other := newFleet(many(20)...), newFleet(many(20)...)
	for i := range 200 {
		assert.Equal(t, choose(t, one, i), choose(t, other, i))
	}
}

func TestDrainingAndEvacuatedServersGetNoRequests(t *testing.T) {
	leaving := newServer("server-1")
	leaving.Draining = true
	evacuated := newServer("server-2")
	evacuated.FailureDomain = "north-b"
	fleet := newFleet(newServer("server-0"), leaving, evacuated)
	fleet.SetEvacuated(map[string]bool{"north-b": true})
	for i := range 100 {
		assert.Equal(t, choose(t, fleet, i), "server-0")
	}
	fleet.Remove([]string{"server-0"})
	_, refusal := fleet.Choose(askFor(1))
	assert.Equal(t, refusal, placement.RefusalNoServer)
}

func TestAllowedRegionsRestrictPlacement(t *testing.T) {
	away := newServer("server-1")
	away.Region = "south"
	fleet := newFleet(newServer("server-0"), away)
	request := askFor(1)
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

// TestReplacedServerNeedsNewRegistration: an address that another server has is not tried again
// before a new registration.
func TestReplacedServerNeedsNewRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(newServer("server-0"))
		choice, _ := fleet.Choose(askFor(1))
		fleet.Done(&choice, placement.SignalReplaced, nil, 0)
		time.Sleep(time.Minute)
		_, refusal := fleet.Choose(askFor(1))
		assert.Equal(t, refusal, placement.RefusalNoServer)
		again := newServer("server-0")
		again.BornUnixMS = 5
		fleet.Update([]routing.Server{again})
		assert.Equal(t, choose(t, fleet, 1), "server-0")
	})
}

// TestColdServerRateLimit lets three entries send all they may to a cold server: in no
// second do they send more than the bound, over all phases of their turns.
func TestColdServerRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 26
		const bound = 2.4*1.5 + 5
		cold := newServer("server-0")
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
				choice, refusal := fleet.Choose(askFor(1))
				if refusal == placement.RefusalNone {
					sent = append(sent, time.Now())
					fleet.Done(&choice, placement.SignalAnswered, nil, 0)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, len(sent) > 30)
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					count++
				}
			}
			assert.Assert(t, float64(count) <= bound, "%d in a second", count)
		}
	})
}

// TestServerExcludedOnReportsOfTwoPeers: a server that failed several peers is left out, one peer's word
// is not enough, and a silent peer's word is forgotten.
func TestServerExcludedOnReportsOfTwoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(many(3)...)
		was := choose(t, fleet, 1)
		failed := newFleet(many(3)...)
		choice, _ := failed.Choose(askFor(1))
		failed.Done(&choice, placement.SignalNoConnection, nil, 0)
		word := &teaselv1.Presence{
			Name: "entry-1",
		}
		failed.FillPresence(word)
		assert.Equal(t, len(word.GetFailing()), 1)
		fleet.ApplyPresence(word)
		assert.Equal(t, choose(t, fleet, 1), was)
		word.Name = "entry-2"
		fleet.ApplyPresence(word)
		assert.Assert(t, choose(t, fleet, 1) != was)
		time.Sleep(2 * time.Second)
		assert.Equal(t, choose(t, fleet, 1), was)
	})
}

// TestDoubtfulServersOnlyIfNoOther: a server whose registration may have lapsed gets a
// request only when no other can.
func TestDoubtfulServersOnlyIfNoOther(t *testing.T) {
	fleet := newFleet(many(2)...)
	fleet.SetDoubtful([]string{"server-0"})
	for i := range 20 {
		assert.Equal(t, choose(t, fleet, i), "server-1")
	}
	fleet.Remove([]string{"server-1"})
	assert.Equal(t, choose(t, fleet, 1), "server-0")
}
