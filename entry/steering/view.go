package steering

import (
	"sync"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/intent"
)

// View is what an entry knows of the room at all homes.
type View struct {
	// Entry is this entry's name.
	Entry string
	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// Own returns the state of this entry's own backend servers.
	Own func() []slot.Status
	// Peer returns a peer, and whether it is known.
	Peer func(name string) (membership.Peer, bool)

	mu    sync.Mutex
	loads map[loadKey]load
}

type loadKey struct {
	home    string
	service string
}

type load struct {
	slots    int
	inUse    int
	waiting  int
	measured time.Time
}

// Part returns the view's news for the heartbeats.
func (v *View) Part() membership.Part {
	return membership.Part{
		Ask: func(_ *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
			request.Loads = v.ownLoads()
		},
		Answer: func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
			v.learn(request.GetSender().GetName(), request.GetLoads())
			response.Loads = v.ownLoads()
		},
		Learn: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			v.learn(response.GetReceiver().GetName(), response.GetLoads())
		},
	}
}

func (v *View) learn(home string, loads []*teaselv1.RegionLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loads == nil {
		v.loads = make(map[loadKey]load)
	}
	for _, each := range loads {
		v.loads[loadKey{
			home:    home,
			service: each.GetService(),
		}] = load{
			slots:    int(each.GetSlots()),
			inUse:    int(each.GetInFlight()),
			waiting:  int(each.GetWaiting()),
			measured: time.Now().Add(-time.Duration(each.GetAgeMs()) * time.Millisecond),
		}
	}
}

func (v *View) ownLoads() []*teaselv1.RegionLoad {
	byService := make(map[string]*teaselv1.RegionLoad)
	var loads []*teaselv1.RegionLoad
	for _, status := range v.Own() {
		sum := byService[status.Server.Service]
		if sum == nil {
			sum = &teaselv1.RegionLoad{
				Service:       status.Server.Service,
				FailureDomain: status.Server.FailureDomain,
			}
			byService[status.Server.Service] = sum
			loads = append(loads, sum)
		}
		if !status.Draining {
			sum.Slots += uint32(status.Usable)
			sum.InFlight += uint32(status.InUse)
		}
	}
	return loads
}

// Places ranks the homes of a service as a region sees them.
func (v *View) Places(service *intent.Service, region string) []Ranked {
	configuration := v.Configuration()
	if configuration == nil {
		return nil
	}
	var places []Place
	seen := make(map[string]bool)
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		home := slot.Home(configuration, server)
		if !seen[home] {
			seen[home] = true
			places = append(places, v.place(configuration, service, home, region))
		}
	}
	return Decide(configuration.Deployment.Objective, places)
}

func (v *View) place(configuration *intent.Configuration, service *intent.Service, home, region string) Place {
	domain := configuration.Entry(home).FailureDomain
	place := Place{
		Home:          home,
		Region:        configuration.RegionOf(domain),
		FailureDomain: domain,
		Reachable:     home == v.Entry,
	}
	place.Delay = configuration.Delay(region, place.Region)
	if peer, known := v.Peer(home); known {
		place.Reachable = peer.State == membership.Alive && !peer.Member.GetStopping()
	}
	if home == v.Entry {
		v.learn(home, v.ownLoads())
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known, reported := v.loads[loadKey{
		home:    home,
		service: service.Name,
	}]
	if reported {
		place.Slots = known.slots
		place.InUse = known.inUse
		place.Waiting = known.waiting
		place.Age = time.Since(known.measured)
	}
	return place
}
