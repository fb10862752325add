package steering

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/intent"
)

// LoadView holds the last known load of every entry VM that holds slots, and ranks
// these entry VMs as targets for requests. Peers' loads arrive with heartbeats.
type LoadView struct {
	// Entry is this entry's name.
	Entry string
	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// OwnLoad returns this entry's own load for a service, and false if it has no
	// seat at any of the service's backend servers.
	OwnLoad func(service string) (slot.Load, bool)
	// OwnLoads returns this entry's own loads for all services.
	OwnLoads func() []slot.Load
	// Peer returns a peer by name, and whether it is known.
	Peer func(name string) (membership.Peer, bool)
	// Random returns a number in [0, 1) to break ties with; nil stands for
	// rand.Float64.
	Random func() float64

	// routes is the route table of the last configuration used.
	routes  atomic.Pointer[routeTable]
	mu      sync.Mutex
	reports map[loadKey]*loadReport
}

// loadKey identifies a load report by the entry VM that sent it and the service.
type loadKey struct {
	home    string
	service string
}

// loadReport is a peer's last reported load for a service.
type loadReport struct {
	slots      int
	inUse      int
	waiting    int
	measuredAt time.Time
	// netSent is the number of requests that this entry has sent to the peer since
	// the report, less those that have ended since. It corrects inUse without delay
	// for what this entry does itself.
	netSent int
}

// maxCandidates is how many slot holders, nearest first, are ranked for a request.
// Further ones are ranked only until one with a free slot is found.
const maxCandidates = 16

// routeTable holds the delays between regions and the slot holders by distance,
// both derived from one configuration.
type routeTable struct {
	configuration *intent.Configuration
	seating       *slot.Seating
	delays        map[regionPair]time.Duration
	// holders caches the result of sortHolders: holdersKey to []seatHolder.
	holders sync.Map
}

// regionPair is the key of the delay from one region to another.
type regionPair struct {
	from string
	to   string
}

// holdersKey identifies a cached list of slot holders.
type holdersKey struct {
	service string
	region  string
}

// seatHolder is an entry VM that has a seat at a backend server of a service, and
// so may hold slots of it.
type seatHolder struct {
	name          string
	region        string
	failureDomain string
	// delay is the one-way delay from the region that the list was made for.
	delay time.Duration
	// draining reports whether the configuration drains the entry VM.
	draining bool
}

// forConfiguration returns the route table of a later configuration. It reuses what
// the configuration didn't change.
func (t *routeTable) forConfiguration(configuration *intent.Configuration) *routeTable {
	next := &routeTable{
		configuration: configuration,
		seating:       t.seating.ForConfiguration(configuration),
		delays:        t.delays,
	}
	if t.configuration == nil || !configuration.SharesDeployment(t.configuration) {
		next.delays = regionDelays(configuration)
	}
	return next
}

// regionDelays returns the delay of each link in both directions.
func regionDelays(configuration *intent.Configuration) map[regionPair]time.Duration {
	delays := make(map[regionPair]time.Duration)
	for _, link := range configuration.Deployment.Links {
		from, to := link.Between[0], link.Between[1]
		delays[regionPair{
			from: from,
			to:   to,
		}] = time.Duration(link.Delay)
		delays[regionPair{
			from: to,
			to:   from,
		}] = time.Duration(link.Delay)
	}
	return delays
}

// holdersNear returns the entry VMs that may hold slots of a service, those in the
// region first and then by delay. The result is cached.
func (t *routeTable) holdersNear(service, region string) []seatHolder {
	key := holdersKey{
		service: service,
		region:  region,
	}
	if known, found := t.holders.Load(key); found {
		return known.([]seatHolder)
	}
	holders := t.sortHolders(service, region)
	t.holders.Store(key, holders)
	return holders
}

// sortHolders computes the result of holdersNear.
func (t *routeTable) sortHolders(service, region string) []seatHolder {
	names := t.seating.SeatHolders(service)
	holders := make([]seatHolder, 0, len(names))
	for _, name := range names {
		domain := t.configuration.Entry(name).FailureDomain
		holderRegion := t.configuration.RegionOf(domain)
		holders = append(holders, seatHolder{
			name:          name,
			region:        holderRegion,
			failureDomain: domain,
			delay: t.delays[regionPair{
				from: region,
				to:   holderRegion,
			}],
			draining: t.configuration.EntryDraining(name),
		})
	}
	slices.SortStableFunc(holders, func(a, b seatHolder) int {
		if (a.region == region) != (b.region == region) {
			if a.region == region {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.delay, b.delay)
	})
	return holders
}

// HeartbeatExtension exchanges loads with peers in heartbeats.
func (v *LoadView) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		FillRequest: func(_ *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
			request.Loads = v.encodeOwnLoads()
		},
		HandleRequest: func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
			v.recordReports(request.GetSender().GetName(), request.GetLoads())
			response.Loads = v.encodeOwnLoads()
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			v.recordReports(response.GetReceiver().GetName(), response.GetLoads())
		},
	}
}

// recordReports replaces the loads last reported by a peer.
func (v *LoadView) recordReports(home string, loads []*teaselv1.RegionLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reports == nil {
		v.reports = make(map[loadKey]*loadReport)
	}
	for _, each := range loads {
		v.reports[loadKey{
			home:    home,
			service: each.GetService(),
		}] = &loadReport{
			slots:      int(each.GetSlots()),
			inUse:      int(each.GetInFlight()),
			waiting:    int(each.GetWaiting()),
			measuredAt: time.Now().Add(-time.Duration(each.GetAgeMs()) * time.Millisecond),
		}
	}
}

// encodeOwnLoads returns this entry's loads for a heartbeat.
func (v *LoadView) encodeOwnLoads() []*teaselv1.RegionLoad {
	var loads []*teaselv1.RegionLoad
	for _, own := range v.OwnLoads() {
		loads = append(loads, &teaselv1.RegionLoad{
			Service:       own.Service,
			FailureDomain: own.FailureDomain,
			Slots:         uint32(own.Slots),
			InFlight:      uint32(own.InUse),
			Waiting:       uint32(own.Waiting),
		})
	}
	return loads
}

// TrackInFlight counts a request that is sent to the entry VM home as using a slot
// there until done is called. done must be called exactly once.
func (v *LoadView) TrackInFlight(home, service string) (done func()) {
	key := loadKey{
		home:    home,
		service: service,
	}
	v.adjustNetSent(key, 1)
	return func() { v.adjustNetSent(key, -1) }
}

// adjustNetSent adds change to the requests sent since the last report, if there
// is one.
func (v *LoadView) adjustNetSent(key loadKey, change int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.reports[key]; known != nil {
		known.netSent += change
	}
}

// RankHomes ranks the entry VMs that may hold slots of a service for a request from
// a region, with the first chosen at random among those of about equal cost.
func (v *LoadView) RankHomes(service *intent.Service, region string) []RankedCandidate {
	configuration := v.Configuration()
	if configuration == nil {
		return nil
	}
	ranked := v.RankHomesByCost(service, region)
	random := rand.Float64
	if v.Random != nil {
		random = v.Random
	}
	BreakTies(configuration.Deployment.Objective, ranked, random())
	return ranked
}

// RankHomesByCost ranks the entry VMs as RankHomes does, strictly by cost.
func (v *LoadView) RankHomesByCost(service *intent.Service, region string) []RankedCandidate {
	configuration := v.Configuration()
	if configuration == nil || service == nil {
		return nil
	}
	current := v.routes.Load()
	if current == nil || current.configuration != configuration {
		current = v.updateRoutes(current, configuration)
	}
	holders := current.holdersNear(service.Name, region)
	candidates := make([]Candidate, 0, min(len(holders), maxCandidates))
	hasFreeSlot := false
	for _, each := range holders {
		if len(candidates) >= maxCandidates && hasFreeSlot {
			break
		}
		candidate := v.candidate(service, each, region)
		hasFreeSlot = hasFreeSlot || candidate.refusalReason() == "" && candidate.freeSlots() > 0
		candidates = append(candidates, candidate)
	}
	return Rank(configuration.Deployment.Objective, candidates)
}

// updateRoutes stores the route table of a configuration. Concurrent requests
// compute the same table, so that it doesn't matter whose is stored.
func (v *LoadView) updateRoutes(current *routeTable, configuration *intent.Configuration) *routeTable {
	if current == nil {
		current = &routeTable{
			seating: &slot.Seating{},
		}
	}
	next := current.forConfiguration(configuration)
	v.routes.Store(next)
	return next
}

// relayDelay is added to the delay of a candidate other than this entry, for the
// extra hop through that entry.
const relayDelay = time.Millisecond

// candidate returns a slot holder with its last known load as a candidate for a
// request from a region.
func (v *LoadView) candidate(service *intent.Service, holder seatHolder, region string) Candidate {
	candidate := Candidate{
		Home:          holder.name,
		Region:        holder.region,
		FailureDomain: holder.failureDomain,
		Delay:         holder.delay,
		Draining:      holder.draining,
		CrossRegion:   holder.region != region,
	}
	if holder.name == v.Entry {
		own, _ := v.OwnLoad(service.Name)
		candidate.Reachable = true
		candidate.Slots = own.Slots
		candidate.InUse = own.InUse
		candidate.Waiting = own.Waiting
		return candidate
	}
	candidate.Delay += relayDelay
	peer, known := v.Peer(holder.name)
	candidate.Reachable = known && peer.State == membership.Alive && !peer.Member.GetStopping()
	v.mu.Lock()
	defer v.mu.Unlock()
	if report := v.reports[loadKey{
		home:    holder.name,
		service: service.Name,
	}]; report != nil {
		candidate.Slots = report.slots
		candidate.InUse = max(0, report.inUse+report.netSent)
		candidate.Waiting = report.waiting
		candidate.LoadAge = time.Since(report.measuredAt)
	}
	return candidate
}
