package placement

import (
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

const (
	// firstWork is the work assumed of a route without an objective, until answers
	// tell.
	firstWork = 300 * time.Millisecond
	// objectiveWork is the part of a route's objective that is assumed as work
	// until answers tell.
	objectiveWork = 0.5
	// trialInterval is how long an estimate that refuses requests is believed
	// before one of them is tried: about as long as a route's requests take.
	trialInterval = 2 * time.Second
)

// estimate follows a low quantile of the times of a route's answers: those of
// warm servers that did not let the request wait.
type estimate struct {
	service string
	kind    routing.RequestKind
	value   time.Duration
	// learned is when an answer last told of the work, tried when a request was
	// last sent in spite of the estimate.
	learned time.Time
	tried   time.Time
}

// estimateQuantile is the part of the answers that are faster than the estimate
// and estimateStep how far an answer moves it.
const (
	estimateQuantile = 0.35
	estimateStep     = 0.04
)

func (e *estimate) observe(took time.Duration, now time.Time) {
	e.learned = now
	step := estimateStep * float64(e.value)
	if took < e.value {
		e.value -= time.Duration(step * (1 - estimateQuantile))
		return
	}
	e.value += time.Duration(step * estimateQuantile)
}

// estimateOf returns a route's estimate, begun with a value if there is none.
func (f *Fleet) estimateOf(route *routing.Route, service string, value time.Duration) *estimate {
	known := f.work[route.Name]
	if known == nil {
		known = &estimate{
			service: service,
			kind:    route.Kind,
			value:   value,
		}
		f.work[route.Name] = known
	}
	return known
}

// workOf returns the expected work of a request at a warm server.
func (f *Fleet) workOf(request *Request) time.Duration {
	if request.Route == nil {
		return firstWork
	}
	if known := f.work[request.Route.Name]; known != nil {
		return known.value
	}
	work := firstWork
	if request.Route.LatencyObjective > 0 {
		work = time.Duration(objectiveWork * float64(request.Route.LatencyObjective))
	}
	for _, each := range f.work {
		if each.service == request.Service && each.kind == request.Route.Kind && !each.learned.IsZero() {
			work = min(work, each.value)
		}
	}
	return work
}

// tries reports whether a request is given to a server with a free slot although
// its work seems not to fit: nobody knows what requests on its route take, or
// what was known has not been confirmed lately.
func (f *Fleet) tries(request *Request, each *server, cost time.Duration, now time.Time) bool {
	if request.Route == nil || f.load(each, now) >= float64(each.Slots) {
		return false
	}
	known := f.estimateOf(request.Route, request.Service, f.workOf(request))
	fits := request.TimeLeft == 0 || cost <= request.TimeLeft
	if fits && !known.learned.IsZero() || now.Sub(known.learned) < trialInterval || now.Sub(known.tried) < trialInterval {
		return false
	}
	known.tried = now
	return true
}
