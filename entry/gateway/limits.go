package gateway

import (
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

// Idle closes callers' connections that are idle, or take long to send a
// request's head, for longer than the configuration in force allows. It is the
// ConnState hook of a server.
type Idle struct {
	// Configuration returns the newest configuration, or nil.
	Configuration func() *routing.Configuration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// idleDefault bounds idle connections while there is no configuration.
const idleDefault = time.Minute

// Changed takes a connection's new state over.
func (i *Idle) Changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		limit := idleDefault
		if conf := i.Configuration(); conf != nil && conf.Limits.IdleTimeout > 0 {
			limit = conf.Limits.IdleTimeout
		}
		i.arm(conn, limit)
	default:
		i.disarm(conn)
	}
}

func (i *Idle) arm(conn net.Conn, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers == nil {
		i.timers = make(map[net.Conn]*time.Timer)
	}
	if timer := i.timers[conn]; timer != nil {
		timer.Reset(limit)
		return
	}
	i.timers[conn] = time.AfterFunc(limit, func() { i.expire(conn) })
}

func (i *Idle) disarm(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[conn]; timer != nil {
		timer.Stop()
		delete(i.timers, conn)
	}
}

// expire closes a connection unless a request came meanwhile.
func (i *Idle) expire(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[conn] == nil {
		return
	}
	delete(i.timers, conn)
	// The caller has nothing outstanding; an error changes nothing.
	_ = conn.Close()
}
