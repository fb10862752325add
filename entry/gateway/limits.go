package gateway

import (
	"cmp"
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
	if limits.HeaderBytes > 0 && headerBytes(incoming) > limits.HeaderBytes {
		return &refusal{
			status: http.StatusRequestHeaderFieldsTooLarge,
			reason: outcome.ReasonBadRequest,
		}
	}
	if limits.BodyBytes > 0 && incoming.ContentLength > limits.BodyBytes {
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

// Watch closes callers' connections that are idle, or take long to send a
// request's head, for longer than the configuration in force allows. Its methods
// are the hooks of a server.
type Watch struct {
	// Configuration returns the newest configuration, or nil.
	Configuration func() *routing.Configuration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// idleDefault and headDefault bound connections while there is no configuration.
const (
	idleDefault = time.Minute
	headDefault = 10 * time.Second
)

// watched is the key of a connection's watch in the context of its requests.
type watched struct{}

// Context is the ConnContext hook.
func (v *Watch) Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, watched{}, func() { v.disarm(conn) })
}

// HeadRead notes that the head of a request with this context was read.
func HeadRead(ctx context.Context) {
	if read, is := ctx.Value(watched{}).(func()); is {
		read()
	}
}

// Changed is the ConnState hook.
func (v *Watch) Changed(conn net.Conn, state http.ConnState) {
	var limits routing.Limits
	if conf := v.Configuration(); conf != nil {
		limits = conf.Limits
	}
	switch state {
	case http.StateNew, http.StateIdle:
		v.arm(conn, cmp.Or(limits.IdleTimeout, idleDefault))
	case http.StateActive:
		v.arm(conn, cmp.Or(limits.HeaderTimeout, headDefault))
	default:
		v.disarm(conn)
	}
}

func (v *Watch) arm(conn net.Conn, limit time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.timers == nil {
		v.timers = make(map[net.Conn]*time.Timer)
	}
	if timer := v.timers[conn]; timer != nil {
		timer.Reset(limit)
		return
	}
	v.timers[conn] = time.AfterFunc(limit, func() { v.expire(conn) })
}

func (v *Watch) disarm(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if timer := v.timers[conn]; timer != nil {
		timer.Stop()
		delete(v.timers, conn)
	}
}

// expire closes a connection unless a request came meanwhile.
func (v *Watch) expire(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.timers[conn] == nil {
		return
	}
	delete(v.timers, conn)
	// The caller has nothing outstanding; an error changes nothing.
	_ = conn.Close()
}
