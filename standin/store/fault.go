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

// Outage says how the platform handles calls while it is unavailable.
type Outage string

// Kinds of outage.
const (
	// OutageNone serves calls.
	OutageNone Outage = ""
	// OutageRefuse answers every call immediately with status 503.
	OutageRefuse Outage = "refuse"
	// OutageHang holds calls until the outage ends and then serves them.
	OutageHang Outage = "hang"
	// OutageDrop never answers a call that arrives during the outage, not even
	// after it ends.
	OutageDrop Outage = "drop"
)

// Fault is the set of faults injected into the platform. The zero value injects
// none.
type Fault struct {
	Outage Outage `json:"outage"`
	// Delay is added to the latency of each call.
	Delay document.Duration `json:"delay"`
	// LostResponses is the number of writes, from the next one on, that take effect
	// but whose connection is closed without a response.
	LostResponses int `json:"lost-answers"`
	// LateWriteDelay is the time from the loss of a response until its write takes
	// effect. If it is 0, the write takes effect before the connection is closed.
	LateWriteDelay document.Duration `json:"late-writes"`
	// RefusedAddresses are the client IP addresses whose calls get status 503.
	RefusedAddresses []string `json:"turned-away"`
	// VMListLag is how long after SetVMs the platform begins to serve the new list.
	VMListLag document.Duration `json:"machines-lag"`
}

const (
	// writesPerSecond and readsPerSecond are the call rates that the platform
	// sustains; calls above them get status 429.
	writesPerSecond = 500
	readsPerSecond  = 2000
	// callBurst is the burst size of either rate limit, in calls.
	callBurst = 100
)

// faultState holds the fault in force, the history of the list of VMs and the rate
// limiters.
type faultState struct {
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced whenever the fault is replaced.
	changed chan struct{}
	// vmLists is the history of the list of VMs, oldest first.
	vmLists []vmList

	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

// vmList is one version of the list of VMs and the time when it was set.
type vmList struct {
	since time.Time
	vms   []platform.VM
}

func newFaultState() *faultState {
	return &faultState{
		changed:      make(chan struct{}),
		writeLimiter: rate.NewLimiter(writesPerSecond, callBurst),
		readLimiter:  rate.NewLimiter(readsPerSecond, callBurst),
	}
}

// SetFault replaces the injected faults.
func (s *Server) SetFault(fault Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.fault = fault
	close(s.faults.changed)
	s.faults.changed = make(chan struct{})
}

// SetVMs replaces the list of VMs. The new list is served once it is as old as
// Fault.VMListLag.
func (s *Server) SetVMs(vms []platform.VM) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.vmLists = append(s.faults.vmLists, vmList{
		since: time.Now(),
		vms:   vms,
	})
}

// visibleVMs returns the newest list of VMs that is at least as old as
// Fault.VMListLag.
func (f *faultState) visibleVMs() []platform.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	visible := []platform.VM{}
	for _, version := range f.vmLists {
		if time.Since(version.since) >= time.Duration(f.fault.VMListLag) {
			visible = version.vms
		}
	}
	return visible
}

// currentFault returns the fault in force and a channel that is closed when it is
// replaced.
func (f *faultState) currentFault() (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.changed
}

// takeLostResponse reports whether the response to the current write is to be
// lost, and if so counts down Fault.LostResponses.
func (f *faultState) takeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LostResponses == 0 {
		return false
	}
	f.fault.LostResponses--
	return true
}

// admit applies the rate limits, outages and delays to a call from the address
// clientIP; write says whether the call is a write or a read. It returns the status
// of a refusal, or 200 if the call is to be served, or an error if the client
// disconnects while the call waits.
func (f *faultState) admit(ctx context.Context, clientIP string, write bool) (int, error) {
	limiter := f.readLimiter
	if write {
		limiter = f.writeLimiter
	}
	if !limiter.Allow() {
		return http.StatusTooManyRequests, nil
	}
	for {
		fault, changed := f.currentFault()
		if fault.Outage == OutageRefuse || slices.Contains(fault.RefusedAddresses, clientIP) {
			return http.StatusServiceUnavailable, nil
		}
		if fault.Outage == OutageDrop {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		if fault.Outage == OutageNone {
			return http.StatusOK, sleep(ctx, time.Duration(fault.Delay))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// sleep waits for a duration. If ctx is done first, it returns the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ControlHandler returns the handler with which a test run controls the platform: PUT
// /faults sets the Fault in the body, and PUT /machines the list of VMs, both as
// JSON.
func (s *Server) ControlHandler() http.Handler {
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
		var vms []platform.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetVMs(vms)
	})
	return mux
}
