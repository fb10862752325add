package pipeline

import (
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// errNoMemory is the error of a read for whose bytes there is no room in the budget.
var errNoMemory = errors.New("no memory is left for the connection")

// endsInHeader reports whether the caller has left in the middle of a request's header. The
// http.Server then gets what there is of it, as it would without this package.
func (c *conn) endsInHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() == nil || c.phase != phaseHeader || !c.begun || c.headerSize > 0 || len(c.pending) == 0 {
		return false
	}
	cost := budget.HeaderCost(c.pending)
	if !c.account.Reserve(cost) {
		return false
	}
	c.headerSize, c.headerCost = len(c.pending), cost
	return true
}

// completeHeader reports whether the header at the beginning of pending is complete, and the memory
// for it is reserved. refused is the status with which to refuse its request, or 0. c.mu must be
// held.
func (c *conn) completeHeader() (complete bool, refused int) {
	if c.headerSize > 0 {
		return true, 0
	}
	c.setReceiving(true)
	size := headerEnd(c.pending, c.scanned)
	c.scanned = len(c.pending)
	switch {
	case size > 0 && size <= c.handler.maxHeaderBytes():
	case size > 0 || len(c.pending) > c.handler.maxHeaderBytes():
		return false, http.StatusRequestHeaderFieldsTooLarge
	default:
		return false, 0
	}
	cost := budget.HeaderCost(c.pending[:size])
	if !c.account.Reserve(cost) {
		return false, http.StatusServiceUnavailable
	}
	c.headerSize, c.headerCost, c.scanned = size, cost, 0
	return true, 0
}

// refuse answers the request that begins, instead of the http.Server, which gets none of it, and
// returns the error with which Read ends the connection. There is no answer while the http.Server
// writes the one before.
func (c *conn) refuse(status int) error {
	c.mu.Lock()
	responding := c.responding
	c.closing = true
	c.mu.Unlock()
	if responding {
		return io.EOF
	}
	if c.handler.OnRefused != nil {
		c.handler.OnRefused(status)
	}
	answer := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		answer += "Retry-After: 1\r\n"
	}
	if _, err := c.Write([]byte(answer + "\r\n")); err != nil {
		return err
	}
	return io.EOF
}

// takeHeader appends up to count bytes of pending to the current request's header, but
// none behind its end, and returns how many. c.mu must be held.
func (c *conn) takeHeader(count int) int {
	count = min(count, c.headerSize-len(c.header))
	c.header = append(c.header, c.pending[:count]...)
	if len(c.header) == c.headerSize {
		c.phase, c.serving, c.begun, c.headerSize = phaseHeaderRead, true, false, 0
	}
	return count
}

// setOpaque records that the ends of requests aren't known, and reserves the memory that the
// http.Server may need for their headers. If there is none, the connection ends. c.mu must be held.
func (c *conn) setOpaque() {
	c.phase = phaseOpaque
	c.exhausted = !c.account.Reserve(budget.MaxHeaderCost(c.handler.maxHeaderBytes()))
}
