// Package dispatch takes callers' requests to backend servers: it admits them,
// claims their idempotency keys, chooses a home of the service's backend
// servers, and carries request and answer through, in bounded memory.
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

// Dispatcher carries the requests of one entry.
type Dispatcher struct {
	// Entry and Region are this entry's own.
	Entry  string
	Region string
	// PeerKey authenticates this entry to its peers.
	PeerKey string
	// MaxDeadline bounds every request; 0 sets no bound.
	MaxDeadline time.Duration

	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// RankHomes ranks the homes of a service's backend servers.
	RankHomes func(service *intent.Service, region string) []steering.RankedCandidate
	// PeerAddress returns a peer's address, or "" for an unknown one.
	PeerAddress func(entry string) string

	// ReportHealth is told what requests tell of backend servers' health; it may be nil.
	ReportHealth func(server *intent.BackendServer, sign health.Signal)
	// TrackInFlight counts a request that is sent to a peer until the returned function is
	// called; it may be nil.
	TrackInFlight func(home, service string) (done func())

	Slots      *slot.Ledger
	Links      *link.Shaper
	Keys       *key.Register
	Quarantine *quarantine.List
	Events     *timeline.Ring
	Metrics    metrics.Registry

	// BackendTransport and Peers are the transports to backend servers and peers.
	BackendTransport http.RoundTripper
	PeerTransport    http.RoundTripper

	gate    gate
	retries budget
}

// answer is what an attempt brought back: a response to copy, or an outcome.
type answer struct {
	response *http.Response
	outcome  outcome.Outcome
	// stated is set on an outcome that a peer stated.
	stated bool
	// server is the backend server that was tried, "" when none was.
	server string
	// release gives back what the response holds, told how its copying ended;
	// it is never nil for a response.
	release func(end outcome.Outcome)
}

// refused is the answer of an attempt that did not get a response.
func refused(out outcome.Outcome) answer {
	return answer{
		outcome: out,
	}
}

// ServeCaller serves callers' requests.
func (d *Dispatcher) ServeCaller(w http.ResponseWriter, incoming *http.Request) {
	header.StripInternal(incoming.Header)
	if !d.gate.enter() {
		d.refuse(w, nil, refused(outcome.FromPhase(phaseBeforeClaim(incoming), outcome.ReasonStopping, "this entry is stopping")))
		return
	}
	defer d.gate.leave()
	req, bad := d.parse(w, incoming)
	if bad != nil {
		d.refuse(w, nil, refused(*bad))
		return
	}
	ctx, cancel := req.context()
	defer cancel()
	if ticket, is := key.ParseTicket(req.Key); is && !req.Idempotent && !d.Keys.IsIssuer(ticket) {
		d.deliver(w, req, d.relayToIssuer(ctx, req, ticket.Entry), nil)
		return
	}
	d.claimAndRoute(ctx, w, req)
}

// What a peer asks this entry to be, in the header InternalServer.
const (
	// asHome runs the request on a backend server of this entry; the sender has
	// claimed its key.
	asHome = "any"
	// asIssuer claims the request's ticket, which this entry has issued, and
	// routes the request like a caller's.
	asIssuer = "issuer"
)

// ServePeer serves requests that a peer relays to this entry, as the home of a
// backend server or as the issuer of a ticket.
func (d *Dispatcher) ServePeer(w http.ResponseWriter, incoming *http.Request) {
	role := incoming.Header.Get(header.InternalServer)
	phase := outcome.NotDispatched
	if role == asIssuer {
		phase = phaseBeforeClaim(incoming)
	}
	if !d.gate.enter() {
		d.refuse(w, nil, refused(outcome.FromPhase(phase, outcome.ReasonStopping, "this entry is stopping")))
		return
	}
	defer d.gate.leave()
	req, bad := d.parseRelayed(w, incoming, phase)
	if bad != nil {
		d.refuse(w, nil, refused(*bad))
		return
	}
	ctx, cancel := req.context()
	defer cancel()
	if role == asIssuer {
		d.claimAndRoute(ctx, w, req)
		return
	}
	d.deliver(w, req, d.serveLocally(ctx, req, excludedServers(incoming)), nil)
}

// claimAndRoute runs a request, under a claim of its key unless it is
// idempotent.
func (d *Dispatcher) claimAndRoute(ctx context.Context, w http.ResponseWriter, req *Request) {
	if req.Idempotent {
		d.deliver(w, req, d.route(ctx, req), nil)
		return
	}
	claim, result := d.Keys.Claim(ctx, key.Request{
		Service:   req.Service.Name,
		Key:       req.Key,
		Digest:    key.Digest(req.Digest),
		FirstSend: isFirst(req.incoming),
	})
	if claim == nil {
		d.replay(w, req, result)
		return
	}
	d.deliver(w, req, d.route(ctx, req), claim)
}

// InFlight returns how many requests are in flight.
func (d *Dispatcher) InFlight() int64 {
	return d.gate.inFlight()
}

// Shutdown refuses new requests and waits until ctx is done or none is in flight.
func (d *Dispatcher) Shutdown(ctx context.Context) error {
	return d.gate.shut(ctx)
}
