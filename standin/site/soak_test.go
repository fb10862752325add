package site_test

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/backend"
	"github.com/teaselstack/teaselstack/standin/store"
)

var (
	soakDuration = flag.Duration("soak", 0, "how long TestSoak goes on; 0 is a few rounds")
	soakSeed     = flag.Uint64("soak-seed", 1, "seed of TestSoak's faults")
)

const (
	// soakRounds is how many rounds of faults the short form has.
	soakRounds = 4
	// maxLiveHeap is the most live heap of an entry, in bytes: half of the
	// target's 32 MB for control, since the collector lets the heap double.
	maxLiveHeap = 16 << 20
	// goroutineGrowth is how many more goroutines an entry may have after the
	// faults than before them, both under no load: two for each connection that
	// a burst of callers has left idle.
	goroutineGrowth = 2 * 64
)

// strike is a fault of the soak: it takes place, and is over after heal.
type strike struct {
	name string
	heal func()
}

// soak draws faults for a deployment.
type soak struct {
	*deployment
	random *rand.Rand
}

// TestSoak lets seeded faults, every other time two together, strike a
// deployment under load. The promises hold throughout, and at its end no entry
// has more goroutines or memory than a fresh one may.
func TestSoak(t *testing.T) {
	s := &soak{
		deployment: start(t, "kasikirjoitus"),
		random:     rand.New(rand.NewPCG(*soakSeed, 0)),
	}
	s.underLoad(0, func() { s.served(200) })
	before := s.metric("goroutines")
	begun := time.Now()
	report := s.underLoad(*soakSeed, func() {
		for round := 0; s.goesOn(round, begun); round++ {
			s.round(round)
		}
	})
	held(t, report)
	s.flat(before)
}

func (s *soak) goesOn(round int, begun time.Time) bool {
	if *soakDuration > 0 {
		return time.Since(begun) < *soakDuration
	}
	return round < soakRounds
}

// round lets one or two faults strike, and waits until all is well again.
func (s *soak) round(number int) {
	s.t.Helper()
	strikes := []strike{s.strikeEntry(s.Entries[s.random.IntN(len(s.Entries))].Name)}
	if number%2 == 1 {
		strikes = append(strikes, s.strikeAround())
	}
	for _, each := range strikes {
		s.t.Logf("round %d: %s", number, each.name)
	}
	s.served(40)
	for _, each := range strikes {
		each.heal()
	}
	s.allReady()
	s.served(20)
}

// strikeEntry lets a fault strike one entry.
func (s *soak) strikeEntry(name string) strike {
	switch s.random.IntN(3) {
	case 0:
		s.killEntry(name)
		return strike{
			name: "killed " + name,
			heal: func() { s.startEntry(name) },
		}
	case 1:
		s.pause(name)
		s.eventually(name+" counts as dead", func() bool { return s.allSee(name, "dead") })
		return strike{
			name: "paused " + name,
			heal: func() { s.resume(name) },
		}
	}
	s.stopEntry(name)
	return strike{
		name: "replaced " + name,
		heal: func() { s.startEntry(name) },
	}
}

// pause stops an entry without its knowing.
func (d *deployment) pause(name string) {
	d.signal(name, syscall.SIGSTOP)
}

func (d *deployment) resume(name string) {
	d.signal(name, syscall.SIGCONT)
}

// strikeAround lets a fault strike what surrounds the entries.
func (s *soak) strikeAround() strike {
	switch s.random.IntN(3) {
	case 0:
		outage := []store.Outage{store.OutageRefuse, store.OutageHang}[s.random.IntN(2)]
		s.platform.SetFault(store.Fault{
			Outage: outage,
		})
		return strike{
			name: "platform down, calls " + string(outage),
			heal: func() {
				s.platform.SetFault(store.Fault{
					LostResponses: 3,
				})
			},
		}
	case 1:
		domains := s.Configuration.Deployment.FailureDomains
		domain := domains[s.random.IntN(len(domains))].Name
		s.cutOff(domain)
		return strike{
			name: "cut off " + domain,
			heal: s.relay.HealPartitions,
		}
	}
	servers := s.fleet.Servers()
	server := servers[s.random.IntN(len(servers))].Name
	assert.NilError(s.t, s.fleet.SetFault(server, backend.Fault{
		AffectedRequests: 5,
		Truncated:        true,
	}))
	return strike{
		name: "short answers of " + server,
		heal: func() { assert.NilError(s.t, s.fleet.SetFault(server, backend.Fault{})) },
	}
}

// metric returns one of the metrics of each entry.
func (s *soak) metric(metric string) map[string]int64 {
	s.t.Helper()
	values := make(map[string]int64)
	for _, entry := range s.Entries {
		answer, err := http.Get("http://" + entry.OperatorsAddress + "/metrics")
		assert.NilError(s.t, err)
		var all map[string]struct {
			Value int64 `json:"value"`
		}
		err = json.NewDecoder(answer.Body).Decode(&all)
		assert.NilError(s.t, answer.Body.Close())
		assert.NilError(s.t, err)
		assert.Assert(s.t, all[metric].Value > 0, "%s of %s", metric, entry.Name)
		values[entry.Name] = all[metric].Value
	}
	return values
}

// flat asserts that goroutines and memory did not grow with the faults.
func (s *soak) flat(before map[string]int64) {
	s.t.Helper()
	after, heap := s.metric("goroutines"), s.metric("heap-live-bytes")
	for _, entry := range s.Entries {
		name := entry.Name
		s.t.Logf("%s: %d goroutines before, %d after, %d KB of live heap", name, before[name], after[name], heap[name]>>10)
		assert.Assert(s.t, after[name] <= before[name]+goroutineGrowth, "%s has %d goroutines after %d", name, after[name], before[name])
		assert.Assert(s.t, heap[name] < maxLiveHeap, "%s holds %d bytes", name, heap[name])
	}
}
