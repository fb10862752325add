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
	// maxAttempts is the maximum number of attempts of one request, including the
	// first. It is also the maximum number of backend servers that one attempt
	// considers: an attempt for a suspect skips the servers that run another suspect.
	maxAttempts = 4
	// maxCandidateHomes is the maximum number of homes that one request tries. If
	// there are several, the request first tries each without waiting for a slot. Then,
	// as far as maxAttempts allows, it waits at those that had no free slot, best first.
	maxCandidateHomes = 3
	// retryRatio is the number of retries that each request of a service adds to the
	// service's budget. The budget limits the retries after attempts that selected a
	// backend server or may have reached one, so that retries can't amplify an overload.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries in a service's budget, and the initial
	// number.
	retryBurst = 10
)

// plannedAttempt is an attempt at a home that route has not made yet.
type plannedAttempt struct {
	candidate steering.Candidate
	// immediate makes the home refuse the request instead of queueing it if no slot
	// is free. Another home may have one, and only a home itself knows its current
	// slots.
	immediate bool
}

// route tries the service's homes in ranked order until one returns a response
// or no further attempt is allowed. An attempt excludes the backend servers that
// earlier attempts are known to have used. Without a response, an attempt that may
// have run the request determines the outcome, even if a later attempt was
// refused.
func (d *Dispatcher) route(ctx context.Context, req *Request) attemptResult {
	d.retryBudget.countRequest(req.Service.Name)
	var planned []plannedAttempt
	for _, ranked := range d.RankHomes(req.Service, req.OriginRegion) {
		if ranked.Allowed && len(planned) < maxCandidateHomes {
			planned = append(planned, plannedAttempt{
				candidate: ranked.Candidate,
				immediate: true,
			})
		}
	}
	if len(planned) == 1 {
		planned[0].immediate = false
	}
	last := withoutResponse(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoBackendServer, "no home of the service can be reached"))
	var unknown *attemptResult
	var excluded []string
	for attempt := 0; attempt < maxAttempts && len(planned) > 0; attempt++ {
		if attempt > 0 && !d.mayRetry(ctx, req, last) {
			break
		}
		next := planned[0]
		planned = planned[1:]
		req.immediate = next.immediate
		req.elsewhere = attempt+1 < maxAttempts && len(planned) > 0
		last = d.tryHome(ctx, req, next.candidate, excluded)
		if last.response != nil {
			return last
		}
		if last.outcome.Kind == outcome.Unknown {
			possiblyRan := last
			unknown = &possiblyRan
		}
		if last.server != "" {
			excluded = append(excluded, last.server)
		}
		if last.server != "" || next.immediate && last.outcome.Reason == outcome.ReasonNoRoom {
			next.immediate = false
			planned = append(planned, next)
		}
	}
	if unknown != nil {
		return *unknown
	}
	return last
}

// tryHome makes one attempt at the candidate, which is this entry or a peer. The
// excluded backend servers are not used. A quarantined request is refused.
func (d *Dispatcher) tryHome(ctx context.Context, req *Request, candidate steering.Candidate, excluded []string) attemptResult {
	if d.Quarantine.Quarantined(quarantine.Digest(req.Digest)) {
		return withoutResponse(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonQuarantined, "this request broke several backend servers"))
	}
	if candidate.Home == d.Entry {
		return d.serveAsHome(ctx, req, excluded)
	}
	if d.TrackInFlight == nil {
		return d.relayToHome(ctx, req, candidate, excluded)
	}
	done := d.TrackInFlight(candidate.Home, req.Service.Name)
	result := d.relayToHome(ctx, req, candidate, excluded)
	if result.response == nil {
		done()
		return result
	}
	release := result.release
	result.release = func(final outcome.Outcome) {
		release(final)
		done()
	}
	return result
}

// mayRetry reports whether a request whose last attempt brought no response may
// be attempted again. Its body must still be complete. A non-idempotent request
// is retried only if it certainly has not run, an idempotent one also if it may
// have run. A retry after an attempt that selected a backend server, or that may
// have reached one, is charged to the retry budget.
func (d *Dispatcher) mayRetry(ctx context.Context, req *Request, last attemptResult) bool {
	switch {
	case ctx.Err() != nil, !req.canResend(), last.outcome.Reason == outcome.ReasonQuarantined:
		return false
	case last.outcome.Kind != outcome.NotRun && !req.Idempotent:
		return false
	case last.outcome.Kind == outcome.NotRun && last.server == "":
		return true
	}
	if !last.charged && !d.retryBudget.takeToken(req.Service.Name) {
		metrics.GetOrRegisterCounter("retries.over-budget", d.Metrics).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("retries", d.Metrics).Inc(1)
	return true
}

// retryBudget limits the retries of each service to a fraction of its requests,
// with a token bucket per service that requests fill and retries drain.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// countRequest adds retryRatio tokens to a service's bucket, up to retryBurst.
func (b *retryBudget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	tokens, exists := b.tokens[service]
	if !exists {
		tokens = retryBurst
	}
	b.tokens[service] = min(retryBurst, tokens+retryRatio)
}

// takeToken takes one token, which allows one retry, from a service's bucket. It
// reports whether the bucket had one.
func (b *retryBudget) takeToken(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
