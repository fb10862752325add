package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/routing"
)

// Configure takes the services' settings over.
func (f *Fleet) Configure(configuration *routing.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = configuration.Services
}

// SetEvacuated sets the failure domains that get nothing.
func (f *Fleet) SetEvacuated(domains map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = maps.Clone(domains)
}

// Update adds servers or renews what they say of themselves.
func (f *Fleet) Update(news []routing.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := range news {
		f.update(&news[i], now)
	}
	f.index()
}

func (f *Fleet) update(news *routing.Server, now time.Time) {
	known := f.servers[news.ID]
	fresh := known == nil || known.Incarnation() != news.Incarnation()
	if fresh {
		next := &server{
			hash: xxhash.Sum64String(news.ID),
		}
		if known != nil {
			next.inFlight = known.inFlight
		}
		known = next
		f.servers[news.ID] = known
	}
	wasDraining, wasCold := known.Draining, now.Before(known.coldUntil)
	known.Server, known.registeredAt = *news, now
	if news.ColdLeft > 0 {
		known.coldUntil = now.Add(news.ColdLeft)
	}
	switch {
	case news.Draining && (fresh || !wasDraining):
		f.tell(known, StateDraining, "registration")
	case news.ColdLeft > 0 && (fresh || !wasCold):
		f.tell(known, StateCold, "registration")
	case fresh:
		f.tell(known, StateUp, "registration")
	}
}

// SetDoubtful sets the servers that may be gone: they get a request only when no
// other server can.
func (f *Fleet) SetDoubtful(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range f.servers {
		if doubtful := slices.Contains(ids, each.ID); doubtful != each.doubtful {
			each.doubtful = doubtful
			if doubtful {
				f.tell(each, StateDoubtful, "registration is missing after an outage of the store")
			}
		}
	}
}

// Remove drops servers whose registrations are gone.
func (f *Fleet) Remove(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if known := f.servers[id]; known != nil {
			delete(f.servers, id)
			f.tell(known, StateGone, "registration")
		}
	}
	f.index()
}

// index renews the servers by service, in the order of their IDs.
func (f *Fleet) index() {
	f.services = make(map[string][]*server)
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		each := f.servers[id]
		f.services[each.Service] = append(f.services[each.Service], each)
	}
}

func (f *Fleet) tell(each *server, belief ServerState, cause string) {
	if f.OnStateChange != nil {
		f.OnStateChange(&each.Server, belief, cause)
	}
}

// LoadReport is a server's own figure of its load.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// Done ends a request that Choose placed. The report is nil where the answer
// had none; took is how long the answer took, 0 if that tells nothing of the
// server.
func (f *Fleet) Done(choice *Choice, sign HealthSignal, report *LoadReport, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.servers[choice.Server.ID]
	if known == nil {
		return
	}
	known.inFlight = max(0, known.inFlight-1)
	if known.Incarnation() != choice.Server.Incarnation() {
		return
	}
	now := time.Now()
	if sign != SignalNone {
		known.waitingSince, known.waitingFor = now, patience*choice.ExpectedLatency
	}
	if report != nil {
		// The report counts this entry's other requests too, not the one that it
		// came with.
		known.others = max(0, float64(report.Running+report.Waiting-1-known.inFlight))
		known.othersAt = now
	}
	if sign == SignalAnswered {
		f.remember(choice.object, known, now)
	}
	if took > 0 && sign == SignalAnswered {
		f.learn(known, choice, took, now)
	}
	if known.health.observe(sign, now) {
		f.tell(known, StateFailing, "requests")
	}
}

// Registered reports whether a server's incarnation is registered.
func (f *Fleet) Registered(owner routing.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.servers[owner.ID]
	return known != nil && known.Incarnation() == owner
}

// Eligible reports whether a server as it was chosen still gets requests.
func (f *Fleet) Eligible(server *routing.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.servers[server.ID]
	return known != nil && known.Incarnation() == server.Incarnation() &&
		!known.Draining && !known.health.replaced && !f.evacuated[known.FailureDomain]
}
