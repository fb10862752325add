// Package backend serves backend servers that count what they run, so that a
// test can compare it with what callers were told.
package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
)

// Server is one backend server.
type Server struct {
	Name    string
	Address string
	Slots   int

	fleet    *Fleet
	inFlight atomic.Int64
}

// Fleet is all backend servers of a deployment. Its own handler reports.
type Fleet struct {
	servers []*Server

	mu     sync.Mutex
	report Report
}

// Report is what the fleet has run.
type Report struct {
	// Runs counts the runs of each idempotency key.
	Runs map[string]int `json:"runs"`
	// Requests counts all requests run.
	Requests int `json:"requests"`
	// OverSlots counts requests that found all slots of their server in use.
	OverSlots int `json:"over-slots"`
	// LastStart is when each backend server last began a request.
	LastStart map[string]time.Time `json:"last-start"`
}

// NewFleet returns the backend servers that documents name.
func NewFleet(documents []intent.Document) (*Fleet, error) {
	configuration, err := intent.Compile(1, documents)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{
		report: Report{
			Runs:      make(map[string]int),
			LastStart: make(map[string]time.Time),
		},
	}
	for _, service := range configuration.Services {
		for _, server := range service.BackendServers {
			fleet.servers = append(fleet.servers, &Server{
				Name:    server.Name,
				Address: server.Address,
				Slots:   server.Slots,
				fleet:   fleet,
			})
		}
	}
	return fleet, nil
}

// Servers returns all backend servers.
func (f *Fleet) Servers() []*Server {
	return f.servers
}

// ServeHTTP reports what the fleet has run.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(f.report)
}

func (f *Fleet) count(server *Server, key string, over bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report.Requests++
	f.report.LastStart[server.Name] = time.Now()
	if key != "" {
		f.report.Runs[key]++
	}
	if over {
		f.report.OverSlots++
	}
}

// healthPath is where probes go.
const healthPath = "/health"

// ServeHTTP runs one request: it reads the body, takes as long as the query
// says, and answers with as many bytes as asked.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set(header.Load, strconv.FormatInt(s.inFlight.Load(), 10))
		return
	}
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.fleet.count(s, r.Header.Get(header.IdempotencyKey), inFlight > int64(s.Slots))
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.Load, strconv.FormatInt(s.inFlight.Load(), 10))
	_ = json.NewEncoder(w).Encode(Answer{
		Server:   s.Name,
		Echo:     r.URL.Query().Get("echo"),
		Received: received,
	})
}

// Answer is a backend server's answer.
type Answer struct {
	Server string `json:"server"`
	// Echo is the request's own mark.
	Echo string `json:"echo"`
	// Received counts the bytes of the request's body.
	Received int64 `json:"received"`
}
