package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of the headers that requests and answers bear.
const (
	requestIDHeader = "X-Teaselstack-Request-Id"
	deadlineHeader  = "X-Teaselstack-Deadline-Ms"
	stampHeader     = "X-Teaselstack-Response-Stamp"
	targetHeader    = "X-Teaselstack-Target-Instance"
	loadHeader      = "X-Teaselstack-Backend-Load"
	notRunHeader    = "X-Teaselstack-Not-Executed"
	instanceHeader  = "X-Teaselstack-Instance-Id"
	// workHeader tells the stand-in for a backend server how long a request runs, in
	// milliseconds.
	workHeader = "Review-Work-Ms"
	// crashHeader marks a request that crashes each server that begins to run it.
	crashHeader = "Review-Crash"
)

const (
	// queuePerSlot is how many requests a server queues for each of its slots.
	queuePerSlot = 3
	// restartTime is how long a server that crashed is away.
	restartTime = 2 * time.Second
)

// backend is a stand-in for a backend server.
type backend struct {
	record  *record
	store   *store
	id      string
	service string
	zone    string
	address string
	slots   int

	mu     sync.Mutex
	born   int64
	seq    int64
	server *http.Server
	// listener is that of server, and off is closed when the server loses power.
	listener net.Listener
	off      chan struct{}
	// beatAt is when the registration was last written.
	beatAt  time.Time
	running int
	waiting int
	tokens  chan struct{}
	// refuseUntil is until when the server refuses each request with status 503, and says in
	// Retry-After for how long.
	refuseUntil time.Time
	// limit is the value of Server-Limit in all answers, "" for none.
	limit string
	// silent is true while the server does not write its registration.
	silent bool
	group  sync.WaitGroup
}

// start begins a new incarnation of the server, and registers it.
func (b *backend) start() error {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:     http.HandlerFunc(b.serve),
		IdleTimeout: 10 * time.Second,
	}
	b.mu.Lock()
	b.born, b.seq, b.running, b.waiting = time.Now().UnixMilli(), 0, 0, 0
	b.tokens = make(chan struct{}, b.slots)
	b.server, b.listener, b.off = server, listener, make(chan struct{})
	b.mu.Unlock()
	b.group.Go(func() { _ = server.Serve(listener) })
	b.register()
	return nil
}

// register writes the server's registration, unless the store is down or the server is
// silent.
func (b *backend) register() {
	b.mu.Lock()
	if b.silent || b.server == nil || b.store.isDown() {
		b.mu.Unlock()
		return
	}
	b.seq++
	b.beatAt = time.Now()
	value := fmt.Appendf(nil, `{"addr":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_left":"0ms"},"born":%d}`,
		b.address, b.service, b.zone, b.slots, b.seq, b.born)
	b.mu.Unlock()
	b.store.put("servers", b.id, value)
}

// heartbeat renews the registration until ctx is done.
func (b *backend) heartbeat(ctx context.Context) {
	for sleep(ctx, 1500*time.Millisecond) {
		b.register()
	}
}

// crash ends the server, with all its connections.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// describe sets the load header, and the headers by which the server states
// something about itself.
func (b *backend) describe(header http.Header) {
	header.Set(loadHeader, fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
	if b.limit != "" {
		header.Set("Server-Limit", b.limit)
	}
}

// serve answers one request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(instanceHeader, b.id)
		return
	}
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	if target := r.Header.Get(targetHeader); target != "" && target != b.id {
		w.Header().Set(instanceHeader, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	b.mu.Lock()
	off := b.off
	b.mu.Unlock()
	select {
	case <-off:
		silent(r)
	default:
	}
	b.mu.Lock()
	b.describe(w.Header())
	wait := time.Until(b.refuseUntil)
	full := b.running+b.waiting >= (1+queuePerSlot)*b.slots
	if wait > 0 || full || id == "" {
		b.mu.Unlock()
		if wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
		}
		b.record.arrival(arrival{
			At:      arrived,
			ID:      id,
			Server:  b.id,
			From:    from,
			Refused: true,
			Wait:    max(0, wait),
		})
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.waiting++
	tokens := b.tokens
	b.mu.Unlock()
	b.record.arrival(arrival{
		At:     arrived,
		ID:     id,
		Server: b.id,
		From:   from,
		Limit:  b.limit,
	})
	ctx, cancel := context.WithTimeout(r.Context(), milliseconds(r.Header.Get(deadlineHeader), time.Minute))
	defer cancel()
	select {
	case tokens <- struct{}{}:
		defer func() { <-tokens }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		b.count(-1, 0)
		b.record.log("server %s has not begun to run %s when its connection was closed or its deadline passed", b.id, id)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.count(-1, 1)
	defer b.count(0, -1)
	b.run(ctx, w, r, id, off)
}

// silent waits until the connection of a request is closed, and sends no answer.
func silent(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// run runs a request that has a slot.
func (b *backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, off chan struct{}) {
	b.record.run(id, b.id)
	if r.Header.Get(crashHeader) != "" {
		b.record.log("server %s runs %s and crashes", b.id, id)
		time.AfterFunc(restartTime, func() { _ = b.start() })
		b.crash()
		panic(http.ErrAbortHandler)
	}
	done := sleep(ctx, milliseconds(r.Header.Get(workHeader), 100*time.Millisecond))
	select {
	case <-off:
		silent(r)
	default:
	}
	switch {
	case r.Context().Err() != nil:
		b.record.log("server %s drops %s, whose connection was closed while it ran", b.id, id)
		panic(http.ErrAbortHandler)
	case !done:
		b.record.log("server %s ends %s at its deadline", b.id, id)
		w.Header().Set(stampHeader, b.id)
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.Header().Set(stampHeader, b.id)
		// A write fails only if the sender has left.
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// count adds to the numbers of waiting and running requests.
func (b *backend) count(waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += waiting
	b.running += running
}

// refuseFor makes the server refuse all requests for some time, or no longer.
func (b *backend) refuseFor(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuseUntil = time.Now().Add(duration)
}

// milliseconds parses a number of milliseconds.
func milliseconds(text string, fallback time.Duration) time.Duration {
	value, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return time.Duration(value) * time.Millisecond
}

// sleep waits for a duration, and returns false if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
