package placement_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"
)

// route is that of all requests in the model.
var route = &routing.Route{
	Name:             "browse",
	Kind:             routing.Idempotent,
	LatencyObjective: objective,
	MaxAttempts:      2,
}

// serve takes a request at an entry of its region.
func (w *world) serve(req *request) {
	var near []*entry
	for _, each := range w.entries {
		if each.region == req.region {
			near = append(near, each)
		}
	}
	at := near[w.random.IntN(len(near))]
	req.tried = nil
	req.sends = 0
	w.send(at, req)
}

func (w *world) send(at *entry, req *request) {
	choice, refusal := w.choose(at, req)
	if refusal != placement.RefusalNone {
		w.refuse(req)
		return
	}
	req.sends++
	if w.counted(req) {
		w.result.sends++
	}
	req.tried = append(req.tried, choice.Server.ID)
	each := &job{
		request: req,
		choice:  choice,
		entry:   at,
		sent:    time.Now(),
	}
	w.after(way(at.region, choice.Server.Region), func() { w.receive(each) })
}

// choose asks the policy for a server.
func (w *world) choose(at *entry, req *request) (placement.Choice, placement.Refusal) {
	waited := time.Since(req.began)
	if w.policy == "ours" {
		return at.fleet.Choose(&placement.Request{
			Service:     "desk",
			Object:      req.object,
			Route:       route,
			Kind:        route.Kind,
			TimeLeft:    deadline - waited,
			Waited:      waited,
			CallerRetry: req.returned > 0,
			TriedIDs:    req.tried,
		})
	}
	if w.policy == "planner" {
		return w.planner.choose(w, at, req)
	}
	var open []*backend
	for _, each := range w.servers {
		if !slices.Contains(req.tried, each.ID) {
			open = append(open, each)
		}
	}
	chosen := open[w.random.IntN(len(open))]
	switch w.policy {
	case "two-choices":
		if other := open[w.random.IntN(len(open))]; load(other) < load(chosen) {
			chosen = other
		}
	case "hash":
		for _, each := range open {
			if placement.ObjectHash(each.ID, fmt.Sprint(req.object)) < placement.ObjectHash(chosen.ID, fmt.Sprint(req.object)) {
				chosen = each
			}
		}
	}
	return placement.Choice{
		Server: chosen.Server,
	}, placement.RefusalNone
}

func load(each *backend) int { return each.running + len(each.waiting) }

func (w *world) server(id string) *backend {
	return w.servers[slices.IndexFunc(w.servers, func(each *backend) bool { return each.ID == id })]
}

// receive lets a server take a request, queue it or turn it away.
func (w *world) receive(each *job) {
	server := w.server(each.choice.Server.ID)
	switch {
	case server.down:
		w.after(way(each.entry.region, server.Region), func() { w.answer(each, placement.SignalNoConnection, nil) })
	case load(server) >= slots+queue || w.random.Float64() < server.shed:
		report := reportOf(server)
		w.after(way(each.entry.region, server.Region), func() { w.answer(each, turnedAway(report), report) })
	case server.running < slots:
		w.run(server, each)
	default:
		server.waiting = append(server.waiting, each)
	}
}

func reportOf(server *backend) *placement.LoadReport {
	return &placement.LoadReport{
		Running: server.running,
		Waiting: len(server.waiting),
		Slots:   slots,
	}
}

// run works on a request and then on the next that waits.
func (w *world) run(server *backend, each *job) {
	server.running++
	work := warmWork
	at := slices.Index(server.warm, each.request.object)
	if at < 0 {
		work = coldWork
	} else {
		server.warm = slices.Delete(server.warm, at, at+1)
	}
	server.warm = append(server.warm, each.request.object)
	if len(server.warm) > keeps {
		server.warm = server.warm[1:]
	}
	if each.request.upload {
		work *= 4
	}
	if w.counted(each.request) && !w.seen[each.request.object] {
		w.result.first++
	}
	w.seen[each.request.object] = true
	// Work differs by 15% from request to request.
	work = time.Duration(float64(work) * server.slow * (0.85 + 0.3*w.random.Float64()))
	w.after(work, func() {
		report := reportOf(server)
		server.running--
		w.after(way(each.entry.region, server.Region), func() { w.answer(each, placement.SignalAnswered, report) })
		if len(server.waiting) > 0 {
			next := server.waiting[0]
			server.waiting = server.waiting[1:]
			w.run(server, next)
		}
	})
}

// answer takes a server's answer back to the caller, or the request to another.
func (w *world) answer(each *job, sign placement.HealthSignal, report *placement.LoadReport) {
	req := each.request
	if w.policy == "ours" {
		each.entry.fleet.Done(&each.choice, sign, report, time.Since(each.sent))
	}
	if sign != placement.SignalAnswered {
		if req.sends < route.MaxAttempts {
			w.send(each.entry, req)
			return
		}
		w.refuse(req)
		return
	}
	if !w.counted(req) {
		return
	}
	took := time.Since(req.began) + callerWay
	switch {
	case took <= objective:
		w.result.inAim++
		w.result.byGood[req.region]++
	case took <= deadline:
		w.result.late++
		w.result.byGood[req.region]++
	default:
		w.result.failed++
	}
}

// refuse sends the caller away; it returns once, an impatient one thrice and at
// once.
func (w *world) refuse(req *request) {
	most, wait := 1, placement.RetryAfter(w.random.Float64())
	if req.impatient {
		most, wait = 3, 0
	}
	if req.returned >= most {
		if w.counted(req) {
			w.result.refused++
			w.result.refusedTwice++
		}
		return
	}
	req.returned++
	w.after(wait+2*callerWay, func() { w.serve(req) })
}

// turnedAway is what an entry takes a refusal of a server for.
func turnedAway(report *placement.LoadReport) placement.HealthSignal {
	if report.Running >= report.Slots {
		return placement.SignalFull
	}
	return placement.SignalShed
}
