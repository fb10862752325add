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

// targetHomes is the number of homes that own backend servers of a site, and
// targetServers the number of servers that one entry owns, in the worst case: all
// entries of a failure domain but one are down.
const (
	targetHomes   = 16
	targetServers = 256
)

// MeasureDecisions measures steering decisions and slot acquisition for growing
// numbers of candidates.
func MeasureDecisions() []Row {
	decide := Row{
		Quantity:   "steering decision",
		Unit:       "ns of a core",
		SizeUnit:   "homes of a service",
		TargetSize: targetHomes,
	}
	decideAllocations := decide
	decideAllocations.Quantity = "heap allocations of a steering decision"
	decideAllocations.Unit = ""
	for _, homes := range []int{4, 16, 64} {
		candidates := Candidates(homes)
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
		TargetSize: targetServers,
	}
	for _, servers := range []int{16, 64, 256} {
		ledger := NewLedger(servers)
		cost := measureRepeated(func() { AcquireRelease(ledger) })
		acquire.Points = append(acquire.Points, slope.Point{
			Size:  float64(servers),
			Value: float64(cost.CPUTime.Nanoseconds()),
		})
	}
	return []Row{decide, decideAllocations, acquire}
}

// Candidates returns candidate homes with free slots and different delays.
func Candidates(homes int) []steering.Candidate {
	candidates := make([]steering.Candidate, 0, homes)
	for i := range homes {
		candidates = append(candidates, steering.Candidate{
			Home:          fleet.EntryName(i),
			Region:        fleet.RegionName(i % regionCount),
			FailureDomain: fleet.DomainName(i),
			Delay:         time.Duration(i*7%homes) * time.Millisecond,
			Slots:         12,
			InUse:         i % 12,
			Reachable:     true,
		})
	}
	return candidates
}

// NewLedger returns the ledger of the only entry of a deployment. The entry owns
// all backend servers.
func NewLedger(servers int) *slot.Ledger {
	size := fleet.Size{
		Nodes:          1,
		Regions:        1,
		FailureDomains: 1,
		Sites:          servers / 16,
		ServersPerSite: 16,
	}
	ledger := &slot.Ledger{
		Entry: fleet.EntryName(0),
	}
	ledger.Configure(mustCompile(size.Documents()))
	return ledger
}

// AcquireRelease acquires a slot of the first site and releases it.
func AcquireRelease(ledger *slot.Ledger) {
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
		_, bytes := retainedHeap(func() *timeline.Ring { return FullRing(events) })
		row.Points = append(row.Points, slope.Point{
			Size:  float64(events),
			Value: bytes,
		})
	}
	return []Row{row}
}

// FullRing returns a full ring buffer in which no two events share the memory of
// their detail text.
func FullRing(events int) *timeline.Ring {
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
