// Package slot owns the slots of the backend servers that have a seat at this
// entry, so that no backend server is ever given more requests than it has
// slots, and no region more than its caps.
//
// Two entries have a seat at a backend server, its home and its deputy. The
// configuration alone says who; what each may use follows from what it has heard
// of the other. See lease.go for the rules, queue.go for the order of waiting
// requests and share.go for the caps.
package slot

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/timeline"
)

// Errors of Acquire. Each means that nothing was given out.
var (
	// ErrNoServer says that this entry owns no usable backend server of the service.
	ErrNoServer = errors.New("no backend server")
	// ErrNoSlot says that no slot will come free before the deadline.
	ErrNoSlot = errors.New("no room")
)

// Priority orders waiting requests when room is short; a higher one goes first.
type Priority uint8

// Priorities of requests.
const (
	// PriorityBulk is an upload or another request of a bulk service.
	PriorityBulk Priority = iota
	// PriorityIdempotent is an idempotent request of an interactive service.
	PriorityIdempotent
	// PriorityNonIdempotent is a non-idempotent request of an interactive service: an offer,
	// a booking.
	PriorityNonIdempotent

	priorities = iota
)

// settleTime is how long after a request's deadline its backend server, which
// counts the deadline from the arrival, is surely done with it.
const settleTime = time.Second

// Role is the seat of this entry at a backend server.
type Role string

// Roles of an entry.
const (
	RoleHome   Role = "home"
	RoleDeputy Role = "deputy"
)

// Request describes who wants a slot.
type Request struct {
	Service  string
	Priority Priority
	// Caller is the caller's address, for fairness among callers.
	Caller string
	// FromRegion is the region of the entry that admitted the request.
	FromRegion string
	// Exclude names backend servers that already failed the request.
	Exclude []string
	// Immediate refuses where the request would have to wait for a slot.
	Immediate bool
}

// Ledger counts the slots in use on each backend server that has a seat at
// this entry. Without Paired the home uses all slots and leases nothing.
type Ledger struct {
	// Entry is this entry's name.
	Entry string
	// Events takes takeovers and pauses; it may be nil.
	Events *timeline.Ring
	// LeasesEnabled says that peers hold the other seats and that Part is exchanged.
	LeasesEnabled bool
	// RunningPeers lists the peers that are believed to run, those included that the
	// configuration does not name; nil stands for none.
	RunningPeers func() []string
	// Clock reads the time; nil stands for time.Now.
	Clock func() time.Time

	mu            sync.Mutex
	configuration *intent.Configuration
	seating       *Seating
	servers       map[string]*server
	// leaving holds servers whose seat has gone elsewhere, while slots are in use.
	leaving map[string]*server
	queues  map[string]*queue
	peers   map[string]*peer
	reached map[string]*reach
	// versions holds the configuration versions that peers named themselves.
	versions map[string]uint64
	// newest is the highest version that a peer named.
	newest uint64
	// observed is the last reading of the clock, woken when it last jumped.
	observed time.Time
	woken    time.Time
}

type server struct {
	intent   *intent.BackendServer
	role     Role
	part     int
	deadline time.Duration
	ramp     time.Duration
	// other holds the other seat; nil when there is none.
	other *peer
	// takeable says that the deputy can tell a dead home from a cut.
	takeable bool
	// version is the configuration version that gave the seat, settled whether
	// all others have applied it.
	version uint64
	settled bool

	draining bool
	failing  bool
	// cold is when the server began to warm up; zero for a warm one.
	cold      time.Time
	inUse     int
	requests  uint64
	lastStart time.Time
}

// Grant is the use of one slot until Release.
type Grant struct {
	Server *intent.BackendServer

	ledger *Ledger
	server *server
	start  time.Time
	once   sync.Once
}

// Status is the state of one backend server.
type Status struct {
	Server    *intent.BackendServer
	Role      Role
	Usable    int
	InUse     int
	Draining  bool
	Failing   bool
	Warming   bool
	Requests  uint64
	LastStart time.Time
}

// Load is the room of one service at this entry.
type Load struct {
	Service       string
	FailureDomain string
	Slots         int
	InUse         int
	Waiting       int
}

// Configure takes a new configuration over.
func (l *Ledger) Configure(configuration *intent.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.observe()
	l.prepare()
	if l.seating == nil {
		l.seating = &Seating{}
	}
	l.seating = l.seating.ForConfiguration(configuration)
	first := l.configuration == nil
	next := make(map[string]*server)
	queues := make(map[string]*queue)
	for _, service := range configuration.Services {
		waiting := l.queues[service.Name]
		if waiting == nil {
			waiting = newQueue(service.Name)
		}
		waiting.servers = nil
		for i := range service.BackendServers {
			if !slices.Contains(l.seating.SeatHolders(service.Name), l.Entry) {
				break
			}
			backend := &service.BackendServers[i]
			seats := l.seating.Seats(backend.Name)
			if seats.Home != l.Entry && seats.Deputy != l.Entry {
				continue
			}
			known := l.seat(configuration, service, backend, seats, now)
			if known.requests == 0 && known.cold.IsZero() && !first && l.configuration.BackendServer(backend.Name) == nil {
				known.cold = now
			}
			next[backend.Name] = known
			waiting.servers = append(waiting.servers, known)
		}
		waiting.configure(service, l.LeasesEnabled)
		queues[service.Name] = waiting
	}
	for _, known := range l.peers {
		known.stale = known.stale && !first && configuration.Version <= l.configuration.Version
	}
	l.replace(next, queues)
	l.configuration = configuration
	l.settle(now)
	l.pumpAll(now)
}

// Partners returns the entry VMs with which this entry shares the slots of a
// backend server.
func (l *Ledger) Partners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seating == nil {
		return nil
	}
	return l.seating.Partners(l.Entry)
}

// prepare makes the maps of a new ledger.
func (l *Ledger) prepare() {
	if l.peers != nil {
		return
	}
	l.peers = make(map[string]*peer)
	l.leaving = make(map[string]*server)
	l.reached = make(map[string]*reach)
	l.versions = make(map[string]uint64)
}

// seat returns the record of a backend server under a configuration.
func (l *Ledger) seat(configuration *intent.Configuration, service *intent.Service, backend *intent.BackendServer, seats Seats, now time.Time) *server {
	home, deputy := SplitSlots(backend.Slots)
	role, part, other := RoleHome, home, seats.Deputy
	if seats.Home != l.Entry {
		role, part, other = RoleDeputy, deputy, seats.Home
	}
	known := l.servers[backend.Name]
	if known == nil {
		known = l.leaving[backend.Name]
	}
	if known == nil {
		known = &server{}
	}
	if known.intent == nil || known.role != role || known.other == nil || known.other.name != other ||
		known.intent.FailureDomain != backend.FailureDomain {
		known.version = configuration.Version
		known.settled = false
	}
	if known.draining && !configuration.ServerDraining(backend) {
		known.cold = now
	}
	known.intent = backend
	known.role = role
	known.part = part
	// Work that began under a longer deadline may still run.
	known.deadline = max(known.deadline, time.Duration(service.Deadline)+settleTime)
	known.ramp = time.Duration(service.Ramp)
	known.draining = configuration.ServerDraining(backend)
	known.takeable = configuration.Entry(seats.Home).FailureDomain == backend.FailureDomain
	known.other = nil
	if other != "" {
		known.other = l.peer(other, configuration.Entry(other).FailureDomain, now)
	}
	return known
}

// replace puts the records of a new configuration in force.
func (l *Ledger) replace(next map[string]*server, queues map[string]*queue) {
	for name, known := range l.servers {
		if next[name] == nil && known.inUse > 0 {
			known.other = nil
			l.leaving[name] = known
		}
	}
	for name := range next {
		delete(l.leaving, name)
	}
	for name, waiting := range l.queues {
		if queues[name] == nil {
			waiting.refuseAll()
		}
	}
	l.servers = next
	l.queues = queues
}

// Acquire waits for a slot of a backend server of the service until ctx is done.
// It refuses at once when the wait would pass the deadline.
func (l *Ledger) Acquire(ctx context.Context, ask Request) (*Grant, error) {
	l.mu.Lock()
	now := l.observe()
	waiting := l.queues[ask.Service]
	if waiting == nil || !waiting.offers(ask) {
		l.mu.Unlock()
		return nil, ErrNoServer
	}
	if waiting.count == 0 {
		if chosen := l.choose(waiting, ask, now); chosen != nil {
			defer l.mu.Unlock()
			return l.start(chosen, waiting, ask, now), nil
		}
	}
	deadline, bounded := ctx.Deadline()
	if ask.Immediate && !waiting.brief(l, ask, now) || !waiting.mayWait(l, ask, now, deadline, bounded) {
		l.mu.Unlock()
		return nil, ErrNoSlot
	}
	request := waiting.push(ask)
	l.pump(waiting, now)
	l.mu.Unlock()
	select {
	case grant := <-request.answer:
		if grant == nil {
			return nil, ErrNoServer
		}
		return grant, nil
	case <-ctx.Done():
		return nil, l.abandon(waiting, request)
	}
}

// abandon takes a request out of its queue, or gives back what it just got.
func (l *Ledger) abandon(waiting *queue, request *waiter) error {
	l.mu.Lock()
	removed := waiting.remove(request)
	l.mu.Unlock()
	if removed {
		return ErrNoSlot
	}
	if grant := <-request.answer; grant != nil {
		grant.Release()
	}
	return ErrNoSlot
}

// start uses one slot. The caller holds the lock and has chosen the server.
func (l *Ledger) start(chosen *server, waiting *queue, ask Request, now time.Time) *Grant {
	waiting.shares[chosen.intent.Region].take(now, ask.FromRegion != chosen.intent.Region)
	chosen.inUse++
	chosen.requests++
	chosen.lastStart = now
	return &Grant{
		Server: chosen.intent,
		ledger: l,
		server: chosen,
		start:  now,
	}
}

// Release gives the slot back. Further calls do nothing.
func (g *Grant) Release() {
	g.once.Do(func() {
		l := g.ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.observe()
		g.server.inUse--
		if g.server.inUse < 0 {
			panic("slot: more slots given back than were in use on " + g.Server.Name)
		}
		if l.leaving[g.Server.Name] == g.server && g.server.inUse == 0 {
			delete(l.leaving, g.Server.Name)
		}
		if waiting := l.queues[g.Server.Service]; waiting != nil {
			waiting.measure(now.Sub(g.start))
			l.pump(waiting, now)
		}
	})
}

// MarkFailing records whether a backend server's health forbids new work. One that
// recovers warms up over its service's ramp.
func (l *Ledger) MarkFailing(name string, failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.servers[name]
	if known == nil || known.failing == failing {
		return
	}
	now := l.observe()
	known.failing = failing
	if !failing {
		known.cold = now
	}
	if waiting := l.queues[known.intent.Service]; waiting != nil {
		l.pump(waiting, now)
	}
}

// Status returns the state of all backend servers with a seat at this entry.
func (l *Ledger) Status() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.observe()
	var all []Status
	for _, known := range l.servers {
		all = append(all, Status{
			Server:    known.intent,
			Role:      known.role,
			Usable:    l.usable(known, now),
			InUse:     known.inUse,
			Draining:  known.draining,
			Failing:   known.failing,
			Warming:   known.warmSlots(now) < known.intent.Slots,
			Requests:  known.requests,
			LastStart: known.lastStart,
		})
	}
	return all
}

// Load returns the room of a service at this entry; false when it has no seat
// at any of its servers.
func (l *Ledger) Load(service string) (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.queues[service]
	if waiting == nil || len(waiting.servers) == 0 {
		return Load{}, false
	}
	return l.load(waiting, l.observe()), true
}

// Loads returns the room of all services at this entry.
func (l *Ledger) Loads() []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.observe()
	var loads []Load
	for _, waiting := range l.queues {
		if len(waiting.servers) > 0 {
			loads = append(loads, l.load(waiting, now))
		}
	}
	return loads
}

func (l *Ledger) load(waiting *queue, now time.Time) Load {
	load := Load{
		Service:       waiting.service,
		FailureDomain: waiting.servers[0].intent.FailureDomain,
		Waiting:       waiting.count,
	}
	for _, known := range waiting.servers {
		if usable := l.usable(known, now); usable > 0 && known.open() {
			load.Slots += usable
			load.InUse += known.inUse
		}
	}
	return load
}

// uses lists the slots in use on servers that a peer has the other seat of, and
// on those whose seat has gone elsewhere. The caller holds the lock.
func (l *Ledger) uses(name string) []*teaselv1.SlotUse {
	var uses []*teaselv1.SlotUse
	add := func(known *server) {
		if known.inUse > 0 {
			uses = append(uses, &teaselv1.SlotUse{
				Server: known.intent.Name,
				InUse:  uint32(known.inUse),
			})
		}
	}
	for _, known := range l.servers {
		if known.other != nil && known.other.name == name {
			add(known)
		}
	}
	for _, known := range l.leaving {
		add(known)
	}
	return uses
}
