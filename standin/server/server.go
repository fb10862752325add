// Package server stands in for a backend server on a platform whose store holds
// the registrations: it has slots and a short queue, tells its load, echoes the
// request's ID, runs nothing that is meant for another, and counts what it ran.
package server

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// RunRecorder counts the runs of all servers by request ID.
type RunRecorder struct {
	mu   sync.Mutex
	runs map[string]int
	late []string
}

// Runs returns how often a request ran.
func (l *RunRecorder) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// LateStarts returns the runs that began too long after their server said that it
// leaves.
func (l *RunRecorder) LateStarts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *RunRecorder) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[id]++
}

func (l *RunRecorder) overdue(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = append(l.late, what)
}

// Faults is what is wrong with a server. The zero value is a sound one.
type Faults struct {
	// LostResponseShare is the share of the answers that are lost after their requests ran.
	LostResponseShare float64
	// Slowdown is how many times longer the work takes; 0 stands for once.
	Slowdown float64
	// ShedShare is the share of the requests that are turned away.
	ShedShare float64
}

// Server is one backend server.
type Server struct {
	ID            string
	Service       string
	FailureDomain string
	Slots         int
	WorkTime      time.Duration
	// Address is where callers reach it, a proxy's perhaps.
	Address string
	// DrainTime is how long after it said that it leaves it may get new work.
	DrainTime time.Duration
	Recorder  *RunRecorder
	Store     *store.Server

	mu       sync.Mutex
	faults   Faults
	born     int64
	sequence int
	draining time.Time
	running  int
	waiting  int
	free     chan struct{}
	http     *http.Server
	group    sync.WaitGroup
}

// queue is how many requests wait for a slot, in slots.
const queue = 3

// Start serves on a listener and registers the server.
func (s *Server) Start(listener net.Listener) {
	s.mu.Lock()
	s.free = make(chan struct{}, s.Slots)
	s.born = time.Now().UnixMilli()
	s.sequence = 0
	s.draining = time.Time{}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve),
	}
	server := s.http
	s.mu.Unlock()
	s.group.Go(func() {
		// The listener is closed by Crash, which is no failure.
		_ = server.Serve(listener)
	})
	s.register("ready")
}

// Crash ends the server at once; its registration stays.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	// What is in flight breaks off, as it does in a crash.
	_ = server.Close()
	s.group.Wait()
}

// Drain says that the server leaves; it serves on.
func (s *Server) Drain() {
	s.register("draining")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = time.Now()
}

// Deregister drops the registration.
func (s *Server) Deregister() { s.Store.RemoveRow(platform.ServerTable, s.ID) }

// SetFaults replaces what is wrong with the server.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) register(state string) {
	s.mu.Lock()
	s.sequence++
	value := fmt.Appendf(nil, `{"addr":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_left":"0ms"},"born":%d}`,
		s.Address, s.Service, s.FailureDomain, s.Slots, state, s.sequence, s.born)
	s.mu.Unlock()
	s.Store.PutRow(platform.ServerTable, s.ID, value)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Load, s.load())
	if target := r.Header.Get(names.TargetServer); target != "" && target != s.ID {
		w.Header().Set(names.InstanceID, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	faults, admitted := s.admit()
	if !admitted || id == "" {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r.Header.Get(names.DeadlineMS)))
	defer cancel()
	ran := s.run(ctx, id, faults)
	switch {
	case !ran:
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case ctx.Err() != nil:
		w.Header().Set(names.ResponseStamp, s.ID)
		w.WriteHeader(http.StatusGatewayTimeout)
	case rand.Float64() < faults.LostResponseShare:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(names.ResponseStamp, s.ID)
		// A caller that has left needs no answer.
		_, _ = io.WriteString(w, ResponseBody(id))
	}
}

// ResponseBody is the answer to a request.
func ResponseBody(id string) string { return "the answer to " + id }

func deadline(text string) time.Duration {
	value, err := strconv.Atoi(text)
	if err != nil {
		return time.Minute
	}
	return time.Duration(value) * time.Millisecond
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
}

// admit takes a request into the queue if there is room.
func (s *Server) admit() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= (1+queue)*s.Slots || rand.Float64() < s.faults.ShedShare {
		return s.faults, false
	}
	s.waiting++
	return s.faults, true
}

// run waits for a slot and works; false if the time was up before.
func (s *Server) run(ctx context.Context, id string, faults Faults) bool {
	select {
	case s.free <- struct{}{}:
	case <-ctx.Done():
		s.count(-1, 0)
		return false
	}
	defer func() { <-s.free }()
	s.count(-1, 1)
	defer s.count(0, -1)
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	s.Recorder.ran(id)
	if !draining.IsZero() && time.Since(draining) > s.DrainTime {
		s.Recorder.overdue(fmt.Sprintf("%s at %s, %s after it said that it leaves", id, s.ID, time.Since(draining)))
	}
	work := time.NewTimer(time.Duration(float64(s.WorkTime) * max(1, faults.Slowdown)))
	defer work.Stop()
	select {
	case <-work.C:
	case <-ctx.Done():
	}
	return true
}

func (s *Server) count(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
}
