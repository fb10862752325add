package main

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/budget"
	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/entry/pipeline"
)

// connections bounds what the connections to all listeners of an entry hold together: their number,
// and the memory of headers, bodies and responses.
type connections struct {
	limiter gateway.ConnLimiter
	budget  budget.Budget
	// memoryLimit returns the memory limit of the process in bytes.
	memoryLimit func() int64
	// maxHeaderBytes returns the size from which on a request's header is refused without being
	// parsed, or 0 for the default.
	maxHeaderBytes func() int
	logger         *log.Logger
	metrics        metrics.Registry
	// loggedAt is when mayLog last returned true, in nanoseconds of Unix time.
	loggedAt atomic.Int64
}

const (
	// connectionMemoryShare is the fraction of the process's memory for what connections hold.
	connectionMemoryShare = 0.2
	// heapShare is the fraction of the process's memory from which on the runtime collects garbage
	// more often.
	heapShare = 0.6
	// headerSlackShare is the part by which a header may exceed its limit before it is refused without
	// being parsed: the limit does not count white space around values.
	headerSlackShare = 0.25
	// maxHeaderTimeout bounds the time to read a request's header, also if the
	// configuration sets a longer timeout for callers.
	maxHeaderTimeout = 30 * time.Second
	// maxIdleTimeout bounds how long a connection stays idle, also if the configuration
	// sets a longer timeout.
	maxIdleTimeout = 10 * time.Minute
	// evictionLogInterval is the shortest time between two log lines about connections that were
	// closed or refused.
	evictionLogInterval = time.Second
)

// newConnections returns the bounds of an entry. The fields limiter.Configuration and
// limiter.MaxConns remain to be set.
func newConnections(memoryLimit func() int64, maxHeaderBytes func() int, logger *log.Logger, registry metrics.Registry) *connections {
	c := &connections{
		memoryLimit:    memoryLimit,
		maxHeaderBytes: maxHeaderBytes,
		logger:         logger,
		metrics:        registry,
	}
	c.budget.Limit = func() int64 { return int64(connectionMemoryShare * float64(memoryLimit())) }
	c.budget.OnEvict = c.recordEviction
	c.limiter.Evict = c.budget.Evict
	metrics.NewRegisteredFunctionalGauge("connections.held-bytes", registry, c.budget.Held)
	return c
}

// limitHeap makes the runtime keep to the memory limit of the process.
func (c *connections) limitHeap() { debug.SetMemoryLimit(int64(heapShare * float64(c.memoryLimit()))) }

// newServer returns an http.Server whose connections come from the listener of a handler, and
// applies the bounds to both.
func (c *connections) newServer(handler *pipeline.Handler) *http.Server {
	handler.Budget = &c.budget
	handler.MaxHeaderBytes = func() int { return int((1 + headerSlackShare) * float64(c.maxHeaderBytes())) }
	handler.OnRefused = c.recordRefusal
	handler.RequestBegan = c.limiter.RequestBegan
	handler.HeaderRead = gateway.StopHeaderTimeout
	return &http.Server{
		Handler: handler,
		ConnState: func(conn net.Conn, state http.ConnState) {
			c.limiter.ConnState(conn, state)
			handler.ConnState(conn, state)
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return handler.ConnContext(c.limiter.ConnContext(ctx, conn), conn)
		},
		ReadHeaderTimeout: maxHeaderTimeout,
		IdleTimeout:       maxIdleTimeout,
		ErrorLog:          c.logger.Std("http ", 0),
	}
}

// newReader returns a pipeline.Handler for a listener that is not for callers. It starts no request
// early, and refuses none during a shutdown.
func (c *connections) newReader(next http.Handler) *pipeline.Handler {
	return &pipeline.Handler{
		Next:         next,
		Refuse:       next,
		Idempotent:   func(*http.Request) bool { return false },
		ShuttingDown: func() bool { return false },
		Logger:       c.logger,
	}
}

// recordEviction counts a connection that was closed to make room for others, and logs that.
func (c *connections) recordEviction(bytes int64) {
	metrics.GetOrRegisterCounter("connections.evicted", c.metrics).Inc(1)
	if c.mayLog() {
		c.logger.Warn().Str("event", "connection-evicted").Int64("bytes", bytes).Int64("held", c.budget.Held()).
			Int64("limit", c.budget.Limit()).Msg("")
	}
}

// recordRefusal counts a request that was refused before it was parsed, and logs that.
func (c *connections) recordRefusal(status int) {
	metrics.GetOrRegisterCounter("headers.refused", c.metrics).Inc(1)
	if c.mayLog() {
		c.logger.Warn().Str("event", "header-refused").Int("status", status).Int64("held", c.budget.Held()).Msg("")
	}
}

// mayLog reports whether the last line on a connection that was closed or refused is
// evictionLogInterval ago.
func (c *connections) mayLog() bool {
	now, last := time.Now().UnixNano(), c.loggedAt.Load()
	return now-last >= int64(evictionLogInterval) && c.loggedAt.CompareAndSwap(last, now)
}
