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

// LoadView is what an entry knows of the room at all owners of slots.
type LoadView struct {
	// Entry is this entry's name.
	Entry string
	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// OwnLoad returns this entry's own room for a service, Loads that for all.
	OwnLoad  func(service string) (slot.Load, bool)
	OwnLoads func() []slot.Load
	// Peer returns a peer, and whether it is known.
	Peer func(name string) (membership.Peer, bool)
	// Random returns a number from 0 to 1, not 1; nil stands for a random one.
	Random func() float64

	plan  atomic.Pointer[plan]
	mu    sync.Mutex
	loads map[loadKey]*load
}

type loadKey struct {
	home    string
	service string
}

// load is a peer's report of its room for a service.
type load struct {
	slots    int
	inUse    int
	waiting  int
	measured time.Time
	// sent counts the requests that this entry has sent since the report, less
	// those that ended: its own figures never lag.
	sent int
}

// maxCandidates is how many owners are ranked for a request: the nearest, and
// as many again while all of them are full.
const maxCandidates = 16

// plan holds what follows from a configuration alone.
type plan struct {
	configuration *intent.Configuration
	seating       *slot.Seating
	delays        map[regionPair]time.Duration
	// near holds the owners of a service's slots by nearness to a region, as
	// they are asked for.
	near sync.Map
}

// regionPair is the way from one region to another.
type regionPair struct {
	from string
	to   string
}

type nearKey struct {
	service string
	region  string
}

type owner struct {
	name   string
	region string
	domain string
	delay  time.Duration
	// leaving says that the entry is to be drained.
	leaving bool
}

// next returns the plan of a later configuration.
func (p *plan) next(configuration *intent.Configuration) *plan {
	next := &plan{
		configuration: configuration,
		seating:       p.seating.Next(configuration),
		delays:        p.delays,
	}
	if p.configuration == nil || !configuration.SharesDeployment(p.configuration) {
		next.delays = delaysOf(configuration)
	}
	return next
}

func delaysOf(configuration *intent.Configuration) map[regionPair]time.Duration {
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

// ownersNear returns the owners of a service's slots by nearness to a region.
func (p *plan) ownersNear(service, region string) []owner {
	key := nearKey{
		service: service,
		region:  region,
	}
	if known, found := p.near.Load(key); found {
		return known.([]owner)
	}
	owners := p.nearest(service, region)
	p.near.Store(key, owners)
	return owners
}

func (p *plan) nearest(service, region string) []owner {
	names := p.seating.Owners(service)
	owners := make([]owner, 0, len(names))
	for _, name := range names {
		domain := p.configuration.Entry(name).FailureDomain
		home := p.configuration.RegionOf(domain)
		owners = append(owners, owner{
			name:   name,
			region: home,
			domain: domain,
			delay: p.delays[regionPair{
				from: region,
				to:   home,
			}],
			leaving: p.configuration.EntryDraining(name),
		})
	}
	slices.SortStableFunc(owners, func(a, b owner) int {
		if (a.region == region) != (b.region == region) {
			if a.region == region {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.delay, b.delay)
	})
	return owners
}

// HeartbeatExtension returns the view's news for the heartbeats.
func (v *LoadView) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		FillRequest: func(_ *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
			request.Loads = v.ownLoads()
		},
		HandleRequest: func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
			v.learn(request.GetSender().GetName(), request.GetLoads())
			response.Loads = v.ownLoads()
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			v.learn(response.GetReceiver().GetName(), response.GetLoads())
		},
	}
}

func (v *LoadView) learn(home string, loads []*teaselv1.RegionLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loads == nil {
		v.loads = make(map[loadKey]*load)
	}
	for _, each := range loads {
		v.loads[loadKey{
			home:    home,
			service: each.GetService(),
		}] = &load{
			slots:    int(each.GetSlots()),
			inUse:    int(each.GetInFlight()),
			waiting:  int(each.GetWaiting()),
			measured: time.Now().Add(-time.Duration(each.GetAgeMs()) * time.Millisecond),
		}
	}
}

func (v *LoadView) ownLoads() []*teaselv1.RegionLoad {
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

// TrackInFlight counts a request that is sent to an owner until the returned function is
// called, which must be once.
func (v *LoadView) TrackInFlight(home, service string) (done func()) {
	key := loadKey{
		home:    home,
		service: service,
	}
	v.count(key, 1)
	return func() { v.count(key, -1) }
}

func (v *LoadView) count(key loadKey, change int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.loads[key]; known != nil {
		known.sent += change
	}
}

// RankHomes ranks the owners of a service's slots for a request of a region, spread
// over those that are equally good.
func (v *LoadView) RankHomes(service *intent.Service, region string) []RankedCandidate {
	configuration := v.Configuration()
	if configuration == nil {
		return nil
	}
	ranked := v.RankHomesByCost(service, region)
	draw := rand.Float64
	if v.Random != nil {
		draw = v.Random
	}
	BreakTies(configuration.Deployment.Objective, ranked, draw())
	return ranked
}

// RankHomesByCost ranks the owners as Places does, without the spread.
func (v *LoadView) RankHomesByCost(service *intent.Service, region string) []RankedCandidate {
	configuration := v.Configuration()
	if configuration == nil || service == nil {
		return nil
	}
	current := v.plan.Load()
	if current == nil || current.configuration != configuration {
		current = v.renew(current, configuration)
	}
	owners := current.ownersNear(service.Name, region)
	places := make([]Candidate, 0, min(len(owners), maxCandidates))
	room := false
	for _, each := range owners {
		if len(places) >= maxCandidates && room {
			break
		}
		place := v.place(service, each, region)
		room = room || place.refusal() == "" && place.free() > 0
		places = append(places, place)
	}
	return Rank(configuration.Deployment.Objective, places)
}

// renew makes the plan of a configuration. Requests that race make the same one.
func (v *LoadView) renew(current *plan, configuration *intent.Configuration) *plan {
	if current == nil {
		current = &plan{
			seating: &slot.Seating{},
		}
	}
	next := current.next(configuration)
	v.plan.Store(next)
	return next
}

// relayDelay is what the way through another entry of the region costs.
const relayDelay = time.Millisecond

func (v *LoadView) place(service *intent.Service, owner owner, region string) Candidate {
	place := Candidate{
		Home:          owner.name,
		Region:        owner.region,
		FailureDomain: owner.domain,
		Delay:         owner.delay,
		Draining:      owner.leaving,
		CrossRegion:   owner.region != region,
	}
	if owner.name == v.Entry {
		own, _ := v.OwnLoad(service.Name)
		place.Reachable = true
		place.Slots = own.Slots
		place.InUse = own.InUse
		place.Waiting = own.Waiting
		return place
	}
	place.Delay += relayDelay
	peer, known := v.Peer(owner.name)
	place.Reachable = known && peer.State == membership.Alive && !peer.Member.GetStopping()
	v.mu.Lock()
	defer v.mu.Unlock()
	if report := v.loads[loadKey{
		home:    owner.name,
		service: service.Name,
	}]; report != nil {
		place.Slots = report.slots
		place.InUse = max(0, report.inUse+report.sent)
		place.Waiting = report.waiting
		place.LoadAge = time.Since(report.measured)
	}
	return place
}
