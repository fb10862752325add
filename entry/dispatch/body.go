package dispatch

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// errAttemptEnded is returned to a transport that reads a body after its attempt
// has ended.
var errAttemptEnded = errors.New("read body: the attempt has ended")

// attemptBody is the body of a request for one attempt. It records whether the
// attempt has begun to read the body, and the error of reading it. That error shows that
// the attempt failed because the body could not be received from the sender of the
// request, and not because of the backend server or peer. Every outgoing request has an
// attemptBody and no GetBody function, which keeps net/http from sending the request
// again by itself.
type attemptBody struct {
	source io.Reader

	mu sync.Mutex
	// wasRead is set once the attempt has tried to read from the body.
	wasRead bool
	// detached is set once the attempt has ended; reads fail from then on.
	detached bool
	// readErr is the last error of source other than io.EOF.
	readErr error
}

// Read reads from the body until detach is called.
func (b *attemptBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errAttemptEnded
	}
	b.wasRead = true
	b.mu.Unlock()
	count, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.readErr = err
		b.mu.Unlock()
	}
	return count, err
}

// Close does nothing: the HTTP server that received the request closes its body.
func (b *attemptBody) Close() error {
	return nil
}

// detachUnread detaches the body if the attempt has not tried to read from it, and reports
// whether it did.
func (b *attemptBody) detachUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wasRead {
		return false
	}
	b.detached = true
	return true
}

// detach makes all later reads fail. It reports whether the attempt has tried to
// read from the body, and the error of reading it.
func (b *attemptBody) detach() (wasRead bool, readErr error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return b.wasRead, b.readErr
}
