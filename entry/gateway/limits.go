package gateway

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

// checkLimits returns a refusal for a request whose header or declared body size
// exceeds the limits, or nil.
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

// headerLineOverhead is the length of ": " and CRLF in a header line, in bytes.
const headerLineOverhead = 4

// headerSize returns the size of a request's line and header fields in bytes.
func headerSize(incoming *http.Request) int {
	total := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + len(incoming.Host) + headerLineOverhead
	for name, values := range incoming.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineOverhead
		}
	}
	return total
}

// ConnLimiter enforces the idle timeout, the header timeout and the maximum number
// of callers' connections; over the maximum, it closes the longest idle ones.
// Unlike the timeouts of http.Server, its own follow the configuration in force.
// ConnContext and ConnState are hooks for an http.Server.
type ConnLimiter struct {
	// Configuration returns the newest configuration, or nil.
	Configuration func() *routing.Configuration
	// MaxConns returns how many connections may be open before the entry risks
	// running out of file descriptors; nil means no limit.
	MaxConns func() int

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// idleConns holds the *callerConn without a request, longest idle first.
	idleConns list.List
}

// callerConn is one connection of a caller.
type callerConn struct {
	conn net.Conn
	// closeTimer closes the connection when it fires; nil while a request is in
	// flight.
	closeTimer *time.Timer
	// idleElement is the connection's element of ConnLimiter.idleConns; nil while
	// it has a request.
	idleElement *list.Element
}

// Timeouts while there is no configuration, or where it sets none.
const (
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// headerReadKey is the context key of a function that stops the header timeout of
// a request's connection.
type headerReadKey struct{}

// ConnContext is a hook for http.Server.ConnContext.
func (l *ConnLimiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, headerReadKey{}, func() { l.stopCloseTimer(conn) })
}

// StopHeaderTimeout stops the header timeout of the connection that the request with
// this context came on. It does nothing if no ConnLimiter made the context.
func StopHeaderTimeout(ctx context.Context) {
	if stopTimer, is := ctx.Value(headerReadKey{}).(func()); is {
		stopTimer()
	}
}

// ConnState is a hook for http.Server.ConnState.
func (l *ConnLimiter) ConnState(conn net.Conn, state http.ConnState) {
	var limits routing.Limits
	if conf := l.Configuration(); conf != nil {
		limits = conf.Limits
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.add(conn, cmp.Or(limits.IdleTimeout, defaultIdleTimeout))
	case http.StateIdle:
		l.markIdle(l.conns[conn], cmp.Or(limits.IdleTimeout, defaultIdleTimeout))
	case http.StateActive:
		l.markActive(l.conns[conn], cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout))
	default:
		l.remove(l.conns[conn])
	}
}

// add starts tracking a connection, and closes idle ones over the maximum. The
// caller holds the lock, as in the methods below unless they take it.
func (l *ConnLimiter) add(conn net.Conn, timeout time.Duration) {
	if l.conns == nil {
		l.conns = make(map[net.Conn]*callerConn)
	}
	tracked := &callerConn{
		conn: conn,
	}
	tracked.closeTimer = time.AfterFunc(timeout, func() { l.closeExpired(tracked) })
	l.conns[conn] = tracked
	tracked.idleElement = l.idleConns.PushBack(tracked)
	for l.MaxConns != nil && len(l.conns) > l.MaxConns() {
		oldest := l.idleConns.Front().Value.(*callerConn)
		if oldest == tracked {
			break
		}
		l.closeConn(oldest)
	}
}

// markIdle records that a connection has no request and starts its idle timeout.
func (l *ConnLimiter) markIdle(tracked *callerConn, timeout time.Duration) {
	if tracked == nil {
		return
	}
	if tracked.idleElement == nil {
		tracked.idleElement = l.idleConns.PushBack(tracked)
	}
	l.setCloseTimer(tracked, timeout)
}

// markActive records that a request has begun on a connection and starts its
// header timeout.
func (l *ConnLimiter) markActive(tracked *callerConn, timeout time.Duration) {
	if tracked == nil {
		return
	}
	if tracked.idleElement != nil {
		l.idleConns.Remove(tracked.idleElement)
		tracked.idleElement = nil
	}
	l.setCloseTimer(tracked, timeout)
}

// setCloseTimer schedules the closing of a connection.
func (l *ConnLimiter) setCloseTimer(tracked *callerConn, timeout time.Duration) {
	if tracked.closeTimer == nil {
		tracked.closeTimer = time.AfterFunc(timeout, func() { l.closeExpired(tracked) })
		return
	}
	tracked.closeTimer.Reset(timeout)
}

// stopCloseTimer cancels the closing of a connection.
func (l *ConnLimiter) stopCloseTimer(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tracked := l.conns[conn]; tracked != nil && tracked.closeTimer != nil {
		tracked.closeTimer.Stop()
		tracked.closeTimer = nil
	}
}

// remove stops tracking a connection.
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

// closeConn closes a connection and stops tracking it.
func (l *ConnLimiter) closeConn(tracked *callerConn) {
	l.remove(tracked)
	// No request is in flight, so an error loses nothing.
	_ = tracked.conn.Close()
}

// closeExpired closes a connection whose timer fired, unless a request's header
// was read or the connection was closed in the meantime.
func (l *ConnLimiter) closeExpired(tracked *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tracked.closeTimer != nil && l.conns[tracked.conn] == tracked {
		l.closeConn(tracked)
	}
}
