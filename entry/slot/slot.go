// Package slot allocates the slots of backend servers to requests. A slot is the
// right to run one request on a backend server. No backend server is given more
// requests at a time than it has slots, and no region more requests per second
// than its caps, the rates that the configuration sets for a service in a region.
//
// Two entry VMs may have a seat at a backend server, which is the right to allocate
// slots of it: its home and its deputy. The configuration alone determines which
// entry VMs these are. How many slots each may use depends on the heartbeats and
// leases that it has received from the other. See lease.go for these rules, seat.go
// for the choice of home and deputy, queue.go for the order of waiting requests and
// share.go for the caps.
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

// Errors of Acquire. Each means that no slot was acquired.
var (
	// ErrNoServer reports that this entry has a seat at no backend server that accepts
	// the request, or that it has lost the use of all slots of the service while the
	// request waited.
	ErrNoServer = errors.New("no backend server")
	// ErrNoSlot reports that the request got no slot before its context was done, that
	// it is not expected to end before its deadline, that this entry may use no slot
	// now, that the queue is full, or that an Immediate request would have to wait.
	ErrNoSlot = errors.New("no room")
)

// Priority orders waiting requests; a higher one goes first.
type Priority uint8

// Priorities of requests.
const (
	// PriorityBulk is the priority of uploads and other requests of a bulk
	// service.
	PriorityBulk Priority = iota
	// PriorityIdempotent is the priority of idempotent requests of an
	// interactive service.
	PriorityIdempotent
	// PriorityNonIdempotent is the priority of non-idempotent requests of an
	// interactive service, such as an offer or a booking.
	PriorityNonIdempotent

	// priorityCount is the number of priorities.
	priorityCount = iota
)

// deadlineMargin is added to the deadline of a request to get the time by which
// its backend server has certainly ended it. The server counts the deadline from
// the arrival of the request, which is later than its start at the entry.
const deadlineMargin = time.Second

// Role is the kind of seat that this entry has at a backend server.
type Role string

// Roles of an entry at a backend server.
const (
	RoleHome   Role = "home"
	RoleDeputy Role = "deputy"
)

// Request describes a request for a slot.
type Request struct {
	Service  string
	Priority Priority
	// Caller is the address of the caller. Callers of the same priority take
	// turns.
	Caller string
	// OriginRegion is the region of the entry that received the request from the caller.
	OriginRegion string
	// Exclude names the backend servers that the request must not be given to, for
	// example because it failed there before.
	Exclude []string
	// Immediate makes Acquire refuse a request that would have to wait for a slot,
	// or for the caps longer than maxImmediateWait.
	Immediate bool
}

// Ledger allocates the slots of the backend servers at which this entry has a seat. It
// counts the slots in use and holds the requests that wait for one.
type Ledger struct {
	// Entry is this entry's name.
	Entry string
	// Events records takeovers and pauses; it may be nil.
	Events *timeline.Ring
	// LeasesEnabled reports whether entries exchange leases on slots in their
	// heartbeats; see HeartbeatExtension. Otherwise the home may use all slots and
	// the deputy none.
	LeasesEnabled bool
	// RunningPeers lists the peers that are not known to be dead, including
	// those that the configuration does not contain. It may be nil; then only the
	// entries in the configuration count as possible former holders of a seat.
	RunningPeers func() []string
	// Clock returns the time; if it is nil, time.Now is used.
	Clock func() time.Time

	// mu guards the fields below and the records that they hold.
	mu            sync.Mutex
	configuration *intent.Configuration
	seating       *Seating
	// servers holds the backend servers at which this entry has a seat, by name.
	servers map[string]*server
	// reassigned holds the backend servers at which this entry has lost its seat
	// while slots are still in use, by name.
	reassigned map[string]*server
	// queues holds the waiting requests by service.
	queues map[string]*queue
	// peers holds the records of other entries by name.
	peers map[string]*peer
	// contactPeriods holds the newest period of contact with each failure domain.
	contactPeriods map[string]*contactPeriod
	// peerVersions holds the configuration version in the response to the newest
	// heartbeat to which each peer has responded.
	peerVersions map[string]uint64
	// newestVersion is the highest configuration version in any heartbeat or response of
	// a peer.
	newestVersion uint64
	// lastClockReading is the last reading of the clock.
	lastClockReading time.Time
	// resumedAt is when this process last resumed after a pause; zero if it was
	// never paused.
	resumedAt time.Time
}

// server is the state of a backend server at which this entry has a seat, or at
// which it has lost its seat while slots are still in use.
type server struct {
	// declared is the backend server as the configuration declares it.
	declared *intent.BackendServer
	// role is the kind of seat that this entry has at the server.
	role Role
	// ownSlots is the number of the server's slots that this entry owns as home
	// or as deputy. It matters only where takeoverAllowed is false.
	ownSlots int
	// workTimeout is how long a request may run on the server: the longest
	// deadline that its service has had plus deadlineMargin.
	workTimeout time.Duration
	// ramp is how long the server takes to warm up.
	ramp time.Duration
	// partner is the holder of the other seat; nil if there is none.
	partner *peer
	// takeoverAllowed reports whether the home is in the server's failure
	// domain, where the deputy can tell a dead home from a partitioned one.
	takeoverAllowed bool
	// seatVersion is the configuration version that gave this entry its seat, or
	// that last changed the seat's role or partner or the server's failure domain. If
	// there is no partner, it is the version in force.
	seatVersion uint64
	// seatSettled reports whether all possible former holders have vacated the
	// seat. While leases are enabled, this entry may use no slot until then.
	seatSettled bool

	// draining reports whether the configuration drains the server.
	draining bool
	// failing reports whether the health of the server forbids new work.
	failing bool
	// warmingSince is when the server last began to warm up; zero if it never
	// has.
	warmingSince time.Time
	// inUse is the number of slots that requests of this entry hold.
	inUse int
	// requests is the number of requests that this entry has started on the server.
	requests uint64
	// lastStart is when this entry last started a request on the server.
	lastStart time.Time
}

// Grant is the right to use one slot of a backend server until Release is called.
type Grant struct {
	// Server is the backend server as the configuration declared it at the time of the
	// grant.
	Server *intent.BackendServer

	ledger    *Ledger
	backend   *server
	grantedAt time.Time
	once      sync.Once
}

// Status is the state of one backend server at this entry.
type Status struct {
	Server *intent.BackendServer
	Role   Role
	// Usable is the number of slots that this entry may have in use now.
	Usable   int
	InUse    int
	Draining bool
	// Failing reports whether the health of the server forbids new work.
	Failing bool
	// Warming reports whether the server is warming up, so that this entry may use
	// only a part of its slots.
	Warming bool
	// Requests is the number of requests that this entry has started on the server,
	// LastStart when it started the last one.
	Requests  uint64
	LastStart time.Time
}

// Load is the load of one service at this entry.
type Load struct {
	Service string
	// FailureDomain is that of the service's first backend server at which this
	// entry has a seat.
	FailureDomain string
	// Slots is the number of slots that this entry may use on backend servers that
	// accept work, InUse the number of its requests that run on the servers of these
	// slots.
	Slots int
	InUse int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
}

// Configure applies a new configuration.
func (l *Ledger) Configure(configuration *intent.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.readClock()
	l.initMaps()
	if l.seating == nil {
		l.seating = &Seating{}
	}
	l.seating = l.seating.ForConfiguration(configuration)
	first := l.configuration == nil
	next := make(map[string]*server)
	queues := make(map[string]*queue)
	for _, service := range configuration.Services {
		q := l.queues[service.Name]
		if q == nil {
			q = newQueue(service.Name)
		}
		q.servers = nil
		for i := range service.BackendServers {
			if !slices.Contains(l.seating.SeatHolders(service.Name), l.Entry) {
				break
			}
			declared := &service.BackendServers[i]
			seats := l.seating.Seats(declared.Name)
			if seats.Home != l.Entry && seats.Deputy != l.Entry {
				continue
			}
			backend := l.configureServer(configuration, service, declared, seats, now)
			// A server that the last configuration did not contain warms up, unless this
			// entry has used it before.
			if backend.requests == 0 && backend.warmingSince.IsZero() && !first && l.configuration.BackendServer(declared.Name) == nil {
				backend.warmingSince = now
			}
			next[declared.Name] = backend
			q.servers = append(q.servers, backend)
		}
		q.configureCaps(service, l.LeasesEnabled)
		queues[service.Name] = q
	}
	for _, other := range l.peers {
		other.deputySuspended = other.deputySuspended && !first && configuration.Version <= l.configuration.Version
	}
	l.replaceServers(next, queues)
	l.configuration = configuration
	l.settleSeats(now)
	l.assignAllSlots(now)
}

// Partners returns the names of the entry VMs that hold the other seat at a
// backend server at which this entry has one.
func (l *Ledger) Partners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seating == nil {
		return nil
	}
	return l.seating.Partners(l.Entry)
}

// initMaps creates the maps of a new ledger. The caller holds the lock.
func (l *Ledger) initMaps() {
	if l.peers != nil {
		return
	}
	l.peers = make(map[string]*peer)
	l.reassigned = make(map[string]*server)
	l.contactPeriods = make(map[string]*contactPeriod)
	l.peerVersions = make(map[string]uint64)
}

// configureServer updates the record of a backend server to a configuration, or
// creates the record, and returns it.
func (l *Ledger) configureServer(configuration *intent.Configuration, service *intent.Service, declared *intent.BackendServer, seats Seats, now time.Time) *server {
	home, deputy := SplitSlots(declared.Slots)
	role, ownSlots, partner := RoleHome, home, seats.Deputy
	if seats.Home != l.Entry {
		role, ownSlots, partner = RoleDeputy, deputy, seats.Home
	}
	backend := l.servers[declared.Name]
	if backend == nil {
		backend = l.reassigned[declared.Name]
	}
	if backend == nil {
		backend = &server{}
	}
	if backend.declared == nil || backend.role != role || backend.partner == nil || backend.partner.name != partner ||
		backend.declared.FailureDomain != declared.FailureDomain {
		backend.seatVersion = configuration.Version
		backend.seatSettled = false
	}
	if backend.draining && !configuration.ServerDraining(declared) {
		backend.warmingSince = now
	}
	backend.declared = declared
	backend.role = role
	backend.ownSlots = ownSlots
	// Work that began under a longer deadline may still run.
	backend.workTimeout = max(backend.workTimeout, time.Duration(service.Deadline)+deadlineMargin)
	backend.ramp = time.Duration(service.Ramp)
	backend.draining = configuration.ServerDraining(declared)
	backend.takeoverAllowed = configuration.Entry(seats.Home).FailureDomain == declared.FailureDomain
	backend.partner = nil
	if partner != "" {
		backend.partner = l.ensurePeer(partner, configuration.Entry(partner).FailureDomain, now)
	}
	return backend
}

// replaceServers replaces the servers and queues by those of a new configuration.
// It moves the servers at which this entry loses its seat while slots are in use to
// reassigned, and refuses the requests that wait for a service that is gone.
func (l *Ledger) replaceServers(next map[string]*server, queues map[string]*queue) {
	for name, backend := range l.servers {
		if next[name] == nil && backend.inUse > 0 {
			backend.partner = nil
			l.reassigned[name] = backend
		}
	}
	for name := range next {
		delete(l.reassigned, name)
	}
	for name, q := range l.queues {
		if queues[name] == nil {
			q.refuseAll()
		}
	}
	l.servers = next
	l.queues = queues
}

// Acquire waits until ctx is done for a slot on a backend server of the service.
// If no slot can be granted now, it returns ErrNoSlot at once in these cases: the request
// is not expected to end before the deadline of ctx, it is Immediate and would have to
// wait, the queue is full, or this entry may use no slot.
func (l *Ledger) Acquire(ctx context.Context, request Request) (*Grant, error) {
	l.mu.Lock()
	now := l.readClock()
	q := l.queues[request.Service]
	if q == nil || !q.hasServerFor(request) {
		l.mu.Unlock()
		return nil, ErrNoServer
	}
	if q.count == 0 {
		if chosen := l.chooseServer(q, request, now); chosen != nil {
			defer l.mu.Unlock()
			return l.grantSlot(chosen, q, request, now), nil
		}
	}
	deadline, hasDeadline := ctx.Deadline()
	if request.Immediate && !q.immediatelyAvailable(l, request, now) || !q.canMeetDeadline(l, request, now, deadline, hasDeadline) {
		l.mu.Unlock()
		return nil, ErrNoSlot
	}
	waiting := q.enqueue(request)
	l.assignSlots(q, now)
	l.mu.Unlock()
	select {
	case grant := <-waiting.grant:
		if grant == nil {
			return nil, ErrNoServer
		}
		return grant, nil
	case <-ctx.Done():
		return nil, l.abandon(q, waiting)
	}
}

// abandon removes a request from its queue, or releases the slot that it has just been
// given. It returns ErrNoSlot.
func (l *Ledger) abandon(q *queue, waiting *waiter) error {
	l.mu.Lock()
	removed := q.remove(waiting)
	l.mu.Unlock()
	if removed {
		return ErrNoSlot
	}
	if grant := <-waiting.grant; grant != nil {
		grant.Release()
	}
	return ErrNoSlot
}

// grantSlot grants a request one slot of a backend server. The caller holds the lock.
func (l *Ledger) grantSlot(backend *server, q *queue, request Request, now time.Time) *Grant {
	q.shares[backend.declared.Region].consume(now, request.OriginRegion != backend.declared.Region)
	backend.inUse++
	backend.requests++
	backend.lastStart = now
	return &Grant{
		Server:    backend.declared,
		ledger:    l,
		backend:   backend,
		grantedAt: now,
	}
}

// Release frees the slot. Further calls do nothing.
func (g *Grant) Release() {
	g.once.Do(func() {
		l := g.ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.readClock()
		g.backend.inUse--
		if g.backend.inUse < 0 {
			panic("slot: more slots released than were in use on " + g.Server.Name)
		}
		if l.reassigned[g.Server.Name] == g.backend && g.backend.inUse == 0 {
			delete(l.reassigned, g.Server.Name)
		}
		if q := l.queues[g.Server.Service]; q != nil {
			q.recordHoldTime(now.Sub(g.grantedAt))
			l.assignSlots(q, now)
		}
	})
}

// MarkFailing records whether the health of a backend server forbids new work.
// A server that recovers warms up over its service's ramp.
func (l *Ledger) MarkFailing(name string, failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	backend := l.servers[name]
	if backend == nil || backend.failing == failing {
		return
	}
	now := l.readClock()
	backend.failing = failing
	if !failing {
		backend.warmingSince = now
	}
	if q := l.queues[backend.declared.Service]; q != nil {
		l.assignSlots(q, now)
	}
}

// Status returns the state of all backend servers at which this entry has a
// seat.
func (l *Ledger) Status() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.readClock()
	var all []Status
	for _, backend := range l.servers {
		all = append(all, Status{
			Server:    backend.declared,
			Role:      backend.role,
			Usable:    l.usableSlots(backend, now),
			InUse:     backend.inUse,
			Draining:  backend.draining,
			Failing:   backend.failing,
			Warming:   backend.warmSlots(now) < backend.declared.Slots,
			Requests:  backend.requests,
			LastStart: backend.lastStart,
		})
	}
	return all
}

// Load returns the load of a service at this entry. The bool reports whether this entry
// has a seat at any of the service's backend servers.
func (l *Ledger) Load(service string) (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[service]
	if q == nil || len(q.servers) == 0 {
		return Load{}, false
	}
	return l.serviceLoad(q, l.readClock()), true
}

// Loads returns the load of each service at whose backend servers this entry has a
// seat.
func (l *Ledger) Loads() []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.readClock()
	var loads []Load
	for _, q := range l.queues {
		if len(q.servers) > 0 {
			loads = append(loads, l.serviceLoad(q, now))
		}
	}
	return loads
}

// serviceLoad returns the load of the service of a queue, which has at least
// one backend server. The caller holds the lock.
func (l *Ledger) serviceLoad(q *queue, now time.Time) Load {
	load := Load{
		Service:       q.service,
		FailureDomain: q.servers[0].declared.FailureDomain,
		Waiting:       q.count,
	}
	for _, backend := range q.servers {
		if usable := l.usableSlots(backend, now); usable > 0 && backend.acceptsWork() {
			load.Slots += usable
			load.InUse += backend.inUse
		}
	}
	return load
}

// slotUses returns the numbers of slots that this entry has in use on the backend
// servers whose other seat the partner holds, and on those at which this entry has
// lost its seat. The caller holds the lock.
func (l *Ledger) slotUses(partner string) []*teaselv1.SlotUse {
	var uses []*teaselv1.SlotUse
	add := func(backend *server) {
		if backend.inUse > 0 {
			uses = append(uses, &teaselv1.SlotUse{
				Server: backend.declared.Name,
				InUse:  uint32(backend.inUse),
			})
		}
	}
	for _, backend := range l.servers {
		if backend.partner != nil && backend.partner.name == partner {
			add(backend)
		}
	}
	for _, backend := range l.reassigned {
		add(backend)
	}
	return uses
}
