package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/intent"
)

func newWorld(t *rapid.T, entries []string, caps string) *world {
	w := &world{
		t:       t,
		noise:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 1)),
		cut:     make(map[string]bool),
		caps:    caps,
		step:    50 * time.Millisecond,
		started: func(work) {},
	}
	w.versions = append(w.versions, compile(t, 1, entries, rapid.IntRange(1, 6).Draw(t, "slots"), caps))
	for _, entry := range w.versions[0].Deployment.Entries {
		w.nodes = append(w.nodes, &node{
			name:   entry.Name,
			domain: entry.FailureDomain,
			rate:   rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
		})
	}
	for _, each := range w.nodes {
		w.boot(each)
	}
	return w
}

// TestSlotsAreNeverOversubscribed draws faults in any order and holds the slots in use on each
// backend server, over all entries, against its slots after every start.
func TestSlotsAreNeverOversubscribed(t *testing.T) {
	starts, takeover := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		layouts := [][]string{
			{"one@north-a", "two-b@north-a", "three@north-b"},
			{"one@north-a", "two@north-b"},
			{"one@north-a", "two@south-a", "three@south-a"},
			{"one@north-b", "two@south-a"},
			{"one@north-b", "two@north-b", "three@south-a"},
		}
		entries := rapid.SampledFrom(layouts).Draw(t, "entries")
		w := newWorld(t, entries, openCaps)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			w.act(rapid.SampledFrom(w.nodes).Draw(t, "node"), rapid.SampledFrom(actions).Draw(t, "action"))
			w.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		starts += w.starts
		takeover += w.takeover
	})
	t.Logf("%d requests started, %d of them by deputies", starts, takeover)
	assert.Assert(t, starts > 0 && takeover > 0)
}

var actions = []string{"pause", "resume", "kill", "lose", "boot", "cut", "isolate", "heal", "publish", "apply", "nothing"}

func (w *world) act(n *node, action string) {
	switch action {
	case "pause":
		n.paused = !n.dead
	case "resume":
		w.resume(n)
	case "kill":
		// The kernel closes the connections, the backend servers cancel the work.
		n.dead = true
		w.work = remove(w.work, func(each work) bool { return each.node == n })
	case "lose":
		// Nobody closes the connections of a lost VM.
		n.dead = true
	case "boot":
		if n.dead {
			w.boot(n)
		}
	case "cut":
		w.cut[n.domain+" "+w.nodes[w.noise.IntN(len(w.nodes))].domain] = true
	case "isolate":
		for _, domain := range []string{"north-a", "north-b", "south-a"} {
			w.cut[n.domain+" "+domain] = true
		}
	case "heal":
		clear(w.cut)
	case "publish":
		w.publish()
	case "apply":
		if !n.dead && !n.paused {
			w.configure(n)
		}
	}
}

func (w *world) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	if w.noise.IntN(2) == 0 {
		w.load(n)
	}
	for _, request := range n.backlog {
		n.ledger.answer(request, newResponse(w.member(n)))
	}
	n.backlog = nil
}

// publish makes a version with other slots or another set of entries; entries
// apply it one by one.
func (w *world) publish() {
	last := w.versions[len(w.versions)-1]
	var entries []string
	for _, each := range w.nodes {
		if len(entries) == 0 || w.noise.IntN(3) > 0 {
			entries = append(entries, each.name+"@"+each.domain)
		}
	}
	w.versions = append(w.versions, compile(w.t, last.Version+1, entries, 1+w.noise.IntN(6), w.caps))
}

func TestSplitSlotsSumsToSlots(t *testing.T) {
	for slots := range 40 {
		home, deputy := SplitSlots(slots)
		assert.Equal(t, home+deputy, slots)
		assert.Assert(t, home >= deputy)
		assert.Assert(t, slots < 2 || deputy > 0)
	}
}

// TestSeatsPreferNearbyEntries checks that the index finds the seats that a full sort would: the
// failure domain first, then the region, then all.
func TestSeatsPreferNearbyEntries(t *testing.T) {
	configuration := compile(t, 1, []string{"far@south-a", "near@north-b", "own@north-a"}, 3, openCaps)
	assert.DeepEqual(t, NewSeating(configuration).Seats("desk-1"), Seats{
		Home:   "own",
		Deputy: "near",
	})
	assert.Equal(t, len(NewSeating(configuration).SeatHolders("desk")), 2)
	var server *intent.BackendServer = configuration.BackendServer("desk-1")
	assert.Equal(t, Home(configuration, server), "own")
}
