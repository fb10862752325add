package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/document"
)

// Fault is what is wrong with a backend server. The zero value is a sound one.
type Fault struct {
	// AffectedRequests is how many requests the fault strikes; 0 is all until the next
	// fault is set.
	AffectedRequests int `json:"requests"`
	// Shed refuses requests before running them, as a server does that drains.
	Shed bool `json:"shed"`
	// Hang runs requests and never answers them.
	Hang bool `json:"hang"`
	// ResponseMismatch answers with another request's id and mark.
	ResponseMismatch bool `json:"crossed"`
	// Truncated breaks off answers before their end.
	Truncated bool `json:"short"`
	// ResponseDelay holds answers back.
	ResponseDelay document.Duration `json:"late"`
	// ColdTime makes work ColdFactor times as long for a while.
	ColdTime document.Duration `json:"cold"`
	// Unhealthy fails probes, Load is reported in place of the true one.
	Unhealthy    bool   `json:"unhealthy"`
	ReportedLoad *int64 `json:"load"`
	// LoadLag is how old the reported load is.
	LoadLag document.Duration `json:"load-lag"`
}

// ColdFactor is how much longer work takes on a cold backend server.
const ColdFactor = 4

// downTime is how long a crashed backend server takes to come back.
const downTime = 2 * time.Second

// strike returns the fault that a request meets, and counts it off.
func (s *Server) strike() Fault {
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

// current returns the fault without counting it off.
func (s *Server) current() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces what is wrong with the server.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.ColdTime > 0 {
		s.coldUntil = time.Now().Add(time.Duration(fault.ColdTime))
	}
}

// cold reports whether work takes longer now.
func (s *Server) cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.coldUntil)
}

// reportedLoad returns the load that the server tells, true or not.
func (s *Server) reportedLoad() int64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.ReportedLoad != nil {
		return *s.fault.ReportedLoad
	}
	if s.fault.LoadLag == 0 || now.Sub(s.sampledAt) >= time.Duration(s.fault.LoadLag) {
		s.sampledAt = now
		s.sampled = s.inFlight.Load()
	}
	return s.sampled
}

// SetFault replaces what is wrong with a server, "" for all servers.
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

// Control serves GET /report, and PUT /faults?server=NAME with a Fault as JSON.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
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
