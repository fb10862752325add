package placement

import (
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

const (
	// defaultServiceTime is the service time assumed for a route without an
	// objective, until answers are observed.
	defaultServiceTime = 300 * time.Millisecond
	// objectiveServiceShare is the share of a route's objective that is assumed as
	// its service time until answers are observed.
	objectiveServiceShare = 0.5
	// trialInterval is how long an estimate may cause requests to be refused before
	// one of them is sent as a trial: about as long as a route's requests take.
	trialInterval = 2 * time.Second
)

// serviceTimeEstimate estimates the service time of a route's requests: how long
// a server takes for a request whose object it has warm and that waits for no
// slot. It tracks a low quantile of the times of the route's answers, as the
// longer ones include a wait or a cold object.
type serviceTimeEstimate struct {
	service string
	kind    routing.RequestKind
	value   time.Duration
	// updatedAt is when an answer last updated the estimate, trialAt when a trial
	// request was last sent in spite of it.
	updatedAt time.Time
	trialAt   time.Time
}

// estimateQuantile is the share of the observed times that are below the
// estimate, estimateStep the share of the estimate by which one of them moves it.
const (
	estimateQuantile = 0.35
	estimateStep     = 0.04
)

// observe moves the estimate towards an observed time, by stochastic
// approximation of the quantile.
func (e *serviceTimeEstimate) observe(took time.Duration, now time.Time) {
	e.updatedAt = now
	step := estimateStep * float64(e.value)
	if took < e.value {
		e.value -= time.Duration(step * (1 - estimateQuantile))
		return
	}
	e.value += time.Duration(step * estimateQuantile)
}

// estimateFor returns a route's estimate, and creates it with an initial value if
// there is none.
func (f *Fleet) estimateFor(route *routing.Route, service string, initial time.Duration) *serviceTimeEstimate {
	estimate := f.serviceTimes[route.Name]
	if estimate == nil {
		estimate = &serviceTimeEstimate{
			service: service,
			kind:    route.Kind,
			value:   initial,
		}
		f.serviceTimes[route.Name] = estimate
	}
	return estimate
}

// serviceTimeOf returns the expected service time of a request at a warm server.
// For a route without an estimate it is the least estimate of the service's other
// routes of the same kind, and no more than what the objective suggests.
func (f *Fleet) serviceTimeOf(request *Request) time.Duration {
	if request.Route == nil {
		return defaultServiceTime
	}
	if estimate := f.serviceTimes[request.Route.Name]; estimate != nil {
		return estimate.value
	}
	serviceTime := defaultServiceTime
	if request.Route.LatencyObjective > 0 {
		serviceTime = time.Duration(objectiveServiceShare * float64(request.Route.LatencyObjective))
	}
	for _, other := range f.serviceTimes {
		if other.service == request.Service && other.kind == request.Route.Kind && !other.updatedAt.IsZero() {
			serviceTime = min(serviceTime, other.value)
		}
	}
	return serviceTime
}

// admitsTrial reports whether a request is sent to a server with a free slot as a
// trial, although its answer is expected too late. It is if the service time of
// its route is unknown, or has not been confirmed for trialInterval.
func (f *Fleet) admitsTrial(request *Request, server *serverRecord, latency time.Duration, now time.Time) bool {
	if request.Route == nil || f.load(server, now) >= float64(server.Slots) {
		return false
	}
	estimate := f.estimateFor(request.Route, request.Service, f.serviceTimeOf(request))
	fits := request.TimeLeft == 0 || latency <= request.TimeLeft
	if fits && !estimate.updatedAt.IsZero() || now.Sub(estimate.updatedAt) < trialInterval || now.Sub(estimate.trialAt) < trialInterval {
		return false
	}
	estimate.trialAt = now
	return true
}
