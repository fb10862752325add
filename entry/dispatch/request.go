package dispatch

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
)

// Request is one caller's request on its way to a backend server.
type Request struct {
	ID         string
	Service    *intent.Service
	Priority   slot.Priority
	Idempotent bool
	Key        string
	// Digest identifies the request for repeats and quarantine.
	Digest string
	// Caller is the caller's address without port.
	Caller string
	// Region is that of the entry that admitted the request.
	Region string
	// Hops counts the entries that the request has passed.
	Hops int

	incoming *http.Request
	// start is the beginning of the body, kept for the digest and for retries.
	start []byte
	// rest is what follows start; nil when start is the whole body.
	rest io.Reader
}

const (
	// startBytes is how much of a body is kept.
	startBytes = 4 << 10
	// maxKeyLength bounds idempotency keys, in bytes.
	maxKeyLength = 256
)

// parse reads a caller's request. The outcome is nil for a good one.
func (d *Dispatcher) parse(incoming *http.Request) (*Request, *outcome.Outcome) {
	configuration := d.Configuration()
	if configuration == nil {
		return nil, notRun(outcome.ReasonNoConfiguration, "this entry has no configuration yet")
	}
	name := serviceName(incoming)
	service := configuration.Service(name)
	if service == nil {
		return nil, notRun(outcome.ReasonUnknownService, "no service "+strconv.Quote(name))
	}
	req := &Request{
		ID:         rand.Text(),
		Service:    service,
		Idempotent: isIdempotent(incoming.Method),
		Key:        incoming.Header.Get(header.IdempotencyKey),
		Caller:     callerAddress(incoming),
		Region:     d.Region,
		incoming:   incoming,
	}
	req.Priority = priority(req)
	if len(req.Key) > maxKeyLength {
		return nil, notRun(outcome.ReasonBadRequest, "the idempotency key is longer than 256 bytes")
	}
	if !req.Idempotent && req.Key == "" {
		return nil, notRun(outcome.ReasonKeyMissing,
			incoming.Method+" needs an "+header.IdempotencyKey+" header: a key of the caller's, or a ticket of a look-up")
	}
	if err := req.readStart(); err != nil {
		return nil, notRun(outcome.ReasonBadRequest, "read body: "+err.Error())
	}
	return req, nil
}

func notRun(reason outcome.Reason, detail string) *outcome.Outcome {
	return &outcome.Outcome{
		Kind:   outcome.NotRun,
		Reason: reason,
		Detail: detail,
	}
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
		return slot.Transfer
	case req.Idempotent:
		return slot.Browse
	}
	return slot.Decision
}

func callerAddress(incoming *http.Request) string {
	address, err := netip.ParseAddrPort(incoming.RemoteAddr)
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

// readStart reads the beginning of the body and computes the digest.
func (r *Request) readStart() error {
	if r.incoming.Body != nil && r.incoming.Body != http.NoBody {
		start := make([]byte, startBytes)
		count, err := io.ReadFull(r.incoming.Body, start)
		r.start = start[:count]
		if err == nil {
			r.rest = r.incoming.Body
		} else if err != io.EOF && err != io.ErrUnexpectedEOF {
			return err
		}
	}
	hash := xxhash.New()
	for _, part := range []string{r.Service.Name, r.incoming.Method, r.incoming.URL.RequestURI(), r.Key} {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(r.start)
	_, _ = hash.WriteString(strconv.FormatInt(r.incoming.ContentLength, 10))
	r.Digest = hex.EncodeToString(hash.Sum(nil))
	return nil
}

// hasBody reports whether the request carries a body.
func (r *Request) hasBody() bool {
	return len(r.start) > 0 || r.rest != nil
}

// replayable reports whether the body can be sent again.
func (r *Request) replayable() bool {
	return r.rest == nil
}

// body returns the whole body from its first byte. It may be called again only
// while the request is replayable or nothing was read of the earlier body.
func (r *Request) body() io.Reader {
	if r.rest == nil {
		return bytes.NewReader(r.start)
	}
	return io.MultiReader(bytes.NewReader(r.start), r.rest)
}

// withDeadline bounds a request by what its caller waits for, the service's
// deadline and the entry's own limit. No request outlives the service's deadline:
// another entry that takes its backend server over counts on that.
func (d *Dispatcher) withDeadline(req *Request) (context.Context, context.CancelFunc) {
	timeout := time.Duration(req.Service.Deadline)
	if text := req.incoming.Header.Get(header.TimeoutMS); text != "" {
		if value, err := strconv.ParseInt(text, 10, 64); err == nil && value > 0 {
			timeout = min(timeout, time.Duration(value)*time.Millisecond)
		}
	}
	if d.MaxDeadline > 0 {
		timeout = min(timeout, d.MaxDeadline)
	}
	return context.WithTimeout(req.incoming.Context(), timeout)
}
