package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/budget"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

const (
	// maxReplayableBytes is how much of a body is buffered before a request is sent, in bytes,
	// if the budget has room for it. A request with a smaller body occupies no slot while a slow caller sends
	// the body, and can be sent again to another server.
	maxReplayableBytes = 512 << 10
	// minBodyBufferBytes is the size of the first buffer of a body, in bytes. Each further one is
	// twice as large.
	minBodyBufferBytes = 4 << 10
	// digestBodyBytes is how much of a body goes into the request's digest for the
	// quarantine, in bytes.
	digestBodyBytes = 4 << 10
)

// requestBody is the body of a caller's request: a buffered prefix and the remainder.
type requestBody struct {
	// length is the length of the whole body in bytes, -1 if unknown.
	length int64
	prefix []byte
	// reserved is the memory reserved for prefix.
	reserved int64
	// remainder is the body after the prefix, nil if the prefix is the whole body.
	remainder io.ReadCloser
	// streamed reports whether remainder was handed to an attempt, so that it can't be
	// sent again.
	streamed bool
	// readErr is the error with which reading remainder ended, nil for io.EOF.
	readErr atomic.Pointer[error]
}

// Read reads from remainder. It records an error, because http.Request.Write wraps it in
// a type that errors.As can't unwrap.
func (b *requestBody) Read(p []byte) (int, error) {
	count, err := b.remainder.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readErr.Store(&err)
	}
	return count, err
}

// readError returns the error with which reading remainder ended, or nil.
func (b *requestBody) readError() error {
	if err := b.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// newReader returns a reader of the whole body for one attempt. If there is a remainder,
// it sets streamed, and no later attempt may send the body.
func (b *requestBody) newReader() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	prefix := bytes.NewReader(b.prefix)
	if b.remainder == nil {
		return io.NopCloser(prefix)
	}
	b.streamed = true
	return io.NopCloser(io.MultiReader(prefix, b))
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return b.remainder == nil || !b.streamed }

// readBody buffers the body, or the beginning of a large one, and computes the
// request's digest. It returns a refusal if the part to buffer is too large or can't be
// read.
func (g *Gateway) readBody(req *proxyRequest) *refusal {
	incoming := req.incoming
	req.body = &requestBody{
		length: incoming.ContentLength,
	}
	if incoming.Body == nil || incoming.Body == http.NoBody {
		req.body.length = 0
		g.setIdentity(req)
		return nil
	}
	if req.maxBodyBytes > 0 {
		incoming.Body = http.MaxBytesReader(nil, incoming.Body, req.maxBodyBytes)
	}
	complete, err := req.bufferBody()
	if err != nil {
		g.releaseBody(req)
		return bodyRefusal(err)
	}
	if complete {
		req.body.length = int64(len(req.body.prefix))
	} else {
		req.body.remainder = incoming.Body
	}
	g.setIdentity(req)
	// The route's timeout starts again, so that responseDeadline doesn't count the time
	// that the caller took to send the body. The deadline of ServeHTTP's context stays.
	if req.route.Timeout > 0 {
		if routeDeadline := time.Now().Add(req.route.Timeout); routeDeadline.Before(req.callerDeadline) {
			req.responseDeadline = routeDeadline
		}
	}
	return nil
}

// errNoMemory is the error of reading a body for whose beginning there is no room.
var errNoMemory = errors.New("no memory is left for the body")

// bufferBody reads the body into the prefix, up to maxReplayableBytes, or as much as there is
// memory for, and reports whether that is all of it.
func (r *proxyRequest) bufferBody() (complete bool, err error) {
	account := budget.FromContext(r.incoming.Context())
	limit := maxReplayableBytes
	if length := r.incoming.ContentLength; length >= 0 && length < maxReplayableBytes {
		// The end of the body shows with the read behind its last byte.
		limit = int(length) + 1
	}
	for size := min(minBodyBufferBytes, limit); len(r.body.prefix) < limit; size = min(2*size, limit) {
		if !account.Reserve(int64(size)) {
			if len(r.body.prefix) < min(digestBodyBytes, limit) {
				return false, errNoMemory
			}
			return false, nil
		}
		r.body.prefix = append(make([]byte, 0, size), r.body.prefix...)
		account.Release(r.body.reserved)
		r.body.reserved = int64(size)
		for len(r.body.prefix) < size {
			count, err := r.incoming.Body.Read(r.body.prefix[len(r.body.prefix):size])
			r.body.prefix = r.body.prefix[:len(r.body.prefix)+count]
			switch {
			case errors.Is(err, io.EOF):
				return true, nil
			case err != nil:
				return false, err
			}
		}
	}
	return false, nil
}

// bodyRefusal returns the refusal for a request whose body could not be read.
func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, errNoMemory):
		return notRunRefusal(outcome.ReasonNoRoom, shortRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{
			status: http.StatusRequestTimeout,
			reason: outcome.ReasonBodyBroken,
		}
	}
	status := http.StatusBadRequest
	if tooLarge(err) {
		status = http.StatusRequestEntityTooLarge
	}
	return &refusal{
		status: status,
		reason: outcome.ReasonBodyBroken,
	}
}

// tooLarge reports whether an error says that a body exceeds its size limit.
func tooLarge(err error) bool {
	var sizeErr *http.MaxBytesError
	return errors.As(err, &sizeErr)
}

// releaseBody returns the memory of the buffered part of a request's body.
func (g *Gateway) releaseBody(req *proxyRequest) {
	budget.FromContext(req.incoming.Context()).Release(req.body.reserved)
	req.body.reserved = 0
}

// setIdentity computes the digests by which the quarantine recognises a request that comes
// again under another ID. That of the content is a hash of the route's host, the method, the
// URI and the beginning of the body.
func (g *Gateway) setIdentity(req *proxyRequest) {
	content := hashParts(req.route.Host, req.incoming.Method, routing.Target(req.incoming),
		string(req.body.prefix[:min(len(req.body.prefix), digestBodyBytes)]))
	caller := hashParts(string(content[:]), req.callerHost())
	exact := []string{string(caller[:])}
	names := slices.Sorted(maps.Keys(req.incoming.Header))
	for _, name := range names {
		if name != g.HeaderNames.RequestID && name != g.HeaderNames.DeadlineMS {
			exact = append(append(exact, name, strconv.Itoa(len(req.incoming.Header[name]))), req.incoming.Header[name]...)
		}
	}
	req.identity = quarantine.Request{
		Content: content,
		Caller:  caller,
		Exact:   hashParts(exact...),
	}
}

// hashParts returns a digest of texts.
func hashParts(parts ...string) quarantine.Digest {
	digest := sha256.New()
	for _, part := range parts {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	return quarantine.Digest(digest.Sum(nil)[:len(quarantine.Digest{})])
}
