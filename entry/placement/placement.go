// Package placement decides which backend server runs a request: the one that
// most likely has the request's object warm, as long as it has room, and
// otherwise the next in an order that all entries share without talking.
package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/routing"
)

// Fleet is what one entry knows of the backend servers.
type Fleet struct {
	// Region is the entry's own.
	Region string
	// Entries returns this entry's place among all entries and how many there are.
	Entries func() (index, count int)
	// Changed is told of each change of belief about a server; it may be nil.
	Changed func(server *routing.Server, belief Belief, cause string)

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

// Belief is what an entry holds of a backend server.
type Belief string

// Beliefs about a backend server.
const (
	BeliefUp       Belief = "up"
	BeliefCold     Belief = "cold"
	BeliefDraining Belief = "draining"
	BeliefGone     Belief = "gone"
	BeliefFailing  Belief = "failing"
	BeliefDoubtful Belief = "doubtful"
)

type options struct {
	homeWeight   float64
	uploadWeight float64
	coldBound    func() (factor, slack float64)
}

// Option changes how a fleet places requests.
type Option func(*options)

// WithHomeWeight sets how many times a server of the entry's own region counts
// in the placement of objects; uploads, whose bodies cost most between
// regions, have a weight of their own.
func WithHomeWeight(requests, uploads float64) Option {
	return func(o *options) {
		o.homeWeight, o.uploadWeight = requests, uploads
	}
}

// WithColdBound sets the bound of requests a second to a cold server over all
// entries: its own rate times a factor, plus a slack.
func WithColdBound(bound func() (factor, slack float64)) Option {
	return func(o *options) { o.coldBound = bound }
}

// New returns a fleet without servers.
func New(region string, entries func() (index, count int), opts ...Option) *Fleet {
	fleet := &Fleet{
		Region:  region,
		Entries: entries,
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
	hash uint64
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
	Kind   routing.Kind
	Route  *routing.Route
	// Left is the time until the answer is due; 0 sets no bound.
	Left time.Duration
	// Waited is how long the caller has been waiting, Returning says that it was
	// refused before.
	Waited    time.Duration
	Returning bool
	// Tried are servers that the request was sent to already.
	Tried []string
}

// Choice is a server with the figures that spoke for it.
type Choice struct {
	Server routing.Server
	// Rank is the server's place in the object's order, from 0.
	Rank int
	// Expected is how long the answer is expected to take.
	Expected time.Duration
	// Load is the server's requests as this entry estimates them, Age how old the
	// server's own figure is; 0 if there is none.
	Load float64
	Age  time.Duration
	// Congestion is how far the service is from having room, from 0 to 1.
	Congestion float64

	route  string
	object uint64
	// known says that the server had answered for the object lately.
	known bool
	work  time.Duration
	pace  float64
}

// Refusal says why no server was chosen.
type Refusal string

// Refusals.
const (
	RefusalNone     Refusal = ""
	RefusalNoServer Refusal = "no-backend-server"
	RefusalFull     Refusal = "no-room"
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
		}, RefusalFull
	}
	choice := f.describe(ranked[best], best, now)
	choice.Expected = bestCost
	choice.Congestion = congestion
	if !f.admits(request, ranked[best], bestCost, congestion, now) {
		return choice, RefusalFull
	}
	f.take(ranked[best], now)
	choice.work = f.workOf(request)
	choice.pace = ranked[best].paceAt(now)
	if each := ranked[best]; each.inFlight == 1 || each.waitingSince.IsZero() {
		each.waitingSince, each.waitingFor = now, patience*bestCost
	}
	if request.Route != nil {
		choice.route = request.Route.Name
	}
	choice.object = request.Object
	choice.known = f.warm.has(ranked[best].hash, request.Object, now)
	return choice, RefusalNone
}

// describe returns a server with the figures that speak for it.
func (f *Fleet) describe(each *server, rank int, now time.Time) Choice {
	choice := Choice{
		Server: each.Server,
		Rank:   rank,
		Load:   f.load(each, now),
	}
	if !each.othersAt.IsZero() {
		choice.Age = now.Sub(each.othersAt)
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

// rank returns the servers that may run a request in the object's order.
func (f *Fleet) rank(request *Request, now time.Time) []*server {
	all := f.services[request.Service]
	type scored struct {
		server *server
		score  float64
		bad    bool
	}
	order := make([]scored, 0, len(all))
	failing := 0
	for _, each := range all {
		if each.Draining || each.health.replaced || f.evacuated[each.Domain] || slices.Contains(request.Tried, each.ID) {
			continue
		}
		if request.Route != nil && !request.Route.AllowsRegion(each.Region) {
			continue
		}
		bad := f.failing(each, now)
		if bad {
			failing++
		}
		order = append(order, scored{
			server: each,
			score:  f.score(request, each),
			bad:    bad,
		})
	}
	// Where most seem to fail, the fault is more likely on the way than in all
	// of them.
	if float64(failing) <= panicShare*float64(len(order)) && failing < len(order) {
		order = slices.DeleteFunc(order, func(each scored) bool { return each.bad })
	}
	slices.SortFunc(order, func(a, b scored) int {
		if a.server.doubtful != b.server.doubtful {
			if b.server.doubtful {
				return -1
			}
			return 1
		}
		if a.score > b.score {
			return -1
		}
		return 1
	})
	ranked := make([]*server, 0, len(order))
	for _, each := range order {
		ranked = append(ranked, each.server)
	}
	return ranked
}

// failing reports whether a server is left out: it failed this entry, or several
// peers. One peer's word is not enough: the fault may be on its own way.
func (f *Fleet) failing(each *server, now time.Time) bool {
	if each.health.failing(now) {
		return true
	}
	return f.hearsay.failing[each.short()] >= failedPeers
}

// score is the weighted rendezvous score of a server for an object.
func (f *Fleet) score(request *Request, each *server) float64 {
	weight := float64(each.Slots)
	if each.Region == f.Region {
		if request.Kind == routing.Upload {
			weight *= f.options.uploadWeight
		} else {
			weight *= f.options.homeWeight
		}
	}
	draw := (float64(mix(request.Object^each.hash)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(draw)
}

// mix is the finalizer of MurmurHash3.
func mix(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

// Object hashes what identifies an object.
func Object(route, object string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{route, "\x00", object} {
		// A hash's writer returns no error.
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
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

// load estimates the requests that a server runs or holds: this entry's own and
// those of others. What the server last said of those grows old; then what the
// peers told counts.
func (f *Fleet) load(s *server, now time.Time) float64 {
	told := f.hearsay.inFlight[s.short()]
	if s.othersAt.IsZero() {
		return float64(s.inFlight + told)
	}
	fresh := math.Exp2(-float64(now.Sub(s.othersAt)) / float64(othersHalfLife))
	return float64(s.inFlight) + s.others*fresh + float64(told)*(1-fresh)
}

// occupancy is the part of a service's slots that is taken, as of a time.
type occupancy struct {
	share float64
	at    time.Time
}

// occupancyLifetime is how long a service's occupancy is not counted again.
const occupancyLifetime = 50 * time.Millisecond

// congestion says how far a service is from having room, from 0 for plenty to 1
// for none.
func (f *Fleet) congestion(service string, now time.Time) float64 {
	known, found := f.occupied[service]
	if !found || now.Sub(known.at) > occupancyLifetime {
		taken, slots := 0.0, 0.0
		for _, each := range f.services[service] {
			if each.Draining || f.evacuated[each.Domain] || f.failing(each, now) {
				continue
			}
			taken += f.load(each, now)
			slots += float64(each.Slots)
		}
		known = occupancy{
			share: taken / max(1, slots),
			at:    now,
		}
		f.occupied[service] = known
	}
	return min(1, max(0, (known.share-plentyShare)/(fullShare-plentyShare)))
}

const (
	// plentyShare is the part of a service's slots below which it has plenty of
	// room: a request that waits at one server finds a free slot at the next.
	plentyShare = 0.6
	// fullShare is the part from which it has none: with so few free slots, those
	// of an object's servers are taken.
	fullShare = 0.9
)

// between returns the value at a share of the way from one to another.
func between(from, to, share float64) float64 { return from + (to-from)*share }

// admits reports whether a request is given to a server. One that will have its
// answer within its objective is. Another one is only where it takes no place
// that such a request could use: the less room the service has, the shorter the
// queue that it may join.
func (f *Fleet) admits(request *Request, each *server, cost time.Duration, congestion float64, now time.Time) bool {
	if request.Left > 0 && cost > request.Left {
		return false
	}
	if request.Route == nil || request.Route.Objective == 0 || request.Waited+cost <= request.Route.Objective {
		return true
	}
	most := between(lateLoadPlenty, lateLoadFull, congestion)
	if request.Returning {
		most += returningLoad
	}
	return f.load(each, now) < most*float64(each.Slots)
}

const (
	// lateLoadPlenty and lateLoadFull are the most load, in slots, at which a
	// server gets a request whose answer will be late, while its service has plenty
	// of room and while it has none.
	lateLoadPlenty = 2
	lateLoadFull   = 0.7
	// returningLoad is how much more it may be for a caller that was refused
	// before: it has no other try.
	returningLoad = 0.5
)

// ComeBack is when a caller that found no room should come again: after about
// the work of one request, and apart from others that are sent away now, by a
// draw from [0, 1).
func ComeBack(draw float64) time.Duration {
	return comeBackFirst + time.Duration(draw*float64(comeBackSpread))
}

const (
	// comeBackFirst is about the time in which a warm server ends a request.
	comeBackFirst = 300 * time.Millisecond
	// comeBackSpread is the time over which callers that were sent away together
	// return: some requests' work, and less than what they are ready to wait.
	comeBackSpread = 600 * time.Millisecond
)

// admitsCold reports whether a server is not cold, or this entry may send it a
// request now.
func (f *Fleet) admitsCold(each *server, now time.Time) bool {
	if !now.Before(each.coldUntil) {
		return true
	}
	turn, open := f.coldTurn(each, now)
	return open && turn != each.coldTurn
}

// coldSlot is how long an entry's turn at a cold server lasts: the span over
// which the bound is counted.
const coldSlot = time.Second

// coldTurn returns the number of this entry's turn at a cold server and whether
// it is open. Entries take turns by the time of day, without a message; each
// sends one request in its turn. Any second touches the turns that begin within
// two, so turns begin at half of the bounded rate, less one for the turn that is
// touched in part. Clocks that differ shift turns but do not add any.
func (f *Fleet) coldTurn(each *server, now time.Time) (turn int64, open bool) {
	factor, bound := f.options.coldBound()
	if service := f.settings[each.Service]; service != nil {
		bound += service.ColdRate * factor
	}
	index, count := f.Entries()
	cycle := time.Duration(float64(count) / max((bound-1)/2, minColdRate) * float64(time.Second))
	cycle = max(cycle, coldSlot)
	offset := cycle / time.Duration(count) * time.Duration(index)
	// Servers that turn cold together have their turns at different times.
	offset += time.Duration(each.hash % uint64(cycle))
	at := now.UnixNano() - int64(offset)
	return at / int64(cycle), at%int64(cycle) < int64(coldSlot)
}

// minColdRate is the least rate at which cold servers are tried, a second.
const minColdRate = 0.1
