package dispatch

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/timeline"
)

// Digest is a hash of what a request asks for: service, method, path, query, content
// length (-1 if it is not stated) and the first bodyStartBytes of the body. The
// idempotency key is not part of it.
type Digest [16]byte

// Request is a caller's request while this entry processes it.
type Request struct {
	// ID is sent to the backend server, which echoes it in its response.
	ID       string
	Service  *intent.Service
	Priority slot.Priority
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Key is the idempotency key or the ticket, "" if there is none.
	Key string
	// Digest is compared with those of earlier requests: to refuse a different
	// request under the same key, and to find the request in the quarantine list.
	Digest Digest
	// Caller is the caller's IP address.
	Caller string
	// OriginRegion is the region of the entry that received the request from the
	// caller.
	OriginRegion string
	// Hops is how many times the request was relayed from one entry to another.
	Hops int
	// immediate makes the current attempt fail if it would have to wait for a slot.
	immediate bool
	// elsewhere is set if another attempt may follow the current one.
	elsewhere bool

	// incoming is the request as it was received from the caller or a peer.
	incoming *http.Request
	// arrived is when this entry received the request.
	arrived time.Time
	// arrivedWall is arrived without its monotonic clock reading.
	arrivedWall time.Time
	// timeout is the time from arrived to the request's deadline.
	timeout time.Duration
	// bodyStart is the beginning of the body, kept for the digest and for retries.
	bodyStart []byte
	// bodyRest is the rest of the body after bodyStart, nil if bodyStart is the complete
	// body.
	bodyRest io.Reader
	// restConsumed is set once an attempt has read from the body, if there is a
	// bodyRest. The complete body is then presumed to be no longer available.
	restConsumed bool
}

const (
	// bodyStartBytes is the maximum length of Request.bodyStart.
	bodyStartBytes = 4 << 10
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
)

// isFirstSend reports whether the caller states that it has not sent the request's
// key before.
func isFirstSend(incoming *http.Request) bool {
	return incoming.Header.Get(header.FirstSend) == "true"
}

// phaseBeforeClaim returns the phase of a request whose key is not yet claimed. If
// the key may have been sent before, the request may already have run.
func phaseBeforeClaim(incoming *http.Request) outcome.DispatchPhase {
	if isIdempotent(incoming.Method) || incoming.Header.Get(header.IdempotencyKey) == "" {
		return outcome.NotDispatched
	}
	return key.Request{
		FirstSend: isFirstSend(incoming),
	}.InitialPhase()
}

// parseCallerRequest validates a caller's request and reads the start of its body.
// The returned outcome is nil for a valid request.
func (d *Dispatcher) parseCallerRequest(w http.ResponseWriter, incoming *http.Request) (*Request, *outcome.Outcome) {
	phase := phaseBeforeClaim(incoming)
	configuration := d.Configuration()
	if configuration == nil {
		return nil, newOutcome(phase, outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := serviceName(incoming)
	service := configuration.Service(name)
	if service == nil {
		return nil, newOutcome(phase, outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
	}
	req := &Request{
		ID:           rand.Text(),
		Service:      service,
		Idempotent:   isIdempotent(incoming.Method),
		Key:          incoming.Header.Get(header.IdempotencyKey),
		Caller:       callerAddress(incoming),
		OriginRegion: d.Region,
		incoming:     incoming,
	}
	req.Priority = requestPriority(req)
	if len(req.Key) > maxKeyBytes {
		return nil, newOutcome(outcome.NotDispatched, outcome.ReasonBadRequest, "the idempotency key is longer than 256 bytes")
	}
	if !req.Idempotent && req.Key == "" {
		return nil, newOutcome(outcome.NotDispatched, outcome.ReasonKeyMissing,
			incoming.Method+" needs an "+header.IdempotencyKey+" header: a key of the caller's, or a ticket of a look-up")
	}
	d.setDeadlines(w, req)
	if err := req.readBodyStart(); err != nil {
		out := outcome.FromError(phase, outcome.ReasonBodyBroken, err)
		return nil, &out
	}
	req.computeDigest()
	return req, nil
}

// newOutcome returns a pointer to the result of outcome.FromPhase, for functions
// that return a nil outcome for success.
func newOutcome(phase outcome.DispatchPhase, reason outcome.Reason, detail string) *outcome.Outcome {
	out := outcome.FromPhase(phase, reason, detail)
	return &out
}

// serviceName returns the name of the service from header.Service or, without that
// header, the first label of the host name.
func serviceName(incoming *http.Request) string {
	if name := incoming.Header.Get(header.Service); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(incoming.Host)
	if err != nil {
		host = incoming.Host
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// isIdempotent reports whether requests with a method may run more than once: GET,
// HEAD and OPTIONS. PUT and DELETE, which are idempotent according to RFC 9110 section
// 9.2.2, don't count as idempotent, because services use them for uploads and bookings.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// requestPriority returns the priority of a request in the queue for slots.
func requestPriority(req *Request) slot.Priority {
	switch {
	case req.Service.Class == intent.Bulk:
		return slot.PriorityBulk
	case req.Idempotent:
		return slot.PriorityIdempotent
	}
	return slot.PriorityNonIdempotent
}

// callerAddress returns the IP address of a caller, "" if it can't be parsed.
func callerAddress(incoming *http.Request) string {
	address, err := netip.ParseAddrPort(incoming.RemoteAddr)
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

// readBodyStart sets bodyStart to the first bodyStartBytes of the body and bodyRest to
// the rest. It reads a shorter body completely.
func (r *Request) readBodyStart() error {
	if r.incoming.Body == nil || r.incoming.Body == http.NoBody {
		return nil
	}
	start := make([]byte, bodyStartBytes)
	count, err := io.ReadFull(r.incoming.Body, start)
	r.bodyStart = start[:count]
	switch err {
	case nil:
		r.bodyRest = r.incoming.Body
		return nil
	case io.EOF, io.ErrUnexpectedEOF:
		if r.incoming.ContentLength > int64(count) {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
	return err
}

// computeDigest sets Digest. The start of the body must have been read.
func (r *Request) computeDigest() {
	var content bytes.Buffer
	for _, part := range []string{r.Service.Name, r.incoming.Method, r.incoming.URL.RequestURI()} {
		content.WriteString(strconv.Quote(part))
	}
	content.WriteString(strconv.FormatInt(r.incoming.ContentLength, 10) + " ")
	content.Write(r.bodyStart)
	r.Digest = Digest(key.NewDigest(content.Bytes()))
}

// awaitBody reads the first part of a relayed request's body into bodyStart. A home
// sends a request with a body to a backend server only after that. The relaying entry
// thus knows that the request has not run if the home has read none of the body.
func (r *Request) awaitBody() error {
	if r.bodyRest == nil || len(r.bodyStart) > 0 {
		return nil
	}
	start := make([]byte, bodyStartBytes)
	for {
		count, err := r.bodyRest.Read(start)
		switch {
		case count > 0:
			r.bodyStart = start[:count]
			if err == io.EOF {
				r.bodyRest = nil
			}
			return nil
		case err == io.EOF:
			r.bodyRest = nil
			return nil
		case err != nil:
			return err
		}
	}
}

// hasBody reports whether the request has a body.
func (r *Request) hasBody() bool {
	return len(r.bodyStart) > 0 || r.bodyRest != nil
}

// canResend reports whether the complete body is available for another attempt.
func (r *Request) canResend() bool {
	return r.bodyRest == nil || !r.restConsumed
}

// openBody returns the body for one attempt. It may be called only while canResend
// reports true, and closeBody must be called when the attempt has ended.
func (r *Request) openBody() *attemptBody {
	source := io.Reader(bytes.NewReader(r.bodyStart))
	if r.bodyRest != nil {
		source = io.MultiReader(source, r.bodyRest)
	}
	return &attemptBody{
		source: source,
	}
}

// closeBody makes further reads of an attempt's body fail and updates restConsumed.
// It reports whether the attempt has tried to read from the body, and returns the error
// of reading it, nil if there was none.
func (r *Request) closeBody(body *attemptBody) (bodyRead bool, readErr error) {
	bodyRead, readErr = body.detach()
	if bodyRead && r.bodyRest != nil {
		r.restConsumed = true
	}
	return bodyRead, readErr
}

// readDeadlineGrace is the time from a request's deadline to the read deadline of
// its connection. If the read deadline passed first, net/http would cancel the
// request as if the caller had disconnected.
const readDeadlineGrace = 100 * time.Millisecond

// setDeadlines records the current time as the request's arrival. It sets the
// request's timeout to the minimum of the timeout that the sender states, the
// service's deadline and MaxDeadline, and derives the read and write deadlines of
// the connection from it. No request may outlive the service's deadline: an entry
// that takes over the backend server relies on that.
func (d *Dispatcher) setDeadlines(w http.ResponseWriter, req *Request) {
	req.arrived = time.Now()
	req.arrivedWall = req.arrived.Round(0)
	req.timeout = time.Duration(req.Service.Deadline)
	if text := req.incoming.Header.Get(header.TimeoutMS); text != "" {
		if value, err := strconv.ParseInt(text, 10, 32); err == nil && value > 0 {
			req.timeout = min(req.timeout, time.Duration(value)*time.Millisecond)
		}
	}
	if d.MaxDeadline > 0 {
		req.timeout = min(req.timeout, d.MaxDeadline)
	}
	controller := http.NewResponseController(w)
	deadline := req.arrived.Add(req.timeout)
	err := controller.SetReadDeadline(deadline.Add(readDeadlineGrace))
	if writeErr := controller.SetWriteDeadline(deadline.Add(serverDeadlineSlack)); err == nil {
		err = writeErr
	}
	if err != nil {
		// The deadline of the request's context still ends the work. The timeouts of
		// the HTTP server end the connection of a caller that stalls.
		d.Events.Record(timeline.Event{
			Kind:    "request-unbounded",
			Service: req.Service.Name,
			Detail:  err.Error(),
		})
	}
}

// workContext returns the context of the request's processing, which ends at the
// deadline. For an idempotent request it also ends when the caller disconnects. A
// non-idempotent request continues, so that repeats get its result.
func (r *Request) workContext() (context.Context, context.CancelFunc) {
	parent := r.incoming.Context()
	if !r.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, r.arrived.Add(r.timeout))
}

// overdue reports whether the deadline has passed by the monotonic clock or by the
// wall clock. Only the wall clock includes time during which the VM was suspended.
// A process that was paused must not dispatch the requests that it held meanwhile.
func (r *Request) overdue() bool {
	now := time.Now()
	return now.Sub(r.arrived) >= r.timeout || now.Sub(r.arrivedWall) >= r.timeout
}
