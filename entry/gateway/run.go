package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

const (
	// answerSlack is how long after a request's limit an answer that the server
	// gives at that limit is waited for: longer than the way back, shorter than the
	// quarter of a second after which an answer counts as held.
	answerSlack = 180 * time.Millisecond
	// minSend is the least time left at which a request is sent to a server.
	minSend = 20 * time.Millisecond
	// maxUnconnected bounds the servers that one request fails to connect to.
	maxUnconnected = 4
)

// errQuarantined is the failure of a send that was held back because requests
// like it have broken servers.
var errQuarantined = errors.New("request is quarantined")

// attempt is what one send to a server came to.
type attempt struct {
	choice  placement.Choice
	answer  *upstream.Response
	failure *upstream.Failure
	sign    placement.HealthSignal
	// ran says that the request may have run.
	ran    bool
	reason outcome.Reason
	// took is how long the server's answer took.
	took time.Duration
}

// run sends a request until it has an answer to give.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, req *request) {
	req.returning = g.returning(req)
	req.reason = outcome.ReasonNoRoom
	defer req.drop()
	for again := true; again; {
		if reason := g.ended(ctx, req); reason != "" {
			req.reason = reason
			break
		}
		choice, placed := g.place(req)
		if !placed {
			break
		}
		result := g.send(ctx, req, choice)
		var delivered bool
		if delivered, again = g.settle(w, req, &result); delivered {
			return
		}
	}
	g.giveUp(ctx, w, req)
}

// ended says why a request is not sent any more, or "".
func (g *Gateway) ended(ctx context.Context, req *request) outcome.Reason {
	switch {
	case g.Quarantine.Quarantined(req.digest):
		return outcome.ReasonQuarantined
	case time.Until(req.limit) < minSend || ctx.Err() != nil:
		return outcome.ReasonDeadline
	}
	return ""
}

// place finds a server for a request.
func (g *Gateway) place(req *request) (placement.Choice, bool) {
	choice, refusal := g.Fleet.Choose(&placement.Request{
		Service:     req.service,
		Object:      req.object,
		Kind:        req.route.Kind,
		Route:       req.route,
		TimeLeft:    time.Until(req.limit),
		Waited:      time.Since(req.arrived),
		CallerRetry: req.returning,
		TriedIDs:    req.tried,
	})
	if refusal != placement.RefusalNone {
		req.last = &choice
		if req.sends == 0 {
			req.reason = outcome.Reason(refusal)
		}
		return choice, false
	}
	req.tried = append(req.tried, choice.Server.ID)
	return choice, true
}

// settle gives the caller the answer of one send, if it is one to give, or says
// whether the request may be sent again.
func (g *Gateway) settle(w http.ResponseWriter, req *request, result *attempt) (delivered, again bool) {
	if result.failure != nil && result.failure.NoConnection {
		req.reason = outcome.ReasonConnectFailed
		req.unconnected++
		again = req.unconnected < maxUnconnected
		g.logLost(req, result, again)
		return false, again
	}
	req.sends++
	req.mayHaveRun = req.mayHaveRun || result.ran
	if result.answer != nil && g.final(req, result) {
		g.deliver(w, req, result)
		return true, false
	}
	req.reason = result.reason
	again = g.mayRepeat(req, result)
	if !again && result.answer != nil && result.ran {
		g.deliver(w, req, result)
		return true, false
	}
	g.logLost(req, result, again)
	switch {
	case result.answer == nil:
	case result.reason == outcome.ReasonServerFailed:
		req.drop()
		req.spare = result
	default:
		result.answer.Release()
	}
	return false, again
}

// drop lets go of the answer that was kept in case no better one comes.
func (r *request) drop() {
	if r.spare != nil {
		r.spare.answer.Release()
		r.spare = nil
	}
}

// giveUp ends a request without a server's answer.
func (g *Gateway) giveUp(ctx context.Context, w http.ResponseWriter, req *request) {
	if ctx.Err() != nil && req.incoming.Context().Err() != nil {
		g.decision(g.lost(req, "caller-left"), req, nil).Str("reason", string(req.reason)).
			Int64("total-ms", time.Since(req.arrived).Milliseconds()).Msg("")
		panic(http.ErrAbortHandler)
	}
	if spare := req.spare; spare != nil {
		req.spare = nil
		g.deliver(w, req, spare)
		return
	}
	if err := req.body.failure(); err != nil {
		g.refuse(w, req, *bodyRefusal(err))
		return
	}
	g.refuse(w, req, refusalOf(req))
}

// send sends a request to a chosen server once and judges what came back.
func (g *Gateway) send(ctx context.Context, req *request, choice placement.Choice) attempt {
	sent := time.Now()
	result := attempt{
		choice: choice,
	}
	leave, allowed := g.Quarantine.Admit(req.digest, incarnation(&choice.Server))
	if !allowed {
		g.Fleet.Done(&choice, placement.SignalNone, nil, 0)
		result.reason = outcome.ReasonQuarantined
		result.failure = &upstream.Failure{
			Err:          errQuarantined,
			NoConnection: true,
		}
		return result
	}
	defer leave()
	g.decision(g.line(req, "sent"), req, &choice).Msg("")
	result.answer, result.failure = g.Pool.Exchange(ctx, &choice.Server, g.outgoing(req, &choice.Server), req.id)
	var report *placement.LoadReport
	if result.answer != nil {
		report = parseReport(result.answer.Header.Get(g.HeaderNames.Load))
		g.judgeAnswer(&result, report)
	} else {
		g.judgeFailure(ctx, req, &result)
	}
	took := time.Since(sent)
	if result.answer != nil && result.answer.ConnectTime > 0 {
		g.Fleet.ObserveRoundTrip(choice.Server.Region, result.answer.ConnectTime)
		took -= result.answer.ConnectTime
	}
	result.took = took
	g.Fleet.Done(&choice, result.sign, report, took)
	return result
}

// logLost logs a send whose answer the caller does not get, and whether the
// request is sent again.
func (g *Gateway) logLost(req *request, result *attempt, again bool) {
	line := g.decision(g.lost(req, "lost"), req, &result.choice).Int64("took-ms", result.took.Milliseconds())
	if result.answer != nil {
		line = line.Int("status", result.answer.StatusCode)
	}
	if result.failure != nil {
		line = line.Str("failure", result.failure.Error()).Bool("reused", result.failure.ConnReused)
	}
	line.Str("reason", string(result.reason)).Bool("again", again).
		Int("repeats-left", g.RetryBudget.RetriesLeft(req.service, req.returning)).Msg("")
}

// incarnation names one start of a server: one that broke and came back breaks a
// second time.
func incarnation(server *routing.Server) string {
	return server.ID + "@" + strconv.FormatInt(server.BornUnixMS, 10)
}

// judgeAnswer tells what an answer says of the request and of its server.
func (g *Gateway) judgeAnswer(result *attempt, report *placement.LoadReport) {
	answer := result.answer
	switch {
	case answer.Header.Get(g.HeaderNames.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		result.sign, result.reason = turnedAway(answer.StatusCode, report)
	case answer.Header.Get("Content-Encoding") != "",
		answer.Header.Get(g.HeaderNames.ResponseStamp) == "" && answer.StatusCode < http.StatusMultipleChoices:
		result.ran = true
		result.sign = placement.SignalBroken
		result.reason = outcome.ReasonCrossedAnswer
	default:
		result.ran = true
		if answer.StatusCode >= http.StatusInternalServerError && answer.StatusCode != http.StatusGatewayTimeout {
			result.sign = placement.SignalBroken
		}
	}
}

// turnedAway tells why a server did not run a request.
func turnedAway(status int, report *placement.LoadReport) (placement.HealthSignal, outcome.Reason) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return placement.SignalReplaced, outcome.ReasonServerReplaced
	case report == nil || report.Running >= report.Slots:
		return placement.SignalFull, outcome.ReasonServerFull
	}
	return placement.SignalShed, outcome.ReasonShed
}

// judgeFailure tells what a broken exchange says of the request and its server.
func (g *Gateway) judgeFailure(ctx context.Context, req *request, result *attempt) {
	failure := result.failure
	switch {
	case failure.NoConnection:
		result.reason = outcome.ReasonConnectFailed
		result.sign = placement.SignalNoConnection
		if errors.Is(failure.Err, upstream.ErrServerNotEligible) {
			result.reason = outcome.ReasonServerLeaving
			result.sign = placement.SignalNone
		}
		if ctx.Err() != nil {
			result.sign = placement.SignalNone
		}
		return
	case ctx.Err() != nil:
		result.reason = outcome.ReasonDeadline
		result.sign = placement.SignalNone
	case req.body.failure() != nil:
		result.reason = outcome.ReasonBodyBroken
		result.sign = placement.SignalNone
	case failure.ResponseMismatch:
		result.reason = outcome.ReasonCrossedAnswer
		result.sign = placement.SignalBroken
	default:
		result.reason = outcome.ReasonConnectionBroken
		result.sign = placement.SignalBroken
		g.Quarantine.RecordFailure(req.digest, req.service, incarnation(&result.choice.Server))
	}
	result.ran = true
}

// final reports whether an answer is the one to give to the caller.
func (g *Gateway) final(req *request, result *attempt) bool {
	if result.reason != "" {
		return false
	}
	if result.answer.StatusCode < http.StatusInternalServerError {
		g.Quarantine.RecordSuccess(req.digest)
		return true
	}
	if !req.repeatable() || result.answer.StatusCode == http.StatusGatewayTimeout {
		return true
	}
	result.reason = outcome.ReasonServerFailed
	return false
}

// mayRepeat reports whether a request may be sent to another server.
func (g *Gateway) mayRepeat(req *request, result *attempt) bool {
	switch {
	case req.sends >= req.route.MaxAttempts,
		result.ran && !req.repeatable(),
		!req.body.repeatable(),
		result.reason == outcome.ReasonDeadline,
		result.reason == outcome.ReasonBodyBroken:
		return false
	}
	return g.RetryBudget.TryRetry(req.service, req.returning)
}

// returning reports whether a request seems to come from a caller that was
// refused before: it has less time left than others on its route. It is served
// before those that may come again.
func (g *Gateway) returning(req *request) bool {
	longest, _ := g.longest.LoadOrStore(req.route.Name, &atomic.Int64{})
	deadline := longest.(*atomic.Int64)
	given := int64(req.deadline.Sub(req.arrived))
	if given > deadline.Load() {
		deadline.Store(given)
	}
	return float64(given) < returningShare*float64(deadline.Load())
}

// returningShare is the part of a route's longest deadline below which a request
// counts as one that comes again. A refusal and the way back take some time.
const returningShare = 0.97

// deliver gives the caller a server's answer.
func (g *Gateway) deliver(w http.ResponseWriter, req *request, result *attempt) {
	answer := result.answer
	defer answer.Release()
	if result.reason == outcome.ReasonCrossedAnswer {
		req.reason = result.reason
		g.refuse(w, req, refusalOf(req))
		return
	}
	head := w.Header()
	header.StripHopByHop(answer.Header)
	for name, values := range answer.Header {
		head[name] = values
	}
	if answer.Remainder == nil {
		head.Set("Content-Length", itoa(len(answer.Prefix)))
	} else if answer.ContentLength >= 0 {
		head.Set("Content-Length", itoa(int(answer.ContentLength)))
	}
	if g.ShuttingDown() {
		head.Set("Connection", "close")
	}
	w.WriteHeader(answer.StatusCode)
	g.copy(w, req, answer)
	g.count(req, answer.StatusCode)
	line := g.line(req, "answered")
	if answer.StatusCode >= http.StatusInternalServerError {
		line = g.decision(g.lost(req, "answered"), req, &result.choice)
	} else {
		line = line.Str("server", result.choice.Server.ID)
	}
	line.Int("status", answer.StatusCode).Int("sends", req.sends).Int64("took-ms", result.took.Milliseconds()).
		Int64("total-ms", time.Since(req.arrived).Milliseconds()).Msg("")
}
