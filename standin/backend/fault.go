package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/document"
)

// Fault is the set of faults injected into a backend server. The zero value
// injects none.
type Fault struct {
	// AffectedRequests is the number of requests, including those that are shed, after
	// which the fault ends. If it is 0, the fault lasts until the next one is set.
	AffectedRequests int `json:"requests"`
	// Shed refuses requests before running them, as a draining server does.
	Shed bool `json:"shed"`
	// Hang starts requests and never responds to them.
	Hang bool `json:"hang"`
	// ResponseMismatch responds with the ID and the tag of another request.
	ResponseMismatch bool `json:"crossed"`
	// Truncated closes the connection in the middle of the response.
	Truncated bool `json:"short"`
	// ResponseDelay is added to the time that each request takes.
	ResponseDelay document.Duration `json:"late"`
	// ColdTime is how long the server stays cold after the fault is set, even if the
	// fault ends earlier. See ColdFactor.
	ColdTime document.Duration `json:"cold"`
	// Unhealthy fails health probes.
	Unhealthy bool `json:"unhealthy"`
	// ReportedLoad, if set, is reported instead of the number of requests in
	// flight.
	ReportedLoad *int64 `json:"load"`
	// LoadLag is how long the server reports one sample of its load before it takes
	// another.
	LoadLag document.Duration `json:"load-lag"`
}

// ColdFactor is the factor by which work takes longer on a cold backend server.
const ColdFactor = 4

// restartDelay is the time between the crash and the restart of a backend server.
const restartDelay = 2 * time.Second

// takeFault returns the fault for one request, and ends the fault after
// AffectedRequests of them.
func (s *Server) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if s.fault.AffectedRequests > 0 {
		s.fault.AffectedRequests--
		if s.fault.AffectedRequests == 0 {
			s.fault = Fault{}
		}
	}
	return fault
}

// currentFault returns the fault in force, without counting a request against
// AffectedRequests.
func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the faults injected into the server.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.ColdTime > 0 {
		s.coldUntil = time.Now().Add(time.Duration(fault.ColdTime))
	}
}

// isCold reports whether work currently takes ColdFactor times as long.
func (s *Server) isCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.coldUntil)
}

// reportedLoad returns the load to report: Fault.ReportedLoad if it is set, or else
// the number of requests in flight, sampled at most Fault.LoadLag ago.
func (s *Server) reportedLoad() int64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.ReportedLoad != nil {
		return *s.fault.ReportedLoad
	}
	if s.fault.LoadLag == 0 || now.Sub(s.sampledAt) >= time.Duration(s.fault.LoadLag) {
		s.sampledAt = now
		s.sampledLoad = s.inFlight.Load()
	}
	return s.sampledLoad
}

// SetFault replaces the faults injected into the server with the given name, or
// into all servers if name is empty.
func (f *Fleet) SetFault(name string, fault Fault) error {
	found := false
	for _, server := range f.servers {
		if name == "" || server.Name == name {
			server.SetFault(fault)
			found = true
		}
	}
	if !found {
		return errors.Errorf("no backend server %q", name)
	}
	return nil
}

// ControlHandler returns the handler with which a test run reads and controls the
// fleet: GET /report returns the Report, and PUT /faults?server=NAME sets the Fault
// in the body, both as JSON. Without a name it sets the fault of all servers.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		// A write fails only if the test run has disconnected.
		_ = json.NewEncoder(w).Encode(f.Report())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		err := json.NewDecoder(r.Body).Decode(&fault)
		if err == nil {
			err = f.SetFault(r.URL.Query().Get("server"), fault)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}
