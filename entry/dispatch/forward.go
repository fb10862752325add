package dispatch

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/health"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// serverDeadlineSlack is how long a backend server may still run a request
	// after its deadline. The server measures the timeout from the arrival of the
	// request there, so it ends the request later than this entry. The write deadline
	// of the sender's connection is the same time after the request's deadline.
	serverDeadlineSlack = time.Second
	// serverCancelTime is the maximum time that a backend server is assumed to take to
	// abandon a request whose connection was closed.
	serverCancelTime = 2 * time.Second
)

// serveAsHome runs a request on a backend server at which this entry has a seat. It
// holds a slot of the server until the server has ended the request. The excluded
// servers are not used.
func (d *Dispatcher) serveAsHome(ctx context.Context, req *Request, excluded []string) attemptResult {
	grant, endSuspectRun, out := d.acquireSlot(ctx, req, excluded)
	if grant == nil {
		return withoutResponse(out)
	}
	release := func(final outcome.Outcome) {
		endSuspectRun()
		d.releaseSlot(grant, req, final)
	}
	if err := req.awaitBody(); err != nil {
		out := outcome.FromError(outcome.NotDispatched, outcome.ReasonBodyBroken, err)
		release(out)
		return withoutResponse(out)
	}
	if req.overdue() {
		out := outcome.FromError(outcome.NotDispatched, outcome.ReasonDeadline, context.DeadlineExceeded)
		release(out)
		return withoutResponse(out)
	}
	result := d.forward(ctx, req, grant.Server)
	d.reportAttemptHealth(req, grant.Server, result.outcome)
	if result.response == nil {
		release(result.outcome)
		return result
	}
	releaseResponse := result.release
	result.release = func(final outcome.Outcome) {
		releaseResponse(final)
		release(final)
	}
	return result
}

// reportAttemptHealth reports the health signal that follows from the outcome of an
// attempt, if any. An outcome without a reason means that the attempt brought a response.
func (d *Dispatcher) reportAttemptHealth(req *Request, server *intent.BackendServer, out outcome.Outcome) {
	if d.ReportHealth == nil {
		return
	}
	switch out.Reason {
	case outcome.ReasonConnectFailed:
		d.ReportHealth(server, health.SignalNoConnection)
	case outcome.ReasonShed:
		d.ReportHealth(server, health.SignalShed)
	case outcome.ReasonConnectionBroken:
		d.ReportHealth(server, health.SignalNoAnswer)
	case outcome.ReasonDeadline:
		// A timeout far below the service's deadline, as a caller may set it, says
		// nothing about the server.
		if time.Since(req.arrived) >= time.Duration(req.Service.Deadline)/2 {
			d.ReportHealth(server, health.SignalNoAnswer)
		}
	case "":
		d.ReportHealth(server, health.SignalAnswered)
	}
}

// acquireSlot acquires a slot on a backend server other than the excluded ones, and
// for a suspect on one that runs no other suspect. If it gets no slot, the grant is
// nil and the outcome states the reason. Otherwise the returned function must be called
// when the attempt has ended: it allows other suspects on the server again.
func (d *Dispatcher) acquireSlot(ctx context.Context, req *Request, excluded []string) (*slot.Grant, func(), outcome.Outcome) {
	for range maxAttempts {
		grant, err := d.Slots.Acquire(ctx, slot.Request{
			Service:      req.Service.Name,
			Priority:     req.Priority,
			Caller:       req.Caller,
			OriginRegion: req.OriginRegion,
			Exclude:      excluded,
			Immediate:    req.immediate,
		})
		switch {
		case errors.Is(err, slot.ErrNoServer):
			return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoBackendServer, "this entry is home of no usable backend server")
		case err != nil:
			return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoRoom, err.Error())
		}
		endSuspectRun, allowed := d.Quarantine.Admit(quarantine.Request{
			Content: quarantine.Digest(req.Digest),
		}, grant.Server.Name)
		if allowed {
			return grant, endSuspectRun, outcome.Outcome{}
		}
		excluded = append(excluded, grant.Server.Name)
		grant.Release()
	}
	return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoRoom, "other suspect requests run on the backend servers")
}

// releaseSlot releases a slot once its backend server has certainly ended the
// request: at once if the server never got the request, refused it, completed its
// response or broke the connection, and otherwise serverDeadlineSlack after the
// deadline. If this entry closed the connection because the sender disconnected or the
// request's body broke off, the slot is released after serverCancelTime if that is
// earlier.
func (d *Dispatcher) releaseSlot(grant *slot.Grant, req *Request, final outcome.Outcome) {
	delay := time.Until(req.arrived.Add(req.timeout + serverDeadlineSlack))
	switch {
	case final.Kind != outcome.Unknown, final.Reason == outcome.ReasonConnectionBroken, final.Reason == outcome.ReasonShortAnswer:
		delay = 0
	case final.Reason == outcome.ReasonCanceled, final.Reason == outcome.ReasonBodyBroken:
		delay = min(delay, serverCancelTime)
	}
	if delay <= 0 {
		grant.Release()
		return
	}
	time.AfterFunc(delay, grant.Release)
}

// forward sends a request to a backend server and checks the status and headers
// of the response. It doesn't read the response's body.
func (d *Dispatcher) forward(ctx context.Context, req *Request, server *intent.BackendServer) attemptResult {
	trace := &connectionTrace{}
	outgoing := d.newOutgoingRequest(trace.withTrace(ctx), req, server.Address)
	header.StripInternal(outgoing.Header)
	outgoing.Header.Set(header.RequestID, req.ID)
	outgoing.Header.Set(header.TimeoutMS, remainingMS(ctx))
	body := req.openBody()
	outgoing.Body = body
	outgoing.ContentLength = req.incoming.ContentLength
	response, err := d.BackendTransport.RoundTrip(outgoing)
	if err != nil {
		_, bodyErr := req.closeBody(body)
		return d.forwardFailure(ctx, req, server, trace.phase(), err, bodyErr)
	}
	header.StripEntry(response.Header)
	if rejection := checkResponse(req, server, response, trace.reused.Load()); rejection != nil {
		req.closeBody(body)
		closeIgnoringError(response.Body)
		trace.close()
		return attemptResult{
			outcome: *rejection,
			server:  server.Name,
		}
	}
	return attemptResult{
		response: response,
		outcome:  outcome.FromPhase(outcome.Answered, "", ""),
		server:   server.Name,
		release: func(final outcome.Outcome) {
			req.closeBody(body)
			closeIgnoringError(response.Body)
			if final.Kind != outcome.Done {
				trace.close()
			}
		},
	}
}

// remainingMS returns the milliseconds to the deadline of ctx, at least 1, as the
// value of header.TimeoutMS.
func remainingMS(ctx context.Context) string {
	deadline, _ := ctx.Deadline()
	return strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
}

// checkResponse returns nil for a response that may be copied to the sender. It
// returns the request's outcome for a response that belongs to another request,
// that refuses the request, or that isn't framed. A refusal without the request's ID on a
// reused connection may be one of an earlier request, sent once more.
func checkResponse(req *Request, server *intent.BackendServer, response *http.Response, reused bool) *outcome.Outcome {
	echoed := response.Header.Get(header.RequestID)
	switch {
	case echoed == "" && reused && response.Header.Get(header.Shed) != "":
		return newOutcome(outcome.Dispatched, outcome.ReasonCrossedAnswer, "server "+server.Name+" refused a request on a reused connection without saying which")
	case echoed != "" && echoed != req.ID:
		return newOutcome(outcome.Dispatched, outcome.ReasonCrossedAnswer, fmt.Sprintf("server %s answered request %s", server.Name, echoed))
	case response.Header.Get(header.Shed) != "":
		return newOutcome(outcome.RefusedByReceiver, outcome.ReasonShed, "server "+server.Name)
	case !isFramed(req, response):
		return newOutcome(outcome.Dispatched, outcome.ReasonUnframedAnswer, "server "+server.Name+" answered without length or chunks, or without a final status")
	}
	return nil
}

// isFramed reports whether a response is final and delimited by its length or by
// chunks, so that a truncated body is detected. A body without either ends with
// the connection, so a broken connection would look like its end. A response to
// HEAD has no body.
func isFramed(req *Request, response *http.Response) bool {
	if response.StatusCode < http.StatusOK {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || req.incoming.Method == http.MethodHead
}

// forwardFailure returns the result of an attempt whose round trip to a backend
// server failed with err. The argument bodyErr is the error of reading the
// request's body, nil if there was none. A request whose connection the server
// broke becomes a suspect.
func (d *Dispatcher) forwardFailure(ctx context.Context, req *Request, server *intent.BackendServer, phase outcome.DispatchPhase, err, bodyErr error) attemptResult {
	reason := outcome.ReasonConnectionBroken
	switch {
	case phase == outcome.NotDispatched:
		reason = outcome.ReasonConnectFailed
	case bodyErr != nil:
		reason = outcome.ReasonBodyBroken
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	out := outcome.FromError(phase, reason, err)
	if out.Reason == outcome.ReasonConnectionBroken {
		d.recordSuspect(req, server.Name)
	}
	return attemptResult{
		outcome: out,
		server:  server.Name,
	}
}

// recordSuspect records on the time line and in the quarantine list that a request
// was in flight when its backend server broke the connection.
func (d *Dispatcher) recordSuspect(req *Request, server string) {
	d.Events.Record(timeline.Event{
		Kind:    "request-suspect",
		Service: req.Service.Name,
		Server:  server,
		Key:     req.Key,
		Detail:  "digest=" + hex.EncodeToString(req.Digest[:]),
	})
	d.Quarantine.RecordFailure(quarantine.Digest(req.Digest), req.Service.Name, server)
}

// newOutgoingRequest returns a copy of a request for the next hop, without the body,
// the hop-by-hop headers and the Expect header. It keeps the target byte for byte, except one that
// begins with two slashes, which net/http can't send as an opaque URL.
func (d *Dispatcher) newOutgoingRequest(ctx context.Context, req *Request, address string) *http.Request {
	incoming := req.incoming
	target := *incoming.URL
	if received := routing.Target(incoming); !strings.HasPrefix(received, "//") {
		target = url.URL{
			Opaque: received,
		}
	}
	target.Scheme = "http"
	target.Host = address
	outgoing := &http.Request{
		Method: incoming.Method,
		URL:    &target,
		// Without a protocol version, net/http doesn't wait for 100 Continue.
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       incoming.Host,
		Header:     incoming.Header.Clone(),
	}
	header.StripHopByHop(outgoing.Header)
	outgoing.Header.Del("Expect")
	return outgoing.WithContext(ctx)
}

// connectionTrace records the connection on which net/http sends a request.
type connectionTrace struct {
	connection atomic.Pointer[net.Conn]
	// reused reports whether the connection had served another request before.
	reused atomic.Bool
}

// withTrace returns a context for one request, which makes t record its connection.
func (t *connectionTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.connection.Store(&info.Conn)
			t.reused.Store(info.Reused)
		},
	})
}

// phase returns outcome.NotDispatched if the request never got a connection, so
// that no byte of it was sent, and outcome.Dispatched otherwise.
func (t *connectionTrace) phase() outcome.DispatchPhase {
	if t.connection.Load() == nil {
		return outcome.NotDispatched
	}
	return outcome.Dispatched
}

// closeIgnoringError closes a body or a connection that is no longer used. Nothing
// depends on whether Close succeeds.
func closeIgnoringError(closer io.Closer) { _ = closer.Close() }

// close closes the recorded connection, if any, so that no later request on it
// receives the rest of this request's response.
func (t *connectionTrace) close() {
	if connection := t.connection.Load(); connection != nil {
		closeIgnoringError(*connection)
	}
}
