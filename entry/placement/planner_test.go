package placement_test

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
)

// planner places requests with full knowledge of the present: of all servers'
// slots, queues, warm objects, faults and pace, and of each request's work, at
// once and without error. No entry can know as much.
type planner struct {
	plans map[string]*plan
}

// plan is what one server has been given.
type plan struct {
	// free is when each slot ends what it was given, warm what the server has warm
	// by then.
	free []time.Time
	warm []uint64
	born int64
}

// choose gives a request to the server that ends it first, if the caller has its
// answer within the objective. Another request is only given to a slot that
// nothing else uses: its answer is late, but its object is warm after that.
func (p *planner) choose(w *world, at *entry, req *request) (placement.Choice, placement.Refusal) {
	var best *backend
	var bestEnd time.Time
	for _, each := range w.servers {
		if each.down || each.shed > 0 {
			continue
		}
		end := p.end(each, at, req).Add(way(each.Region, at.region))
		if best == nil || end.Before(bestEnd) {
			best, bestEnd = each, end
		}
	}
	if best == nil {
		return placement.Choice{}, placement.RefusalNoServer
	}
	known := p.plan(best)
	idle := !slices.MinFunc(known.free, time.Time.Compare).After(time.Now())
	if bestEnd.Sub(req.began)+callerWay > objective && !idle {
		return placement.Choice{}, placement.RefusalNoRoom
	}
	slot := slices.Index(known.free, slices.MinFunc(known.free, time.Time.Compare))
	known.free[slot] = p.end(best, at, req)
	known.use(req.object)
	return placement.Choice{
		Server: best.Server,
	}, placement.RefusalNone
}

// end is when a server would end a request.
func (p *planner) end(each *backend, at *entry, req *request) time.Time {
	known := p.plan(each)
	begin := slices.MinFunc(known.free, time.Time.Compare)
	if arrival := time.Now().Add(way(at.region, each.Region)); begin.Before(arrival) {
		begin = arrival
	}
	work := coldWork
	if slices.Contains(known.warm, req.object) {
		work = warmWork
	}
	if req.upload {
		work *= 4
	}
	return begin.Add(time.Duration(float64(work) * each.slow))
}

// plan returns a server's plan, begun anew for a new start of the server.
func (p *planner) plan(each *backend) *plan {
	known := p.plans[each.ID]
	if known == nil || known.born != each.BornUnixMS {
		known = &plan{
			free: make([]time.Time, slots),
			born: each.BornUnixMS,
		}
		p.plans[each.ID] = known
	}
	return known
}

// use notes that an object is warm.
func (p *plan) use(object uint64) {
	p.warm = append(slices.DeleteFunc(p.warm, func(each uint64) bool { return each == object }), object)
	if len(p.warm) > keeps {
		p.warm = p.warm[1:]
	}
}
