package dispatch

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// errDetached is returned to a transport that still reads a body after its
// attempt has ended.
var errDetached = errors.New("read body: the attempt has ended")

// attemptBody is a request's body for one attempt. It knows whether the
// attempt has read anything, and what the reading ended with: a break on the
// caller's side is not the backend server's doing. It has no GetBody, which
// keeps net/http from sending a request again on its own.
type attemptBody struct {
	source io.Reader

	mu       sync.Mutex
	touched  bool
	detached bool
	failure  error
}

// Read reads from the request's body.
func (b *attemptBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errDetached
	}
	b.touched = true
	b.mu.Unlock()
	count, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.failure = err
		b.mu.Unlock()
	}
	return count, err
}

// Close does nothing: the server that handed out the body closes it.
func (b *attemptBody) Close() error {
	return nil
}

// detach ends the attempt's reading. It reports whether any of the body was
// read, and the error that reading it ended with.
func (b *attemptBody) detach() (touched bool, failure error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return b.touched, b.failure
}
