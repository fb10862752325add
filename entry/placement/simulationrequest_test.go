package placement_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"
)

// route is the route of all simulated requests.
var route = &routing.Route{
	Name:             "browse",
	Kind:             routing.Idempotent,
	LatencyObjective: objective,
	MaxAttempts:      2,
}

// dispatch passes a caller's request to a random entry of the caller's region, as a new
// request without attempts.
func (sim *simulation) dispatch(req *request) {
	var localEntries []*entry
	for _, candidate := range sim.entries {
		if candidate.region == req.region {
			localEntries = append(localEntries, candidate)
		}
	}
	receiver := localEntries[sim.random.IntN(len(localEntries))]
	req.triedServerIDs = nil
	req.attempts = 0
	sim.send(receiver, req)
}

// send lets an entry place a request and send it to the server, or refuse it.
func (sim *simulation) send(sender *entry, req *request) {
	choice, refusal := sim.place(sender, req)
	if refusal != placement.RefusalNone {
		sim.refuse(req)
		return
	}
	req.attempts++
	if sim.inResult(req) {
		sim.result.attempts++
	}
	req.triedServerIDs = append(req.triedServerIDs, choice.Server.ID)
	att := &attempt{
		request: req,
		choice:  choice,
		entry:   sender,
		sentAt:  time.Now(),
	}
	sim.schedule(networkDelay(sender.region, choice.Server.Region), func() { sim.receive(att) })
}

// place chooses a server for a request by the policy of the simulation.
func (sim *simulation) place(sender *entry, req *request) (placement.Choice, placement.Refusal) {
	waited := time.Since(req.firstSent)
	if sim.policy == "ours" {
		return sender.fleet.Choose(&placement.Request{
			Service:        "desk",
			Object:         req.object,
			Route:          route,
			Kind:           route.Kind,
			TimeLeft:       deadline - waited,
			Waited:         waited,
			CallerRetry:    req.callerRetries > 0,
			TriedServerIDs: req.triedServerIDs,
		})
	}
	if sim.policy == "planner" {
		return sim.planner.choose(sim, sender, req)
	}
	var untried []*simServer
	for _, server := range sim.servers {
		if !slices.Contains(req.triedServerIDs, server.ID) {
			untried = append(untried, server)
		}
	}
	chosen := untried[sim.random.IntN(len(untried))]
	switch sim.policy {
	case "two-choices":
		if other := untried[sim.random.IntN(len(untried))]; load(other) < load(chosen) {
			chosen = other
		}
	case "hash":
		for _, server := range untried {
			if placement.ObjectHash(server.ID, fmt.Sprint(req.object)) < placement.ObjectHash(chosen.ID, fmt.Sprint(req.object)) {
				chosen = server
			}
		}
	}
	return placement.Choice{
		Server: chosen.Server,
	}, placement.RefusalNone
}

// load returns the number of requests that a server runs or queues.
func load(server *simServer) int { return server.running + len(server.waiting) }

// serverByID returns the server with the given ID.
func (sim *simulation) serverByID(id string) *simServer {
	return sim.servers[slices.IndexFunc(sim.servers, func(server *simServer) bool { return server.ID == id })]
}

// receive handles the arrival of a request at a server, which runs, queues or refuses it.
// A server that is down refuses the connection.
func (sim *simulation) receive(att *attempt) {
	server := sim.serverByID(att.choice.Server.ID)
	switch {
	case server.down:
		sim.schedule(networkDelay(att.entry.region, server.Region), func() { sim.finishAttempt(att, placement.SignalNoConnection, nil) })
	case load(server) >= slots+queueLimit || sim.random.Float64() < server.shedShare:
		report := loadReportOf(server)
		sim.schedule(networkDelay(att.entry.region, server.Region), func() { sim.finishAttempt(att, refusalSignal(report), report) })
	case server.running < slots:
		sim.run(server, att)
	default:
		server.waiting = append(server.waiting, att)
	}
}

// loadReportOf returns the load report that a server sends with an answer.
func loadReportOf(server *simServer) *placement.LoadReport {
	return &placement.LoadReport{
		Running: server.running,
		Waiting: len(server.waiting),
		Slots:   slots,
	}
}

// run lets a server run a request, and then the next one in its queue, if any.
func (sim *simulation) run(server *simServer, att *attempt) {
	server.running++
	serviceTime := warmServiceTime
	// Move the object to the end of the LRU list, and evict the first one if it is full.
	warmIndex := slices.Index(server.warm, att.request.object)
	if warmIndex < 0 {
		serviceTime = coldServiceTime
	} else {
		server.warm = slices.Delete(server.warm, warmIndex, warmIndex+1)
	}
	server.warm = append(server.warm, att.request.object)
	if len(server.warm) > warmCapacity {
		server.warm = server.warm[1:]
	}
	if att.request.upload {
		serviceTime *= 4
	}
	if sim.inResult(att.request) && !sim.seenObjects[att.request.object] {
		sim.result.firstUses++
	}
	sim.seenObjects[att.request.object] = true
	// The service time varies by up to 15% from the mean.
	serviceTime = time.Duration(float64(serviceTime) * server.slowdown * (0.85 + 0.3*sim.random.Float64()))
	sim.schedule(serviceTime, func() {
		// The load report includes the answered request.
		report := loadReportOf(server)
		server.running--
		sim.schedule(networkDelay(att.entry.region, server.Region), func() { sim.finishAttempt(att, placement.SignalAnswered, report) })
		if len(server.waiting) > 0 {
			next := server.waiting[0]
			server.waiting = server.waiting[1:]
			sim.run(server, next)
		}
	})
}

// finishAttempt handles the end of an attempt at its entry. A server's answer goes to the
// caller and counts in the result. Otherwise the entry makes another attempt, or refuses
// the request after the last one that the route allows.
func (sim *simulation) finishAttempt(att *attempt, signal placement.HealthSignal, report *placement.LoadReport) {
	req := att.request
	if sim.policy == "ours" {
		att.entry.fleet.Done(&att.choice, signal, report, time.Since(att.sentAt))
	}
	if signal != placement.SignalAnswered {
		if req.attempts < route.MaxAttempts {
			sim.send(att.entry, req)
			return
		}
		sim.refuse(req)
		return
	}
	if !sim.inResult(req) {
		return
	}
	took := time.Since(req.firstSent) + callerDelay
	if took <= deadline && att.choice.Server.Region == req.region {
		sim.result.answeredAtHome[req.region]++
	}
	switch {
	case took <= objective:
		sim.result.withinObjective++
		sim.result.answeredByRegion[req.region]++
	case took <= deadline:
		sim.result.late++
		sim.result.answeredByRegion[req.region]++
	default:
		sim.result.failed++
	}
}

// refuse tells a caller that its request was refused. The caller retries once after a
// back-off; an impatient caller retries three times without back-off. The request counts
// as refused if the last retry is refused too.
func (sim *simulation) refuse(req *request) {
	maxRetries, backOff := 1, placement.RetryAfter(sim.random.Float64())
	if req.impatient {
		maxRetries, backOff = 3, 0
	}
	if req.callerRetries >= maxRetries {
		if sim.inResult(req) {
			sim.result.refused++
			sim.result.refusedAfterRetries++
		}
		return
	}
	req.callerRetries++
	sim.schedule(backOff+2*callerDelay, func() { sim.dispatch(req) })
}

// refusalSignal returns the health signal of a server's refusal, which depends on whether
// the load report shows a free slot.
func refusalSignal(report *placement.LoadReport) placement.HealthSignal {
	if report.Running >= report.Slots {
		return placement.SignalFull
	}
	return placement.SignalShed
}
