package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
)

// maxHops is the most entries that a request passes.
const maxHops = 2

// serveLocally takes a request to a backend server whose home is this entry.
func (d *Dispatcher) serveLocally(ctx context.Context, req *Request, excluded []string) answer {
	grant, err := d.Slots.Acquire(ctx, slot.Ask{
		Service:    req.Service.Name,
		Priority:   req.Priority,
		Caller:     req.Caller,
		FromRegion: req.Region,
		Exclude:    excluded,
	})
	switch {
	case errors.Is(err, slot.ErrNoServer):
		return answer{
			outcome: *notRun(outcome.ReasonNoBackendServer, "this entry is home of no usable backend server"),
		}
	case err != nil:
		return answer{
			outcome: *notRun(outcome.ReasonNoRoom, err.Error()),
		}
	}
	ans := d.forward(ctx, req, grant.Server)
	if ans.response == nil {
		grant.Release()
		return ans
	}
	closeBody := ans.release
	ans.release = func() {
		closeBody()
		grant.Release()
	}
	return ans
}

// forward sends a request to a backend server.
func (d *Dispatcher) forward(ctx context.Context, req *Request, server *intent.BackendServer) answer {
	phase := &phaseTrace{}
	out := d.outgoing(phase.trace(ctx), req, server.Address)
	header.StripInternal(out.Header)
	out.Header.Set(header.RequestID, req.ID)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(header.TimeoutMS, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if req.hasBody() || !req.Idempotent {
		// A body without GetBody keeps net/http from sending the request again
		// on its own, which it does for any that has an idempotency key.
		out.Body = io.NopCloser(req.body())
		out.ContentLength = req.incoming.ContentLength
	}
	response, err := d.Backends.RoundTrip(out)
	if err != nil {
		return d.failed(req, server, outcome.Failed(phase.phase(), err))
	}
	if response.Header.Get(header.Shed) != "" {
		_ = response.Body.Close()
		return answer{
			outcome: outcome.Failed(outcome.Shed, nil),
			server:  server.Name,
		}
	}
	if echoed := response.Header.Get(header.RequestID); echoed != "" && echoed != req.ID {
		_ = response.Body.Close()
		return answer{
			outcome: outcome.Outcome{
				Kind:   outcome.Unknown,
				Reason: outcome.ReasonCrossedAnswer,
				Detail: fmt.Sprintf("server %s answered request %s", server.Name, echoed),
			},
			server: server.Name,
		}
	}
	return answer{
		response: response,
		outcome: outcome.Outcome{
			Kind: outcome.Done,
		},
		server:  server.Name,
		release: func() { _ = response.Body.Close() },
	}
}

// failed ends an attempt whose connection broke.
func (d *Dispatcher) failed(req *Request, server *intent.BackendServer, out outcome.Outcome) answer {
	if out.Kind == outcome.Unknown && out.Reason == outcome.ReasonBroken {
		d.Quarantine.Broke(req.Digest, server.Name)
	}
	return answer{
		outcome: out,
		server:  server.Name,
	}
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
		Host:   incoming.Host,
		Header: incoming.Header.Clone(),
	}
	header.StripHopByHop(out.Header)
	out.Header.Del("Expect")
	return out.WithContext(ctx)
}

// relay sends a request to its home, which takes a slot before it asks for the
// body.
func (d *Dispatcher) relay(ctx context.Context, req *Request, place steering.Place) answer {
	address := d.PeerAddress(place.Home)
	if address == "" || req.Hops >= maxHops {
		return answer{
			outcome: *notRun(outcome.ReasonPeerLost, "no way to entry "+place.Home),
		}
	}
	phase := &phaseTrace{}
	out := d.outgoing(phase.trace(ctx), req, address)
	out.Header.Set(header.RequestID, req.ID)
	out.Header.Set(header.InternalKey, d.PeerKey)
	out.Header.Set(header.InternalServer, "any")
	out.Header.Set(header.InternalHops, strconv.Itoa(req.Hops+1))
	out.Header.Set(header.InternalRegion, req.Region)
	out.Header.Set(header.InternalCaller, req.Caller)
	out.Header.Set(header.InternalClaimed, req.Digest)
	out.Header.Set(header.Service, req.Service.Name)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(header.TimeoutMS, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if req.hasBody() {
		out.Header.Set("Expect", "100-continue")
		out.Body = io.NopCloser(d.Links.Pace(ctx, place.Region, req.Service.Class, req.body()))
		out.ContentLength = req.incoming.ContentLength
	} else if !req.Idempotent {
		out.Body = io.NopCloser(req.body())
	}
	response, err := d.Peers.RoundTrip(out)
	if err != nil {
		return answer{
			outcome: outcome.Failed(phase.phase(), err),
		}
	}
	kind := outcome.Parse(response.Header.Get(header.Outcome))
	if kind != outcome.Done {
		_ = response.Body.Close()
		return answer{
			outcome: outcome.Outcome{
				Kind:   kind,
				Reason: outcome.Reason(response.Header.Get(header.Reason)),
				Status: response.StatusCode,
				Detail: "from entry " + place.Home,
			},
		}
	}
	return answer{
		response: response,
		outcome: outcome.Outcome{
			Kind: outcome.Done,
		},
		release: func() { _ = response.Body.Close() },
	}
}

// parseRelayed reads a request that a peer relays. The peer has checked it and
// has claimed its key.
func (d *Dispatcher) parseRelayed(incoming *http.Request) (*Request, *outcome.Outcome) {
	configuration := d.Configuration()
	if configuration == nil {
		return nil, notRun(outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := incoming.Header.Get(header.Service)
	service := configuration.Service(name)
	if service == nil {
		return nil, notRun(outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
	}
	hops, err := strconv.Atoi(incoming.Header.Get(header.InternalHops))
	if err != nil || hops > maxHops {
		return nil, notRun(outcome.ReasonBadRequest, "too many entries on the way")
	}
	caller, err := netip.ParseAddr(incoming.Header.Get(header.InternalCaller))
	if err != nil {
		return nil, notRun(outcome.ReasonBadRequest, "the caller's address is missing")
	}
	req := &Request{
		ID:         incoming.Header.Get(header.RequestID),
		Service:    service,
		Idempotent: isIdempotent(incoming.Method),
		Key:        incoming.Header.Get(header.IdempotencyKey),
		Digest:     incoming.Header.Get(header.InternalClaimed),
		Caller:     caller.String(),
		Region:     incoming.Header.Get(header.InternalRegion),
		Hops:       hops,
		incoming:   incoming,
	}
	if incoming.ContentLength != 0 {
		req.rest = incoming.Body
	}
	req.Priority = priority(req)
	return req, nil
}

// phaseTrace watches how far a request comes on its connection.
type phaseTrace struct {
	connected atomic.Bool
}

func (p *phaseTrace) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	})
}

func (p *phaseTrace) phase() outcome.Phase {
	if p.connected.Load() {
		return outcome.Dispatched
	}
	return outcome.Held
}
