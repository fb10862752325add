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
	// wholeBody is the longest body that is read before a request is sent, so
	// that a slow caller takes no place at a server and a server that did not run
	// the request can be replaced, in bytes.
	wholeBody = 512 << 10
	// maxBuffered bounds the bodies held at one time, in bytes: an eighth of the
	// smallest VM's memory. Beyond it bodies are streamed.
	maxBuffered = 32 << 20
	// digestBytes is how much of a body tells requests apart for the quarantine.
	digestBytes = 4 << 10
)

// body is the body of a request.
type body struct {
	length int64
	start  []byte
	// rest is what follows start, nil if start is the whole body.
	rest   io.ReadCloser
	opened bool
	// failed is the error with which the caller's body ended, while it was sent.
	failed atomic.Pointer[error]
}

// Read reads what follows start. net/http hides the error of a request's body
// from those who send it, so that it is kept here.
func (b *body) Read(content []byte) (int, error) {
	count, err := b.rest.Read(content)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return count, err
}

// failure is the error with which the caller's body ended, or nil.
func (b *body) failure() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// open returns the body for one send.
func (b *body) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	start := bytes.NewReader(b.start)
	if b.rest == nil {
		return io.NopCloser(start)
	}
	b.opened = true
	return io.NopCloser(io.MultiReader(start, b))
}

// repeatable reports whether the body can be sent once more.
func (b *body) repeatable() bool { return b.rest == nil || !b.opened }

// readBody reads the body, or the beginning of a large one.
func (g *Gateway) readBody(req *request) *refusal {
	incoming := req.incoming
	req.body = &body{
		length: incoming.ContentLength,
	}
	if incoming.Body == nil || incoming.Body == http.NoBody {
		req.body.length = 0
		req.setDigest()
		return nil
	}
	if req.bodyLimit > 0 {
		incoming.Body = http.MaxBytesReader(nil, incoming.Body, req.bodyLimit)
	}
	limit := int64(wholeBody)
	if g.buffered.Load() > maxBuffered {
		limit = digestBytes
	}
	var content bytes.Buffer
	if incoming.ContentLength > 0 {
		content.Grow(int(min(limit, incoming.ContentLength) + bytes.MinRead))
	}
	_, err := content.ReadFrom(io.LimitReader(incoming.Body, limit))
	req.body.start = content.Bytes()
	g.buffered.Add(int64(len(req.body.start)))
	if err != nil {
		g.releaseBody(req)
		return bodyRefusal(err)
	}
	if int64(len(req.body.start)) < limit {
		req.body.length = int64(len(req.body.start))
	} else {
		req.body.rest = incoming.Body
	}
	req.setDigest()
	// The time that the caller took to send its body is its own.
	if req.route.Timeout > 0 {
		if limit := time.Now().Add(req.route.Timeout); limit.Before(req.deadline) {
			req.limit = limit
		}
	}
	return nil
}

// bodyRefusal is the answer to a request whose body could not be read.
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

// tooLarge reports whether an error says that a body is longer than allowed.
func tooLarge(err error) bool {
	var limit *http.MaxBytesError
	return errors.As(err, &limit)
}

func (g *Gateway) releaseBody(req *request) {
	g.buffered.Add(-int64(len(req.body.start)))
}

// setDigest identifies a request that may be sent again by the same caller.
func (r *request) setDigest() {
	digest := sha256.New()
	for _, part := range []string{r.client(), r.incoming.Method, r.incoming.URL.RequestURI()} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(r.body.start[:min(len(r.body.start), digestBytes)])
	r.digest = quarantine.Digest(digest.Sum(nil)[:len(quarantine.Digest{})])
}
