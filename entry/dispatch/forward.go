package dispatch

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/health"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// settleTime is how long after a request's deadline its backend server is
	// surely done with it: the server counts the deadline from the arrival.
	settleTime = time.Second
	// cancelTime is how long a backend server takes to give up a request whose
	// connection was closed.
	cancelTime = 2 * time.Second
)

// serveLocally takes a request to a backend server whose home is this entry.
func (d *Dispatcher) serveLocally(ctx context.Context, req *Request, excluded []string) answer {
	grant, leave, out := d.acquire(ctx, req, excluded)
	if grant == nil {
		return refused(out)
	}
	free := func(end outcome.Outcome) {
		leave()
		d.freeSlot(grant, req, end)
	}
	if err := req.awaitBody(); err != nil {
		out := outcome.FromError(outcome.NotDispatched, outcome.ReasonBodyBroken, err)
		free(out)
		return refused(out)
	}
	if req.overdue() {
		out := outcome.FromError(outcome.NotDispatched, outcome.ReasonDeadline, context.DeadlineExceeded)
		free(out)
		return refused(out)
	}
	ans := d.forward(ctx, req, grant.Server)
	d.observe(req, grant.Server, ans.outcome)
	if ans.response == nil {
		free(ans.outcome)
		return ans
	}
	closeBody := ans.release
	ans.release = func(end outcome.Outcome) {
		closeBody(end)
		free(end)
	}
	return ans
}

// observe tells the health of a backend server from the end of one attempt.
func (d *Dispatcher) observe(req *Request, server *intent.BackendServer, end outcome.Outcome) {
	if d.ReportHealth == nil {
		return
	}
	switch end.Reason {
	case outcome.ReasonConnectFailed:
		d.ReportHealth(server, health.SignalNoConnection)
	case outcome.ReasonShed:
		d.ReportHealth(server, health.SignalShed)
	case outcome.ReasonConnectionBroken:
		d.ReportHealth(server, health.SignalBroken)
	case outcome.ReasonDeadline:
		// A caller's short timeout says nothing of the server.
		if time.Since(req.arrived) >= time.Duration(req.Service.Deadline)/2 {
			d.ReportHealth(server, health.SignalBroken)
		}
	case "":
		d.ReportHealth(server, health.SignalAnswered)
	}
}

// acquire takes a slot. A suspect gets none on a backend server that runs
// another suspect.
func (d *Dispatcher) acquire(ctx context.Context, req *Request, excluded []string) (*slot.Grant, func(), outcome.Outcome) {
	for range maxAttempts {
		grant, err := d.Slots.Acquire(ctx, slot.Request{
			Service:    req.Service.Name,
			Priority:   req.Priority,
			Caller:     req.Caller,
			FromRegion: req.OriginRegion,
			Exclude:    excluded,
			Immediate:  req.immediate,
		})
		switch {
		case errors.Is(err, slot.ErrNoServer):
			return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoBackendServer, "this entry is home of no usable backend server")
		case err != nil:
			return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoRoom, err.Error())
		}
		leave, allowed := d.Quarantine.Admit(quarantine.Digest(req.Digest), grant.Server.Name)
		if allowed {
			return grant, leave, outcome.Outcome{}
		}
		excluded = append(excluded, grant.Server.Name)
		grant.Release()
	}
	return nil, nil, outcome.FromPhase(outcome.NotDispatched, outcome.ReasonNoRoom, "other suspect requests run on the backend servers")
}

// freeSlot gives a slot back once its backend server is surely done with the
// request: at once if the server ended it, refused it or closed the connection
// itself, and otherwise when it has given it up.
func (d *Dispatcher) freeSlot(grant *slot.Grant, req *Request, end outcome.Outcome) {
	held := time.Until(req.arrived.Add(req.timeout + settleTime))
	switch {
	case end.Kind != outcome.Unknown, end.Reason == outcome.ReasonConnectionBroken, end.Reason == outcome.ReasonShortAnswer:
		held = 0
	case end.Reason == outcome.ReasonCanceled, end.Reason == outcome.ReasonBodyBroken:
		held = min(held, cancelTime)
	}
	if held <= 0 {
		grant.Release()
		return
	}
	time.AfterFunc(held, grant.Release)
}

// forward sends a request to a backend server.
func (d *Dispatcher) forward(ctx context.Context, req *Request, server *intent.BackendServer) answer {
	trace := &connectionTrace{}
	out := d.outgoing(trace.watch(ctx), req, server.Address)
	header.StripInternal(out.Header)
	out.Header.Set(header.RequestID, req.ID)
	out.Header.Set(header.TimeoutMS, remaining(ctx))
	body := req.open()
	out.Body = body
	out.ContentLength = req.incoming.ContentLength
	response, err := d.BackendTransport.RoundTrip(out)
	if err != nil {
		_, failure := req.closeAttempt(body)
		return d.failed(ctx, req, server, trace.phase(), err, failure)
	}
	if bad := check(req, server, response); bad != nil {
		req.closeAttempt(body)
		discard(response.Body)
		trace.close()
		return answer{
			outcome: *bad,
			server:  server.Name,
		}
	}
	return answer{
		response: response,
		outcome:  outcome.FromPhase(outcome.Answered, "", ""),
		server:   server.Name,
		release: func(end outcome.Outcome) {
			req.closeAttempt(body)
			discard(response.Body)
			if end.Kind != outcome.Done {
				trace.close()
			}
		},
	}
}

// remaining returns the time to the deadline for the header TimeoutMS.
func remaining(ctx context.Context) string {
	deadline, _ := ctx.Deadline()
	return strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
}

// check looks for an answer that is none, is another request's, or whose end
// could not be told from a break. It returns nil for a good one.
func check(req *Request, server *intent.BackendServer, response *http.Response) *outcome.Outcome {
	echoed := response.Header.Get(header.RequestID)
	switch {
	case echoed != "" && echoed != req.ID:
		return end(outcome.Dispatched, outcome.ReasonCrossedAnswer, fmt.Sprintf("server %s answered request %s", server.Name, echoed))
	case response.Header.Get(header.Shed) != "":
		return end(outcome.RefusedByReceiver, outcome.ReasonShed, "server "+server.Name)
	case !framed(req, response):
		return end(outcome.Dispatched, outcome.ReasonUnframedAnswer, "server "+server.Name+" answered without length or chunks, or without a final status")
	}
	return nil
}

// framed reports whether the end of an answer can be told from a break of its
// connection.
func framed(req *Request, response *http.Response) bool {
	if response.StatusCode < http.StatusOK {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || req.incoming.Method == http.MethodHead
}

// failed ends an attempt that got no answer.
func (d *Dispatcher) failed(ctx context.Context, req *Request, server *intent.BackendServer, phase outcome.DispatchPhase, err, bodyFailure error) answer {
	reason := outcome.ReasonConnectionBroken
	switch {
	case phase == outcome.NotDispatched:
		reason = outcome.ReasonConnectFailed
	case bodyFailure != nil:
		reason = outcome.ReasonBodyBroken
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	out := outcome.FromError(phase, reason, err)
	if out.Reason == outcome.ReasonConnectionBroken {
		d.broke(req, server.Name)
	}
	return answer{
		outcome: out,
		server:  server.Name,
	}
}

// broke makes a request a suspect.
func (d *Dispatcher) broke(req *Request, server string) {
	d.Events.Record(timeline.Event{
		Kind:    "request-suspect",
		Service: req.Service.Name,
		Server:  server,
		Key:     req.Key,
		Detail:  "digest=" + hex.EncodeToString(req.Digest[:]),
	})
	d.Quarantine.RecordFailure(quarantine.Digest(req.Digest), req.Service.Name, server)
}

// outgoing copies a request for the next hop, without a body yet.
func (d *Dispatcher) outgoing(ctx context.Context, req *Request, address string) *http.Request {
	incoming := req.incoming
	target := *incoming.URL
	target.Scheme = "http"
	target.Host = address
	out := &http.Request{
		Method: incoming.Method,
		URL:    &target,
		// Without a version net/http does not wait for 100 Continue.
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       incoming.Host,
		Header:     incoming.Header.Clone(),
	}
	header.StripHopByHop(out.Header)
	out.Header.Del("Expect")
	return out.WithContext(ctx)
}

// connectionTrace watches which connection a request goes to.
type connectionTrace struct {
	connection atomic.Pointer[net.Conn]
}

func (c *connectionTrace) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { c.connection.Store(&got.Conn) },
	})
}

// phase is held while the request had no connection, which it needs before its
// first byte leaves.
func (c *connectionTrace) phase() outcome.DispatchPhase {
	if c.connection.Load() == nil {
		return outcome.NotDispatched
	}
	return outcome.Dispatched
}

// discard closes what is of no more use. Nothing of it is read any more, so that
// an error tells nothing.
func discard(closer io.Closer) { _ = closer.Close() }

// close closes the connection, so that no later request gets what still comes
// on it.
func (c *connectionTrace) close() {
	if connection := c.connection.Load(); connection != nil {
		discard(*connection)
	}
}
