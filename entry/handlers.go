package main

import (
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/entry/operator"
	"github.com/teaselstack/teaselstack/entry/pipeline"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// newConnections returns the bounds of the connections with the limits of the settings.
func (n *node) newConnections() *connections {
	limits := n.settings.Limits
	bounds := newConnections(
		func() int64 { return int64(limits.MemoryMB) << 20 },
		func() int { return headerReadFactor * limits.HeaderBytes }, n.logger, n.metrics)
	timeouts := &routing.Configuration{
		Limits: routing.Limits{
			HeaderTimeout: time.Duration(limits.HeaderTimeout),
			IdleTimeout:   time.Duration(limits.IdleTimeout),
		},
	}
	bounds.limiter.Configuration = func() *routing.Configuration { return timeouts }
	bounds.limiter.MaxConns = func() int { return limits.Connections }
	return bounds
}

// newServer returns an HTTP server with the time and size limits of the settings.
func (n *node) newServer(handler *pipeline.Handler) *http.Server {
	server := n.connections.newServer(handler)
	server.ReadHeaderTimeout = time.Duration(n.settings.Limits.HeaderTimeout)
	server.IdleTimeout = time.Duration(n.settings.Limits.IdleTimeout)
	server.MaxHeaderBytes = headerReadFactor * n.settings.Limits.HeaderBytes
	return server
}

// callersHandler serves look-ups, and forwards all other requests of callers.
func (n *node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(teaselv1connect.NewLookupServiceHandler(n.lookupServer, connect.WithCompressMinBytes(minCompressBytes), connect.WithReadMaxBytes(n.settings.Limits.HeaderBytes)))
	mux.HandleFunc("/", n.dispatcher.ServeCaller)
	return withRequestMetrics(n.metrics, n.withRetryAt(limitHeaderBytes(n.settings.Limits.HeaderBytes, mux)))
}

// newPipeline returns the handler of the callers' server. During a graceful shutdown, it closes
// each connection after the last of its requests. It starts no requests early.
func (n *node) newPipeline() *pipeline.Handler {
	handler := n.callersHandler()
	return &pipeline.Handler{
		Next: handler,
		// By then, the dispatcher refuses all requests, with the address of another entry.
		Refuse:          handler,
		Idempotent:      func(*http.Request) bool { return false },
		ShuttingDown:    n.shuttingDown.Load,
		RequestIDHeader: header.IdempotencyKey,
		Logger:          n.logger,
	}
}

// peersHandler serves callers' requests that peers relay, which have the header
// header.InternalServer, and the calls of the peer service. Both must have the peer key.
func (n *node) peersHandler() http.Handler {
	service := teaselv1.NewPeerServiceServer(peerServer{
		node: n,
	})
	return n.requireKey(header.InternalKey, n.settings.PeerKey, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.InternalServer) != "" {
			n.dispatcher.ServePeer(w, r)
			return
		}
		service.ServeHTTP(w, r)
	}))
}

// bearerPrefix precedes the operator key in the Authorization header.
const bearerPrefix = "Bearer "

// operatorsHandler serves the operator service, whose calls must have the operator key,
// and the health, readiness and metrics pages, which need no key.
func (n *node) operatorsHandler() http.Handler {
	service := &operator.Server{
		Keeper:   n.keeper,
		Roster:   n.roster,
		Slots:    n.slots,
		LoadView: n.loadView,
		Lookup:   n.lookupServer,
		Events:   n.events,
		Started:  n.started,
		Ready:    n.ready,
	}
	mux := http.NewServeMux()
	path, handler := teaselv1connect.NewOperatorServiceHandler(service, connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, n.requireKey("Authorization", bearerPrefix+n.settings.OperatorKey, handler))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteJSONOnce(n.metrics, w)
	})
	return mux
}

// requireKey refuses requests unless the named header has the value key. It compares
// the values in constant time.
func (n *node) requireKey(name, key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(name)), []byte(key)) != 1 {
			http.Error(w, "not run: the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
