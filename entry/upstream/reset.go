package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// resetWatcher writes to a connection and notes whether a write failed because the peer has reset
// it. The system reports a reset to one call only: if that is a write, a read of the same connection
// then ends like that of one that was closed.
type resetWatcher struct {
	conn net.Conn

	mu    sync.Mutex
	reset bool
}

// Write writes to the connection.
func (w *resetWatcher) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, err := w.conn.Write(p)
	w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)
	return count, err
}

// wasReset reports whether a write has failed because of a reset. It ends a write in progress, which
// may be the one that gets the error.
func (w *resetWatcher) wasReset() bool {
	// An error says that the connection is closed, which ends the write, too.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reset
}

// unlessReset is a body that ends with its connection. Its reads fail at the end if the connection
// was reset.
type unlessReset struct {
	io.ReadCloser
	sender *resetWatcher
}

// Read reads from the body.
func (b *unlessReset) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.sender.wasReset() {
		return count, syscall.ECONNRESET
	}
	return count, err
}
