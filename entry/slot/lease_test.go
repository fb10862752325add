package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/intent"
)

// newSimulation returns a simulation in which a process of each entry runs. The
// entries and caps are given as for compileConfiguration.
func newSimulation(t *rapid.T, entries []string, caps string) *simulation {
	s := &simulation{
		t:           t,
		random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 1)),
		partitioned: make(map[string]bool),
		caps:        caps,
		step:        50 * time.Millisecond,
		onStart:     func(runningRequest) {},
	}
	s.configurations = append(s.configurations, compileConfiguration(t, 1, entries, rapid.IntRange(1, 6).Draw(t, "slots"), caps))
	for _, entry := range s.configurations[0].Deployment.Entries {
		s.entries = append(s.entries, &simulatedEntry{
			name:      entry.Name,
			domain:    entry.FailureDomain,
			clockRate: rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
		})
	}
	for _, entry := range s.entries {
		s.startProcess(entry)
	}
	return s
}

// TestSlotsAreNeverOversubscribed applies actions to random entries in random order.
// Whenever a request starts, it checks that the requests that run on the backend
// server, summed over all entries, don't exceed the server's slots.
func TestSlotsAreNeverOversubscribed(t *testing.T) {
	starts, deputyStarts := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		layouts := [][]string{
			{"one@north-a", "two-b@north-a", "three@north-b"},
			{"one@north-a", "two@north-b"},
			{"one@north-a", "two@south-a", "three@south-a"},
			{"one@north-b", "two@south-a"},
			{"one@north-b", "two@north-b", "three@south-a"},
		}
		entries := rapid.SampledFrom(layouts).Draw(t, "entries")
		s := newSimulation(t, entries, unlimitedCaps)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			s.applyAction(rapid.SampledFrom(s.entries).Draw(t, "node"), rapid.SampledFrom(actions).Draw(t, "action"))
			s.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		starts += s.startCount
		deputyStarts += s.deputyStartCount
	})
	t.Logf("%d requests started, %d of them by deputies", starts, deputyStarts)
	assert.Assert(t, starts > 0 && deputyStarts > 0)
}

// actions are the faults, repairs and configuration changes that applyAction handles:
// "kill" ends a process, "lose" stops a VM without closing its connections, "boot"
// starts a process on a dead VM, "cut" partitions two failure domains, "isolate" one
// from all others, "publish" adds a configuration version and "apply" makes an entry
// apply the newest.
var actions = []string{"pause", "resume", "kill", "lose", "boot", "cut", "isolate", "heal", "publish", "apply", "nothing"}

// applyAction carries out one of the actions on an entry.
func (s *simulation) applyAction(entry *simulatedEntry, action string) {
	switch action {
	case "pause":
		entry.paused = !entry.dead
	case "resume":
		s.resume(entry)
	case "kill":
		// The kernel closes the connections, so the backend servers cancel the work.
		entry.dead = true
		s.requests = removeRequests(s.requests, func(request runningRequest) bool { return request.entry == entry })
	case "lose":
		// The connections stay open, so the work goes on.
		entry.dead = true
	case "boot":
		if entry.dead {
			s.startProcess(entry)
		}
	case "cut":
		s.partitioned[entry.domain+" "+s.entries[s.random.IntN(len(s.entries))].domain] = true
	case "isolate":
		for _, domain := range []string{"north-a", "north-b", "south-a"} {
			s.partitioned[entry.domain+" "+domain] = true
		}
	case "heal":
		clear(s.partitioned)
	case "publish":
		s.publish()
	case "apply":
		if !entry.dead && !entry.paused {
			s.configureNewest(entry)
		}
	}
}

// resume ends a pause of an entry. With a chance of one half, the entry starts
// requests before it handles the heartbeats that arrived during the pause. The responses
// to these are lost.
func (s *simulation) resume(entry *simulatedEntry) {
	if !entry.paused {
		return
	}
	entry.paused = false
	if s.random.IntN(2) == 0 {
		s.startRequests(entry)
	}
	for _, request := range entry.backlog {
		entry.ledger.handleRequest(request, newResponse(s.member(entry)))
	}
	entry.backlog = nil
}

// publish adds a configuration version with a random number of slots and a random
// subset of the entries. Each entry applies it with a later "apply" or "boot".
func (s *simulation) publish() {
	last := s.configurations[len(s.configurations)-1]
	var entries []string
	for _, entry := range s.entries {
		if len(entries) == 0 || s.random.IntN(3) > 0 {
			entries = append(entries, entry.name+"@"+entry.domain)
		}
	}
	s.configurations = append(s.configurations, compileConfiguration(s.t, last.Version+1, entries, 1+s.random.IntN(6), s.caps))
}

// TestSplitSlotsSumsToSlots checks that the parts of home and deputy sum to the slots,
// that the home's part is no smaller than the deputy's, and that the deputy gets at least
// one of several slots.
func TestSplitSlotsSumsToSlots(t *testing.T) {
	for slots := range 40 {
		home, deputy := SplitSlots(slots)
		assert.Equal(t, home+deputy, slots)
		assert.Assert(t, home >= deputy)
		assert.Assert(t, slots < 2 || deputy > 0)
	}
}

// TestSeatsPreferNearbyEntries checks that seats go to entries in the server's
// failure domain first, then to those in its region, then to all others.
func TestSeatsPreferNearbyEntries(t *testing.T) {
	configuration := compileConfiguration(t, 1, []string{"far@south-a", "near@north-b", "own@north-a"}, 3, unlimitedCaps)
	assert.DeepEqual(t, NewSeating(configuration).Seats("desk-1"), Seats{
		Home:   "own",
		Deputy: "near",
	})
	assert.Equal(t, len(NewSeating(configuration).SeatHolders("desk")), 2)
	var server *intent.BackendServer = configuration.BackendServer("desk-1")
	assert.Equal(t, Home(configuration, server), "own")
}
