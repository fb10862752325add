package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/outcome"
)

// refusal is an answer of the entry's own.
type refusal struct {
	status int
	reason outcome.Reason
	// wait is when the caller may find room, for requests that have not run.
	wait time.Duration
}

const (
	// startWait is how long an entry without configuration is taken to need.
	startWait = 500 * time.Millisecond
	// soonWait is for requests that servers turned away although they had room, or
	// that met servers that are gone: another try may go well at once.
	soonWait = 20 * time.Millisecond
)

// notRun refuses a request that has not run and never will.
func notRun(reason outcome.Reason, wait time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable,
		reason: reason,
		wait:   wait,
	}
}

// refusalOf is the entry's answer to a request that ended without a server's.
func refusalOf(req *request) refusal {
	if !req.mayHaveRun {
		wait := placement.RetryAfter(rand.Float64())
		if servedSoon(req.reason) && hasRoom(req.last) {
			wait = soonWait
		}
		return *notRun(req.reason, wait)
	}
	status := http.StatusBadGateway
	if req.reason == outcome.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return refusal{
		status: status,
		reason: req.reason,
	}
}

// hasRoom reports whether a service has room although a request was refused its
// last placement, if it was: the server that came closest would have been late.
func hasRoom(last *placement.Choice) bool {
	return last == nil || last.Server.ID != "" && last.Congestion < 1
}

// servedSoon reports whether what a request was turned away for does not hold for
// its next try.
func servedSoon(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonShed, outcome.ReasonServerReplaced, outcome.ReasonConnectFailed:
		return true
	}
	return false
}

func (g *Gateway) refuse(w http.ResponseWriter, req *request, no refusal) {
	if no.wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(no.wait.Seconds(), 'f', 3, 64))
	}
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	if req.id != "" {
		w.Header().Set(g.HeaderNames.RequestID, req.id)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(no.status)
	// A caller that has left needs no answer.
	_, _ = io.WriteString(w, string(no.reason)+"\n")
	g.count(req, no.status)
	g.decision(g.lost(req, "refused"), req, req.last).Int("status", no.status).Str("reason", string(no.reason)).
		Int64("retry-after-ms", no.wait.Milliseconds()).
		Int64("total-ms", time.Since(req.arrived).Milliseconds()).Msg("")
}

// copy passes a body on. An answer that breaks off midway ends the connection,
// so that it does not look whole.
func (g *Gateway) copy(w http.ResponseWriter, req *request, answer *upstream.Response) {
	if _, err := w.Write(answer.Prefix); err != nil {
		return
	}
	if answer.Remainder == nil {
		return
	}
	if _, err := io.Copy(w, answer.Remainder); err != nil {
		g.lost(req, "broken-off").Str("failure", err.Error()).
			Int64("total-ms", time.Since(req.arrived).Milliseconds()).Msg("")
		panic(http.ErrAbortHandler)
	}
}

// count counts an answer by service, kind and status.
func (g *Gateway) count(req *request, status int) {
	name := "requests.none." + strconv.Itoa(status)
	if req.route != nil {
		name = "requests." + req.service + "." + req.route.Kind.String() + "." + strconv.Itoa(status)
		metrics.GetOrRegisterHistogram("latency-ms."+req.service+"."+req.route.Kind.String()+"."+outcomeOf(status), g.Metrics, metrics.NewUniformSample(latencySamples)).
			Update(time.Since(req.arrived).Milliseconds())
	}
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(1)
}

// outcomeOf tells what an answer with a status is to its caller.
func outcomeOf(status int) string {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "refused"
	case status >= http.StatusBadRequest:
		return "failed"
	}
	return "served"
}

// latencySamples is how many latencies a histogram keeps, 8 bytes each.
const latencySamples = 256

func itoa(value int) string { return strconv.Itoa(value) }
