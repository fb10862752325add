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
	soakDuration = flag.Duration("soak", 0, "how long TestSoak runs; 0 runs a few rounds")
	soakSeed     = flag.Uint64("soak-seed", 1, "seed of the faults of TestSoak")
)

const (
	// soakRounds is the number of rounds of faults without -soak.
	soakRounds = 4
	// maxLiveHeapBytes limits the live heap of an entry. It is half of the 32 MB
	// available to the control plane, since the garbage collector lets the heap grow
	// to twice the live heap.
	maxLiveHeapBytes = 16 << 20
	// maxGoroutineGrowth is how many more goroutines an entry may have after the
	// faults than before them, both counted without load. It allows two for each idle
	// connection that a burst of callers leaves behind.
	maxGoroutineGrowth = 2 * 64
)

// injectedFault is a fault that is in effect until heal is called.
type injectedFault struct {
	name string
	heal func()
}

// soak injects randomly chosen faults into a deployment.
type soak struct {
	*deployment
	random *rand.Rand
}

// TestSoak injects faults that a seed determines into a deployment under load,
// two at once in every other round. The promises must hold throughout, and at
// the end no entry may have leaked goroutines or memory.
func TestSoak(t *testing.T) {
	s := &soak{
		deployment: startDeployment(t, "kasikirjoitus"),
		random:     rand.New(rand.NewPCG(*soakSeed, 0)),
	}
	s.underLoad(0, func() { s.awaitRequests(200) })
	goroutinesBefore := s.readMetric("goroutines")
	startedAt := time.Now()
	report := s.underLoad(*soakSeed, func() {
		for round := 0; s.shouldRunRound(round, startedAt); round++ {
			s.runRound(round)
		}
	})
	checkPromises(t, report)
	s.checkResources(goroutinesBefore)
}

// shouldRunRound reports whether to run the round with a number.
func (s *soak) shouldRunRound(round int, startedAt time.Time) bool {
	if *soakDuration > 0 {
		return time.Since(startedAt) < *soakDuration
	}
	return round < soakRounds
}

// runRound injects one or two faults, heals them, and waits until all entries are
// ready.
func (s *soak) runRound(number int) {
	s.t.Helper()
	faults := []injectedFault{s.injectEntryFault(s.Entries[s.random.IntN(len(s.Entries))].Name)}
	if number%2 == 1 {
		faults = append(faults, s.injectExternalFault())
	}
	for _, fault := range faults {
		s.t.Logf("round %d: %s", number, fault.name)
	}
	s.awaitRequests(40)
	for _, fault := range faults {
		fault.heal()
	}
	s.awaitAllReady()
	s.awaitRequests(20)
}

// injectEntryFault kills, pauses or stops an entry.
func (s *soak) injectEntryFault(name string) injectedFault {
	switch s.random.IntN(3) {
	case 0:
		s.killEntry(name)
		return injectedFault{
			name: "killed " + name,
			heal: func() { s.startEntry(name) },
		}
	case 1:
		s.pause(name)
		s.eventually(name+" counts as dead", func() bool { return s.allSeePeerState(name, "dead") })
		return injectedFault{
			name: "paused " + name,
			heal: func() { s.resume(name) },
		}
	}
	s.stopEntry(name)
	return injectedFault{
		name: "replaced " + name,
		heal: func() { s.startEntry(name) },
	}
}

// pause suspends the process of an entry.
func (d *deployment) pause(name string) {
	d.signal(name, syscall.SIGSTOP)
}

// resume continues the process of a paused entry.
func (d *deployment) resume(name string) {
	d.signal(name, syscall.SIGCONT)
}

// injectExternalFault takes the platform down, partitions a failure domain, or
// makes a backend server truncate its responses. Once the platform is up again, the
// responses of its next three writes are lost.
func (s *soak) injectExternalFault() injectedFault {
	switch s.random.IntN(3) {
	case 0:
		outage := []store.Outage{store.OutageRefuse, store.OutageHang}[s.random.IntN(2)]
		s.platform.SetFault(store.Fault{
			Outage: outage,
		})
		return injectedFault{
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
		s.partition(domain)
		return injectedFault{
			name: "partitioned " + domain,
			heal: s.relay.HealPartitions,
		}
	}
	servers := s.fleet.Servers()
	server := servers[s.random.IntN(len(servers))].Name
	assert.NilError(s.t, s.fleet.SetFault(server, backend.Fault{
		AffectedRequests: 5,
		Truncated:        true,
	}))
	return injectedFault{
		name: "truncated responses of " + server,
		heal: func() { assert.NilError(s.t, s.fleet.SetFault(server, backend.Fault{})) },
	}
}

// readMetric returns the value of a metric at each entry, by the entry's name. The
// value must be positive.
func (s *soak) readMetric(metric string) map[string]int64 {
	s.t.Helper()
	values := make(map[string]int64)
	for _, entry := range s.Entries {
		response, err := http.Get("http://" + entry.OperatorsAddress + "/metrics")
		assert.NilError(s.t, err)
		var all map[string]struct {
			Value int64 `json:"value"`
		}
		err = json.NewDecoder(response.Body).Decode(&all)
		assert.NilError(s.t, response.Body.Close())
		assert.NilError(s.t, err)
		assert.Assert(s.t, all[metric].Value > 0, "%s of %s", metric, entry.Name)
		values[entry.Name] = all[metric].Value
	}
	return values
}

// checkResources checks that no entry has more than maxGoroutineGrowth goroutines above
// goroutinesBefore, which holds the earlier numbers by the entry's name, and that the
// live heap of each entry is below maxLiveHeapBytes.
func (s *soak) checkResources(goroutinesBefore map[string]int64) {
	s.t.Helper()
	goroutinesAfter, heap := s.readMetric("goroutines"), s.readMetric("heap-live-bytes")
	for _, entry := range s.Entries {
		name := entry.Name
		s.t.Logf("%s: %d goroutines before, %d after, %d KB of live heap", name, goroutinesBefore[name], goroutinesAfter[name], heap[name]>>10)
		assert.Assert(s.t, goroutinesAfter[name] <= goroutinesBefore[name]+maxGoroutineGrowth, "%s has %d goroutines after %d", name, goroutinesAfter[name], goroutinesBefore[name])
		assert.Assert(s.t, heap[name] < maxLiveHeapBytes, "%s holds %d bytes", name, heap[name])
	}
}
