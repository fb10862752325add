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

// checkLimits refuses a request that is larger than callers may send.
func checkLimits(incoming *http.Request, limits routing.Limits) *refusal {
	if limits.MaxHeaderBytes > 0 && headerBytes(incoming) > limits.MaxHeaderBytes {
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

// lineBytes is what a header line has beside its name and value: a colon, a
// space and the line's end.
const lineBytes = 4

func headerBytes(incoming *http.Request) int {
	total := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Proto) + len(incoming.Host) + lineBytes
	for name, values := range incoming.Header {
		for _, value := range values {
			total += len(name) + len(value) + lineBytes
		}
	}
	return total
}

// ConnLimiter closes callers' connections that are idle, or take long to send a
// request's head, for longer than the configuration in force allows, and those
// idle longest where there are too many. Its methods are the hooks of a server.
type ConnLimiter struct {
	// Configuration returns the newest configuration, or nil.
	Configuration func() *routing.Configuration
	// MaxConns returns how many connections may be open; nil sets no bound.
	MaxConns func() int

	mu    sync.Mutex
	conns map[net.Conn]*caller
	// idle holds the connections without a request, the longest idle one first.
	idle list.List
}

// caller is one connection of a caller.
type caller struct {
	conn net.Conn
	// timer closes the connection, nil while a request is in flight.
	timer *time.Timer
	// idle is the connection's place among those without a request, nil with one.
	idle *list.Element
}

// idleDefault and headDefault bound connections while there is no configuration.
const (
	idleDefault = time.Minute
	headDefault = 10 * time.Second
)

// watched is the key of a connection's watch in the context of its requests.
type watched struct{}

// ConnContext is the ConnContext hook.
func (v *ConnLimiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, watched{}, func() { v.headRead(conn) })
}

// StopHeaderTimeout notes that the head of a request with this context was read.
func StopHeaderTimeout(ctx context.Context) {
	if read, is := ctx.Value(watched{}).(func()); is {
		read()
	}
}

// ConnState is the ConnState hook.
func (v *ConnLimiter) ConnState(conn net.Conn, state http.ConnState) {
	var limits routing.Limits
	if conf := v.Configuration(); conf != nil {
		limits = conf.Limits
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch state {
	case http.StateNew:
		v.add(conn, cmp.Or(limits.IdleTimeout, idleDefault))
	case http.StateIdle:
		v.rest(v.conns[conn], cmp.Or(limits.IdleTimeout, idleDefault))
	case http.StateActive:
		v.work(v.conns[conn], cmp.Or(limits.HeaderTimeout, headDefault))
	default:
		v.forget(v.conns[conn])
	}
}

// add takes up a connection, and closes others if there are too many.
func (v *ConnLimiter) add(conn net.Conn, limit time.Duration) {
	if v.conns == nil {
		v.conns = make(map[net.Conn]*caller)
	}
	each := &caller{
		conn: conn,
	}
	each.timer = time.AfterFunc(limit, func() { v.expire(each) })
	v.conns[conn] = each
	each.idle = v.idle.PushBack(each)
	for v.MaxConns != nil && len(v.conns) > v.MaxConns() {
		oldest := v.idle.Front().Value.(*caller)
		if oldest == each {
			break
		}
		v.shut(oldest)
	}
}

// rest notes that a connection has no request any more.
func (v *ConnLimiter) rest(each *caller, limit time.Duration) {
	if each == nil {
		return
	}
	if each.idle == nil {
		each.idle = v.idle.PushBack(each)
	}
	v.limit(each, limit)
}

// work notes that a request has begun on a connection.
func (v *ConnLimiter) work(each *caller, limit time.Duration) {
	if each == nil {
		return
	}
	if each.idle != nil {
		v.idle.Remove(each.idle)
		each.idle = nil
	}
	v.limit(each, limit)
}

func (v *ConnLimiter) limit(each *caller, limit time.Duration) {
	if each.timer == nil {
		each.timer = time.AfterFunc(limit, func() { v.expire(each) })
		return
	}
	each.timer.Reset(limit)
}

// headRead ends the limit on a request's head.
func (v *ConnLimiter) headRead(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if each := v.conns[conn]; each != nil && each.timer != nil {
		each.timer.Stop()
		each.timer = nil
	}
}

// forget drops a connection that is closed.
func (v *ConnLimiter) forget(each *caller) {
	if each == nil {
		return
	}
	if each.timer != nil {
		each.timer.Stop()
		each.timer = nil
	}
	if each.idle != nil {
		v.idle.Remove(each.idle)
		each.idle = nil
	}
	delete(v.conns, each.conn)
}

func (v *ConnLimiter) shut(each *caller) {
	v.forget(each)
	// The caller has nothing outstanding; an error changes nothing.
	_ = each.conn.Close()
}

// expire closes a connection unless a request came meanwhile.
func (v *ConnLimiter) expire(each *caller) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if each.timer != nil && v.conns[each.conn] == each {
		v.shut(each)
	}
}
