package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/outcome"
)

const (
	// maxReplayableBytes is how much of a body is buffered before a request is sent,
	// in bytes. A request with a smaller body occupies no slot while a slow caller sends
	// the body, and can be sent again to another server.
	maxReplayableBytes = 512 << 10
	// maxTotalBufferedBytes is the total size of the buffered bodies, in bytes, above
	// which only digestBodyBytes of a further body are buffered. It is an eighth of the
	// smallest VM's memory.
	maxTotalBufferedBytes = 32 << 20
	// digestBodyBytes is how much of a body goes into the request's digest for the
	// quarantine, in bytes.
	digestBodyBytes = 4 << 10
)

// requestBody is the body of a caller's request: a buffered prefix and the remainder.
type requestBody struct {
	// length is the length of the whole body in bytes, -1 if unknown.
	length int64
	prefix []byte
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
	bufferLimit := int64(maxReplayableBytes)
	if g.bufferedBytes.Load() > maxTotalBufferedBytes {
		bufferLimit = digestBodyBytes
	}
	var buffer bytes.Buffer
	if incoming.ContentLength > 0 {
		buffer.Grow(int(min(bufferLimit, incoming.ContentLength) + bytes.MinRead))
	}
	_, err := buffer.ReadFrom(io.LimitReader(incoming.Body, bufferLimit))
	req.body.prefix = buffer.Bytes()
	g.bufferedBytes.Add(int64(len(req.body.prefix)))
	if err != nil {
		g.releaseBody(req)
		return bodyRefusal(err)
	}
	if int64(len(req.body.prefix)) < bufferLimit {
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

// bodyRefusal returns the refusal for a request whose body could not be read.
func bodyRefusal(err error) *refusal {
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

// releaseBody subtracts a request's buffered bytes from the gateway's total.
func (g *Gateway) releaseBody(req *proxyRequest) {
	g.bufferedBytes.Add(-int64(len(req.body.prefix)))
}

// setIdentity computes the digests by which the quarantine recognises a request that comes
// again under another ID. That of the content is a hash of the route's host, the method, the
// URI and the beginning of the body.
func (g *Gateway) setIdentity(req *proxyRequest) {
	content := hashParts(req.route.Host, req.incoming.Method, req.incoming.URL.RequestURI(),
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
