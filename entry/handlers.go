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
	"github.com/teaselstack/teaselstack/header"
)

func (m *machine) newServer(handler http.Handler) *http.Server {
	limits := m.settings.Limits
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		MaxHeaderBytes:    headerSlack * limits.HeaderBytes,
	}
}

func (m *machine) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(teaselv1connect.NewLookupServiceHandler(m.lookups, connect.WithCompressMinBytes(minCompressed), connect.WithReadMaxBytes(m.settings.Limits.HeaderBytes)))
	mux.HandleFunc("/", m.dispatcher.ServeCaller)
	return observed(m.metrics, m.leaving(bounded(m.settings.Limits.HeaderBytes, mux)))
}

func (m *machine) peersHandler() http.Handler {
	calls := teaselv1.NewPeerServiceServer(peerServer{
		machine: m,
	})
	return m.keyed(header.InternalKey, m.settings.PeerKey, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.InternalServer) != "" {
			m.dispatcher.ServePeer(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	}))
}

// bearerPrefix begins the Authorization header of operators' calls.
const bearerPrefix = "Bearer "

func (m *machine) operatorsHandler() http.Handler {
	calls := &operator.Server{
		Keeper:   m.keeper,
		Roster:   m.roster,
		Slots:    m.slots,
		LoadView: m.view,
		Lookup:   m.lookups,
		Events:   m.events,
		Started:  m.started,
		Ready:    m.ready,
	}
	mux := http.NewServeMux()
	path, handler := teaselv1connect.NewOperatorServiceHandler(calls, connect.WithCompressMinBytes(minCompressed))
	mux.Handle(path, m.keyed("Authorization", bearerPrefix+m.settings.OperatorKey, handler))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !m.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteJSONOnce(m.metrics, w)
	})
	return mux
}

// keyed lets calls through whose header holds a key, compared in constant time.
func (m *machine) keyed(name, key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(name)), []byte(key)) != 1 {
			http.Error(w, "not run: the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
