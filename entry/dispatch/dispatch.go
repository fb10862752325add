// Package dispatch forwards callers' requests to backend servers. It validates
// each request, claims its idempotency key, selects a home, and streams request
// and response through in bounded memory.
//
// In this package, a home of a service is any entry that grants slots of the
// service's backend servers: the home or the deputy of one of them, see package
// slot.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/health"
	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/link"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/timeline"
)

// Dispatcher forwards the requests that one entry receives, from callers and
// from peers, which are the other entries.
type Dispatcher struct {
	// Entry and Region are the name and the region of this entry.
	Entry  string
	Region string
	// PeerKey authenticates this entry to its peers.
	PeerKey string
	// MaxDeadline limits the duration of every request; 0 means no limit other than
	// the service's deadline.
	MaxDeadline time.Duration

	// Configuration returns the configuration in force, or nil before there is
	// one.
	Configuration func() *intent.Configuration
	// RankHomes returns the homes of a service, which are the entries that grant the
	// slots of its backend servers, best first, for requests that entries in the
	// given region receive from callers. Only the homes with Allowed set are tried.
	RankHomes func(service *intent.Service, region string) []steering.RankedCandidate
	// PeerAddress returns the address of a peer, or "" if the entry is unknown.
	PeerAddress func(entry string) string
	// WatchDead calls onDead once when a peer counts as dead, at once if it does already, and
	// not after stop has returned. It may be nil; relays then don't end when a peer is dead.
	WatchDead func(entry string, onDead func()) (stop func())

	// ReportHealth is called if the outcome of an attempt shows whether the backend
	// server is healthy; it may be nil.
	ReportHealth func(server *intent.BackendServer, signal health.Signal)
	// TrackInFlight counts a request that is relayed to a home as in flight there
	// until the returned function is called; it may be nil.
	TrackInFlight func(home, service string) (done func())

	// Slots grants the slots of the backend servers at which this entry has a seat.
	Slots *slot.Ledger
	// Links paces the traffic to other regions.
	Links *link.Shaper
	// Keys claims idempotency keys and remembers the results of their requests.
	Keys *key.Register
	// Quarantine lists the requests that are suspected of crashing backend servers.
	Quarantine *quarantine.List
	// Events receives the time-line events of requests; it may be nil.
	Events *timeline.Ring
	// Metrics holds the counters of requests by outcome and of retries.
	Metrics metrics.Registry

	// ShutdownEnd returns when the shutdown of this entry ends, and the zero time before it has
	// begun. A request whose deadline is later is refused. If ShutdownEnd is nil, none is.
	ShutdownEnd func() time.Time

	// BackendTransport sends requests to backend servers.
	BackendTransport http.RoundTripper
	// PeerTransport sends requests to peers.
	PeerTransport http.RoundTripper

	gate        shutdownGate
	retryBudget retryBudget
}

// attemptResult is the result of one attempt to run a request: a response to copy
// to the sender, or an outcome without a response.
type attemptResult struct {
	response *http.Response
	outcome  outcome.Outcome
	// fromPeer is set if there is no response because a peer has stated in its answer
	// that the outcome is not-run or unknown. It is not set if this entry has determined
	// the outcome, for example after a failed relay.
	fromPeer bool
	// server is the name of the backend server that was tried. It is "" if none was, or
	// if the response came from a peer, which doesn't name the server.
	server string
	// charged is set if the retry budget was charged for the next attempt already.
	charged bool
	// release releases the body of the response and the connection and slot that the
	// request uses. Its argument is the outcome after the response was copied. It is
	// nil if and only if response is nil.
	release func(final outcome.Outcome)
}

// withoutResponse returns the result of an attempt that brought no response.
func withoutResponse(out outcome.Outcome) attemptResult {
	return attemptResult{
		outcome: out,
	}
}

// ServeCaller serves the requests of callers. A non-idempotent request with a
// ticket that this process has not issued is relayed to the entry that the ticket
// names as its issuer.
func (d *Dispatcher) ServeCaller(w http.ResponseWriter, incoming *http.Request) {
	header.StripInternal(incoming.Header)
	if !d.gate.enter() {
		d.writeOutcome(w, nil, withoutResponse(outcome.FromPhase(phaseBeforeClaim(incoming), outcome.ReasonStopping, "this entry is stopping")))
		return
	}
	defer d.gate.leave()
	req, rejection := d.parseCallerRequest(w, incoming)
	if rejection != nil {
		d.writeOutcome(w, nil, withoutResponse(*rejection))
		return
	}
	if d.outlastsShutdown(req) {
		d.writeOutcome(w, nil, withoutResponse(outcome.FromPhase(phaseBeforeClaim(incoming), outcome.ReasonStopping, "this entry stops before the deadline")))
		return
	}
	ctx, cancel := req.workContext()
	defer cancel()
	if ticket, isTicket := key.ParseTicket(req.Key); isTicket && !req.Idempotent && !d.Keys.IsIssuer(ticket) {
		d.deliver(w, req, d.relayToIssuer(ctx, req, ticket.Entry), nil)
		return
	}
	d.claimAndRoute(ctx, w, req)
}

// Values of header.InternalServer in a relayed request: the role that the sender
// asks the receiving entry to take. In the answer, the header names the backend server
// that was tried, see writeOutcome.
const (
	// roleHome asks the receiving entry to run the request on a backend server at which
	// it has a seat. The sender has claimed the request's key, if the request needs one.
	roleHome = "any"
	// roleIssuer asks the receiving entry to claim the request's ticket, which it has
	// issued, and then to route the request like one of a caller.
	roleIssuer = "issuer"
)

// ServePeer serves the requests that peers relay to this entry as a home of the
// service or as the issuer of the ticket.
func (d *Dispatcher) ServePeer(w http.ResponseWriter, incoming *http.Request) {
	role := incoming.Header.Get(header.InternalServer)
	phase := outcome.NotDispatched
	if role == roleIssuer {
		phase = phaseBeforeClaim(incoming)
	}
	if !d.gate.enter() {
		d.writeOutcome(w, nil, withoutResponse(outcome.FromPhase(phase, outcome.ReasonStopping, "this entry is stopping")))
		return
	}
	defer d.gate.leave()
	req, rejection := d.parseRelayedRequest(w, incoming, phase)
	if rejection != nil {
		d.writeOutcome(w, nil, withoutResponse(*rejection))
		return
	}
	if d.outlastsShutdown(req) {
		d.writeOutcome(w, nil, withoutResponse(outcome.FromPhase(phase, outcome.ReasonStopping, "this entry stops before the deadline")))
		return
	}
	ctx, cancel := req.workContext()
	defer cancel()
	if role == roleIssuer {
		d.claimAndRoute(ctx, w, req)
		return
	}
	d.deliver(w, req, d.serveAsHome(ctx, req, excludedServers(incoming)), nil)
}

// claimAndRoute routes a request and delivers the result. It first claims the key
// of a non-idempotent request. If it can't claim the key, for example because an
// earlier request has claimed it, it doesn't route the request but delivers the result
// that Claim returns.
func (d *Dispatcher) claimAndRoute(ctx context.Context, w http.ResponseWriter, req *Request) {
	if req.Idempotent {
		d.deliver(w, req, d.route(ctx, req), nil)
		return
	}
	claim, result := d.Keys.Claim(ctx, key.Request{
		Service:   req.Service.Name,
		Key:       req.Key,
		Digest:    key.Digest(req.Digest),
		FirstSend: isFirstSend(req.incoming),
	})
	if claim == nil {
		d.replay(w, req, result)
		return
	}
	d.deliver(w, req, d.route(ctx, req), claim)
}

// outlastsShutdown reports whether the deadline of a request is after the end of a shutdown that
// has begun, which would cut the request off.
func (d *Dispatcher) outlastsShutdown(req *Request) bool {
	if d.ShutdownEnd == nil {
		return false
	}
	end := d.ShutdownEnd()
	return !end.IsZero() && req.arrived.Add(req.timeout).After(end)
}

// InFlight returns the number of requests in flight.
func (d *Dispatcher) InFlight() int64 {
	return d.gate.inFlight()
}

// Shutdown makes the Dispatcher refuse new requests and waits until none is in
// flight. It returns the error of ctx if ctx ends first.
func (d *Dispatcher) Shutdown(ctx context.Context) error {
	return d.gate.shutdown(ctx)
}
