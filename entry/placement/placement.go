// Package placement decides which backend server runs a request. Weighted
// rendezvous hashing gives each object an order of servers. Entries of the same
// region that know the same servers compute the same order without communicating. A
// request goes to the first server of its object's order, which most likely has the
// object warm, or to one of the next servers if that is expected to answer sooner.
package placement

import (
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

// Fleet tracks the backend servers that one entry knows and places requests on
// them.
type Fleet struct {
	// Region is the region of the entry.
	Region string
	// EntryPosition returns this entry's index among all entries and their number. It
	// must not call the fleet, whose lock is held.
	EntryPosition func() (index, count int)
	// OnStateChange is called when the state of a server changes; it may be nil. It
	// must not call the fleet, whose lock is held.
	OnStateChange func(server *routing.Server, state ServerState, cause string)
	// OnLimitChange is called when a server states a limit on the rate of requests, another
	// limit, or none any more, to this entry or to a peer; it may be nil. It must not call the
	// fleet, whose lock is held.
	OnLimitChange func(server *routing.Server, statement routing.Statement, fromPeer bool)

	options options
	// startedAt is when New was called.
	startedAt time.Time
	mu        sync.Mutex
	// servers is keyed by server ID. byService holds the same servers, keyed by the
	// name of the service and ordered by ID.
	servers   map[string]*serverRecord
	byService map[string][]*serverRecord
	// regions is the set of the regions of all servers.
	regions map[string]bool
	// weights caches the results of slotWeights.
	weights map[slotWeightsKey]cachedSlotWeights
	// evacuated is the set of evacuated failure domains.
	evacuated map[string]bool
	// returning holds the failure domains whose evacuation has ended while it isn't known which
	// of their servers are cold, with the time from which registrations say so.
	returning map[string]time.Time
	// registrationsAt is the time as of which the registrations are known, and
	// registrationsCompleteAt that as of which none was missing because of an outage of the store.
	// They are complete again from registrationsSettleAt on.
	registrationsAt         time.Time
	registrationsCompleteAt time.Time
	registrationsSettleAt   time.Time
	// checksChanged receives a value when a check of a server's health is scheduled.
	checksChanged chan struct{}
	// serviceSettings is keyed by the name of the service.
	serviceSettings map[string]*routing.Service
	// serviceTimes is keyed by the name of the route.
	serviceTimes map[string]*serviceTimeEstimate
	// roundTrips holds the estimated round-trip time to the servers of each region.
	roundTrips  map[string]time.Duration
	warm        warmObjects
	peerReports peerReports
	// byWireHash holds the same servers as servers, keyed by their wire hash.
	byWireHash map[uint32]*serverRecord
	// departed holds what servers had stated whose registrations are gone.
	departed map[routing.Incarnation]departedServer
	// peerDemands is keyed by the peer's name.
	peerDemands map[string]*peerDemand
	// entries caches the entries that serve callers, as of entriesAt.
	entries   []Entry
	entriesAt time.Time
	// utilizations is keyed by the name of the service.
	utilizations map[string]cachedUtilization
}

// ServerState is the state of a backend server as one entry sees it.
type ServerState string

// States of a backend server.
const (
	StateUp ServerState = "up"
	// StateCold is a server that has recently started and is still slow.
	StateCold     ServerState = "cold"
	StateDraining ServerState = "draining"
	// StateGone is a server whose registration was removed.
	StateGone ServerState = "gone"
	// StateFailing is a server that is excluded because requests to it failed, or
	// because another server answered at its address.
	StateFailing ServerState = "failing"
	// StateDoubtful is a server that may be gone, see [Fleet.SetDoubtful].
	StateDoubtful ServerState = "doubtful"
	// StateUnverified is a server at whose address another process than the registered one may
	// run.
	StateUnverified ServerState = "unverified"
	// StateWaiting is a server that wants no request from this entry for some time.
	StateWaiting ServerState = "waiting"
)

// options holds the values that an Option sets.
type options struct {
	// failureDomain is set by WithFailureDomain.
	failureDomain string
	// coldRateLimit is set by WithColdRateLimit.
	coldRateLimit func() (factor, slack float64)
	// registrationLag is set by WithRegistrationLag, and connected by WithConnections.
	registrationLag func() time.Duration
	connected       func(incarnation routing.Incarnation, from, before time.Time) bool
	// entryName and servingEntries are set by WithEntries.
	entryName      string
	servingEntries func() []Entry
}

// Entry is an entry that serves callers.
type Entry struct {
	Name   string
	Region string
}

// Option configures a Fleet.
type Option func(*options)

// WithFailureDomain sets the failure domain of the entry, which its uploads prefer.
func WithFailureDomain(name string) Option {
	return func(o *options) { o.failureDomain = name }
}

// WithColdRateLimit sets the limit for the requests per second that all entries
// together send to a cold server: the ColdRateLimit of its service, multiplied by
// factor, plus slack.
func WithColdRateLimit(limit func() (factor, slack float64)) Option {
	return func(o *options) { o.coldRateLimit = limit }
}

// WithRegistrationLag sets how old the registrations may be until servers that answer no requests
// may have started again unnoticed. By default, or if the function returns 0, they may not.
func WithRegistrationLag(lag func() time.Duration) Option {
	return func(o *options) { o.registrationLag = lag }
}

// WithConnections sets the function that reports whether there is an idle connection to a server
// that was opened at a time or later, and before another one. By default there is none. The function
// must not call the fleet, whose lock is held.
func WithConnections(connected func(incarnation routing.Incarnation, from, before time.Time) bool) Option {
	return func(o *options) { o.connected = connected }
}

// WithEntries sets the name of this entry and how to get all entries that serve callers, this
// one included if it does. By default there is this entry only. The function must not call
// the fleet, whose lock is held.
func WithEntries(name string, serving func() []Entry) Option {
	return func(o *options) { o.entryName, o.servingEntries = name, serving }
}

// New returns a fleet without servers, for an entry in a region.
func New(region string, entryPosition func() (index, count int), opts ...Option) *Fleet {
	fleet := &Fleet{
		Region:        region,
		EntryPosition: entryPosition,
		startedAt:     time.Now(),
		options: options{
			coldRateLimit:   func() (factor, slack float64) { return 1, 0 },
			registrationLag: func() time.Duration { return 0 },
			connected:       func(routing.Incarnation, time.Time, time.Time) bool { return false },
			servingEntries: func() []Entry {
				return []Entry{
					{
						Region: region,
					},
				}
			},
		},
		servers:         make(map[string]*serverRecord),
		byService:       make(map[string][]*serverRecord),
		regions:         make(map[string]bool),
		weights:         make(map[slotWeightsKey]cachedSlotWeights),
		evacuated:       make(map[string]bool),
		returning:       make(map[string]time.Time),
		serviceSettings: make(map[string]*routing.Service),
		serviceTimes:    make(map[string]*serviceTimeEstimate),
		roundTrips:      make(map[string]time.Duration),
		utilizations:    make(map[string]cachedUtilization),
		byWireHash:      make(map[uint32]*serverRecord),
		departed:        make(map[routing.Incarnation]departedServer),
		peerDemands:     make(map[string]*peerDemand),
		checksChanged:   make(chan struct{}, 1),
	}
	for _, option := range opts {
		option(&fleet.options)
	}
	return fleet
}

// serverRecord is the registration of a backend server and what this entry has
// observed of the server.
type serverRecord struct {
	routing.Server
	// registeredAt is when this entry read the registration, and knownSince when it first
	// read one of this incarnation.
	registeredAt time.Time
	knownSince   time.Time
	// hash is the hash of the server's ID.
	hash uint64
	// inFlight is the number of this entry's requests in flight at the server.
	inFlight int
	// othersLoad is the number of other entries' requests that the server was running
	// or queueing at othersLoadAt, by its last load report.
	othersLoad   float64
	othersLoadAt time.Time
	// coldUntil is when the server ceases to be cold. lastColdTurn is the last turn in
	// which this entry sent it a request while it was cold, see [Fleet.coldTurn].
	coldUntil    time.Time
	lastColdTurn int64
	detector     failureDetector
	// slowdown is an exponential moving average, as of slowdownAt, of the ratio of the
	// server's service times to the expected ones; 0 before the first observation.
	slowdown   float64
	slowdownAt time.Time
	// recentSlowdowns holds the ratios of the last answers for warm objects, the latest first.
	recentSlowdowns [3]float64
	// silentSince is when a request to the server last ended with a signal other than
	// SignalNone, or when one was sent while no other was in flight, whichever is later.
	// If requests are in flight and none ends with such a signal within silenceLimit from
	// then on, the server is overdue.
	silentSince  time.Time
	silenceLimit time.Duration
	// doubtful reports whether the server may be gone.
	doubtful bool
	limit    statedLimit
	leaving  statedLeaving
	// verification says which process runs at the server's address.
	verification verification
	// waitUntil is when the server, which refused a request, wants requests of this entry again,
	// and waitStatedAt is when it said so.
	waitUntil    time.Time
	waitStatedAt time.Time
}

// Request describes a request that is to be placed.
type Request struct {
	Service string
	// Object is the [ObjectHash] of the object that the request concerns.
	Object uint64
	Kind   routing.RequestKind
	Route  *routing.Route
	// TimeLeft is the time until the request's deadline; 0 means no deadline.
	TimeLeft time.Duration
	// Waited is how long the caller has been waiting.
	Waited time.Duration
	// CallerRetry reports whether the request is a caller's retry of one that was refused.
	CallerRetry bool
	// TriedServerIDs are the servers chosen for earlier attempts, which are excluded.
	TriedServerIDs []string
	// AvoidDomain, if not nil, reports whether the servers of a failure domain are excluded
	// as long as there are others.
	AvoidDomain func(name string) bool
}

// Choice is a server chosen for a request, with the values that the choice was
// based on.
type Choice struct {
	Server routing.Server
	// Rank is the index of the server in the object's order of the servers that may run
	// the request. Servers of earlier attempts are not part of it.
	Rank int
	// ExpectedLatency is the expected time until the answer.
	ExpectedLatency time.Duration
	// Load is the estimated number of requests that the server runs or queues.
	Load float64
	// LoadAge is the age of the server's last load report, or 0 if there is none.
	LoadAge time.Duration
	// RegistrationAge is how long ago this entry read the server's registration.
	RegistrationAge time.Duration
	// Cold reports whether the server has recently started and is still slow, or may have and is
	// reached on a new connection. The request uses this entry's turn at the server.
	Cold bool
	// Slowdown is the ratio of the server's service times to the expected ones, at
	// least 1.
	Slowdown float64
	// Congestion is how full the service is, from 0 (enough free slots) to 1 (hardly any).
	Congestion float64
	// RoomIn is the time until the first server wants requests again, if the request was
	// refused because all servers want none for some time.
	RoomIn time.Duration

	// route is the route of the request, or nil.
	route  *routing.Route
	object uint64
	// objectWarm reports whether the server has recently handled the object for
	// this entry.
	objectWarm bool
	// serviceTime is the expected service time of the request.
	serviceTime time.Duration
}

// Refusal is the reason why no server was chosen.
type Refusal string

// Reasons for a refusal.
const (
	// RefusalNone means that a server was chosen.
	RefusalNone Refusal = ""
	// RefusalNoServer means that no server is eligible for the request.
	RefusalNoServer Refusal = "no-backend-server"
	// RefusalNoRoom means that the eligible servers have too much load, that the rate
	// limit of cold servers is reached, or that the answer would come too late.
	RefusalNoRoom Refusal = "no-room"
)

// Choose chooses a server for a request and counts the request as in flight there
// until Done is called with the choice. If the request is refused, Done must not be
// called. The choice then describes the server with the lowest expected latency of those
// that were compared, see maxCandidates. Its Server is empty if none was, because every
// server is at maxLoad, is kept back by the rate limit of cold servers or by its own, wants
// no requests for some time, or may not run the request.
func (f *Fleet) Choose(request *Request) (Choice, Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.peerReports.expire(now)
	congestion := f.congestion(request.Service, now)
	ranked := f.rank(request, now)
	if len(ranked) == 0 {
		return Choice{}, RefusalNoServer
	}
	best, bestLatency, bestTurn := -1, time.Duration(0), false
	candidates := candidateFilter{
		fleet: f,
	}
	for rank, server := range ranked {
		if now.Before(server.waitUntil) {
			continue
		}
		if !candidates.wants(server) || f.load(server, now) >= maxLoad*float64(server.Slots) {
			continue
		}
		turn := f.takesTurn(server, now)
		if turn && !f.hasTurn(server, now) {
			continue
		}
		if server.limit.limited && candidates.count == 0 {
			server.limit.countDemand(now)
		}
		if !f.withinStatedLimit(server, now) {
			continue
		}
		latency := f.expectedLatency(request, server, rank, now)
		if best < 0 || latency < bestLatency {
			best, bestLatency, bestTurn = rank, latency, turn
		}
		candidates.add(server)
		if candidates.complete() {
			break
		}
	}
	if best < 0 {
		return Choice{
			Congestion: congestion,
			RoomIn:     roomIn(ranked, now),
		}, RefusalNoRoom
	}
	choice := f.newChoice(ranked[best], best, now)
	choice.Cold = bestTurn
	choice.ExpectedLatency = bestLatency
	choice.Congestion = congestion
	if !f.admits(request, ranked[best], bestLatency, congestion, now) && !f.admitsTrial(request, ranked[best], bestLatency, now) {
		return choice, RefusalNoRoom
	}
	f.reserve(ranked[best], bestTurn, now)
	choice.serviceTime = f.expectedServiceTime(request)
	if server := ranked[best]; server.inFlight == 1 || server.silentSince.IsZero() {
		server.silentSince, server.silenceLimit = now, silenceFactor*bestLatency
	}
	choice.route = request.Route
	choice.object = request.Object
	choice.objectWarm = f.warm.contains(ranked[best].hash, request.Object, now)
	return choice, RefusalNone
}

// candidateFilter selects the servers of an object's order that are compared: the first
// maxCandidates, and the first of another failure domain and of another region, which have
// room when those of the own have none. All entries overflow to the same servers, which so
// come to have the object warm.
type candidateFilter struct {
	fleet *Fleet
	// count is the number of servers that were added, and otherDomain and otherRegion report
	// whether one of another failure domain and of another region was among them.
	count                    int
	otherDomain, otherRegion bool
}

// wants reports whether the next server in the order is to be compared.
func (c *candidateFilter) wants(server *serverRecord) bool {
	return c.count < maxCandidates || !c.otherDomain && server.FailureDomain != c.fleet.options.failureDomain ||
		!c.otherRegion && server.Region != c.fleet.Region
}

// add records that a server is compared.
func (c *candidateFilter) add(server *serverRecord) {
	c.count++
	c.otherDomain = c.otherDomain || server.FailureDomain != c.fleet.options.failureDomain
	c.otherRegion = c.otherRegion || server.Region != c.fleet.Region
}

// complete reports whether no further server is to be compared.
func (c *candidateFilter) complete() bool {
	return c.count >= maxCandidates && c.otherDomain && c.otherRegion
}

// newChoice returns a Choice with the state of a server.
func (f *Fleet) newChoice(server *serverRecord, rank int, now time.Time) Choice {
	choice := Choice{
		Server:          server.Server,
		Rank:            rank,
		Load:            f.load(server, now),
		RegistrationAge: now.Sub(server.registeredAt),
		Slowdown:        server.slowdownNow(now),
	}
	if !server.othersLoadAt.IsZero() {
		choice.LoadAge = now.Sub(server.othersLoadAt)
	}
	return choice
}

// reserve counts a request as in flight at a server. It may use up this entry's turn at a
// cold server, and if the server states a limit, it uses up a token.
func (f *Fleet) reserve(server *serverRecord, turn bool, now time.Time) {
	if turn {
		server.lastColdTurn, _ = f.coldTurn(server, now)
	}
	if server.limit.limited {
		server.limit.tokens--
	}
	server.inFlight++
}

const (
	// panicThreshold is the share of failing servers above which none are excluded.
	panicThreshold = 0.5
	// maxCandidates is how many servers of an object's order are compared, not counting
	// those at maxLoad or kept back by the rate limit of cold servers, nor the ones that
	// candidateFilter adds. The first server has the object warm. The next ones get the
	// requests for which it has no room, and so come to have the object warm as well.
	maxCandidates = 3
	// maxLoad is the load per slot from which a server is sent no more requests. A
	// server queues a few requests and refuses any others.
	maxLoad = 3
	// silenceFactor is the ratio of a server's silenceLimit to the expected latency of
	// the request that was sent or ended at silentSince.
	silenceFactor = 2
	// minPeersReportingFailure is the number of peers that must report a server as
	// failing before this entry excludes it.
	minPeersReportingFailure = 2
	// loadReportHalfLife is the half-life of the weight of a server's load report. It is
	// about as long as a peer's report takes to arrive.
	loadReportHalfLife = 150 * time.Millisecond
)
