package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/outcome"
)

// refusal is a response of the entry itself, in place of a server's.
type refusal struct {
	status int
	reason outcome.Reason
	// retryAfter is how long the caller should wait before it retries a request that
	// has not run. If it is 0, the response has no Retry-After header.
	retryAfter time.Duration
}

const (
	// startupRetryAfter is the retryAfter of a refusal by an entry that is still fetching
	// its configuration.
	startupRetryAfter = 500 * time.Millisecond
	// shortRetryAfter is the retryAfter for requests that servers rejected in spite of
	// free slots, whose servers are gone, or that another entry can serve. A retry may
	// succeed at once.
	shortRetryAfter = 20 * time.Millisecond
)

// notRunRefusal returns the refusal for a request that has not run and never will.
func notRunRefusal(reason outcome.Reason, retryAfter time.Duration) *refusal {
	return &refusal{
		status:     http.StatusServiceUnavailable,
		reason:     reason,
		retryAfter: retryAfter,
	}
}

// RefuseStopping refuses a request, without having read its body, because the entry is shutting
// down. It is an http.HandlerFunc.
func (g *Gateway) RefuseStopping(w http.ResponseWriter, incoming *http.Request) {
	req := &proxyRequest{
		incoming: incoming,
		id:       incoming.Header.Get(g.HeaderNames.RequestID),
		arrival:  time.Now(),
	}
	g.refuse(w, req, *notRunRefusal(outcome.ReasonStopping, shortRetryAfter))
}

// refusalFor returns the refusal for a request without a usable response from a server.
func refusalFor(req *proxyRequest) refusal {
	if !req.mayHaveRun {
		retryAfter := placement.RetryAfter(rand.Float64())
		if isTransient(req.failureReason) && serviceHasRoom(req.bestCandidate) {
			retryAfter = shortRetryAfter
		}
		if req.bestCandidate != nil {
			retryAfter += req.bestCandidate.RoomIn
		}
		return *notRunRefusal(req.failureReason, retryAfter)
	}
	status := http.StatusBadGateway
	if req.failureReason == outcome.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return refusal{
		status: status,
		reason: req.failureReason,
	}
}

// serviceHasRoom reports whether the service may have free slots: placement did not
// refuse the request, or it refused the request because the best server would have
// responded too late, while the service was not fully congested.
func serviceHasRoom(bestCandidate *placement.Choice) bool {
	return bestCandidate == nil || bestCandidate.Server.ID != "" && bestCandidate.Congestion < 1
}

// isTransient reports whether the cause of a failure is unlikely to affect a retry on another
// server or through another entry.
func isTransient(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonShed, outcome.ReasonServerReplaced, outcome.ReasonConnectFailed, outcome.ReasonStopping:
		return true
	}
	return false
}

// refuse writes a refusal to the caller, updates the metrics and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, req *proxyRequest, reply refusal) {
	if reply.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(reply.retryAfter.Seconds(), 'f', 3, 64))
	}
	if req.id != "" {
		w.Header().Set(g.HeaderNames.RequestID, req.id)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(reply.status)
	// The error is ignored: it only says that the caller has left.
	_, _ = io.WriteString(w, string(reply.reason)+"\n")
	g.recordMetrics(req, reply.status)
	line := g.addDecision(g.warnLine(req, "refused"), req, req.bestCandidate).Int("status", reply.status).Str("reason", string(reply.reason))
	if reply.reason == outcome.ReasonQuarantined {
		line = line.Str("digest", req.identity.Caller.String()).Str("content", req.identity.Content.String())
	}
	line.Int64("retry-after-ms", reply.retryAfter.Milliseconds()).
		Int64("total-ms", time.Since(req.arrival).Milliseconds()).Msg("")
}

// copyBody copies a response's body to the caller. If reading or writing the part after
// the prefix fails, it aborts the caller's connection, so that the caller notices the
// truncation. It reports to the quarantine how the server ended a response that has such a
// part.
func (g *Gateway) copyBody(w http.ResponseWriter, req *proxyRequest, result *attempt) {
	response := result.response
	if _, err := w.Write(response.Prefix); err != nil {
		return
	}
	if response.Remainder == nil {
		return
	}
	remainder := &remainderReader{
		reader: response.Remainder,
	}
	_, err := io.Copy(w, remainder)
	server := &result.choice.Server
	switch {
	case err == nil:
		g.recordCompletion(req, response)
		return
	case remainder.err == nil:
		// The caller has left.
	case errors.Is(remainder.err, os.ErrDeadlineExceeded):
		g.recordUnanswered(req, server)
	default:
		g.Fleet.SuspectRestart(server, placement.SignBroken, time.Now(), response.OpenedAt)
		g.Quarantine.RecordRunFailure(req.run(server))
	}
	g.warnLine(req, "broken-off").Str("failure", err.Error()).
		Int64("total-ms", time.Since(req.arrival).Milliseconds()).Msg("")
	panic(http.ErrAbortHandler)
}

// remainderReader reads the rest of a response's body and keeps the error that ended it,
// to tell a server that broke off from a caller that has left.
type remainderReader struct {
	reader io.Reader
	err    error
}

// Read reads from the body.
func (r *remainderReader) Read(p []byte) (int, error) {
	count, err := r.reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return count, err
}

// recordMetrics counts a response by service, request kind and status, and records its
// latency in milliseconds. A response to a request without a route is only counted by
// status.
func (g *Gateway) recordMetrics(req *proxyRequest, status int) {
	name := "requests.none." + strconv.Itoa(status)
	if req.route != nil {
		name = "requests." + req.service + "." + req.route.Kind.String() + "." + strconv.Itoa(status)
		metrics.GetOrRegisterHistogram("latency-ms."+req.service+"."+req.route.Kind.String()+"."+outcomeLabel(status), g.Metrics, metrics.NewUniformSample(latencySampleCount)).
			Update(time.Since(req.arrival).Milliseconds())
	}
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(1)
}

// outcomeLabel returns the part of a latency metric's name that stands for a status.
func outcomeLabel(status int) string {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "refused"
	case status >= http.StatusBadRequest:
		return "failed"
	}
	return "served"
}

// latencySampleCount is the number of samples that a latency histogram keeps, of
// 8 bytes each.
const latencySampleCount = 256

// itoa formats a decimal number.
func itoa(value int) string { return strconv.Itoa(value) }
