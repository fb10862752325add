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

// Digest identifies what a request asks for: service, method, path, query,
// length and start of body. The idempotency key is no part of it.
type Digest [16]byte

// Request is one caller's request on its way to a backend server.
type Request struct {
	ID         string
	Service    *intent.Service
	Priority   slot.Priority
	Idempotent bool
	Key        string
	// Digest identifies the request for repeats and quarantine.
	Digest Digest
	// Caller is the caller's address without port.
	Caller string
	// OriginRegion is that of the entry that admitted the request.
	OriginRegion string
	// Hops counts the entries that the request has passed.
	Hops int
	// immediate says that the attempt at hand is refused rather than let wait.
	immediate bool

	incoming *http.Request
	arrived  time.Time
	// arrivedWall is arrived by the wall clock alone.
	arrivedWall time.Time
	timeout     time.Duration
	// start is the beginning of the body, kept for the digest and for retries.
	start []byte
	// rest is what follows start; nil when start is the whole body.
	rest io.Reader
	// consumed is set once part of rest was read.
	consumed bool
}

const (
	// startBytes is how much of a body is kept.
	startBytes = 4 << 10
	// maxKeyLength bounds idempotency keys, in bytes.
	maxKeyLength = 256
)

// isFirst reports whether the caller says that it sends a key for the first time.
func isFirst(incoming *http.Request) bool {
	return incoming.Header.Get(header.FirstSend) == "true"
}

// phaseBeforeClaim is what is known of a request whose key's claim was not
// looked at: under a key that was sent before, it may have run.
func phaseBeforeClaim(incoming *http.Request) outcome.DispatchPhase {
	if isIdempotent(incoming.Method) || incoming.Header.Get(header.IdempotencyKey) == "" {
		return outcome.NotDispatched
	}
	return key.Request{
		FirstSend: isFirst(incoming),
	}.InitialPhase()
}

// parse reads a caller's request. The outcome is nil for a good one.
func (d *Dispatcher) parse(w http.ResponseWriter, incoming *http.Request) (*Request, *outcome.Outcome) {
	phase := phaseBeforeClaim(incoming)
	configuration := d.Configuration()
	if configuration == nil {
		return nil, end(phase, outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := serviceName(incoming)
	service := configuration.Service(name)
	if service == nil {
		return nil, end(phase, outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
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
	req.Priority = priority(req)
	if len(req.Key) > maxKeyLength {
		return nil, end(outcome.NotDispatched, outcome.ReasonBadRequest, "the idempotency key is longer than 256 bytes")
	}
	if !req.Idempotent && req.Key == "" {
		return nil, end(outcome.NotDispatched, outcome.ReasonKeyMissing,
			incoming.Method+" needs an "+header.IdempotencyKey+" header: a key of the caller's, or a ticket of a look-up")
	}
	d.setTimeout(w, req)
	if err := req.readStart(); err != nil {
		out := outcome.FromError(phase, outcome.ReasonBodyBroken, err)
		return nil, &out
	}
	req.setDigest()
	return req, nil
}

func end(phase outcome.DispatchPhase, reason outcome.Reason, detail string) *outcome.Outcome {
	out := outcome.FromPhase(phase, reason, detail)
	return &out
}

// serviceName takes the service from its header, or from the first label of
// the Host.
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

// isIdempotent follows RFC 9110 section 9.2.2, save that PUT and DELETE count
// as non-idempotent: services use them for uploads and bookings.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func priority(req *Request) slot.Priority {
	switch {
	case req.Service.Class == intent.Bulk:
		return slot.PriorityBulk
	case req.Idempotent:
		return slot.PriorityIdempotent
	}
	return slot.PriorityNonIdempotent
}

func callerAddress(incoming *http.Request) string {
	address, err := netip.ParseAddrPort(incoming.RemoteAddr)
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

// readStart reads the beginning of the body.
func (r *Request) readStart() error {
	if r.incoming.Body == nil || r.incoming.Body == http.NoBody {
		return nil
	}
	start := make([]byte, startBytes)
	count, err := io.ReadFull(r.incoming.Body, start)
	r.start = start[:count]
	switch err {
	case nil:
		r.rest = r.incoming.Body
		return nil
	case io.EOF, io.ErrUnexpectedEOF:
		if r.incoming.ContentLength > int64(count) {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
	return err
}

// setDigest computes the digest from the start of the body.
func (r *Request) setDigest() {
	var content bytes.Buffer
	for _, part := range []string{r.Service.Name, r.incoming.Method, r.incoming.URL.RequestURI()} {
		content.WriteString(strconv.Quote(part))
	}
	content.WriteString(strconv.FormatInt(r.incoming.ContentLength, 10) + " ")
	content.Write(r.start)
	r.Digest = Digest(key.NewDigest(content.Bytes()))
}

// awaitBody waits for the first part of a relayed body. A home dispatches no
// request with a body before that, so that a sender whose body was never read
// knows that its request did not run.
func (r *Request) awaitBody() error {
	if r.rest == nil || len(r.start) > 0 {
		return nil
	}
	start := make([]byte, startBytes)
	for {
		count, err := r.rest.Read(start)
		switch {
		case count > 0:
			r.start = start[:count]
			if err == io.EOF {
				r.rest = nil
			}
			return nil
		case err == io.EOF:
			r.rest = nil
			return nil
		case err != nil:
			return err
		}
	}
}

// hasBody reports whether the request carries a body.
func (r *Request) hasBody() bool {
	return len(r.start) > 0 || r.rest != nil
}

// resendable reports whether the whole body is still there to be sent.
func (r *Request) resendable() bool {
	return r.rest == nil || !r.consumed
}

// open returns the body for one attempt. The request must be resendable, and
// closeAttempt must follow.
func (r *Request) open() *attemptBody {
	source := io.Reader(bytes.NewReader(r.start))
	if r.rest != nil {
		source = io.MultiReader(source, r.rest)
	}
	return &attemptBody{
		source: source,
	}
}

// closeAttempt ends an attempt's reading and notes whether the body is whole.
func (r *Request) closeAttempt(body *attemptBody) (touched bool, failure error) {
	touched, failure = body.detach()
	if touched && r.rest != nil {
		r.consumed = true
	}
	return touched, failure
}

// readGrace is how long after a request's deadline the reading from its caller
// ends. A read deadline that passes first would cancel the request as if its
// caller had left.
const readGrace = 100 * time.Millisecond

// setTimeout bounds a request by what its caller waits for, the service's
// deadline and the entry's own limit, reading and writing included. No request
// outlives the service's deadline: an entry that takes its backend server over
// counts on that.
func (d *Dispatcher) setTimeout(w http.ResponseWriter, req *Request) {
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
	err := controller.SetReadDeadline(deadline.Add(readGrace))
	if writeErr := controller.SetWriteDeadline(deadline.Add(settleTime)); err == nil {
		err = writeErr
	}
	if err != nil {
		// The request's own deadline still ends the work; a caller that does not
		// read or write is ended by the server's time-outs.
		d.Events.Record(timeline.Event{
			Kind:    "request-unbounded",
			Service: req.Service.Name,
			Detail:  err.Error(),
		})
	}
}

// context bounds the request's work by its deadline. A caller that leaves ends
// an idempotent request only: what a non-idempotent one did is better known,
// and told to a repeat.
func (r *Request) context() (context.Context, context.CancelFunc) {
	parent := r.incoming.Context()
	if !r.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, r.arrived.Add(r.timeout))
}

// overdue reports whether the deadline has passed, by the monotonic clock or by
// the wall clock, which also counts the time that a VM was suspended. A
// process that was paused must not dispatch what it held.
func (r *Request) overdue() bool {
	now := time.Now()
	return now.Sub(r.arrived) >= r.timeout || now.Sub(r.arrivedWall) >= r.timeout
}
