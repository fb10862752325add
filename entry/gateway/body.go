package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/outcome"
)

const (
	// maxReplayableBytes is how much of a body is buffered before a request is
	// sent, in bytes. While a slow caller sends its body it then occupies no slot,
	// and the request can be retried on another server.
	maxReplayableBytes = 512 << 10
	// maxBufferedBytes is the size of all buffered bodies above which further
	// bodies are streamed, in bytes: an eighth of the smallest VM's memory.
	maxBufferedBytes = 32 << 20
	// digestBodyBytes is how much of a body goes into the request's digest for the
	// quarantine, in bytes.
	digestBodyBytes = 4 << 10
)

// requestBody is a caller's request body: a buffered prefix and what follows it.
type requestBody struct {
	// length is the length of the whole body in bytes, -1 if unknown.
	length int64
	prefix []byte
	// remainder is the unread rest of the body, nil if prefix is all of it.
	remainder io.ReadCloser
	// streamed says that an attempt has begun to read remainder.
	streamed bool
	// readErr is the error with which reading remainder ended, nil for io.EOF.
	readErr atomic.Pointer[error]
}

// Read reads from remainder. It records an error, because net/http does not
// return the error of a request's body to the sender of the request.
func (b *requestBody) Read(content []byte) (int, error) {
	count, err := b.remainder.Read(content)
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

// newReader returns the body for one attempt.
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

// replayable reports whether the whole body can be sent in another attempt.
func (b *requestBody) replayable() bool { return b.remainder == nil || !b.streamed }

// readBody buffers the body, or the beginning of a large one, and computes the
// request's digest.
func (g *Gateway) readBody(req *request) *refusal {
	incoming := req.incoming
	req.body = &requestBody{
		length: incoming.ContentLength,
	}
	if incoming.Body == nil || incoming.Body == http.NoBody {
		req.body.length = 0
		req.setDigest()
		return nil
	}
	if req.maxBodyBytes > 0 {
		incoming.Body = http.MaxBytesReader(nil, incoming.Body, req.maxBodyBytes)
	}
	bufferLimit := int64(maxReplayableBytes)
	if g.bufferedBytes.Load() > maxBufferedBytes {
		bufferLimit = digestBodyBytes
	}
	var content bytes.Buffer
	if incoming.ContentLength > 0 {
		content.Grow(int(min(bufferLimit, incoming.ContentLength) + bytes.MinRead))
	}
	_, err := content.ReadFrom(io.LimitReader(incoming.Body, bufferLimit))
	req.body.prefix = content.Bytes()
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
	req.setDigest()
	// The route's timeout begins after the body was read: it doesn't count the
	// time that the caller takes to send the body.
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
func (g *Gateway) releaseBody(req *request) {
	g.bufferedBytes.Add(-int64(len(req.body.prefix)))
}

// setDigest computes the digest by which the quarantine recognises the same
// request of a caller under another ID.
func (r *request) setDigest() {
	digest := sha256.New()
	for _, part := range []string{r.callerHost(), r.incoming.Method, r.incoming.URL.RequestURI()} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(r.body.prefix[:min(len(r.body.prefix), digestBodyBytes)])
	r.digest = quarantine.Digest(digest.Sum(nil)[:len(quarantine.Digest{})])
}
