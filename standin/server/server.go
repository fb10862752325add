// Package server implements backend servers that register themselves in the
// platform's store, for tests of entries that run with the option --platform. A server
// has slots and a short queue, reports its load, echoes the request ID, refuses
// requests addressed to another server, and counts the requests that it ran. Package
// backend implements the backend servers that intents declare.
package server

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// RunRecorder counts the runs of all servers by request ID, keeps which requests arrived and
// when their last run ended, and descriptions of the runs that started too late in a drain.
type RunRecorder struct {
	mu         sync.Mutex
	runs       map[string]int
	arrived    map[string]bool
	began      map[string]time.Time
	ended      map[string]time.Time
	lateStarts []string
}

// Arrived reports whether a request arrived at any server, even if it did not run.
func (r *RunRecorder) Arrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[id]
}

// Began returns when the first run of a request began, the zero time if none did.
func (r *RunRecorder) Began(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.began[id]
}

// Ended returns when the last run of a request ended, the zero time if none did.
func (r *RunRecorder) Ended(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[id]
}

// recordArrival records that a request arrived.
func (r *RunRecorder) recordArrival(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived == nil {
		r.arrived = make(map[string]bool)
	}
	r.arrived[id] = true
}

// recordEnd records that a run of a request ended now.
func (r *RunRecorder) recordEnd(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		r.ended = make(map[string]time.Time)
	}
	r.ended[id] = time.Now()
}

// Runs returns the number of times that a request ran.
func (r *RunRecorder) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// LateStarts returns descriptions of the runs that started more than
// Server.DrainTime after the start of their server's drain.
func (r *RunRecorder) LateStarts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateStarts
}

// recordRun counts a run of a request.
func (r *RunRecorder) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]int)
		r.began = make(map[string]time.Time)
	}
	if r.runs[id]++; r.runs[id] == 1 {
		r.began[id] = time.Now()
	}
}

// recordLateStart keeps the description of a run that started too late.
func (r *RunRecorder) recordLateStart(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateStarts = append(r.lateStarts, description)
}

// Fault is the set of faults injected into a server. The zero value injects none.
type Fault struct {
	// LostResponseShare is the share of requests, from 0 to 1, whose connection is
	// closed without a response after they ran.
	LostResponseShare float64
	// Slowdown is the factor by which work takes longer. Values below 1 count as 1.
	Slowdown float64
	// ShedShare is the share of requests, from 0 to 1, that are refused without
	// running.
	ShedShare float64
	// RepeatedResponseShare is the share of requests, from 0 to 1, whose response is sent a
	// second time on the same connection, after up to maxRepeatDelay.
	RepeatedResponseShare float64
	// EndlessShare is the share of requests, from 0 to 1, that are answered with bytes without
	// end, in a header or in a body, until the connection is closed.
	EndlessShare float64
}

// Statement is what a server states about itself in its responses. The fields hold values of
// headers, valid or not; "" leaves the header out.
type Statement struct {
	// Limit is the number of requests per second that the server takes from all entries.
	Limit string
	// Leaving is "1" for a server that is shutting down.
	Leaving string
	// Wait is for how many seconds the server wants no request from an entry. If it is set, the
	// server refuses all requests.
	Wait string
}

// LongPath is the end of the paths whose responses have bodies of LongBodyBytes bytes.
const (
	LongPath      = "/long"
	LongBodyBytes = 1 << 20
)

// maxRepeatDelay is the longest time until a response is sent a second time. It is longer than
// a connection is mostly idle.
const maxRepeatDelay = 60 * time.Millisecond

// Server is one backend server. The exported fields must be set before Start.
type Server struct {
	// ID is the key of the registration in the store.
	ID            string
	Service       string
	FailureDomain string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// WorkTime is the time that each request runs without Fault.Slowdown, unless Work is set.
	WorkTime time.Duration
	// Work, if not nil, returns the time that a request runs.
	Work func(id string) time.Duration
	// Address is the registered address, that of a Proxy if there is one.
	Address string
	// DrainTime is how long after the start of its drain the server may still start
	// requests.
	DrainTime time.Duration
	// Recorder records the runs of requests.
	Recorder *RunRecorder
	// Store holds the registration.
	Store *store.Server

	mu        sync.Mutex
	fault     Fault
	statement Statement
	// deadly and crashed are set by SetDeadly.
	deadly  func(*http.Request) bool
	crashed func()
	// arrivals holds when requests arrived since the last SetStatement.
	arrivals []time.Time
	// startUnixMS identifies the incarnation: the time of the last Start.
	startUnixMS int64
	// sequence is the number of registrations written by this incarnation, and state that of the
	// last one.
	sequence int
	state    string
	// drainingSince is when the drain started, or the zero time if the server is not
	// draining.
	drainingSince time.Time
	// running is the number of requests that occupy a slot, and waiting the number of
	// admitted requests that wait for one.
	running int
	waiting int
	// slotTokens is a semaphore that holds one element for each occupied slot.
	slotTokens chan struct{}
	// httpServer serves the listener of the last Start. It is nil while the server is
	// crashed.
	httpServer *http.Server
	// group waits for the goroutine that serves the listener.
	group sync.WaitGroup
	// handlers waits for the handlers in flight. Handlers are added with mu held and only
	// while the server is not crashed.
	handlers sync.WaitGroup
}

// maxQueuedPerSlot is the maximum number of waiting requests for each slot.
const maxQueuedPerSlot = 3

// Start serves on a listener and registers the server as ready, with a new
// incarnation.
func (s *Server) Start(listener net.Listener) {
	s.mu.Lock()
	s.slotTokens = make(chan struct{}, s.Slots)
	s.startUnixMS = time.Now().UnixMilli()
	s.sequence = 0
	s.drainingSince = time.Time{}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginHandler(server) {
			panic(http.ErrAbortHandler)
		}
		defer s.handlers.Done()
		s.serve(w, r)
	})
	s.httpServer = server
	s.mu.Unlock()
	s.group.Go(func() {
		// Serve returns an error when Crash closes the listener, as intended.
		_ = server.Serve(listener)
	})
	s.register("ready")
}

// beginHandler adds a handler of an http.Server to those that Crash waits for. It returns
// false if that http.Server has crashed.
func (s *Server) beginHandler(server *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != server {
		return false
	}
	s.handlers.Add(1)
	return true
}

// Crash stops the server immediately, breaks all connections and waits for the handlers
// in flight, which end because their connections are broken. The registration stays. On
// a server that is already crashed, it does nothing.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	// Close, unlike Shutdown, breaks the requests in flight, as a crash does.
	_ = server.Close()
	s.group.Wait()
	s.handlers.Wait()
}

// Drain registers the server as draining. The server continues to serve requests, also
// after its drain time.
func (s *Server) Drain() {
	s.register("draining")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince = time.Now()
}

// Deregister removes the registration.
func (s *Server) Deregister() { s.Store.RemoveRow(platform.ServerTable, s.ID) }

// RegisterAgain writes the registration again with the present state, as after the store's
// return from a copy. A server that has crashed writes nothing.
func (s *Server) RegisterAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		s.writeRegistration()
	}
}

// SetFault replaces the injected faults.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDeadly makes those requests crash the server, once it begins to run them, for which deadly
// returns true. The server calls crashed before its connections break.
func (s *Server) SetDeadly(deadly func(*http.Request) bool, crashed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly, s.crashed = deadly, crashed
}

// SetStatement replaces what the server states about itself, and forgets the requests that
// have arrived.
func (s *Server) SetStatement(statement Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statement, s.arrivals = statement, nil
}

// Arrivals returns when requests arrived since the last SetStatement, in their order.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// arrive records the arrival of a request, sets the headers with which the server states
// something about itself, and returns whether it refuses the request because of that.
func (s *Server) arrive(header http.Header) (refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	for name, value := range map[string]string{
		"Server-Limit":   s.statement.Limit,
		"Server-Leaving": s.statement.Leaving,
		"Retry-After":    s.statement.Wait,
	} {
		if value != "" {
			header.Set(name, value)
		}
	}
	return s.statement.Wait != ""
}

// register writes the registration with a state and the next sequence number.
func (s *Server) register(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.writeRegistration()
}

// writeRegistration writes the registration with the next sequence number. The caller must hold
// s.mu.
func (s *Server) writeRegistration() {
	s.sequence++
	s.Store.PutRow(platform.ServerTable, s.ID, fmt.Appendf(nil, `{"addr":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_left":"0ms"},"born":%d}`,
		s.Address, s.Service, s.FailureDomain, s.Slots, s.state, s.sequence, s.startUnixMS))
}

// HealthPath is the path of health checks.
const HealthPath = "/healthz"

// serveHealth answers a health check. The server is never cold.
func (s *Server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(platform.HeaderNames.InstanceID, s.ID)
	w.Header().Set(platform.HeaderNames.ColdMS, "0")
	if s.state == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve answers one request. A request for another server gets status 421. One that
// is not run, because it is not admitted or has no ID or because its deadline passes
// while it waits, gets 503. One whose deadline passes while it runs gets 504.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Load, s.loadHeader())
	if r.URL.Path == HealthPath {
		s.serveHealth(w)
		return
	}
	if target := r.Header.Get(names.TargetServer); target != "" && target != s.ID {
		w.Header().Set(names.InstanceID, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.Recorder.recordArrival(id)
	if s.arrive(w.Header()) {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fault, admitted := s.admit()
	if !admitted || id == "" {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), parseTimeout(r.Header.Get(names.DeadlineMS)))
	defer cancel()
	ran, crashed := s.runInSlot(ctx, r, fault)
	switch {
	case crashed:
		panic(http.ErrAbortHandler)
	case !ran:
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case ctx.Err() != nil:
		w.Header().Set(names.ResponseStamp, s.ID)
		w.WriteHeader(http.StatusGatewayTimeout)
	case rand.Float64() < fault.LostResponseShare:
		panic(http.ErrAbortHandler)
	case rand.Float64() < fault.EndlessShare:
		s.sendEndless(w, id)
	case rand.Float64() < fault.RepeatedResponseShare:
		s.sendTwice(w, id)
	case strings.HasSuffix(r.URL.Path, LongPath):
		w.Header().Set(names.ResponseStamp, s.ID)
		// The error is ignored: a caller that has disconnected needs no response.
		_, _ = w.Write(make([]byte, LongBodyBytes))
	default:
		w.Header().Set(names.ResponseStamp, s.ID)
		// The error is ignored: a caller that has disconnected needs no response.
		_, _ = io.WriteString(w, ResponseBody(id))
	}
}

// sendTwice sends the response to a request, and again after a while. Requests that arrive on
// the connection meanwhile get no response.
func (s *Server) sendTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	body := ResponseBody(id)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderNames.RequestID, id, platform.HeaderNames.ResponseStamp, s.ID, len(body), body)
	for range 2 {
		// An error says that the entry has closed the connection.
		_, _ = io.WriteString(conn, response)
		time.Sleep(rand.N(maxRepeatDelay))
	}
}

// sendEndless sends bytes without end, until the connection is closed: a header without the
// empty line behind it, or the body of a response that belongs to no request.
func (s *Server) sendEndless(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	begin := "HTTP/1.1 200 OK\r\n"
	if rand.IntN(2) == 0 {
		begin += fmt.Sprintf("%s: not-%s\r\n\r\n", platform.HeaderNames.RequestID, id)
	}
	_, err = io.WriteString(conn, begin)
	filler := make([]byte, 4<<10)
	for i := range filler {
		filler[i] = 'x'
	}
	for err == nil {
		_, err = conn.Write(filler)
	}
}

// ResponseBody returns the body of the response to the request with an ID.
func ResponseBody(id string) string { return "the answer to " + id }

// parseTimeout returns the time left for a request, given in milliseconds by the
// value of the deadline header, or one minute if that is missing or not a number.
func parseTimeout(text string) time.Duration {
	value, err := strconv.Atoi(text)
	if err != nil {
		return time.Minute
	}
	return time.Duration(value) * time.Millisecond
}

// loadHeader returns the value of the load header: the numbers of running requests,
// of waiting requests and of slots, separated by commas.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
}

// admit decides whether a request is admitted: it is if a slot or a place in the queue
// is free, unless it falls within Fault.ShedShare. An admitted request counts as
// waiting. admit also returns the fault in force.
func (s *Server) admit() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= (1+maxQueuedPerSlot)*s.Slots || rand.Float64() < s.fault.ShedShare {
		return s.fault, false
	}
	s.waiting++
	return s.fault, true
}

// runInSlot waits for a slot, records the run and simulates the work of a request
// until the work or ctx is done. ran is false if ctx was done before a slot was free;
// crashed reports whether the request has crashed the server.
func (s *Server) runInSlot(ctx context.Context, r *http.Request, fault Fault) (ran, crashed bool) {
	id := r.Header.Get(platform.HeaderNames.RequestID)
	select {
	case s.slotTokens <- struct{}{}:
	case <-ctx.Done():
		s.addCounts(-1, 0)
		return false, false
	}
	defer func() { <-s.slotTokens }()
	s.addCounts(-1, 1)
	defer s.addCounts(0, -1)
	s.mu.Lock()
	drainingSince, deadly := s.drainingSince, s.deadly
	s.mu.Unlock()
	s.Recorder.recordRun(id)
	if !drainingSince.IsZero() && time.Since(drainingSince) > s.DrainTime {
		s.Recorder.recordLateStart(fmt.Sprintf("%s at %s, %s after the start of its drain", id, s.ID, time.Since(drainingSince)))
	}
	if deadly != nil && deadly(r) {
		s.crashByRequest()
		return true, true
	}
	workTime := s.WorkTime
	if s.Work != nil {
		workTime = s.Work(id)
	}
	work := time.NewTimer(time.Duration(float64(workTime) * max(1, fault.Slowdown)))
	defer work.Stop()
	defer s.Recorder.recordEnd(id)
	select {
	case <-work.C:
	case <-ctx.Done():
	}
	return true, false
}

// crashByRequest is like Crash for a request that the server runs: it does not wait for the
// handlers in flight.
func (s *Server) crashByRequest() {
	s.mu.Lock()
	server, crashed := s.httpServer, s.crashed
	s.httpServer = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	crashed()
	// Close, unlike Shutdown, breaks the requests in flight, as a crash does.
	_ = server.Close()
}

// addCounts adds to the numbers of waiting and running requests.
func (s *Server) addCounts(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
}
