package store

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/platform"
)

// Outage says how the platform is down.
type Outage string

// Kinds of outage.
const (
	// OutageNone is a platform that serves.
	OutageNone Outage = ""
	// OutageRefuse answers every call with an error at once.
	OutageRefuse Outage = "refuse"
	// OutageHang answers no call until the outage is over.
	OutageHang Outage = "hang"
	// OutageDrop never answers a call that comes during the outage.
	OutageDrop Outage = "drop"
)

// Fault is what is wrong with the platform. The zero value is a sound one.
type Fault struct {
	Outage Outage `json:"outage"`
	// Delay is added to each call.
	Delay document.Duration `json:"delay"`
	// LostResponses is how many writes take effect without an answer.
	LostResponses int `json:"lost-answers"`
	// LateWriteDelay is how much later writes whose answers are lost take effect.
	LateWriteDelay document.Duration `json:"late-writes"`
	// RefusedAddresses are IP addresses whose calls are refused.
	RefusedAddresses []string `json:"turned-away"`
	// VMListLag is how old the list of VMs is.
	VMListLag document.Duration `json:"machines-lag"`
}

const (
	// writesPerSecond and readsPerSecond are what the platform is good for.
	writesPerSecond = 500
	readsPerSecond  = 2000
	// burst is how many calls pass at once.
	burst = 100
)

// faults holds the fault in force.
type faults struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	// lists are the lists of VMs, oldest first.
	lists []list

	writes *rate.Limiter
	reads  *rate.Limiter
}

// list is the list of VMs as it stood from a time on.
type list struct {
	since    time.Time
	machines []platform.VM
}

func newFaults() *faults {
	return &faults{
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(writesPerSecond, burst),
		reads:   rate.NewLimiter(readsPerSecond, burst),
	}
}

// SetFault replaces what is wrong with the platform.
func (s *Server) SetFault(fault Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.fault = fault
	close(s.faults.changed)
	s.faults.changed = make(chan struct{})
}

// SetVMs replaces the list of VMs; it shows after the lag.
func (s *Server) SetVMs(machines []platform.VM) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.lists = append(s.faults.lists, list{
		since:    time.Now(),
		machines: machines,
	})
}

// machines returns the list of VMs as it stood a lag ago.
func (f *faults) machines() []platform.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	shown := []platform.VM{}
	for _, each := range f.lists {
		if time.Since(each.since) >= time.Duration(f.fault.VMListLag) {
			shown = each.machines
		}
	}
	return shown
}

func (f *faults) current() (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.changed
}

// loses reports whether the answer to a write is to be lost, and counts it off.
func (f *faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LostResponses == 0 {
		return false
	}
	f.fault.LostResponses--
	return true
}

// admit waits out delays and outages. It returns a status other than 200 for a
// call that is refused, and an error for one whose client has gone.
func (f *faults) admit(ctx context.Context, caller string, write bool) (int, error) {
	limiter := f.reads
	if write {
		limiter = f.writes
	}
	if !limiter.Allow() {
		return http.StatusTooManyRequests, nil
	}
	for {
		fault, changed := f.current()
		if fault.Outage == OutageRefuse || slices.Contains(fault.RefusedAddresses, caller) {
			return http.StatusServiceUnavailable, nil
		}
		if fault.Outage == OutageDrop {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		if fault.Outage == OutageNone {
			return http.StatusOK, wait(ctx, time.Duration(fault.Delay))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func wait(ctx context.Context, span time.Duration) error {
	if span == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Control serves PUT /faults with a Fault and PUT /machines with the list of
// VMs, both as JSON.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(fault)
	})
	mux.HandleFunc("PUT /machines", func(w http.ResponseWriter, r *http.Request) {
		var machines []platform.VM
		if err := json.NewDecoder(r.Body).Decode(&machines); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetVMs(machines)
	})
	return mux
}
