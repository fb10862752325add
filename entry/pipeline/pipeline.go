// Package pipeline serves the pipelined requests of a caller concurrently: requests that
// the caller sends on a connection before it has received the response to an earlier one.
// An http.Server serves the requests of a connection one after the other. Conns of this
// package read ahead while it does, and start idempotent requests early. The http.Server
// still reads each request and writes each response, in the order of the requests. When it
// comes to a request that was started early, it gets the response of that start.
package pipeline

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// Handler is the http.Handler of an http.Server whose connections come from Listener and
// whose hooks ConnContext and ConnState are those of the Handler.
type Handler struct {
	// Next serves each request.
	Next http.Handler
	// Refuse answers, in place of Next, a request that arrives although Drain admits no
	// further ones.
	Refuse http.Handler
	// Idempotent reports whether a request may run at the same time as the idempotent
	// requests before it on the same connection, and may be dropped and sent again.
	Idempotent func(request *http.Request) bool
	// ShuttingDown reports whether each connection is to be closed after its last response.
	// No requests are then started early.
	ShuttingDown func() bool
	// RequestBegan, if not nil, is called with the connection of each request before the
	// http.Server gets the first bytes of its header, and again with each further part of it.
	RequestBegan func(conn net.Conn)
	// HeaderRead, if not nil, is called with the context of each request that the
	// http.Server has read.
	HeaderRead func(ctx context.Context)
	// Budget bounds the memory of all connections. If it is nil, there is no bound.
	Budget *budget.Budget
	// MaxHeaderBytes returns the largest size of a request's header, together with the request
	// line; a larger one is refused. If it is nil or returns 0, that is maxPendingBytes.
	MaxHeaderBytes func() int
	// OnRefused, if not nil, is called when a request is refused before the http.Server gets any
	// of it, with the status.
	OnRefused func(status int)
	// RequestIDHeader is the name of the header with a request's ID, for the log.
	RequestIDHeader string
	Logger          *log.Logger

	// group starts the goroutines that serve requests early. Drain waits for them through
	// outstanding.
	group sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
	// listener is the argument of Listener, nil before.
	listener net.Listener
	// refusing is true from the moment when no further requests are admitted.
	refusing bool
	// outstanding is the number of requests that were read at least in part, or started
	// early, and whose response isn't complete: the sum of counted, nextCounted, unwritten and
	// the size of early over all conns.
	outstanding int
	// started is the number of requests that were ever started early.
	started int64
}

// Limits of what is read ahead and held back. Beyond them, a request waits for the
// responses before it.
const (
	// maxEarly is the maximum number of requests of a connection that were started early
	// and whose response hasn't begun to be written to the caller.
	maxEarly = 16
	// maxPendingBytes is the size of the requests that are read ahead on a connection, at
	// which reading stops. A request of that size or more is not started early.
	maxPendingBytes = 64 << 10
)

// connKey is the context key of a request's *conn.
type connKey struct{}

// ConnContext returns a context from which ServeHTTP finds the connection of a request. It
// is a hook for http.Server.ConnContext.
func (h *Handler) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	if c, ok := connection.(*conn); ok {
		ctx = budget.NewContext(ctx, c.account)
	}
	return context.WithValue(ctx, connKey{}, connection)
}

// ConnState notes that the response to a request has been written. It is a hook for
// http.Server.ConnState. The http.Server writes the end of a response after the handler has
// returned.
func (h *Handler) ConnState(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok && state == http.StateIdle {
		c.written()
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes the
// caller's connection, if Next does.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if h.HeaderRead != nil {
		h.HeaderRead(request.Context())
	}
	c, _ := request.Context().Value(connKey{}).(*conn)
	writer := &closingWriter{
		ResponseWriter: w,
		handler:        h,
		conn:           c,
	}
	if c == nil {
		h.Next.ServeHTTP(writer, request)
		return
	}
	early, admitted, open := c.begin(request)
	defer c.end()
	switch {
	case !open:
		panic(http.ErrAbortHandler)
	case early == nil && c.callerLeft():
		h.Logger.Warn().Str("event", "caller-left").Str("id", request.Header.Get(h.RequestIDHeader)).Str("reason", "before-read").Msg("")
		panic(http.ErrAbortHandler)
	case early != nil:
		early.deliver(writer)
	case !admitted:
		h.Refuse.ServeHTTP(writer, request)
	default:
		h.Next.ServeHTTP(writer, request)
	}
}

// Started returns the number of requests that were ever started early.
func (h *Handler) Started() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started
}

// Listener returns a listener that accepts the connections of another one. It may be called
// once.
func (h *Handler) Listener(listener net.Listener) net.Listener {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener = listener
	return &connListener{
		Listener: listener,
		handler:  h,
	}
}

// connListener is a net.Listener whose connections are *conn.
type connListener struct {
	net.Listener
	handler *Handler
}

// Accept accepts a connection.
func (l *connListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			// Only Drain sets a deadline. The http.Server would try again after a time-out.
			return nil, net.ErrClosed
		}
		return nil, err
	}
	return l.handler.newConn(accepted), nil
}

// Close closes the listener. The http.Server may close one that Drain has closed.
func (l *connListener) Close() error {
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

const (
	// acceptTime is how long Drain goes on accepting the connections that the system has
	// established already. Closing the listener would reset those.
	acceptTime = 100 * time.Millisecond
	// firstRequestTime is how long Drain waits for the first requests of connections on
	// which nothing was received yet. A request that a caller sent together with the
	// connection arrives within a round trip.
	firstRequestTime = 500 * time.Millisecond
	// drainPollInterval is the time between two checks of what Drain waits for.
	drainPollInterval = 10 * time.Millisecond
)

// Drain stops accepting connections and waits, for firstRequestTime at most, for the first
// requests of those that have had none. It then admits only what is received behind a request in
// progress, and returns when all admitted requests are answered, or with ctx. Refuse answers the
// others: the caller of a request that was read and whose connection just ends doesn't know that
// it has not run. After Drain, http.Server.Shutdown closes idle connections only. Without it,
// Shutdown drops a request that was just read. Drain does all of this even if the listener can't
// be closed, and then returns that error.
func (h *Handler) Drain(ctx context.Context) error {
	listenerErr := h.closeListener(ctx)
	firstRequests, cancel := context.WithTimeout(ctx, firstRequestTime)
	defer cancel()
	for h.awaitsFirstRequest() && firstRequests.Err() == nil {
		sleep(firstRequests, drainPollInterval)
	}
	h.mu.Lock()
	h.refusing = true
	h.mu.Unlock()
	for h.Outstanding() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return listenerErr
}

// closeListener closes the listener once acceptTime has passed. The http.Server closes it as
// well when the deadline ends Accept, whichever is first.
func (h *Handler) closeListener(ctx context.Context) error {
	h.mu.Lock()
	listener := h.listener
	h.mu.Unlock()
	if listener == nil {
		return nil
	}
	var deadlineErr error
	if deadliner, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		deadlineErr = deadliner.SetDeadline(time.Now().Add(acceptTime))
		sleep(ctx, acceptTime)
	}
	for _, err := range []error{deadlineErr, listener.Close()} {
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "close the listener")
		}
	}
	return nil
}

// sleep waits for a duration or until ctx is done, whichever is first.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitsFirstRequest reports whether there is an open connection on which no request has
// begun.
func (h *Handler) awaitsFirstRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		if !c.used {
			return true
		}
	}
	return false
}

// Outstanding returns the number of requests that were read at least in part, or started
// early, and whose response isn't complete.
func (h *Handler) Outstanding() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outstanding
}

// LogUnanswered logs the requests whose responses aren't complete, just before the process ends
// and cuts them off.
func (h *Handler) LogUnanswered() {
	h.mu.Lock()
	conns := slices.Collect(maps.Keys(h.conns))
	h.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		id, counted := c.requestID, c.counted || c.unwritten > 0
		unanswered := c.handlerDone != nil || c.unwritten > 0
		c.mu.Unlock()
		if unanswered {
			h.Logger.Warn().Str("event", "unanswered").Str("id", id).Bool("counted", counted).Msg("")
		}
	}
}

// admit counts a request of a connection as outstanding. It returns false, and doesn't count
// the request, if no further requests are admitted.
func (h *Handler) admit(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusing {
		return false
	}
	h.outstanding++
	c.used = true
	return true
}

// admitNext counts a request that was received behind another one as outstanding.
func (h *Handler) admitNext() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding++
}

// admitEarly counts a request as outstanding if it may be started early, and returns whether
// it may.
func (h *Handler) admitEarly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusing || h.ShuttingDown() {
		return false
	}
	h.outstanding++
	h.started++
	return true
}

// release subtracts requests from the outstanding ones.
func (h *Handler) release(count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding -= count
}

// forget removes a connection that is closed, and subtracts its outstanding requests.
func (h *Handler) forget(c *conn, requests int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	h.outstanding -= requests
}

// maxHeaderBytes returns the largest size of a request's header. A larger one than is read ahead
// would never be complete.
func (h *Handler) maxHeaderBytes() int {
	if h.MaxHeaderBytes == nil {
		return maxPendingBytes
	}
	if limit := h.MaxHeaderBytes(); limit > 0 {
		return limit
	}
	return maxPendingBytes
}

// closingWriter is a ResponseWriter that asks the caller to close the connection if the
// entry shuts down and no request behind this one was started.
type closingWriter struct {
	http.ResponseWriter
	handler *Handler
	// conn is nil if the request's connection does not come from the handler's listener.
	conn *conn
	// wroteHeader is set by the first call of WriteHeader.
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		if w.handler.ShuttingDown() && (w.conn == nil || w.conn.mayClose()) {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(content []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(content)
}

// Unwrap returns the ResponseWriter of the http.Server, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
