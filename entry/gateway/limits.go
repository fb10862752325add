package gateway

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

// checkLimits returns a refusal for a request whose header size or Content-Length
// exceeds the limits, or nil. The size of a body without a Content-Length is checked
// while it is read.
func checkLimits(incoming *http.Request, limits routing.Limits) *refusal {
	if limits.MaxHeaderBytes > 0 && headerSize(incoming) > limits.MaxHeaderBytes {
		return &refusal{
			status: http.StatusRequestHeaderFieldsTooLarge,
			reason: outcome.ReasonBadRequest,
		}
	}
	if limits.MaxBodyBytes > 0 && incoming.ContentLength > limits.MaxBodyBytes {
		return &refusal{
			status: http.StatusRequestEntityTooLarge,
			reason: outcome.ReasonBadRequest,
		}
	}
	return nil
}

const (
	// headerLineOverhead is the length of the colon and CRLF in a header line, in bytes. The space
	// behind the colon, which may be missing, does not count.
	headerLineOverhead = 3
	// requestLineOverhead is the length of the two spaces and CRLF in the request line, in bytes.
	requestLineOverhead = 4
)

// headerSize returns the size of the request line and the header fields of a request, in
// bytes. Of the Host field, only the value counts.
func headerSize(incoming *http.Request) int {
	total := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + len(incoming.Host) + requestLineOverhead
	for name, values := range incoming.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineOverhead
		}
	}
	return total
}

// ConnLimiter enforces the idle timeout, the header timeout and the maximum number
// of callers' connections. A new connection beyond the maximum closes the one that has
// been idle longest, if any is idle. Unlike the timeouts of an http.Server, which are
// fixed, those of a ConnLimiter follow the current configuration. ConnContext and
// ConnState must be set as hooks of the http.Server, its handler must call
// StopHeaderTimeout for each request, and RequestBegan must be called when the first bytes
// of a request are received: the http.Server calls ConnState only once it has read the header.
type ConnLimiter struct {
	// Configuration returns the newest configuration, or nil if there is none yet.
	Configuration func() *routing.Configuration
	// MaxConns returns the maximum number of open connections. It keeps the entry from
	// running out of file descriptors. If MaxConns is nil, there is no maximum.
	MaxConns func() int
	// Evict closes a connection that waits for its client to send or to take something, and reports
	// whether there was one. It is called while there are more connections than the maximum and none
	// is idle. It may be nil.
	Evict func() bool

	mu sync.Mutex
	// conns holds the open connections.
	conns map[net.Conn]*callerConn
	// idleConns holds the *callerConn that are idle or new, in the order in which they
	// became so.
	idleConns list.List
}

// callerConn is a caller's connection and its place in the ConnLimiter that tracks it.
type callerConn struct {
	conn net.Conn
	// closeTimer closes the connection when its idle or header timeout expires. It is nil
	// after a request's header was read, until the connection is idle again.
	closeTimer *time.Timer
	// expires is when closeTimer fires. The timer may have fired before it was restarted.
	expires time.Time
	// idleElement is the connection's element of ConnLimiter.idleConns. It is nil from
	// the first byte of a request to the end of the response.
	idleElement *list.Element
}

// Timeouts while there is no configuration or it sets none.
const (
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// stopHeaderTimeoutKey is the context key of a func() that stops the header timeout of
// the connection.
type stopHeaderTimeoutKey struct{}

// ConnContext returns a context from which StopHeaderTimeout finds the connection of a
// request. It is a hook for http.Server.ConnContext.
func (l *ConnLimiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, stopHeaderTimeoutKey{}, func() { l.stopCloseTimer(conn) })
}

// StopHeaderTimeout stops the header timeout of the connection whose request has this
// context. It must be called once the request's header has been read. It does nothing
// if the context doesn't come from ConnContext.
func StopHeaderTimeout(ctx context.Context) {
	if stopTimer, ok := ctx.Value(stopHeaderTimeoutKey{}).(func()); ok {
		stopTimer()
	}
}

// ConnState tracks the state of a connection, starts the timeout of its new state, and
// enforces the maximum number of connections. It is a hook for http.Server.ConnState.
func (l *ConnLimiter) ConnState(conn net.Conn, state http.ConnState) {
	limits := l.limits()
	l.mu.Lock()
	full := false
	defer func() {
		l.mu.Unlock()
		if full && l.Evict != nil {
			// The http.Server calls ConnState again for the connection that is closed.
			l.Evict()
		}
	}()
	switch state {
	case http.StateNew:
		full = l.add(conn, cmp.Or(limits.IdleTimeout, defaultIdleTimeout))
	case http.StateIdle:
		l.markIdle(l.conns[conn], cmp.Or(limits.IdleTimeout, defaultIdleTimeout))
	case http.StateActive:
		l.markActive(l.conns[conn], cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout))
	default:
		l.remove(l.conns[conn])
	}
}

// limits returns the limits of the newest configuration.
func (l *ConnLimiter) limits() routing.Limits {
	if conf := l.Configuration(); conf != nil {
		return conf.Limits
	}
	return routing.Limits{}
}

// RequestBegan records that bytes of a request were received on a connection, which is not idle
// from then on, and starts its header timeout. Further calls have no effect.
func (l *ConnLimiter) RequestBegan(conn net.Conn) { l.ConnState(conn, http.StateActive) }

// add starts tracking a new connection as idle and starts its idle timeout. While there
// are more connections than the maximum, it closes the one that has been idle longest,
// but not the new one, nor one on which a request waits to be read. full reports whether there are
// still more. l.mu must be held.
func (l *ConnLimiter) add(conn net.Conn, idleTimeout time.Duration) (full bool) {
	if l.conns == nil {
		l.conns = make(map[net.Conn]*callerConn)
	}
	tracked := &callerConn{
		conn: conn,
	}
	l.setCloseTimer(tracked, idleTimeout)
	l.conns[conn] = tracked
	tracked.idleElement = l.idleConns.PushBack(tracked)
	element := l.idleConns.Front()
	for l.MaxConns != nil && len(l.conns) > l.MaxConns() && element != tracked.idleElement {
		oldest := element.Value.(*callerConn)
		element = element.Next()
		if !hasUnread(oldest.conn) {
			l.closeConn(oldest)
		}
	}
	return l.MaxConns != nil && len(l.conns) > l.MaxConns()
}

// markIdle records that a connection has no request and starts its idle timeout. l.mu
// must be held. Like markActive and remove, it does nothing if tracked is nil, because
// closeConn has then closed the connection.
func (l *ConnLimiter) markIdle(tracked *callerConn, idleTimeout time.Duration) {
	if tracked == nil {
		return
	}
	if tracked.idleElement == nil {
		tracked.idleElement = l.idleConns.PushBack(tracked)
	}
	l.setCloseTimer(tracked, idleTimeout)
}

// markActive records that a request has begun on a connection and starts its
// header timeout, unless that was done before. l.mu must be held.
func (l *ConnLimiter) markActive(tracked *callerConn, headerTimeout time.Duration) {
	if tracked == nil || tracked.idleElement == nil {
		return
	}
	l.idleConns.Remove(tracked.idleElement)
	tracked.idleElement = nil
	l.setCloseTimer(tracked, headerTimeout)
}

// setCloseTimer starts or restarts the timer that closes a connection. l.mu must be
// held.
func (l *ConnLimiter) setCloseTimer(tracked *callerConn, timeout time.Duration) {
	tracked.expires = time.Now().Add(timeout)
	if tracked.closeTimer == nil {
		tracked.closeTimer = time.AfterFunc(timeout, func() { l.closeExpired(tracked) })
		return
	}
	tracked.closeTimer.Reset(timeout)
}

// stopCloseTimer stops a connection's timeout. It locks l.mu.
func (l *ConnLimiter) stopCloseTimer(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tracked := l.conns[conn]; tracked != nil && tracked.closeTimer != nil {
		tracked.closeTimer.Stop()
		tracked.closeTimer = nil
	}
}

// remove stops tracking a connection. l.mu must be held.
func (l *ConnLimiter) remove(tracked *callerConn) {
	if tracked == nil {
		return
	}
	if tracked.closeTimer != nil {
		tracked.closeTimer.Stop()
		tracked.closeTimer = nil
	}
	if tracked.idleElement != nil {
		l.idleConns.Remove(tracked.idleElement)
		tracked.idleElement = nil
	}
	delete(l.conns, tracked.conn)
}

// closeConn closes a connection and stops tracking it. l.mu must be held.
func (l *ConnLimiter) closeConn(tracked *callerConn) {
	l.remove(tracked)
	// No request is in flight on the connection, and at most part of a header was read.
	// So nothing is lost if Close fails.
	_ = tracked.conn.Close()
}

// closeExpired closes a connection whose timer fired, unless the timer was stopped or restarted
// or the connection was closed since then. If bytes of a request wait to be read, the entry is
// late, not the caller: the header timeout starts then. closeExpired locks l.mu.
func (l *ConnLimiter) closeExpired(tracked *callerConn) {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	if tracked.closeTimer == nil || l.conns[tracked.conn] != tracked || time.Now().Before(tracked.expires) {
		return
	}
	headerTimeout := cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)
	switch {
	case !hasUnread(tracked.conn):
		l.closeConn(tracked)
	case tracked.idleElement != nil:
		l.markActive(tracked, headerTimeout)
	default:
		l.setCloseTimer(tracked, headerTimeout)
	}
}

// hasUnread reports whether bytes were received on a connection that were not read yet. It
// returns false for a connection that is no syscall.Conn.
func hasUnread(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Unlike Read, Control doesn't wait for a read in progress.
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0
	})
	return err == nil && unread
}
