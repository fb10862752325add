package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// exchange is a request that was started early, and its response. It is the ResponseWriter
// of the handler that serves the request. It holds the response back until deliver is
// called.
type exchange struct {
	handler *Handler
	request *http.Request
	// account is that of the connection.
	account *budget.Account
	// size is the size of the request on the connection, in bytes, and cost what is reserved for it.
	size int
	cost int64
	// turn is closed by deliver.
	turn chan struct{}
	// done is closed when the handler has returned or panicked.
	done chan struct{}
	// header is the header that the handler sets. Only the handler uses it.
	header http.Header

	mu sync.Mutex
	// status is the response's status, 0 until WriteHeader was called. finalHeader is the
	// header at that time.
	status      int
	finalHeader http.Header
	// held is the body that was written before deliver was called.
	held []byte
	// writer writes to the caller. It is nil until deliver is called.
	writer http.ResponseWriter
	// abandoned is true if the connection was closed before the call of deliver.
	abandoned bool
	// panicked is true if the handler panicked.
	panicked bool
}

// start starts a request of a connection before the http.Server has read it.
func (h *Handler) start(c *conn, request *http.Request, size int, cost int64) *exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	request = request.WithContext(ctx)
	request.RemoteAddr = c.RemoteAddr().String()
	early := &exchange{
		handler: h,
		request: request,
		size:    size,
		cost:    cost,
		account: c.account,
		turn:    make(chan struct{}),
		done:    make(chan struct{}),
		header:  make(http.Header),
	}
	h.Logger.Info().Str("event", "pipelined").Str("id", request.Header.Get(h.RequestIDHeader)).Int("behind", len(c.early)+1).Msg("")
	h.group.Go(func() {
		defer cancel()
		early.serve()
	})
	return early
}

// serve runs the handler.
func (e *exchange) serve() {
	defer close(e.done)
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		e.mu.Lock()
		e.panicked = true
		e.mu.Unlock()
		if cause != http.ErrAbortHandler {
			e.handler.Logger.Error().Str("event", "request-panicked").Str("id", e.request.Header.Get(e.handler.RequestIDHeader)).
				Any("cause", cause).Msg("")
		}
	}()
	e.handler.Next.ServeHTTP(e, e.request)
	e.mu.Lock()
	status := e.status
	e.mu.Unlock()
	if status == 0 {
		e.WriteHeader(http.StatusOK)
	}
}

// abandon drops the response unless deliver was called.
func (e *exchange) abandon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writer != nil {
		return
	}
	e.abandoned = true
	e.account.Release(int64(len(e.held)))
	e.held = nil
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
	e.finalHeader = e.header.Clone()
	if e.writer != nil {
		e.writeHeader()
	}
}

// writeHeader writes the header to the caller. e.mu must be held.
func (e *exchange) writeHeader() {
	maps.Copy(e.writer.Header(), e.finalHeader)
	e.writer.WriteHeader(e.status)
}

// Write implements http.ResponseWriter. It waits for the call of deliver if the content
// can't be held.
func (e *exchange) Write(content []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.holdContent(content) {
		return len(content), nil
	}
	select {
	case <-e.turn:
	case <-e.request.Context().Done():
		return 0, context.Cause(e.request.Context())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writer.Write(content)
}

// holdContent appends content to held, if it can't be written to the caller yet and there is
// room for it, and reports whether it did.
func (e *exchange) holdContent(content []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writer != nil || e.abandoned || !e.account.TryReserve(int64(len(content))) {
		return false
	}
	e.held = append(e.held, content...)
	return true
}

// deliver writes the response to the caller, as far as it is held, and lets the handler write
// the rest. It returns when the handler has returned, and panics with
// http.ErrAbortHandler if the handler panicked.
func (e *exchange) deliver(writer http.ResponseWriter) {
	e.mu.Lock()
	e.writer = writer
	if e.status != 0 {
		e.writeHeader()
	}
	if len(e.held) > 0 {
		// A write fails only if the caller has left, which also ends the context.
		_, _ = writer.Write(e.held)
		e.account.Release(int64(len(e.held)))
		e.held = nil
	}
	e.mu.Unlock()
	close(e.turn)
	<-e.done
	if e.panicked {
		panic(http.ErrAbortHandler)
	}
}
