package main

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
)

// backend is a backend server, which may crash and start again under its id.
type backend struct {
	id      string
	service string
	zone    string
	addr    string
	slots   int
	// work is how long a request runs.
	work time.Duration
	// coldTime is how long the backend is cold after a start during traffic.
	coldTime time.Duration
	// failShare is the share of requests that fail after they have run, with status 503 and the
	// stamp, and without the header that says that they have not run.
	failShare float64
	// onRun, if not nil, is called with each request that begins to run.
	onRun  func(r *http.Request)
	record *record
	store  *store

	// group starts goroutines, for which nothing waits.
	group sync.WaitGroup

	mu         sync.Mutex
	server     *http.Server
	born       int64
	sequence   int
	draining   bool
	registered bool
	coldUntil  time.Time
	running    int
	waiting    int
	slotTokens chan struct{}
	// coldArrivals holds when requests arrived while the backend was cold.
	coldArrivals []time.Time
	// startedAt is when the backend last started.
	startedAt time.Time
}

// heartbeat is the interval at which a backend writes its registration.
const heartbeat = 1500 * time.Millisecond

// start starts the backend on its address, and registers it. cold says that it starts during traffic.
func (b *backend) start(cold bool) error {
	listener, err := net.Listen("tcp4", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.startedAt = time.Now()
	b.born = b.startedAt.UnixMilli()
	b.sequence, b.draining, b.registered, b.running, b.waiting = 0, false, false, 0, 0
	b.slotTokens = make(chan struct{}, b.slots)
	if cold {
		b.coldUntil = b.startedAt.Add(b.coldTime)
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(server, w, r) })
	b.server = server
	b.mu.Unlock()
	b.record.line("backend %s started, cold: %v", b.id, cold)
	b.group.Go(func() { _ = server.Serve(listener) })
	b.group.Go(func() { b.beat(server) })
	return nil
}

// beat registers the backend at each heartbeat until it ends. A write that fails because the store
// is away is made again soon: the entries of live backends are back within two seconds of its return.
func (b *backend) beat(server *http.Server) {
	for {
		pause := heartbeat
		b.mu.Lock()
		if b.server != server {
			b.mu.Unlock()
			return
		}
		if b.store.away() {
			pause = 200 * time.Millisecond
		} else {
			b.register()
		}
		b.mu.Unlock()
		time.Sleep(pause)
	}
}

// register writes the registration. The caller must hold b.mu.
func (b *backend) register() {
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	coldLeft := max(0, time.Until(b.coldUntil).Milliseconds())
	if !b.registered {
		b.record.line("backend %s registers as %s, cold for %d ms", b.id, state, coldLeft)
		b.registered = true
	}
	b.store.put("servers", b.id, fmt.Appendf(nil, `{"addr":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_left":"%dms"},"born":%d}`,
		b.addr, b.service, b.zone, b.slots, state, b.sequence, coldLeft, b.born))
}

// crash ends the backend and breaks its connections.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	b.record.line("backend %s crashed", b.id)
}

// serve answers a request.
func (b *backend) serve(server *http.Server, w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	if b.server != server {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	cold := max(0, time.Until(b.coldUntil))
	b.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Teaselstack-Instance-Id", b.id)
		w.Header().Set("X-Teaselstack-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	id := r.Header.Get("X-Teaselstack-Request-Id")
	w.Header().Set("X-Teaselstack-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if target := r.Header.Get("X-Teaselstack-Target-Instance"); target != "" && target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !b.admit(w, id, cold > 0) {
		w.Header().Set("X-Teaselstack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.run(r.Context(), w, r, id, cold > 0)
}

// admit counts a request that arrives, and reports whether there is room for it.
func (b *backend) admit(w http.ResponseWriter, id string, cold bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("X-Teaselstack-Backend-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
	if cold {
		b.coldArrivals = append(b.coldArrivals, time.Now())
		b.record.line("request %s reaches %s, which is cold", id, b.id)
	}
	if b.running+b.waiting >= 4*b.slots {
		return false
	}
	b.waiting++
	return true
}

// run runs a request once there is a slot for it.
func (b *backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, cold bool) {
	deadline, err := strconv.Atoi(r.Header.Get("X-Teaselstack-Deadline-Ms"))
	if err != nil {
		deadline = 10_000
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
	defer cancel()
	b.mu.Lock()
	tokens := b.slotTokens
	b.mu.Unlock()
	select {
	case tokens <- struct{}{}:
	case <-ctx.Done():
		b.count(-1, 0)
		w.Header().Set("X-Teaselstack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-tokens }()
	b.count(-1, 1)
	defer b.count(0, -1)
	work := b.work
	if cold {
		work *= 2
	}
	if b.onRun != nil {
		b.onRun(r)
	}
	w.Header().Set("X-Teaselstack-Response-Stamp", b.id)
	select {
	case <-time.After(work):
		if rand.Float64() < b.failShare {
			b.record.line("request %s has run on %s, which fails it with 503", id, b.id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "the answer to "+id)
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// count adds to the numbers of waiting and running requests.
func (b *backend) count(waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = max(0, b.waiting+waiting)
	b.running = max(0, b.running+running)
}

// mostColdArrivals returns the largest number of requests that arrived within a second while the
// backend was cold, and when that second began.
func (b *backend) mostColdArrivals() (most int, from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for first, at := range b.coldArrivals {
		count := 0
		for _, later := range b.coldArrivals[first:] {
			if later.Sub(at) < time.Second {
				count++
			}
		}
		if count > most {
			most, from = count, at
		}
	}
	return most, from
}
