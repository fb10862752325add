package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// scenario describes a load and the faults that occur under it. Times are relative
// to the end of the warm-up.
type scenario struct {
	name string
	// rate is the rate of requests in each region, per second.
	rate float64
	// rateFactors, unless nil, holds the factor by which the rate is multiplied in each
	// region.
	rateFactors map[string]float64
	// length is how long requests arrive after the warm-up.
	length time.Duration
	// objects is the number of objects of each region.
	objects int
	// coldStart skips the warm-up, so that no server has a warm object at the start.
	coldStart bool
	// hotShare is the share of a region's requests that are for its object 0. The others
	// are for a random object, which may be object 0 as well.
	hotShare float64
	// burstFactor, unless 0, multiplies the rate from burstFrom until burstUntil.
	burstFactor float64
	burstFrom   time.Duration
	burstUntil  time.Duration
	// impatientShare is the share of callers that retry three times without back-off after
	// a refusal, while others retry once.
	impatientShare float64
	// uploadShare is the share of uploads, which take four times the service time.
	uploadShare float64
	// servers is the number of servers in each region; nil means 7 in each.
	servers map[string]int
	events  []scenarioEvent
}

// scenarioEvent changes the simulation at a point in time.
type scenarioEvent struct {
	at    time.Duration
	apply func(sim *simulation)
}

// Parameters of the simulated deployment.
const (
	// coldServiceTime and warmServiceTime are the mean service times for an object that a
	// server does not have warm and for one that it has.
	coldServiceTime = 900 * time.Millisecond
	warmServiceTime = 270 * time.Millisecond
	// objective is the latency up to which an answer counts as goodput, and deadline the
	// latency from which an answer is worthless.
	objective = 600 * time.Millisecond
	deadline  = 4 * time.Second
	// slots is how many requests a server runs at most, queueLimit how many it queues,
	// and warmCapacity how many objects it keeps warm.
	slots        = 3
	queueLimit   = 9
	warmCapacity = 28
	// callerDelay is the one-way delay between a caller and an entry. The delays below
	// are those between an entry and a server or another entry.
	callerDelay      = 3 * time.Millisecond
	crossRegionDelay = 55 * time.Millisecond
	sameRegionDelay  = time.Millisecond
	// warmUpTime is the simulated time before the first request counts in the result.
	warmUpTime = 8 * time.Second
)

var regions = []string{"north", "south", "west"}

// simulation is a discrete-event simulation of callers, servers, and entries that use
// the real Fleet. It runs in one goroutine on the fake clock of a synctest bubble, one
// action after another.
type simulation struct {
	scenario *scenario
	// policy is the placement policy, see simulate.
	policy string
	// arrivals holds the random source for the callers of each region, so that every
	// policy gets the same callers. random is the source for everything else.
	random   *rand.Rand
	arrivals map[string]*rand.Rand
	// queue holds the actions that are still to run.
	queue actionQueue
	// start is when the simulation starts, on the fake clock.
	start time.Time
	// warmUp is warmUpTime, or 0 in a scenario with a cold start.
	warmUp  time.Duration
	entries []*entry
	servers []*simServer
	result  result
	// seenObjects holds the objects that some server has handled.
	seenObjects map[uint64]bool
	busy        time.Duration
	planner     planner
}

// entry is a simulated entry with its fleet.
type entry struct {
	name   string
	region string
	fleet  *placement.Fleet
}

// simServer is a simulated backend server.
type simServer struct {
	routing.Server
	running int
	waiting []*attempt
	// warm lists the warm objects, least recently used first.
	warm []uint64
	// slowdown is the factor by which the service time is longer than normal.
	slowdown float64
	// shedShare is the share of requests that the server refuses at any load.
	shedShare float64
	// down reports whether the server refuses connections.
	down bool
}

// attempt is one attempt of an entry to send a request to a server.
type attempt struct {
	request *request
	choice  placement.Choice
	entry   *entry
	sentAt  time.Time
}

// request is one caller's request.
type request struct {
	region string
	object uint64
	upload bool
	// firstSent is when the caller sent the request for the first time.
	firstSent time.Time
	// callerRetries is how often the caller has retried after a refusal.
	callerRetries int
	// triedServerIDs are the servers of the attempts that were made, and attempts is the
	// number of them. Both start anew with each retry of the caller.
	triedServerIDs []string
	attempts       int
	// impatient reports whether the caller retries immediately and repeatedly.
	impatient bool
}

// result counts what became of the requests that arrived after the warm-up.
type result struct {
	// withinObjective counts the answers within the objective, late those after the
	// objective but before the deadline, and failed those after the deadline. refused and
	// refusedAfterRetries are equal: both count the requests that were still refused after
	// the last retry of the caller. attempts counts the attempts of all requests.
	requests, withinObjective, late, refused, refusedAfterRetries, failed, attempts int
	// firstUses counts the requests that were the first to run for their object.
	firstUses        int
	requestsByRegion map[string]int
	// answeredByRegion counts the requests answered before the deadline.
	answeredByRegion map[string]int
	// answeredAtHome counts those that a server of the caller's region answered.
	answeredAtHome map[string]int
}

func (r result) String() string {
	return fmt.Sprintf("credit=%.3f asked=%d in-aim=%.3f late=%.3f refused=%.3f refused-twice=%.3f failed=%.3f sends=%.3f worst-region=%.3f",
		r.callerUtility(), r.requests, r.share(r.withinObjective), r.share(r.late), r.share(r.refused), r.share(r.refusedAfterRetries), r.share(r.failed),
		float64(r.attempts)/float64(max(1, r.withinObjective+r.late)), r.lowestRegionShare())
}

// callerUtility rates the result from the callers' point of view. It is 1 if every answer
// is timely. A late answer is worth 0.2 of a timely one. A caller that is refused again
// after its retries has wasted time and counts as -0.3.
func (r result) callerUtility() float64 {
	return r.share(r.withinObjective) + 0.2*r.share(r.late) - 0.3*r.share(r.refusedAfterRetries)
}

// share returns the ratio of a count to all requests.
func (r result) share(count int) float64 { return float64(count) / float64(max(1, r.requests)) }

// shareAtHome returns the share of a region's answered requests that the region's own servers
// answered.
func (r result) shareAtHome(region string) float64 {
	return float64(r.answeredAtHome[region]) / float64(max(1, r.answeredByRegion[region]))
}

// lowestRegionShare returns the lowest share of answered requests among the regions.
func (r result) lowestRegionShare() float64 {
	lowest := 1.0
	for region, requests := range r.requestsByRegion {
		lowest = min(lowest, float64(r.answeredByRegion[region])/float64(max(1, requests)))
	}
	return lowest
}

// scheduledAction is an action of the simulation at a point in time.
type scheduledAction struct {
	at       time.Time
	sequence int
	run      func()
}

// actionQueue is a heap of scheduled actions, ordered by time. Actions of the same
// time are ordered as they were scheduled.
type actionQueue struct {
	actions      []scheduledAction
	lastSequence int
}

func (q *actionQueue) Len() int { return len(q.actions) }

func (q *actionQueue) Less(a, b int) bool {
	if q.actions[a].at.Equal(q.actions[b].at) {
		return q.actions[a].sequence < q.actions[b].sequence
	}
	return q.actions[a].at.Before(q.actions[b].at)
}
func (q *actionQueue) Swap(a, b int)   { q.actions[a], q.actions[b] = q.actions[b], q.actions[a] }
func (q *actionQueue) Push(action any) { q.actions = append(q.actions, action.(scheduledAction)) }
func (q *actionQueue) Pop() any {
	last := q.actions[len(q.actions)-1]
	q.actions = q.actions[:len(q.actions)-1]
	return last
}

// schedule schedules an action after a delay.
func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.queue.lastSequence++
	heap.Push(&sim.queue, scheduledAction{
		at:       time.Now().Add(delay),
		sequence: sim.queue.lastSequence,
		run:      action,
	})
}

// simulate runs a scenario under a placement policy. "ours" is the Fleet, and "planner"
// is the reference with full knowledge. The others are baselines, which choose among the
// servers that the request was not sent to yet: "random" chooses any of them,
// "two-choices" the less loaded of two random ones (power of two choices), and "hash" the
// first by rendezvous hashing of the object.
func simulate(t *testing.T, sc *scenario, policy string) (res result) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(sc, policy)
		for sim.queue.Len() > 0 {
			next := heap.Pop(&sim.queue).(scheduledAction)
			time.Sleep(time.Until(next.at))
			next.run()
		}
		res = sim.result
	})
	t.Logf("%-16s %-16s %s", sc.name, policy, res)
	return res
}

// newSimulation returns a simulation whose initial actions are scheduled.
func newSimulation(sc *scenario, policy string) *simulation {
	sim := &simulation{
		scenario:    sc,
		policy:      policy,
		random:      rand.New(rand.NewPCG(11, 13)),
		start:       time.Now(),
		seenObjects: make(map[uint64]bool),

		arrivals: make(map[string]*rand.Rand),
		planner: planner{
			plans: make(map[string]*serverPlan),
		},
	}
	for i, region := range regions {
		sim.arrivals[region] = rand.New(rand.NewPCG(17, uint64(i)))
	}
	sim.result.requestsByRegion = make(map[string]int)
	sim.result.answeredByRegion = make(map[string]int)
	sim.result.answeredAtHome = make(map[string]int)
	sim.addServers()
	for i, region := range slices.Concat(regions, regions, regions[:1]) {
		sim.entries = append(sim.entries, sim.newEntry(i, region))
	}
	sim.warmUp = warmUpTime
	if sc.coldStart {
		sim.warmUp = 0
	}
	end := sim.warmUp + sc.length
	sim.schedule(0, func() { sim.exchangePresence(end + deadline) })
	for _, region := range regions {
		sim.schedule(0, func() { sim.arrive(region, end) })
	}
	for _, event := range sc.events {
		sim.schedule(sim.warmUp+event.at, func() { event.apply(sim) })
	}
	return sim
}

// addServers adds the servers of all regions.
func (sim *simulation) addServers() {
	for _, region := range regions {
		count := 7
		if sim.scenario.servers != nil {
			count = sim.scenario.servers[region]
		}
		for i := range count {
			sim.servers = append(sim.servers, &simServer{
				Server: routing.Server{
					ID:            fmt.Sprintf("%s-%d", region, i),
					Service:       "desk",
					Address:       fmt.Sprintf("%s:%d", region, i),
					FailureDomain: region + "-a",
					Region:        region,
					Slots:         slots,
				},
				slowdown: 1,
			})
		}
	}
}

// newEntry returns an entry whose fleet knows all servers.
func (sim *simulation) newEntry(index int, region string) *entry {
	count := 2*len(regions) + 1
	created := &entry{
		name:   fmt.Sprintf("entry-%d", index),
		region: region,
		fleet: placement.New(region, func() (int, int) { return index, count },
			placement.WithColdRateLimit(func() (factor, slack float64) { return 1.5, 5 })),
	}
	created.fleet.Configure(routing.NewConfiguration(1, []*routing.Service{
		{
			Name:          "desk",
			ColdRateLimit: 2.4,
		},
	}, routing.Limits{}, nil))
	for _, server := range sim.servers {
		created.fleet.Update([]routing.Server{server.Server})
		created.fleet.ObserveRoundTrip(server.Region, 2*networkDelay(region, server.Region))
	}
	return created
}

// networkDelay returns the one-way delay between two regions.
func networkDelay(from, to string) time.Duration {
	if from == to {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// exchangePresence sends a presence message from each entry to every other one, and
// again after each interval until the remaining time has passed.
func (sim *simulation) exchangePresence(remaining time.Duration) {
	for _, from := range sim.entries {
		message := &teaselv1.Presence{
			Name: from.name,
		}
		from.fleet.FillPresence(message)
		for _, to := range sim.entries {
			if to != from {
				sim.schedule(networkDelay(from.region, to.region), func() { to.fleet.ApplyPresence(message) })
			}
		}
	}
	const interval = 200 * time.Millisecond
	if remaining > 0 {
		sim.schedule(interval, func() { sim.exchangePresence(remaining - interval) })
	}
}

// arrive creates a request of a region and schedules the next, as a Poisson process,
// until the time end after the start of the simulation.
func (sim *simulation) arrive(region string, end time.Duration) {
	now := time.Since(sim.start)
	if now >= end {
		return
	}
	sc := sim.scenario
	rate := sc.rate
	if sc.rateFactors != nil {
		rate *= sc.rateFactors[region]
	}
	if sc.burstFactor > 0 && now >= sim.warmUp+sc.burstFrom && now < sim.warmUp+sc.burstUntil {
		rate *= sc.burstFactor
	}
	random := sim.arrivals[region]
	object := random.IntN(sc.objects)
	if random.Float64() < sc.hotShare {
		object = 0
	}
	req := &request{
		region:    region,
		object:    placement.ObjectHash(region, fmt.Sprint(object)),
		upload:    random.Float64() < sc.uploadShare,
		impatient: random.Float64() < sc.impatientShare,
		firstSent: time.Now(),
	}
	if now >= sim.warmUp {
		sim.result.requests++
		sim.result.requestsByRegion[region]++
	}
	sim.schedule(callerDelay, func() { sim.dispatch(req) })
	pause := time.Duration(-math.Log(1-random.Float64()) / rate * float64(time.Second))
	sim.schedule(pause, func() { sim.arrive(region, end) })
}

// inResult reports whether a request counts in the result, because it arrived after
// the warm-up.
func (sim *simulation) inResult(req *request) bool { return req.firstSent.Sub(sim.start) >= sim.warmUp }
