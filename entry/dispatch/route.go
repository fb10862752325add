package dispatch

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/outcome"
)

const (
	// maxAttempts bounds how often one request is sent to a home.
	maxAttempts = 4
	// maxImmediate bounds the homes that are asked for a free slot before the
	// request waits at the first of them.
	maxImmediate = 3
	// retryShare is the part of a service's requests that may be retried after
	// they reached a backend server, so that retries never multiply an overload.
	retryShare = 0.1
	// retryBurst is the most retries at once.
	retryBurst = 10
)

// candidate is a home that a request may be sent to.
type candidate struct {
	place steering.Candidate
	// immediate says that the request shall not wait there: another place may have
	// a free slot, and only the homes know their own for certain.
	immediate bool
}

// route tries homes in their order until one gives an answer that ends the
// request. A backend server is tried once at most.
func (d *Dispatcher) route(ctx context.Context, req *Request) answer {
	d.retries.earn(req.Service.Name)
	var places []candidate
	for _, ranked := range d.RankHomes(req.Service, req.OriginRegion) {
		if ranked.Allowed && len(places) < maxImmediate {
			places = append(places, candidate{
				place:     ranked.Candidate,
				immediate: true,
			})
		}
	}
	if len(places) == 1 {
		places[0].immediate = false
	}
	last := refused(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoBackendServer, "no home of the service can be reached"))
	var ran *answer
	var excluded []string
	for attempt := 0; attempt < maxAttempts && len(places) > 0; attempt++ {
		if attempt > 0 && !d.mayRetry(ctx, req, last) {
			break
		}
		next := places[0]
		places = places[1:]
		req.immediate = next.immediate
		last = d.attempt(ctx, req, next.place, excluded)
		if last.response != nil {
			return last
		}
		if last.outcome.Kind == outcome.Unknown {
			unknown := last
			ran = &unknown
		}
		if last.server != "" {
			excluded = append(excluded, last.server)
		}
		if last.server != "" || next.immediate && last.outcome.Reason == outcome.ReasonNoRoom {
			next.immediate = false
			places = append(places, next)
		}
	}
	if ran != nil {
		return *ran
	}
	return last
}

// attempt sends a request to one home.
func (d *Dispatcher) attempt(ctx context.Context, req *Request, place steering.Candidate, excluded []string) answer {
	if d.Quarantine.Quarantined(quarantine.Digest(req.Digest)) {
		return refused(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonQuarantined, "this request broke several backend servers"))
	}
	if place.Home == d.Entry {
		return d.serveLocally(ctx, req, excluded)
	}
	if d.TrackInFlight == nil {
		return d.relayToHome(ctx, req, place, excluded)
	}
	done := d.TrackInFlight(place.Home, req.Service.Name)
	ans := d.relayToHome(ctx, req, place, excluded)
	if ans.response == nil {
		done()
		return ans
	}
	release := ans.release
	ans.release = func(end outcome.Outcome) {
		release(end)
		done()
	}
	return ans
}

// mayRetry reports whether a request without an answer may be tried elsewhere:
// any while it surely has not run and its body is whole; an idempotent one also
// if it may have run. Those that reached a backend server draw on the budget.
func (d *Dispatcher) mayRetry(ctx context.Context, req *Request, last answer) bool {
	switch {
	case ctx.Err() != nil, !req.resendable(), last.outcome.Reason == outcome.ReasonQuarantined:
		return false
	case last.outcome.Kind != outcome.NotRun && !req.Idempotent:
		return false
	case last.outcome.Kind == outcome.NotRun && last.server == "":
		return true
	}
	if !d.retries.spend(req.Service.Name) {
		metrics.GetOrRegisterCounter("retries.over-budget", d.Metrics).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("retries", d.Metrics).Inc(1)
	return true
}

// budget bounds the retries of each service by a part of its requests.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// earn counts a request.
func (b *budget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	held, known := b.tokens[service]
	if !known {
		held = retryBurst
	}
	b.tokens[service] = min(retryBurst, held+retryShare)
}

// spend takes one retry, and reports whether there was one.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
