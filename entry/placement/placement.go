// Package placement decides which backend server runs a request: the one that
// most likely has the request's object warm, as long as it has room, and
// otherwise the next in an order that all entries share without talking.
package placement

import (
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

// Fleet is what one entry knows of the backend servers.
type Fleet struct {
	// Region is the entry's own.
	Region string
	// EntryPosition returns this entry's place among all entries and how many there are.
	EntryPosition func() (index, count int)
	// OnStateChange is told of each change of belief about a server; it may be nil.
	OnStateChange func(server *routing.Server, belief ServerState, cause string)

	options   options
	mu        sync.Mutex
	servers   map[string]*server
	services  map[string][]*server
	evacuated map[string]bool
	settings  map[string]*routing.Service
	// work estimates how long a warm server takes, by route; travel the way to a
	// region and back.
	work   map[string]*estimate
	travel map[string]time.Duration
	warm   warmth
	// hearsay is what peers told.
	hearsay hearsay
	// occupied is the load of each service.
	occupied map[string]occupancy
}

// ServerState is what an entry holds of a backend server.
type ServerState string

// Beliefs about a backend server.
const (
	StateUp       ServerState = "up"
	StateCold     ServerState = "cold"
	StateDraining ServerState = "draining"
	StateGone     ServerState = "gone"
	StateFailing  ServerState = "failing"
	StateDoubtful ServerState = "doubtful"
)

type options struct {
	homeWeight   float64
	uploadWeight float64
	coldBound    func() (factor, slack float64)
}

// Option changes how a fleet places requests.
type Option func(*options)

// WithLocalRegionWeight sets how many times a server of the entry's own region counts
// in the placement of objects; uploads, whose bodies cost most between
// regions, have a weight of their own.
func WithLocalRegionWeight(requests, uploads float64) Option {
	return func(o *options) {
		o.homeWeight, o.uploadWeight = requests, uploads
	}
}

// WithColdRateLimit sets the bound of requests a second to a cold server over all
// entries: its own rate times a factor, plus a slack.
func WithColdRateLimit(bound func() (factor, slack float64)) Option {
	return func(o *options) { o.coldBound = bound }
}

// New returns a fleet without servers.
func New(region string, entries func() (index, count int), opts ...Option) *Fleet {
	fleet := &Fleet{
		Region:        region,
		EntryPosition: entries,
		options: options{
			homeWeight:   1,
			uploadWeight: 1,
			coldBound:    func() (factor, slack float64) { return 1, 0 },
		},
		servers:   make(map[string]*server),
		services:  make(map[string][]*server),
		evacuated: make(map[string]bool),
		settings:  make(map[string]*routing.Service),
		work:      make(map[string]*estimate),
		travel:    make(map[string]time.Duration),
		occupied:  make(map[string]occupancy),
	}
	for _, option := range opts {
		option(&fleet.options)
	}
	return fleet
}

// server is one backend server with what this entry has seen of it.
type server struct {
	routing.Server
	// registeredAt is when the registration was read.
	registeredAt time.Time
	hash         uint64
	// inFlight counts this entry's own requests there.
	inFlight int
	// others is how many requests of other entries the server had at othersAt.
	others   float64
	othersAt time.Time
	// coldUntil is when it stops to be cold, coldTurn this entry's last turn
	// there.
	coldUntil time.Time
	coldTurn  int64
	health    health
	// pace is how many times longer than others the server takes, at pacedAt.
	pace    float64
	pacedAt time.Time
	// waitingSince is when this entry began to wait for an answer without having
	// had one since, waitingFor how long that may take.
	waitingSince time.Time
	waitingFor   time.Duration
	// doubtful says that the server may be gone.
	doubtful bool
}

// Request is what placement needs to know of a request.
type Request struct {
	Service string
	// Object is the hash of the route and the object that the request concerns.
	Object uint64
	Kind   routing.RequestKind
	Route  *routing.Route
	// TimeLeft is the time until the answer is due; 0 sets no bound.
	TimeLeft time.Duration
	// Waited is how long the caller has been waiting, Returning says that it was
	// refused before.
	Waited      time.Duration
	CallerRetry bool
	// TriedIDs are servers that the request was sent to already.
	TriedIDs []string
}

// Choice is a server with the figures that spoke for it.
type Choice struct {
	Server routing.Server
	// Rank is the server's place in the object's order, from 0.
	Rank int
	// ExpectedLatency is how long the answer is expected to take.
	ExpectedLatency time.Duration
	// Load is the server's requests as this entry estimates them, Age how old the
	// server's own figure is; 0 if there is none.
	Load    float64
	LoadAge time.Duration
	// RegistrationAge is how long ago the server's registration was read.
	RegistrationAge time.Duration
	// Cold says that the server has started lately, Pace how many times longer
	// than others it takes.
	Cold     bool
	Slowdown float64
	// Congestion is how far the service is from having room, from 0 to 1.
	Congestion float64

	// route is the request's; nil if it has none.
	route  *routing.Route
	object uint64
	// known says that the server had answered for the object lately.
	known bool
	work  time.Duration
}

// Refusal says why no server was chosen.
type Refusal string

// Refusals.
const (
	RefusalNone     Refusal = ""
	RefusalNoServer Refusal = "no-backend-server"
	RefusalNoRoom   Refusal = "no-room"
)

// Choose reserves a place for a request at a server. Done must follow when
// there is no refusal. With one, the choice holds the figures of the server that
// came closest, if there was any.
func (f *Fleet) Choose(request *Request) (Choice, Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.hearsay.expire(now)
	congestion := f.congestion(request.Service, now)
	ranked := f.rank(request, now)
	if len(ranked) == 0 {
		return Choice{}, RefusalNoServer
	}
	best, bestCost, considered := -1, time.Duration(0), 0
	for rank, each := range ranked {
		if f.load(each, now) >= maxLoad*float64(each.Slots) || !f.admitsCold(each, now) {
			continue
		}
		cost := f.cost(request, each, rank, now)
		if best < 0 || cost < bestCost {
			best, bestCost = rank, cost
		}
		considered++
		if considered == candidates {
			break
		}
	}
	if best < 0 {
		return Choice{
			Congestion: congestion,
		}, RefusalNoRoom
	}
	choice := f.describe(ranked[best], best, now)
	choice.ExpectedLatency = bestCost
	choice.Congestion = congestion
	if !f.admits(request, ranked[best], bestCost, congestion, now) && !f.tries(request, ranked[best], bestCost, now) {
		return choice, RefusalNoRoom
	}
	f.take(ranked[best], now)
	choice.work = f.workOf(request)
	if each := ranked[best]; each.inFlight == 1 || each.waitingSince.IsZero() {
		each.waitingSince, each.waitingFor = now, patience*bestCost
	}
	choice.route = request.Route
	choice.object = request.Object
	choice.known = f.warm.has(ranked[best].hash, request.Object, now)
	return choice, RefusalNone
}

// describe returns a server with the figures that speak for it.
func (f *Fleet) describe(each *server, rank int, now time.Time) Choice {
	choice := Choice{
		Server:          each.Server,
		Rank:            rank,
		Load:            f.load(each, now),
		RegistrationAge: now.Sub(each.registeredAt),
		Cold:            now.Before(each.coldUntil),
		Slowdown:        each.paceAt(now),
	}
	if !each.othersAt.IsZero() {
		choice.LoadAge = now.Sub(each.othersAt)
	}
	return choice
}

// take counts a request at a server.
func (f *Fleet) take(each *server, now time.Time) {
	if now.Before(each.coldUntil) {
		each.coldTurn, _ = f.coldTurn(each, now)
	}
	each.inFlight++
}

const (
	// panicShare is the part of a service's servers above which none is left out
	// for failing.
	panicShare = 0.5
	// candidates is how many servers of an object's order are compared: the first
	// has it warm, the next ones take what it has no room for and turn warm too.
	candidates = 3
	// maxLoad is the most requests given to a server, in its slots: servers queue
	// a few and turn away what is beyond.
	maxLoad = 3
	// patience is how many times the expected time a server may be silent before
	// others are preferred.
	patience = 2
	// failedPeers is how many peers a server must have failed to be left out here.
	failedPeers = 2
	// othersHalfLife is how long it takes until what a server reported counts half:
	// about as long as a peer's word takes.
	othersHalfLife = 150 * time.Millisecond
)
