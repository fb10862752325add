package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

// classifyResponse derives from a response the health signal, the reason, and whether
// the request may have run. A response with a Content-Encoding, or a success without
// the server's stamp, counts as the response to another request.
func (g *Gateway) classifyResponse(result *attempt, report *placement.LoadReport) {
	response := result.response
	switch {
	case g.statesNotRun(response.Response):
		result.signal, result.reason = classifyRejection(response.StatusCode, report)
	case response.Header.Get("Content-Encoding") != "",
		response.Header.Get(g.HeaderNames.ResponseStamp) == "" && response.StatusCode < http.StatusMultipleChoices:
		result.mayHaveRun = true
		result.signal = placement.SignalBroken
		result.reason = outcome.ReasonCrossedAnswer
	default:
		result.mayHaveRun = true
		if response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout {
			result.signal = placement.SignalBroken
		}
		if meansNotRun(response.StatusCode) {
			result.reason = outcome.ReasonUnconfirmedRefusal
			metrics.GetOrRegisterCounter("unconfirmed-refusals."+result.choice.Server.Service, g.Metrics).Inc(1)
		}
	}
}

// statesNotRun reports whether a server states in a response that it has not run the request: by its
// header, or by status 421 unless the response has the stamp of a request that was run.
func (g *Gateway) statesNotRun(response *http.Response) bool {
	return response.Header.Get(g.HeaderNames.NotExecuted) != "" ||
		response.StatusCode == http.StatusMisdirectedRequest && response.Header.Get(g.HeaderNames.ResponseStamp) == ""
}

// meansNotRun reports whether callers take a status to mean that their request has not run and never
// will. A server's response with such a status does not state that by itself, see statesNotRun, so
// it must not reach the caller.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classifyRejection derives the health signal and the reason from a response by which
// a server says that it did not run the request.
func classifyRejection(status int, report *placement.LoadReport) (placement.HealthSignal, outcome.Reason) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return placement.SignalReplaced, outcome.ReasonServerReplaced
	case report == nil || report.Running >= report.Slots:
		return placement.SignalFull, outcome.ReasonServerFull
	}
	return placement.SignalShed, outcome.ReasonShed
}

// classifyFailure derives from the failure of an attempt the health signal, the reason,
// and whether the request may have run. It reports a connection that broke during the
// exchange, and a request without an answer, to the quarantine. A response whose body broke off
// still says whether the request has run.
func (g *Gateway) classifyFailure(ctx context.Context, req *proxyRequest, result *attempt) {
	failure := result.failure
	if failure.Truncated != nil && g.statesNotRun(failure.Truncated) {
		// The header was complete, and the body adds nothing to what it states.
		result.signal, result.reason = classifyRejection(failure.Truncated.StatusCode, nil)
		return
	}
	switch {
	case failure.NoConnection:
		result.reason = outcome.ReasonConnectFailed
		result.signal = placement.SignalNoConnection
		switch {
		case errors.Is(failure.Err, upstream.ErrServerNotEligible):
			result.reason = outcome.ReasonServerLeaving
			result.signal = placement.SignalNone
		case errors.Is(failure.Err, upstream.ErrServerUnverified):
			result.reason = outcome.ReasonServerUnverified
			result.signal = placement.SignalNone
		}
		if ctx.Err() != nil {
			result.signal = placement.SignalNone
		}
		return
	case ctx.Err() != nil:
		result.reason = g.endReason(req)
		result.signal = placement.SignalNone
		if result.reason != outcome.ReasonStopping {
			g.recordUnanswered(req, &result.choice.Server)
		}
	case req.body.readError() != nil:
		result.reason = outcome.ReasonBodyBroken
		result.signal = placement.SignalNone
	case failure.ResponseMismatch:
		result.reason = outcome.ReasonCrossedAnswer
		result.signal = placement.SignalBroken
	default:
		result.reason = outcome.ReasonConnectionBroken
		result.signal = placement.SignalBroken
	}
	if failure.ConnBroken && result.signal == placement.SignalBroken {
		g.Quarantine.RecordRunFailure(req.run(&result.choice.Server))
	}
	result.mayHaveRun = true
}

// minSilence is how long a request must have been without a response to show that its server may have
// ended.
const minSilence = 500 * time.Millisecond

// observeSign reports to the fleet if the failure of an attempt that began at a time shows that the
// server may have started again.
func (g *Gateway) observeSign(result *attempt, began time.Time) {
	server := &result.choice.Server
	switch {
	case result.signal == placement.SignalNoConnection:
		g.Fleet.SuspectRestart(server, placement.SignRefused, began, time.Time{})
	case result.failure.ConnBroken && result.signal == placement.SignalBroken:
		g.Fleet.SuspectRestart(server, placement.SignBroken, time.Now(), result.failure.OpenedAt)
	case result.reason == outcome.ReasonDeadline && time.Since(began) >= minSilence:
		g.Fleet.SuspectRestart(server, placement.SignSilent, began, result.failure.OpenedAt)
	}
}

// run describes a run of the request on a server to the quarantine.
func (r *proxyRequest) run(server *routing.Server) quarantine.Run {
	return quarantine.Run{
		Request:       r.identity,
		Service:       r.service,
		Server:        incarnationKey(server),
		FailureDomain: server.FailureDomain,
	}
}

// recordUnanswered reports to the quarantine that a server did not answer a request in time.
func (g *Gateway) recordUnanswered(req *proxyRequest, server *routing.Server) {
	incarnation := server.Incarnation()
	g.Quarantine.RecordUnanswered(req.run(server), func() bool {
		return g.Fleet.Registered(incarnation)
	})
}
