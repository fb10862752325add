package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

const (
	// answerSlack is how long after a request's limit an answer that the server
	// gives at that limit is waited for; the way there and back is the longest part of it, and an answer held for a quarter of a second counts as late.
	answerSlack = 180 * time.Millisecond
	// minSend is the least time left at which a request is sent to a server.
	minSend = 20 * time.Millisecond
	// maxUnconnected bounds the servers that one request fails to connect to.
	maxUnconnected = 4
)

// attempt is what one send to a server came to.
type attempt struct {
	choice  placement.Choice
	answer  *upstream.Answer
	failure *upstream.Failure
	sign    placement.Sign
	// ran says that the request may have run.
	ran    bool
	reason outcome.Reason
}

// run sends a request until it has an answer to give.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, req *request) {
	unconnected := 0
	mayHaveRun := false
	returning := g.returning(req)
	last := outcome.ReasonNoRoom
	for {
		if g.Quarantine.Quarantined(req.digest) {
			last = outcome.ReasonQuarantined
			break
		}
		if time.Until(req.limit) < minSend || ctx.Err() != nil {
			last = outcome.ReasonDeadline
			break
		}
		choice, refusal := g.Fleet.Choose(&placement.Request{
			Service: req.service,
			Object:  req.object,
			Kind:    req.route.Kind,
			Route:   req.route,
			Left:    time.Until(req.limit),
			Waited:  time.Since(req.arrived),
			Tried:   req.tried,

			Returning: returning,
		})
		req.last = &choice
		if refusal != placement.RefusalNone {
			if req.sends == 0 {
				last = outcome.Reason(refusal)
			}
			break
		}
		req.last = nil
		req.tried = append(req.tried, choice.Server.ID)
		result := g.send(ctx, req, choice)
		if result.failure != nil && result.failure.Unconnected {
			last = outcome.ReasonConnect
			unconnected++
			if unconnected >= maxUnconnected {
				break
			}
			continue
		}
		req.sends++
		mayHaveRun = mayHaveRun || result.ran
		if result.answer != nil && g.final(req, &result) {
			g.deliver(w, req, &result)
			return
		}
		last = result.reason
		again := g.mayRepeat(req, &result, returning)
		if result.answer != nil {
			if !again && result.ran {
				g.deliver(w, req, &result)
				return
			}
			result.answer.Finish()
		}
		if !again {
			break
		}
	}
	if ctx.Err() != nil && req.incoming.Context().Err() != nil {
		g.log(req, "caller-left", nil).Str("reason", string(last)).Msg("")
		panic(http.ErrAbortHandler)
	}
	if err := req.body.failure(); err != nil {
		g.refuse(w, req, *bodyRefusal(err))
		return
	}
	g.refuse(w, req, refusalOf(last, mayHaveRun))
}

// send sends a request to a chosen server once and judges what came back.
func (g *Gateway) send(ctx context.Context, req *request, choice placement.Choice) attempt {
	sent := time.Now()
	result := attempt{
		choice: choice,
	}
	leave, allowed := g.Quarantine.Enter(req.digest, incarnation(&choice.Server))
	if !allowed {
		g.Fleet.Done(&choice, placement.SignNone, nil, 0)
		result.reason = outcome.ReasonQuarantined
		result.failure = &upstream.Failure{
			Unconnected: true,
		}
		return result
	}
	defer leave()
	result.answer, result.failure = g.Pool.Exchange(ctx, &choice.Server, g.outgoing(req, &choice.Server), req.id)
	var report *placement.Report
	if result.answer != nil {
		report = parseReport(result.answer.Header.Get(g.Names.Load))
		g.judgeAnswer(&result)
	} else {
		g.judgeFailure(ctx, req, &result)
	}
	took := time.Since(sent)
	if result.answer != nil && result.answer.Connected > 0 {
		g.Fleet.Connected(choice.Server.Region, result.answer.Connected)
		took -= result.answer.Connected
	}
	g.Fleet.Done(&choice, result.sign, report, took)
	line := g.log(req, "sent", &choice).Int64("took-ms", took.Milliseconds())
	if result.answer != nil {
		line = line.Int("status", result.answer.StatusCode)
	}
	if result.failure != nil {
		line = line.Str("failure", result.failure.Error()).Bool("reused", result.failure.Reused)
	}
	line.Str("reason", string(result.reason)).Msg("")
	return result
}

// incarnation names one start of a server: one that broke and came back breaks a
// second time.
func incarnation(server *routing.Server) string {
	return server.ID + "@" + strconv.FormatInt(server.Born, 10)
}

// judgeAnswer tells what an answer says of the request and of its server.
func (g *Gateway) judgeAnswer(result *attempt) {
	answer := result.answer
	switch {
	case answer.Header.Get(g.Names.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		result.sign = placement.SignShed
		result.reason = outcome.ReasonShed
		if answer.StatusCode == http.StatusMisdirectedRequest {
			result.sign = placement.SignReplaced
			result.reason = outcome.ReasonReplaced
		}
	case answer.Header.Get("Content-Encoding") != "",
		answer.Header.Get(g.Names.Stamp) == "" && answer.StatusCode < http.StatusMultipleChoices:
		result.ran = true
		result.sign = placement.SignBroken
		result.reason = outcome.ReasonCrossedAnswer
	default:
		result.ran = true
		if answer.StatusCode >= http.StatusInternalServerError && answer.StatusCode != http.StatusGatewayTimeout {
			result.sign = placement.SignBroken
		}
	}
}

// judgeFailure tells what a broken exchange says of the request and its server.
func (g *Gateway) judgeFailure(ctx context.Context, req *request, result *attempt) {
	failure := result.failure
	switch {
	case failure.Unconnected:
		result.reason = outcome.ReasonConnect
		result.sign = placement.SignUnconnected
		if ctx.Err() != nil {
			result.sign = placement.SignNone
		}
		return
	case ctx.Err() != nil:
		result.reason = outcome.ReasonDeadline
		result.sign = placement.SignNone
	case req.body.failure() != nil:
		result.reason = outcome.ReasonBodyBroken
		result.sign = placement.SignNone
	case failure.Crossed:
		result.reason = outcome.ReasonCrossedAnswer
		result.sign = placement.SignBroken
	default:
		result.reason = outcome.ReasonBroken
		result.sign = placement.SignBroken
		g.Quarantine.Broke(req.digest, req.service, incarnation(&result.choice.Server))
	}
	result.ran = true
}

// final reports whether an answer is the one to give to the caller.
func (g *Gateway) final(req *request, result *attempt) bool {
	if result.reason != "" {
		return false
	}
	if result.answer.StatusCode < http.StatusInternalServerError {
		g.Quarantine.Finished(req.digest)
		return true
	}
	return !req.repeatable() || result.answer.StatusCode == http.StatusGatewayTimeout
}

// mayRepeat reports whether a request may be sent to another server.
func (g *Gateway) mayRepeat(req *request, result *attempt, returning bool) bool {
	switch {
	case req.sends >= req.route.Attempts,
		result.ran && !req.repeatable(),
		!req.body.repeatable(),
		result.reason == outcome.ReasonDeadline,
		result.reason == outcome.ReasonBodyBroken:
		return false
	}
	return g.Budget.Take(req.service, returning)
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
	defer answer.Finish()
	if result.reason == outcome.ReasonCrossedAnswer {
		g.refuse(w, req, refusalOf(result.reason, true))
		return
	}
	head := w.Header()
	header.StripHopByHop(answer.Header)
	for name, values := range answer.Header {
		head[name] = values
	}
	if answer.Rest == nil {
		head.Set("Content-Length", itoa(len(answer.Content)))
	} else if answer.ContentLength >= 0 {
		head.Set("Content-Length", itoa(int(answer.ContentLength)))
	}
	if g.Closing() {
		head.Set("Connection", "close")
	}
	w.WriteHeader(answer.StatusCode)
	g.copy(w, req, answer)
	g.count(req, answer.StatusCode)
	g.log(req, "answered", &result.choice).Int("status", answer.StatusCode).
		Int64("total-ms", time.Since(req.arrived).Milliseconds()).Msg("")
}
