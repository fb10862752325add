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
	// trialInterval is the minimum time from a trial request of a route, or from an
	// update of its estimate, to the next trial. A slow request takes about as long, so
	// the answer to one trial mostly arrives before the next trial.
	trialInterval = 2 * time.Second
)

// serviceTimeEstimate estimates the service time of a route's requests: how long a
// server takes for a request that waits for no slot and whose object it has warm.
// The estimate tracks a low quantile of the times to the route's answers, because
// the longer times include a wait or the loading of a cold object.
type serviceTimeEstimate struct {
	service string
	kind    routing.RequestKind
	value   time.Duration
	// updatedAt is when an answer last updated the estimate, trialAt when a request
	// was last sent as a trial, see [Fleet.admitsTrial].
	updatedAt time.Time
	trialAt   time.Time
}

const (
	// estimateQuantile is the quantile of the observed times that an estimate tracks.
	estimateQuantile = 0.35
	// estimateStep is the sum of the sizes of a step up and a step down, as a share of
	// the estimate.
	estimateStep = 0.04
)

// observe moves the estimate one step towards the observed time. The sizes of the steps
// up and down are such that they cancel out on average when the estimate is at the
// quantile (stochastic approximation).
func (e *serviceTimeEstimate) observe(took time.Duration, now time.Time) {
	e.updatedAt = now
	step := estimateStep * float64(e.value)
	if took < e.value {
		e.value -= time.Duration(step * (1 - estimateQuantile))
		return
	}
	e.value += time.Duration(step * estimateQuantile)
}

// estimateFor returns the estimate for a route, and creates it with the initial value
// if there is none.
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

// expectedServiceTime returns the expected service time of a request whose object
// the server has warm. For a route without an estimate, it is the lowest observed
// estimate of the service's other routes of the same kind, but at most the share
// objectiveServiceShare of the route's objective, or defaultServiceTime without one.
func (f *Fleet) expectedServiceTime(request *Request) time.Duration {
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

// admitsTrial reports whether a request that admits rejected is sent nevertheless, as a
// trial that updates the estimated service time of its route. If so, it records the time
// of the trial. The server must have a free slot. There is at most one trial per
// trialInterval, and none within trialInterval of an answer that updated the estimate.
// While no answer has ever updated it, any request can be a trial; later only one that
// is expected to miss its deadline.
func (f *Fleet) admitsTrial(request *Request, server *serverRecord, latency time.Duration, now time.Time) bool {
	if request.Route == nil || f.load(server, now) >= float64(server.Slots) {
		return false
	}
	estimate := f.estimateFor(request.Route, request.Service, f.expectedServiceTime(request))
	meetsDeadline := request.TimeLeft == 0 || latency <= request.TimeLeft
	if meetsDeadline && !estimate.updatedAt.IsZero() || now.Sub(estimate.updatedAt) < trialInterval || now.Sub(estimate.trialAt) < trialInterval {
		return false
	}
	estimate.trialAt = now
	return true
}
