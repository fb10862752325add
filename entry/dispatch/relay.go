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

	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
)

// maxHops is the most entries that a request passes: from the entry that the
// caller asked to the issuer of its ticket, and from there to a home.
const maxHops = 2

// relayToHome sends a request to its home, which takes a slot before it asks
// for the body.
func (d *Dispatcher) relayToHome(ctx context.Context, req *Request, place steering.Candidate, excluded []string) answer {
	address := d.PeerAddress(place.Home)
	if address == "" || req.Hops >= maxHops {
		return refused(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonPeerLost, "no way to entry "+place.Home))
	}
	if req.overdue() {
		return refused(outcome.FromError(outcome.NotDispatched, outcome.ReasonDeadline, context.DeadlineExceeded))
	}
	done, admitted := d.admit(ctx, req, place.Region)
	if !admitted {
		return refused(outcome.FromPhase(outcome.NotDispatched, outcome.ReasonLinkFull, "the link to "+place.Region+" has no room for this transfer before its deadline"))
	}
	defer done()
	ans := d.relay(ctx, req, address, place.Region, func(headers http.Header) {
		headers.Set(header.InternalServer, asHome)
		if req.immediate {
			headers.Set(header.InternalImmediate, "true")
		}
		headers.Set(header.InternalExclude, strings.Join(excluded, ","))
	})
	if ans.server != "" && ans.outcome.Reason == outcome.ReasonConnectionBroken {
		d.broke(req, ans.server)
	}
	return ans
}

// admit asks the link to a region for the room that the request's body needs. The
// body has gone when the answer begins.
func (d *Dispatcher) admit(ctx context.Context, req *Request, region string) (done func(), admitted bool) {
	deadline, bounded := ctx.Deadline()
	if !req.hasBody() || !bounded {
		return func() {}, true
	}
	return d.Links.Admit(region, req.Service.Class, req.incoming.ContentLength, time.Until(deadline))
}

// relayToIssuer sends a request to the entry that issued its ticket. Only what
// the issuer says of the ticket counts: the request may have been sent before.
func (d *Dispatcher) relayToIssuer(ctx context.Context, req *Request, issuer string) answer {
	phase := phaseBeforeClaim(req.incoming)
	address := d.PeerAddress(issuer)
	if address == "" || issuer == d.Entry {
		return refused(outcome.FromPhase(phase, outcome.ReasonIssuerGone, "entry "+issuer+" is not known, or was replaced"))
	}
	region := ""
	if configuration := d.Configuration(); configuration.Entry(issuer) != nil {
		region = configuration.RegionOf(configuration.Entry(issuer).FailureDomain)
	}
	ans := d.relay(ctx, req, address, region, func(headers http.Header) {
		headers.Set(header.InternalServer, asIssuer)
	})
	if ans.response != nil || ans.stated {
		return ans
	}
	if ans.outcome.Kind == outcome.Unknown {
		phase = outcome.MaybeDispatchedElsewhere
	}
	reason := ans.outcome.Reason
	if reason == outcome.ReasonPeerLost {
		reason = outcome.ReasonIssuerGone
	}
	ans.outcome = outcome.FromPhase(phase, reason, ans.outcome.Detail)
	return ans
}

// relay sends a request to a peer.
func (d *Dispatcher) relay(ctx context.Context, req *Request, address, region string, role func(http.Header)) answer {
	trace := &connectionTrace{}
	out := d.outgoing(trace.watch(ctx), req, address)
	out.Header.Set(header.RequestID, req.ID)
	out.Header.Set(header.InternalKey, d.PeerKey)
	out.Header.Set(header.InternalHops, strconv.Itoa(req.Hops+1))
	out.Header.Set(header.InternalRegion, req.OriginRegion)
	out.Header.Set(header.InternalCaller, req.Caller)
	out.Header.Set(header.InternalClaimed, hex.EncodeToString(req.Digest[:]))
	out.Header.Set(header.Service, req.Service.Name)
	out.Header.Set(header.TimeoutMS, remaining(ctx))
	role(out.Header)
	body := req.open()
	out.Body = body
	if req.hasBody() {
		out.Header.Set("Expect", "100-continue")
		out.ContentLength = req.incoming.ContentLength
		out.Body = io.NopCloser(d.Links.Pace(ctx, region, req.Service.Class, body))
	}
	response, err := d.PeerTransport.RoundTrip(out)
	if err != nil {
		return d.relayFailed(ctx, req, body, trace, err)
	}
	stated := response.Header.Get(header.Outcome)
	if outcome.ParseKind(stated) != outcome.Done {
		req.closeAttempt(body)
		discard(response.Body)
		out := outcome.FromPeer(stated, outcome.Reason(response.Header.Get(header.Reason)), "told by the entry at "+address)
		out.Status = response.StatusCode
		return answer{
			outcome: out,
			stated:  true,
			server:  response.Header.Get(header.InternalServer),
		}
	}
	if !framed(req, response) {
		discard(response.Body)
		return refused(outcome.FromPhase(outcome.Dispatched, outcome.ReasonUnframedAnswer, "the entry at "+address))
	}
	return answer{
		response: response,
		outcome:  outcome.FromPhase(outcome.Answered, "", ""),
		release: func(end outcome.Outcome) {
			req.closeAttempt(body)
			discard(response.Body)
			if end.Kind != outcome.Done {
				trace.close()
			}
		},
	}
}

// relayFailed ends an attempt whose connection to a peer gave no answer. No
// entry dispatches a request with a body before it has read some of it, so one
// whose body was never touched has not run.
func (d *Dispatcher) relayFailed(ctx context.Context, req *Request, body *attemptBody, trace *connectionTrace, err error) answer {
	touched, failure := req.closeAttempt(body)
	phase := trace.phase()
	if req.hasBody() && !touched {
		phase = outcome.NotDispatched
	}
	reason := outcome.ReasonPeerLost
	if failure != nil {
		reason = outcome.ReasonBodyBroken
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return refused(outcome.FromError(phase, reason, err))
}

// parseRelayed reads a request that a peer relays. The peer has checked it.
func (d *Dispatcher) parseRelayed(w http.ResponseWriter, incoming *http.Request, phase outcome.DispatchPhase) (*Request, *outcome.Outcome) {
	configuration := d.Configuration()
	if configuration == nil {
		return nil, end(phase, outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := incoming.Header.Get(header.Service)
	service := configuration.Service(name)
	if service == nil {
		return nil, end(phase, outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
	}
	hops, err := strconv.Atoi(incoming.Header.Get(header.InternalHops))
	if err != nil || hops > maxHops {
		return nil, end(phase, outcome.ReasonBadRequest, "too many entries on the way")
	}
	caller, err := netip.ParseAddr(incoming.Header.Get(header.InternalCaller))
	if err != nil {
		return nil, end(phase, outcome.ReasonBadRequest, "the caller's address is missing")
	}
	digest, err := hex.DecodeString(incoming.Header.Get(header.InternalClaimed))
	if err != nil || len(digest) != len(Digest{}) {
		return nil, end(phase, outcome.ReasonBadRequest, "the request's digest is missing")
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
		req.rest = incoming.Body
	}
	req.Priority = priority(req)
	d.setTimeout(w, req)
	return req, nil
}

// excludedServers returns the backend servers that have failed a relayed
// request already.
func excludedServers(incoming *http.Request) []string {
	text := incoming.Header.Get(header.InternalExclude)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
