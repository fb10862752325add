package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"
)

// limitSpan is the span in which the requests to a server that states a limit are counted.
const limitSpan = 4 * time.Second

// limitSimulation lets entries send requests for two servers, of which the first one states a
// limit.
type limitSimulation struct {
	random *rand.Rand
	// limit is the limit of the first server in requests per second; 0 means none.
	limit float64
	// faults lets entries restart and datagrams get lost.
	faults  bool
	entries []*limitEntry
	group   sync.WaitGroup

	// mu guards the fields below and those of the entries that are marked.
	mu   sync.Mutex
	done bool
	// arrivals holds the arrivals at the first server that count, in their order, and all holds
	// the others as well.
	arrivals []time.Time
	all      []time.Time
}

// limitEntry is an entry of a limitSimulation.
type limitEntry struct {
	entry placement.Entry
	// fleet, startedAt and toldAt are guarded by the simulation's mu. toldAt is when the entry
	// first got a response with a limit; zero if it did not since it started.
	fleet     *placement.Fleet
	startedAt time.Time
	toldAt    time.Time
}

// limitRegions is the number of regions of a limitSimulation.
const limitRegions = 3

// newLimitSimulation returns a simulation with entries that have not sent anything.
func newLimitSimulation(seed uint64, entries int, limit float64, faults bool) *limitSimulation {
	s := &limitSimulation{
		random: rand.New(rand.NewPCG(seed, seed)),
		limit:  limit,
		faults: faults,
	}
	for index := range entries {
		s.entries = append(s.entries, &limitEntry{
			entry: placement.Entry{
				Name:   fmt.Sprintf("entry-%d", index),
				Region: fmt.Sprintf("region-%d", index%limitRegions),
			},
		})
	}
	for _, entry := range s.entries {
		s.restart(entry)
		entry.startedAt = time.Time{}
	}
	return s
}

// restart gives an entry a new process.
func (s *limitSimulation) restart(entry *limitEntry) {
	fleet := placement.New(entry.entry.Region, func() (int, int) { return 0, len(s.entries) },
		placement.WithEntries(entry.entry.Name, func() []placement.Entry {
			serving := make([]placement.Entry, 0, len(s.entries))
			for _, each := range s.entries {
				serving = append(serving, each.entry)
			}
			return serving
		}))
	var servers []routing.Server
	for index := range 2 {
		servers = append(servers, routing.Server{
			ID:            fmt.Sprintf("i-%d", index),
			Service:       "desk",
			Address:       fmt.Sprintf("10.0.0.%d:80", index),
			FailureDomain: "region-0-a",
			Region:        "region-0",
			Slots:         1 << 14,
		})
	}
	fleet.Update(servers)
	entry.fleet, entry.startedAt, entry.toldAt = fleet, time.Now(), time.Time{}
}

// run lets all entries together send demand requests per second that would go to the limited
// server, and as many for the other one.
func (s *limitSimulation) run(demand float64, duration time.Duration) {
	s.done = false
	perEntry := 2 * demand / float64(len(s.entries))
	for _, entry := range s.entries {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
		presenceSeed := s.random.Uint64()
		s.group.Go(func() { s.sendRequests(entry, perEntry, random) })
		s.group.Go(func() { s.sendPresence(entry, presenceSeed) })
	}
	time.Sleep(duration)
	s.mu.Lock()
	s.done = true
	s.mu.Unlock()
	s.group.Wait()
}

// ended reports whether run is over.
func (s *limitSimulation) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// sendRequests sends requests of an entry at random times.
func (s *limitSimulation) sendRequests(entry *limitEntry, perSecond float64, random *rand.Rand) {
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if s.ended() {
			return
		}
		s.mu.Lock()
		if s.faults && random.Float64() < 0.02/perSecond {
			s.restart(entry)
		}
		fleet := entry.fleet
		s.mu.Unlock()
		choice, refusal := fleet.Choose(&placement.Request{
			Service: "desk",
			Object:  random.Uint64(),
		})
		if refusal != placement.RefusalNone {
			continue
		}
		delay := time.Duration(random.Float64() * float64(60*time.Millisecond))
		s.group.Go(func() { s.exchange(entry, fleet, &choice, delay) })
	}
}

// exchange lets a request arrive after a delay and the response after as long again.
func (s *limitSimulation) exchange(entry *limitEntry, fleet *placement.Fleet, choice *placement.Choice, delay time.Duration) {
	time.Sleep(delay)
	var statement routing.Statement
	if choice.Server.ID == "i-0" {
		statement = s.arrive(entry)
	}
	time.Sleep(50*time.Millisecond + delay)
	if statement.Limited {
		s.mu.Lock()
		if entry.toldAt.IsZero() {
			entry.toldAt = time.Now()
		}
		s.mu.Unlock()
	}
	fleet.ObserveStatement(choice, statement)
	fleet.Done(choice, placement.SignalAnswered, nil, 50*time.Millisecond)
}

// arrive records the arrival of a request at the limited server. It counts unless the entry has
// restarted lately or has not been told of the limit. It returns what the server states.
func (s *limitSimulation) arrive(entry *limitEntry) routing.Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.all = append(s.all, now)
	told := !entry.toldAt.IsZero() && now.Sub(entry.toldAt) >= 500*time.Millisecond
	if told && now.Sub(entry.startedAt) >= limitSpan {
		s.arrivals = append(s.arrivals, now)
	}
	return routing.Statement{
		Limited:      s.limit > 0,
		RequestLimit: s.limit,
	}
}

// sendPresence sends the datagrams of an entry, with the intervals of package presence.
func (s *limitSimulation) sendPresence(entry *limitEntry, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	inRegion := len(s.entries)/limitRegions + 1
	sameInterval := min(time.Second, max(200*time.Millisecond, time.Duration(inRegion)*8*time.Millisecond))
	otherInterval := min(5*time.Second, max(200*time.Millisecond, time.Duration(len(s.entries)-inRegion)*25*time.Millisecond))
	lastSent := make(map[string]time.Time)
	time.Sleep(time.Duration(random.Float64() * float64(200*time.Millisecond)))
	for !s.ended() {
		s.mu.Lock()
		fleet := entry.fleet
		s.mu.Unlock()
		message := &teaselv1.Presence{
			Name: entry.entry.Name,
		}
		fleet.FillPresence(message)
		now := time.Now()
		for _, peer := range s.entries {
			interval := otherInterval
			if peer.entry.Region == entry.entry.Region {
				interval = sameInterval
			}
			if peer == entry || now.Sub(lastSent[peer.entry.Name]) < interval-100*time.Millisecond {
				continue
			}
			lastSent[peer.entry.Name] = now
			if s.faults && random.Float64() < 0.1 {
				continue
			}
			time.AfterFunc(55*time.Millisecond, func() {
				s.mu.Lock()
				peerFleet := peer.fleet
				s.mu.Unlock()
				peerFleet.ApplyPresence(message)
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	// Datagrams on their way end within the simulation.
	time.Sleep(100 * time.Millisecond)
}

// most returns the largest number of arrivals in any span of limitSpan that begins at or after
// a time.
func (s *limitSimulation) most(from time.Time) int {
	most, first := 0, 0
	for last, at := range s.arrivals {
		if at.Before(from) {
			first = last + 1
			continue
		}
		for at.Sub(s.arrivals[first]) > limitSpan {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// largeFleets makes TestLimitedServerUnderDemand simulate fleets of up to 300 entries and
// limits of up to 1,000 requests a second.
var largeFleets = flag.Bool("large-fleets", false, "simulate high limits and large fleets of entries")

// limitCases returns the numbers of entries and the limits to simulate.
func limitCases() (entries []int, limits []float64) {
	entries, limits = []int{1, 7, 30}, []float64{0.2, 1, 3.7, 50}
	if *largeFleets {
		entries, limits = append(entries, 100, 300), append(limits, 1000)
	}
	return entries, limits
}

// TestLimitedServerUnderDemand guards against more requests to a server than the limit that it
// states allows, summed over all entries, and against a limit that is not used up: a server that
// states one while there is three times as much demand, with entries that restart and datagrams
// that get lost, and without.
func TestLimitedServerUnderDemand(t *testing.T) {
	sizes, limits := limitCases()
	for _, entries := range sizes {
		for _, limit := range limits {
			for _, faults := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d-entries-limit-%g-faults-%t", entries, limit, faults), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newLimitSimulation(uint64(entries), entries, limit, faults)
						s.run(3*limit, 24*time.Second)
						began := time.Now().Add(-20 * time.Second)
						allowed := 1.5*limit*limitSpan.Seconds() + 5
						most := s.most(began)
						used := 0
						for _, at := range s.all {
							if !at.Before(began) {
								used++
							}
						}
						t.Logf("at most %d of %g in four seconds, %.2f of the limit used", most, allowed, float64(used)/20/limit)
						assert.Assert(t, float64(most) <= allowed, "%d requests in four seconds; allowed %g", most, allowed)
					})
				})
			}
		}
	}
}
