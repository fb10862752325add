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

// pattern is a load and what goes wrong under it. Times count from its start.
type pattern struct {
	name string
	// rate is the requests a second of each region; zero regions take 1.
	rate    float64
	skew    map[string]float64
	length  time.Duration
	objects int
	// cold says that no server has anything warm at the start.
	cold bool
	// hot is the share of the requests that concern one object.
	hot float64
	// burst multiplies the rate between two times.
	burst      float64
	burstFrom  time.Duration
	burstUntil time.Duration
	// impatient is the share of the callers that return at once and again.
	impatient float64
	// uploads is the share of requests with four times the work.
	uploads float64
	// servers is how many there are in each region.
	servers map[string]int
	// events change the world.
	events []event
}

type event struct {
	at     time.Duration
	change func(w *world)
}

// What the model takes for a deployment: work for an object that is not warm and
// for one that is, and what a server keeps warm.
const (
	coldWork  = 900 * time.Millisecond
	warmWork  = 270 * time.Millisecond
	objective = 600 * time.Millisecond
	deadline  = 4 * time.Second
	slots     = 3
	queue     = 9
	keeps     = 28
	callerWay = 3 * time.Millisecond
	regionWay = 55 * time.Millisecond
	domainWay = time.Millisecond
	warmUp    = 8 * time.Second
)

var regions = []string{"north", "south", "west"}

// world is the model: entries with the real fleet, servers and callers of the
// model. It runs in one goroutine on the paused clock, one event after another.
type world struct {
	pattern *pattern
	policy  string
	// random draws what the model does, arrivals who comes: each policy gets the
	// same callers.
	random   *rand.Rand
	arrivals map[string]*rand.Rand
	queue    events
	start    time.Time
	warmUp   time.Duration
	entries  []*entry
	servers  []*backend
	result   result
	seen     map[uint64]bool
	busy     time.Duration
	planner  planner
}

type entry struct {
	name   string
	region string
	fleet  *placement.Fleet
}

// backend is a server of the model.
type backend struct {
	routing.Server
	running int
	waiting []*job
	warm    []uint64
	slow    float64
	shed    float64
	down    bool
}

// job is one request at a server.
type job struct {
	request *request
	choice  placement.Choice
	entry   *entry
	sent    time.Time
}

// request is a caller's.
type request struct {
	region    string
	object    uint64
	upload    bool
	began     time.Time
	returned  int
	tried     []string
	sends     int
	impatient bool
}

// result is what a pattern comes to.
type result struct {
	asked, inAim, late, refused, refusedTwice, failed, sends int
	// first counts the requests that were the first for their object.
	first  int
	byAsk  map[string]int
	byGood map[string]int
}

func (r result) String() string {
	return fmt.Sprintf("credit=%.3f asked=%d in-aim=%.3f late=%.3f refused=%.3f refused-twice=%.3f failed=%.3f sends=%.3f worst-region=%.3f",
		r.credit(), r.asked, r.share(r.inAim), r.share(r.late), r.share(r.refused), r.share(r.refusedTwice), r.share(r.failed),
		float64(r.sends)/float64(max(1, r.inAim+r.late)), r.worst())
}

// credit is what the callers get out of it: a late answer is worth a fifth, and a
// caller that was sent away twice has lost more than one that was told at once.
func (r result) credit() float64 {
	return r.share(r.inAim) + 0.2*r.share(r.late) - 0.3*r.share(r.refusedTwice)
}

func (r result) share(count int) float64 { return float64(count) / float64(max(1, r.asked)) }

func (r result) worst() float64 {
	worst := 1.0
	for region, asked := range r.byAsk {
		worst = min(worst, float64(r.byGood[region])/float64(max(1, asked)))
	}
	return worst
}

type happening struct {
	at   time.Time
	turn int
	do   func()
}

// events is a heap of what is to happen, in the order of time and of planning.
type events struct {
	all   []happening
	turns int
}

func (e *events) Len() int { return len(e.all) }

func (e *events) Less(a, b int) bool {
	if e.all[a].at.Equal(e.all[b].at) {
		return e.all[a].turn < e.all[b].turn
	}
	return e.all[a].at.Before(e.all[b].at)
}
func (e *events) Swap(a, b int) { e.all[a], e.all[b] = e.all[b], e.all[a] }
func (e *events) Push(each any) { e.all = append(e.all, each.(happening)) }
func (e *events) Pop() any {
	last := e.all[len(e.all)-1]
	e.all = e.all[:len(e.all)-1]
	return last
}

func (w *world) after(length time.Duration, do func()) {
	w.queue.turns++
	heap.Push(&w.queue, happening{
		at:   time.Now().Add(length),
		turn: w.queue.turns,
		do:   do,
	})
}

// play runs a pattern under a policy: "ours" is the fleet, the others are
// baselines.
func play(t *testing.T, p *pattern, policy string) (res result) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(p, policy)
		for w.queue.Len() > 0 {
			next := heap.Pop(&w.queue).(happening)
			time.Sleep(time.Until(next.at))
			next.do()
		}
		res = w.result
	})
	t.Logf("%-16s %-16s %s", p.name, policy, res)
	return res
}

func newWorld(p *pattern, policy string) *world {
	w := &world{
		pattern: p,
		policy:  policy,
		random:  rand.New(rand.NewPCG(11, 13)),
		start:   time.Now(),
		seen:    make(map[uint64]bool),

		arrivals: make(map[string]*rand.Rand),
		planner: planner{
			plans: make(map[string]*plan),
		},
	}
	for i, region := range regions {
		w.arrivals[region] = rand.New(rand.NewPCG(17, uint64(i)))
	}
	w.result.byAsk = make(map[string]int)
	w.result.byGood = make(map[string]int)
	w.addServers()
	for i, region := range slices.Concat(regions, regions, regions[:1]) {
		w.entries = append(w.entries, w.newEntry(i, region))
	}
	w.warmUp = warmUp
	if p.cold {
		w.warmUp = 0
	}
	end := w.warmUp + p.length
	w.after(0, func() { w.tell(end + deadline) })
	for _, region := range regions {
		w.after(0, func() { w.arrive(region, end) })
	}
	for _, each := range p.events {
		w.after(w.warmUp+each.at, func() { each.change(w) })
	}
	return w
}

func (w *world) addServers() {
	for _, region := range regions {
		count := 7
		if w.pattern.servers != nil {
			count = w.pattern.servers[region]
		}
		for i := range count {
			w.servers = append(w.servers, &backend{
				Server: routing.Server{
					ID:            fmt.Sprintf("%s-%d", region, i),
					Service:       "desk",
					Address:       fmt.Sprintf("%s:%d", region, i),
					FailureDomain: region + "-a",
					Region:        region,
					Slots:         slots,
				},
				slow: 1,
			})
		}
	}
}

func (w *world) newEntry(index int, region string) *entry {
	count := 2*len(regions) + 1
	each := &entry{
		name:   fmt.Sprintf("entry-%d", index),
		region: region,
		fleet: placement.New(region, func() (int, int) { return index, count },
			placement.WithColdRateLimit(func() (factor, slack float64) { return 1.5, 5 }),
			placement.WithLocalRegionWeight(1.5, 3)),
	}
	each.fleet.Configure(routing.NewConfiguration(1, []*routing.Service{
		{
			Name:          "desk",
			ColdRateLimit: 2.4,
		},
	}, routing.Limits{}, nil))
	for _, server := range w.servers {
		each.fleet.Update([]routing.Server{server.Server})
		each.fleet.ObserveRoundTrip(server.Region, 2*way(region, server.Region))
	}
	return each
}

func way(from, to string) time.Duration {
	if from == to {
		return domainWay
	}
	return regionWay
}

// tell lets the entries exchange what they know, as datagrams do.
func (w *world) tell(left time.Duration) {
	for _, from := range w.entries {
		message := &teaselv1.Presence{
			Name: from.name,
		}
		from.fleet.FillPresence(message)
		for _, to := range w.entries {
			if to != from {
				w.after(way(from.region, to.region), func() { to.fleet.ApplyPresence(message) })
			}
		}
	}
	const interval = 200 * time.Millisecond
	if left > 0 {
		w.after(interval, func() { w.tell(left - interval) })
	}
}

// arrive lets the callers of a region come, with exponential pauses.
func (w *world) arrive(region string, end time.Duration) {
	now := time.Since(w.start)
	if now >= end {
		return
	}
	p := w.pattern
	rate := p.rate
	if p.skew != nil {
		rate *= p.skew[region]
	}
	if p.burst > 0 && now >= w.warmUp+p.burstFrom && now < w.warmUp+p.burstUntil {
		rate *= p.burst
	}
	random := w.arrivals[region]
	object := random.IntN(p.objects)
	if random.Float64() < p.hot {
		object = 0
	}
	req := &request{
		region:    region,
		object:    placement.ObjectHash(region, fmt.Sprint(object)),
		upload:    random.Float64() < p.uploads,
		impatient: random.Float64() < p.impatient,
		began:     time.Now(),
	}
	if now >= w.warmUp {
		w.result.asked++
		w.result.byAsk[region]++
	}
	w.after(callerWay, func() { w.serve(req) })
	pause := time.Duration(-math.Log(1-random.Float64()) / rate * float64(time.Second))
	w.after(pause, func() { w.arrive(region, end) })
}

// counted reports whether a request came after the warm-up.
func (w *world) counted(req *request) bool { return req.began.Sub(w.start) >= w.warmUp }
