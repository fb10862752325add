package capacity

import (
	"context"
	"time"

	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/measure/fleet"
	"github.com/teaselstack/teaselstack/measure/slope"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// targetHomesPerService is the number of candidates for a service whose 16 backend
	// servers all have different homes; see slot.Seats. Deputies, which steering ranks
	// too, are not counted.
	targetHomesPerService = 16
	// targetServersPerEntry is the number of backend servers at which one entry has
	// a seat in the worst case: in a failure domain of at most two entries, each of
	// them has a seat at all servers of the domain. At the target size, a failure
	// domain has 247 servers on average.
	targetServersPerEntry = 256
)

// MeasureDecisions measures steering decisions with growing numbers of candidates,
// and slot acquisition with growing numbers of backend servers.
func MeasureDecisions() []Row {
	decide := Row{
		Quantity:   "steering decision",
		Unit:       "ns of a core",
		SizeUnit:   "homes of a service",
		TargetSize: targetHomesPerService,
	}
	decideAllocations := decide
	decideAllocations.Quantity = "heap allocations of a steering decision"
	decideAllocations.Unit = ""
	for _, homes := range []int{4, 16, 64} {
		candidates := newCandidates(homes)
		objective := intent.Objective{
			Latency:  0.4,
			Headroom: 0.4,
		}
		cost := measureRepeated(func() { steering.Rank(objective, candidates) })
		decide.Points = append(decide.Points, slope.Point{
			Size:  float64(homes),
			Value: float64(cost.CPUTime.Nanoseconds()),
		})
		decideAllocations.Points = append(decideAllocations.Points, slope.Point{
			Size:  float64(homes),
			Value: cost.Allocations,
		})
	}
	acquire := Row{
		Quantity:   "slot acquired and released",
		Unit:       "ns of a core",
		SizeUnit:   "backend servers of an entry",
		TargetSize: targetServersPerEntry,
	}
	for _, servers := range []int{16, 64, 256} {
		ledger := newLedger(servers)
		cost := measureRepeated(func() { acquireRelease(ledger) })
		acquire.Points = append(acquire.Points, slope.Point{
			Size:  float64(servers),
			Value: float64(cost.CPUTime.Nanoseconds()),
		})
	}
	return []Row{decide, decideAllocations, acquire}
}

// newCandidates returns candidate homes, each with at least one free slot. All have
// different delays, if their number is not a multiple of 7.
func newCandidates(homes int) []steering.Candidate {
	candidates := make([]steering.Candidate, 0, homes)
	for i := range homes {
		candidates = append(candidates, steering.Candidate{
			Home:          fleet.EntryName(i),
			Region:        fleet.RegionName(i % regionCount),
			FailureDomain: fleet.FailureDomainName(i),
			Delay:         time.Duration(i*7%homes) * time.Millisecond,
			Slots:         12,
			InUse:         i % 12,
			Reachable:     true,
		})
	}
	return candidates
}

// newLedger returns the slot ledger of a deployment's only entry, which owns all
// slots of all backend servers. serverCount must be a multiple of 16.
func newLedger(serverCount int) *slot.Ledger {
	size := fleet.Size{
		Nodes:          1,
		Regions:        1,
		FailureDomains: 1,
		Sites:          serverCount / 16,
		ServersPerSite: 16,
	}
	ledger := &slot.Ledger{
		Entry: fleet.EntryName(0),
	}
	ledger.Configure(mustCompile(size.Documents()))
	return ledger
}

// acquireRelease acquires a slot of a backend server of site 0 and releases it.
func acquireRelease(ledger *slot.Ledger) {
	grant, err := ledger.Acquire(context.Background(), slot.Request{
		Service:      fleet.SiteName(0),
		OriginRegion: fleet.RegionName(0),
	})
	if err != nil {
		panic("acquire a measured slot: " + err.Error())
	}
	grant.Release()
}

// MeasureTimeline measures the memory of the ring buffer of time-line events.
func MeasureTimeline() []Row {
	row := Row{
		Quantity:   "time line's ring, full",
		Unit:       "bytes",
		SizeUnit:   "events",
		TargetSize: 20_000,
		Note:       "the default setting is 20,000",
	}
	for _, events := range []int{200, 2_000, 20_000} {
		_, bytes := retainedHeap(func() *timeline.Ring { return newFullRing(events) })
		row.Points = append(row.Points, slope.Point{
			Size:  float64(events),
			Value: bytes,
		})
	}
	return []Row{row}
}

// newFullRing returns a ring buffer that is full with the given number of time-line
// events. Each event has its own copy of the detail text, so that the memory of every
// copy is measured.
func newFullRing(events int) *timeline.Ring {
	ring := timeline.NewRing(fleet.EntryName(0), events, &timeline.Clock{})
	for range events {
		ring.Record(timeline.Event{
			Kind:    "request-not-run",
			Service: fleet.SiteName(0),
			Server:  "site-0000-1",
			Detail:  string(append([]byte(nil), "reason=no-room waited=1.2s from=10.1.2.3:40000"...)),
		})
	}
	return ring
}
