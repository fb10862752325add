package dispatch

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
)

// maxHops is the maximum number of times that a request is relayed: once from the
// entry that received it to the issuer of its ticket, and once from there to a
// home.
const maxHops = 2

// errPeerDead ends a relay to a peer that counts as dead.
var errPeerDead = errors.New("the peer counts as dead")

// relayToHome relays a request to a home. The home acquires a slot before it asks for
// the body with 100 Continue. The excluded backend servers are not used.
func (d *Dispatcher) relayToHome(ctx context.Context, req *Request, candidate steering.Candidate, excluded []string) attemptResult {
	address := d.PeerAddress(candidate.Home)
	if address == "" || req.Hops >= maxHops {
		return withoutResponse(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonPeerLost, "no way to entry "+candidate.Home))
	}
	if req.overdue() {
		return withoutResponse(outcome.FromError(outcome.NotDispatched, outcome.ReasonDeadline, context.DeadlineExceeded))
	}
	releaseLink, admitted := d.admitTransfer(ctx, req, candidate.Region)
	if !admitted {
		return withoutResponse(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonLinkFull, "the link to "+candidate.Region+" has no room for this transfer before its deadline"))
	}
	defer releaseLink()
	result := d.relay(ctx, req, candidate.Home, address, candidate.Region, func(headers http.Header) {
		headers.Set(header.InternalServer, roleHome)
		if req.immediate {
			headers.Set(header.InternalImmediate, "true")
		}
		headers.Set(header.InternalExclude, strings.Join(excluded, ","))
	})
	if result.server != "" && result.outcome.Reason == outcome.ReasonConnectionBroken {
		d.recordSuspect(req, result.server)
	}
	return result
}

// admitTransfer reserves a rate on the link to a region that suffices to transfer
// the body of a bulk request before the deadline of ctx. It reports false if the link
// has no such rate left. Other requests are admitted without a reservation. The caller
// of admitTransfer may release the reservation when the response begins, because a
// backend server normally responds only after it has received the body.
func (d *Dispatcher) admitTransfer(ctx context.Context, req *Request, region string) (releaseLink func(), admitted bool) {
	deadline, hasDeadline := ctx.Deadline()
	if !req.hasBody() || !hasDeadline {
		return func() {}, true
	}
	return d.Links.Admit(region, req.Service.Class, req.incoming.ContentLength, time.Until(deadline))
}

// relayToIssuer relays a request to the entry that issued its ticket. Only the
// issuer knows whether the ticket was used before. If the relay fails, the outcome is
// unknown for a request that may be a repeat or that the issuer may have received.
func (d *Dispatcher) relayToIssuer(ctx context.Context, req *Request, issuer string) attemptResult {
	phase := phaseBeforeClaim(req.incoming)
	address := d.PeerAddress(issuer)
	if address == "" || issuer == d.Entry {
		return withoutResponse(outcome.FromPhase(phase, outcome.ReasonIssuerGone, "entry "+issuer+" is not known, or was replaced"))
	}
	region := ""
	if configuration := d.Configuration(); configuration.Entry(issuer) != nil {
		region = configuration.RegionOf(configuration.Entry(issuer).FailureDomain)
	}
	result := d.relay(ctx, req, issuer, address, region, func(headers http.Header) {
		headers.Set(header.InternalServer, roleIssuer)
	})
	if result.response != nil || result.fromPeer {
		return result
	}
	if result.outcome.Kind == outcome.Unknown {
		phase = outcome.MaybeDispatchedElsewhere
	}
	reason := result.outcome.Reason
	if reason == outcome.ReasonPeerLost {
		reason = outcome.ReasonIssuerGone
	}
	result.outcome = outcome.FromPhase(phase, reason, result.outcome.Detail)
	return result
}

// relay sends a request to a peer at an address in a region. The region is "" if it
// is not known. The function setRole sets the headers that tell the peer in which role
// to serve the request, and how.
func (d *Dispatcher) relay(ctx context.Context, req *Request, peer, address, region string, setRole func(http.Header)) attemptResult {
	trace := &connectionTrace{}
	relayCtx, end := context.WithCancelCause(ctx)
	outgoing := d.newOutgoingRequest(trace.withTrace(relayCtx), req, address)
	outgoing.Header.Set(header.RequestID, req.ID)
	outgoing.Header.Set(header.InternalKey, d.PeerKey)
	outgoing.Header.Set(header.InternalHops, strconv.Itoa(req.Hops+1))
	outgoing.Header.Set(header.InternalRegion, req.OriginRegion)
	outgoing.Header.Set(header.InternalCaller, req.Caller)
	outgoing.Header.Set(header.InternalClaimed, hex.EncodeToString(req.Digest[:]))
	outgoing.Header.Set(header.Service, req.Service.Name)
	outgoing.Header.Set(header.TimeoutMS, remainingMS(ctx))
	setRole(outgoing.Header)
	body := req.openBody()
	outgoing.Body = body
	if req.hasBody() {
		outgoing.Header.Set("Expect", "100-continue")
		outgoing.ContentLength = req.incoming.ContentLength
		outgoing.Body = io.NopCloser(d.Links.Pace(ctx, region, req.Service.Class, body))
	}
	stopWatch := d.watchRelay(req, peer, body, end)
	response, err := d.PeerTransport.RoundTrip(outgoing)
	ended, charged := stopWatch()
	if ended {
		// The end of the context cuts the body of a response that came at the same time.
		if err == nil {
			closeIgnoringError(response.Body)
		}
		err = errPeerDead
	}
	if err != nil {
		end(nil)
		result := d.relayFailure(ctx, req, body, trace, err)
		result.charged = charged
		return result
	}
	statedOutcome := response.Header.Get(header.Outcome)
	if outcome.ParseKind(statedOutcome) != outcome.Done {
		req.closeBody(body)
		closeIgnoringError(response.Body)
		end(nil)
		out := outcome.FromPeer(statedOutcome, outcome.Reason(response.Header.Get(header.Reason)), "told by the entry at "+address)
		out.Status = response.StatusCode
		return attemptResult{
			outcome:  out,
			fromPeer: true,
			server:   response.Header.Get(header.InternalServer),
		}
	}
	if !isFramed(req, response) {
		closeIgnoringError(response.Body)
		end(nil)
		return withoutResponse(outcome.FromPhase(outcome.Dispatched, outcome.ReasonUnframedAnswer, "the entry at "+address))
	}
	return attemptResult{
		response: response,
		outcome:  outcome.FromPhase(outcome.Answered, "", ""),
		release: func(final outcome.Outcome) {
			req.closeBody(body)
			closeIgnoringError(response.Body)
			if final.Kind != outcome.Done {
				trace.close()
			}
			end(nil)
		},
	}
}

// watchRelay calls end when the peer of a relay counts as dead, if the request may then be
// attempted elsewhere: if the peer has read none of its body, or if it is idempotent and the
// retry budget allows it. Any other request waits on, since a peer that was only silent may
// still answer. The function stop ends the watch. It reports whether end was called, and
// whether the retry budget was charged.
func (d *Dispatcher) watchRelay(req *Request, peer string, body *attemptBody, end context.CancelCauseFunc) (stop func() (ended, charged bool)) {
	var ended, charged bool
	if d.WatchDead == nil || !req.elsewhere {
		return func() (bool, bool) { return false, false }
	}
	idempotent := req.Idempotent && req.bodyRest == nil
	hasBody := req.hasBody()
	stopWatch := d.WatchDead(peer, func() {
		ended = hasBody && body.detachUnread()
		if !ended && idempotent {
			charged = d.retryBudget.takeToken(req.Service.Name)
			ended = charged
		}
		if ended {
			end(errPeerDead)
		}
	})
	return func() (bool, bool) {
		stopWatch()
		return ended, charged
	}
}

// relayFailure returns the result of an attempt whose round trip to a peer failed
// with err. A home dispatches a request with a body only after it has read some of
// the body, so a request has not run if none of its body was read.
func (d *Dispatcher) relayFailure(ctx context.Context, req *Request, body *attemptBody, trace *connectionTrace, err error) attemptResult {
	bodyRead, bodyErr := req.closeBody(body)
	phase := trace.phase()
	if req.hasBody() && !bodyRead {
		phase = outcome.NotDispatched
	}
	reason := outcome.ReasonPeerLost
	if bodyErr != nil {
		reason = outcome.ReasonBodyBroken
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return withoutResponse(outcome.FromError(phase, reason, err))
}

// parseRelayedRequest parses a request that a peer relays. The entry that received
// the request from the caller has validated it. The returned outcome is nil for a
// valid request, and has the given phase otherwise.
func (d *Dispatcher) parseRelayedRequest(w http.ResponseWriter, incoming *http.Request, phase outcome.DispatchPhase) (*Request, *outcome.Outcome) {
	configuration := d.Configuration()
	if configuration == nil {
		return nil, newOutcome(phase, outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := incoming.Header.Get(header.Service)
	service := configuration.Service(name)
	if service == nil {
		return nil, newOutcome(phase, outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
	}
	hops, err := strconv.Atoi(incoming.Header.Get(header.InternalHops))
	if err != nil || hops > maxHops {
		return nil, newOutcome(phase, outcome.ReasonBadRequest, "too many entries on the way")
	}
	caller, err := netip.ParseAddr(incoming.Header.Get(header.InternalCaller))
	if err != nil {
		return nil, newOutcome(phase, outcome.ReasonBadRequest, "the caller's address is missing")
	}
	digest, err := hex.DecodeString(incoming.Header.Get(header.InternalClaimed))
	if err != nil || len(digest) != len(Digest{}) {
		return nil, newOutcome(phase, outcome.ReasonBadRequest, "the request's digest is missing")
	}
	req := &Request{
		ID:           incoming.Header.Get(header.RequestID),
		Service:      service,
		Idempotent:   isIdempotent(incoming.Method),
		Key:          incoming.Header.Get(header.IdempotencyKey),
		Digest:       Digest(digest),
		Caller:       caller.String(),
		OriginRegion: incoming.Header.Get(header.InternalRegion),
		Hops:         hops,
		incoming:     incoming,
		immediate:    incoming.Header.Get(header.InternalImmediate) != "",
	}
	if incoming.ContentLength != 0 {
		req.bodyRest = incoming.Body
	}
	req.Priority = requestPriority(req)
	d.setDeadlines(w, req)
	return req, nil
}

// excludedServers returns the names of the backend servers that a relayed request
// must not use, because earlier attempts failed on them.
func excludedServers(incoming *http.Request) []string {
	list := incoming.Header.Get(header.InternalExclude)
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
