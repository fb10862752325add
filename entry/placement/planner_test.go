package placement_test

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
)

// planner is a reference policy that no entry can match. It knows the present state of
// all servers without delay or error: their slots, queues, warm objects, faults and
// slowdown. It also knows the mean service time of each request.
type planner struct {
	// plans is keyed by server ID.
	plans map[string]*serverPlan
}

// serverPlan is the work planned for one server.
type serverPlan struct {
	// slotFreeAt is when each slot completes the requests planned for it.
	slotFreeAt []time.Time
	// warm lists the objects that the server will have warm after the planned
	// requests, least recently used first.
	warm []uint64
	// startUnixMS is the start time of the server's incarnation, in Unix milliseconds.
	startUnixMS int64
}

// choose places a request on the server whose answer would arrive first, if the answer
// meets the objective. A request whose answer would be late is placed only if that server
// has an idle slot: the answer is late, but the object is warm from then on.
func (p *planner) choose(sim *simulation, sender *entry, req *request) (placement.Choice, placement.Refusal) {
	var best *simServer
	var bestEnd time.Time
	for _, server := range sim.servers {
		if server.down || server.shedShare > 0 {
			continue
		}
		end := p.finishTime(server, sender, req).Add(networkDelay(server.Region, sender.region))
		if best == nil || end.Before(bestEnd) {
			best, bestEnd = server, end
		}
	}
	if best == nil {
		return placement.Choice{}, placement.RefusalNoServer
	}
	plan := p.planFor(best)
	idle := !slices.MinFunc(plan.slotFreeAt, time.Time.Compare).After(time.Now())
	if bestEnd.Sub(req.firstSent)+callerDelay > objective && !idle {
		return placement.Choice{}, placement.RefusalNoRoom
	}
	slot := slices.Index(plan.slotFreeAt, slices.MinFunc(plan.slotFreeAt, time.Time.Compare))
	plan.slotFreeAt[slot] = p.finishTime(best, sender, req)
	plan.markWarm(req.object)
	return placement.Choice{
		Server: best.Server,
	}, placement.RefusalNone
}

// finishTime returns when a server would complete a request.
func (p *planner) finishTime(server *simServer, sender *entry, req *request) time.Time {
	plan := p.planFor(server)
	begin := slices.MinFunc(plan.slotFreeAt, time.Time.Compare)
	if arrival := time.Now().Add(networkDelay(sender.region, server.Region)); begin.Before(arrival) {
		begin = arrival
	}
	serviceTime := coldServiceTime
	if slices.Contains(plan.warm, req.object) {
		serviceTime = warmServiceTime
	}
	if req.upload {
		serviceTime *= 4
	}
	return begin.Add(time.Duration(float64(serviceTime) * server.slowdown))
}

// planFor returns a server's plan. It creates one for a new incarnation.
func (p *planner) planFor(server *simServer) *serverPlan {
	plan := p.plans[server.ID]
	if plan == nil || plan.startUnixMS != server.StartUnixMS {
		plan = &serverPlan{
			slotFreeAt:  make([]time.Time, slots),
			startUnixMS: server.StartUnixMS,
		}
		p.plans[server.ID] = plan
	}
	return plan
}

// markWarm makes an object the most recently used of the warm objects.
func (p *serverPlan) markWarm(object uint64) {
	p.warm = append(slices.DeleteFunc(p.warm, func(other uint64) bool { return other == object }), object)
	if len(p.warm) > warmCapacity {
		p.warm = p.warm[1:]
	}
}
