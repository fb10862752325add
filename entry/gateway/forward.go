package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

const (
	// responseGrace is how long to wait beyond the deadline for a response that the
	// server sends at the deadline. It covers the network delay, and is less than the
	// quarter of a second after the deadline within which the entry must respond.
	responseGrace = 180 * time.Millisecond
	// minTimeToSend is the minimum time left until the deadline for an attempt.
	minTimeToSend = 20 * time.Millisecond
	// maxUnsentAttempts is the number of attempts of which nothing was sent, after which
	// a request is not retried.
	maxUnsentAttempts = 4
	// statementWarningInterval is the shortest time between two log lines about statements
	// that can't be decoded. A server may send one with each response.
	statementWarningInterval = time.Second
)

// errQuarantined is the failure of an attempt that the quarantine prevented, because
// the request and another one that the server runs are suspected of crashing servers.
var errQuarantined = errors.New("request is quarantined")

// attempt is one attempt to send a request to a server, and its result. Either response
// or failure is set.
type attempt struct {
	choice   placement.Choice
	response *upstream.Response
	failure  *upstream.Failure
	// signal is what the result says about the server's health.
	signal placement.HealthSignal
	// mayHaveRun reports whether the server may have run the request.
	mayHaveRun bool
	// reason is why the response is missing, can't be used or is an error to retry; "" for
	// a response to forward.
	reason outcome.Reason
	// latency is the time from the start of the attempt to the response or failure. For a
	// response, it doesn't include the time to connect.
	latency time.Duration
}

// forward makes attempts until one yields a response for the caller or no further
// attempt may be made, and responds to the caller.
func (g *Gateway) forward(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	req.callerRetry = g.isCallerRetry(req)
	req.failureReason = outcome.ReasonNoRoom
	defer req.discardFallback()
	if req.trial = g.beginTrial(ctx, req); req.trial != nil {
		defer func() { g.EndTrial(req.trial, req.sentAttempts, req.mayHaveRun) }()
	}
	for retry := true; retry; {
		if reason := g.stopReason(ctx, req); reason != "" {
			req.failureReason = reason
			break
		}
		choice, placed := g.chooseServer(req)
		if !placed {
			break
		}
		result := g.sendOnce(ctx, req, choice)
		var delivered bool
		if delivered, retry = g.handleAttempt(w, req, &result); delivered {
			return
		}
	}
	g.finishAfterFailure(ctx, w, req)
}

// beginTrial returns a trial if a request may run although it is quarantined. It waits for that
// until the request's deadline at most.
func (g *Gateway) beginTrial(ctx context.Context, req *proxyRequest) *quarantine.Trial {
	if g.BeginTrial == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.responseDeadline)
	defer cancel()
	return g.BeginTrial(ctx, req.identity)
}

// stopReason returns why no further attempt may be made, or "" if one may.
func (g *Gateway) stopReason(ctx context.Context, req *proxyRequest) outcome.Reason {
	switch {
	case req.trial == nil && g.Quarantine.Refused(req.identity):
		return outcome.ReasonQuarantined
	case time.Until(req.responseDeadline) < minTimeToSend || ctx.Err() != nil:
		return g.endReason(req)
	case req.sentAttempts == 0 && g.outlastsShutdown(req):
		return outcome.ReasonStopping
	}
	return ""
}

// outlastsShutdown reports whether the response to a request may be due after the end of the
// entry's shutdown, when it would be cut off.
func (g *Gateway) outlastsShutdown(req *proxyRequest) bool {
	if g.ResponsesDue == nil {
		return false
	}
	due := g.ResponsesDue()
	return !due.IsZero() && req.responseDeadline.Add(responseGrace).After(due)
}

// endReason returns why there is no more time for a request: its caller has left, the process
// is about to end, or its deadline has expired.
func (g *Gateway) endReason(req *proxyRequest) outcome.Reason {
	switch {
	case req.incoming.Context().Err() != nil:
		return outcome.ReasonCanceled
	case g.Ending != nil && g.Ending.Err() != nil:
		return outcome.ReasonStopping
	}
	return outcome.ReasonDeadline
}

// chooseServer lets placement choose a server and reports whether it did. If placement
// refused the request, chooseServer records the best candidate, and the reason if
// nothing was sent before.
func (g *Gateway) chooseServer(req *proxyRequest) (placement.Choice, bool) {
	request := &placement.Request{
		Service:        req.service,
		Object:         req.objectHash,
		Kind:           req.route.Kind,
		Route:          req.route,
		TimeLeft:       time.Until(req.responseDeadline),
		Waited:         time.Since(req.arrival),
		CallerRetry:    req.callerRetry,
		TriedServerIDs: req.triedServerIDs,
	}
	if req.trial != nil {
		request.AvoidDomain = req.trial.Avoids
	}
	choice, refusalReason := g.Fleet.Choose(request)
	if refusalReason != placement.RefusalNone {
		req.bestCandidate = &choice
		if req.sentAttempts == 0 {
			req.failureReason = outcome.Reason(refusalReason)
		}
		return choice, false
	}
	req.triedServerIDs = append(req.triedServerIDs, choice.Server.ID)
	return choice, true
}

// handleAttempt writes the response of an attempt to the caller if it is final, or if
// the server may have run the request and no retry is allowed. Otherwise it reports
// whether to retry.
func (g *Gateway) handleAttempt(w http.ResponseWriter, req *proxyRequest, result *attempt) (delivered, retry bool) {
	if result.failure != nil && result.failure.NoConnection {
		req.failureReason = outcome.ReasonConnectFailed
		req.unsentAttempts++
		retry = req.unsentAttempts < maxUnsentAttempts
		g.logFailedAttempt(req, result, retry)
		return false, retry
	}
	req.sentAttempts++
	req.mayHaveRun = req.mayHaveRun || result.mayHaveRun
	if result.response != nil && g.isFinal(req, result) {
		g.writeResponse(w, req, result)
		return true, false
	}
	req.failureReason = result.reason
	retry = g.mayRetry(req, result)
	if !retry && result.response != nil && result.mayHaveRun {
		g.writeResponse(w, req, result)
		return true, false
	}
	g.logFailedAttempt(req, result, retry)
	switch {
	case result.response == nil:
	case result.reason == outcome.ReasonServerFailed:
		req.discardFallback()
		req.fallback = result
	default:
		result.response.Release()
	}
	return false, retry
}

// discardFallback releases the fallback response, if there is one.
func (r *proxyRequest) discardFallback() {
	if r.fallback != nil {
		r.fallback.response.Release()
		r.fallback = nil
	}
}

// finishAfterFailure responds to the caller when no attempt has yielded a response to
// forward and none follows: with the fallback response if there is one, and otherwise
// with a refusal. If the caller has left, it aborts the connection.
func (g *Gateway) finishAfterFailure(ctx context.Context, w http.ResponseWriter, req *proxyRequest) {
	if ctx.Err() != nil && req.incoming.Context().Err() != nil {
		g.addDecision(g.warnLine(req, "caller-left"), req, nil).Str("reason", string(req.failureReason)).
			Int64("total-ms", time.Since(req.arrival).Milliseconds()).Msg("")
		panic(http.ErrAbortHandler)
	}
	if fallback := req.fallback; fallback != nil {
		req.fallback = nil
		g.writeResponse(w, req, fallback)
		return
	}
	if err := req.body.readError(); err != nil {
		refused := *bodyRefusal(err)
		if req.mayHaveRun && meansNotRun(refused.status) {
			// A server has got a part of the body.
			refused.status = http.StatusGatewayTimeout
		}
		g.refuse(w, req, refused)
		return
	}
	g.refuse(w, req, refusalFor(req))
}

// sendOnce makes one attempt: it sends a request to the chosen server and classifies the
// result.
func (g *Gateway) sendOnce(ctx context.Context, req *proxyRequest, choice placement.Choice) attempt {
	started := time.Now()
	result := attempt{
		choice: choice,
	}
	release, allowed := g.Quarantine.Admit(req.identity, incarnationKey(&choice.Server))
	if !allowed {
		g.Fleet.Done(&choice, placement.SignalNone, nil, 0)
		result.reason = outcome.ReasonQuarantined
		result.failure = &upstream.Failure{
			Err:          errQuarantined,
			NoConnection: true,
		}
		return result
	}
	defer release()
	g.addDecision(g.infoLine(req, "sent"), req, &choice).Msg("")
	var options []upstream.Option
	if choice.Cold {
		options = append(options, upstream.ToAnyProcess())
	}
	result.response, result.failure = g.Pool.Exchange(ctx, &choice.Server, g.upstreamRequest(req, &choice.Server), req.id, options...)
	var report *placement.LoadReport
	if result.response != nil {
		g.Fleet.ObserveAnswer(&choice.Server, result.response.OpenedAt, result.response.SentAt)
		report = parseLoadReport(result.response.Header.Get(g.HeaderNames.Load))
		g.classifyResponse(&result, report)
		g.observeStatement(&result)
	} else {
		g.classifyFailure(ctx, req, &result)
		g.observeSign(&result, started)
	}
	latency := time.Since(started)
	if result.response != nil && result.response.ConnectTime > 0 {
		g.Fleet.ObserveRoundTrip(choice.Server.Region, result.response.ConnectTime)
		latency -= result.response.ConnectTime
	}
	result.latency = latency
	g.Fleet.Done(&choice, result.signal, report, latency)
	return result
}

// observeStatement records what the server of an attempt states about itself in its
// response. The response of another server at its address says nothing about it, nor does
// one that may belong to another request. A refusal may leave out a limit that still holds.
func (g *Gateway) observeStatement(result *attempt) {
	if result.reason == outcome.ReasonServerReplaced || result.reason == outcome.ReasonCrossedAnswer {
		return
	}
	statement, err := g.DecodeStatement(result.response.StatusCode, result.response.Header)
	if err != nil {
		now, last := time.Now().UnixNano(), g.statementWarnedAt.Load()
		if now-last >= int64(statementWarningInterval) && g.statementWarnedAt.CompareAndSwap(last, now) {
			g.Logger.Warn().Str("event", "statement-unreadable").Str("server", result.choice.Server.ID).Err(err).Msg("")
		}
	}
	if !result.mayHaveRun && !statement.Limited {
		statement.LimitUnknown = true
	}
	g.Fleet.ObserveStatement(&result.choice, statement)
}

// logFailedAttempt logs an attempt whose response is not given to the caller, and
// whether the request is retried.
func (g *Gateway) logFailedAttempt(req *proxyRequest, result *attempt, retry bool) {
	line := g.addDecision(g.warnLine(req, "lost"), req, &result.choice).Int64("took-ms", result.latency.Milliseconds())
	if result.response != nil {
		line = line.Int("status", result.response.StatusCode)
	}
	if result.failure != nil {
		line = line.Str("failure", result.failure.Error()).Bool("reused", result.failure.ConnReused)
	}
	line.Str("reason", string(result.reason)).Str("digest", req.identity.Caller.String()).Str("content", req.identity.Content.String()).
		Str("exact", req.identity.Exact.String()).Bool("again", retry).
		Int("repeats-left", g.RetryBudget.RetriesLeft(req.service, req.callerRetry)).Msg("")
}

// incarnationKey identifies an incarnation of a server for the quarantine, so that two
// crashes of a server that was restarted in between count as two.
func incarnationKey(server *routing.Server) string {
	return server.ID + "@" + strconv.FormatInt(server.StartUnixMS, 10)
}

// ParseIncarnationKey returns the ID and the start of the server that a key of the quarantine
// identifies.
func ParseIncarnationKey(key string) (serverID string, startUnixMS int64, ok bool) {
	at := strings.LastIndexByte(key, '@')
	if at < 0 {
		return "", 0, false
	}
	startUnixMS, err := strconv.ParseInt(key[at+1:], 10, 64)
	return key[:at], startUnixMS, err == nil
}

// isFinal reports whether a response goes to the caller without a retry. If it is a
// server's error that a retry could turn into a success, isFinal sets the reason of the
// attempt.
func (g *Gateway) isFinal(req *proxyRequest, result *attempt) bool {
	if result.reason != "" {
		return false
	}
	if result.response.StatusCode < http.StatusInternalServerError {
		return true
	}
	if !req.idempotent() || result.response.StatusCode == http.StatusGatewayTimeout {
		return true
	}
	result.reason = outcome.ReasonServerFailed
	return false
}

// mayRetry reports whether a request may be sent to another server, and if so takes
// the retry from the budget.
func (g *Gateway) mayRetry(req *proxyRequest, result *attempt) bool {
	switch {
	case req.trial != nil,
		req.sentAttempts >= req.route.MaxAttempts,
		result.mayHaveRun && !req.idempotent(),
		!req.body.replayable(),
		result.reason == outcome.ReasonDeadline,
		result.reason == outcome.ReasonCanceled,
		result.reason == outcome.ReasonStopping,
		result.reason == outcome.ReasonBodyBroken:
		return false
	}
	return g.RetryBudget.AllowRetry(req.service, req.callerRetry)
}

// isCallerRetry reports whether a request is probably a caller's retry of one that was
// refused. The timeout of a retry is shorter than the longest timeout on its route,
// because part of it has passed. Retries take precedence over requests whose callers
// still have time to retry.
func (g *Gateway) isCallerRetry(req *proxyRequest) bool {
	stored, _ := g.longestTimeouts.LoadOrStore(req.route.Name, &atomic.Int64{})
	longest := stored.(*atomic.Int64)
	timeout := int64(req.callerDeadline.Sub(req.arrival))
	if timeout > longest.Load() {
		longest.Store(timeout)
	}
	return float64(timeout) < callerRetryFraction*float64(longest.Load())
}

// callerRetryFraction is the fraction of a route's longest timeout below which the
// timeout of a request marks it as a caller's retry. The timeout of a retry is shorter
// by the time that the refusal and the round trip took.
const callerRetryFraction = 0.97

// writeResponse writes a server's response to the caller, or a refusal in place of a
// response that may belong to another request, or whose status says what the server does not
// state. If the status is below 500, it reports the success to the quarantine once the server has
// sent the whole response.
func (g *Gateway) writeResponse(w http.ResponseWriter, req *proxyRequest, result *attempt) {
	response := result.response
	defer response.Release()
	// A server may respond before it has read the whole body. Before the http.Server writes the
	// header of a response, it reads and drops what has arrived of the body.
	response.StopSending()
	if result.reason == outcome.ReasonCrossedAnswer || result.reason == outcome.ReasonUnconfirmedRefusal {
		g.logFailedAttempt(req, result, false)
		req.failureReason = result.reason
		g.refuse(w, req, refusalFor(req))
		return
	}
	if req.detachEnding != nil {
		req.detachEnding()
	}
	responseHeader := w.Header()
	header.StripHopByHop(response.Header)
	for name, values := range response.Header {
		responseHeader[name] = values
	}
	if response.Remainder == nil && req.incoming.Method != http.MethodHead {
		responseHeader.Set("Content-Length", itoa(len(response.Prefix)))
	} else if response.ContentLength >= 0 {
		responseHeader.Set("Content-Length", itoa(int(response.ContentLength)))
	}
	w.WriteHeader(response.StatusCode)
	if response.Remainder == nil {
		g.recordCompletion(req, response)
	}
	g.copyBody(w, req, result)
	g.recordMetrics(req, response.StatusCode)
	line := g.infoLine(req, "answered")
	if response.StatusCode >= http.StatusInternalServerError {
		line = g.addDecision(g.warnLine(req, "answered"), req, &result.choice)
	} else {
		line = line.Str("server", result.choice.Server.ID)
	}
	line.Int("status", response.StatusCode).Int("sends", req.sentAttempts).Int64("took-ms", result.latency.Milliseconds()).
		Int64("total-ms", time.Since(req.arrival).Milliseconds()).Msg("")
}

// recordCompletion reports a response that is complete to the quarantine, unless it is an
// error of the server.
func (g *Gateway) recordCompletion(req *proxyRequest, response *upstream.Response) {
	if response.StatusCode < http.StatusInternalServerError {
		g.Quarantine.RecordRequestSuccess(req.identity)
	}
}
