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

// homesAtTarget is in how many homes a site's backend servers may lie, and
// serversAtTarget how many an entry may own, when a whole failure domain but
// one entry is down.
const (
	targetHomes   = 16
	targetServers = 256
)

// MeasureDecisions measures steering and the slots as their candidates grow.
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
		places := Candidates(homes)
		objective := intent.Objective{
			Latency:  0.4,
			Headroom: 0.4,
		}
		each := measureRepeated(func() { steering.Rank(objective, places) })
		decide.Points = append(decide.Points, slope.Point{
			Size:  float64(homes),
			Value: float64(each.CPUTime.Nanoseconds()),
		})
		decideAllocations.Points = append(decideAllocations.Points, slope.Point{
			Size:  float64(homes),
			Value: each.Allocations,
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
		each := measureRepeated(func() { AcquireRelease(ledger) })
		acquire.Points = append(acquire.Points, slope.Point{
			Size:  float64(servers),
			Value: float64(each.CPUTime.Nanoseconds()),
		})
	}
	return []Row{decide, decideAllocations, acquire}
}

// Candidates returns homes with room at growing delays.
func Candidates(homes int) []steering.Candidate {
	places := make([]steering.Candidate, 0, homes)
	for i := range homes {
		places = append(places, steering.Candidate{
			Home:          fleet.EntryName(i),
			Region:        fleet.RegionName(i % regionCount),
			FailureDomain: fleet.DomainName(i),
			Delay:         time.Duration(i*7%homes) * time.Millisecond,
			Slots:         12,
			InUse:         i % 12,
			Reachable:     true,
		})
	}
	return places
}

// NewLedger returns the ledger of the only entry of a deployment, which owns
// all its backend servers.
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

// AcquireRelease takes a slot of the first site and gives it back.
func AcquireRelease(ledger *slot.Ledger) {
	grant, err := ledger.Acquire(context.Background(), slot.Request{
		Service:    fleet.SiteName(0),
		FromRegion: fleet.RegionName(0),
	})
	if err != nil {
		panic("acquire a measured slot: " + err.Error())
	}
	grant.Release()
}

// MeasureTimeline measures the ring of events.
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

// FullRing returns a ring full of events with details of their own.
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
