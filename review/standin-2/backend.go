package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerID       = "X-Teaselstack-Request-Id"
	headerDeadline = "X-Teaselstack-Deadline-Ms"
	headerTarget   = "X-Teaselstack-Target-Instance"
	headerStamp    = "X-Teaselstack-Response-Stamp"
	headerLoad     = "X-Teaselstack-Backend-Load"
	headerNotRun   = "X-Teaselstack-Not-Executed"
	headerInstance = "X-Teaselstack-Instance-Id"
	headerLeaving  = "Server-Leaving"
)

const (
	// heartbeatInterval is the time between two registrations of a backend.
	heartbeatInterval = 1500 * time.Millisecond
	// queuePlaces is the number of requests that a backend queues.
	queuePlaces = 9
)

// backend is a stand-in for a backend server. It registers itself in the store, runs requests
// in its slots, echoes their IDs, and refuses those for another backend.
type backend struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// phase is when the backend's first heartbeat is due.
	phase time.Duration
	store *store
	log   *record

	mu sync.Mutex
	// leaving is true from the begin of the backend's planned shutdown. withdrawn is true if it
	// has then removed its registration.
	leaving   bool
	withdrawn bool
	// lostShare is the share of the requests that it runs whose answer is lost: the connection
	// breaks in its place.
	lostShare float64
	// earlyShare is the share of the uploads that it answers before it has read them.
	earlyShare float64
	// era is that of the store when the backend last wrote there.
	era      int
	sequence int
	born     int64
	running  int
	waiting  int
	freed    chan struct{}
	server   *http.Server
	stopped  chan struct{}
	group    sync.WaitGroup
}

// start serves and registers the backend as ready.
func (b *backend) start() error {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.born = time.Now().UnixMilli()
	b.freed, b.stopped = make(chan struct{}), make(chan struct{})
	b.server = &http.Server{
		Handler: http.HandlerFunc(b.serve),
	}
	b.group.Go(func() { _ = b.server.Serve(listener) })
	b.register()
	b.group.Go(b.keepRegistered)
	return nil
}

// stop ends the backend. Its registration stays as it is.
func (b *backend) stop() {
	close(b.stopped)
	_ = b.server.Close()
	b.group.Wait()
}

// register writes the registration.
func (b *backend) register() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	value := fmt.Appendf(nil, `{"addr":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_left":"0ms"},"born":%d}`,
		b.address, b.service, b.zone, b.slots, b.sequence, b.born)
	if _, era, err := b.store.write("servers", b.id, value); err == nil {
		b.era = era
	}
}

// keepRegistered sends heartbeats. Where the store has come back from a copy since the last
// one, it writes again what the backend has written: its registration, or the removal of it.
// The sequence number alone changes no row.
func (b *backend) keepRegistered() {
	timer := time.NewTimer(b.phase)
	defer timer.Stop()
	for {
		select {
		case <-b.stopped:
			return
		case <-timer.C:
			timer.Reset(heartbeatInterval)
		}
		era, exists, err := b.store.peek("servers", b.id)
		b.mu.Lock()
		lost, withdrawn := era > b.era, b.withdrawn
		b.mu.Unlock()
		switch {
		case err != nil:
		case withdrawn && exists:
			b.withdraw()
		case !withdrawn && (lost || !exists):
			b.register()
		}
	}
}

// withdraw removes the registration.
func (b *backend) withdraw() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = true
	if _, era, err := b.store.write("servers", b.id, nil); err == nil {
		b.era = era
	}
}

// leave begins a planned shutdown without a report of draining: the backend removes its
// registration, goes on serving, and says in each answer that it leaves.
func (b *backend) leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.withdraw()
	b.log.add("leaves", b.id, "")
}

// loseAnswers sets the share of the answers that are lost.
func (b *backend) loseAnswers(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostShare = share
}

// serve answers a request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	b.mu.Lock()
	if b.leaving {
		w.Header().Set(headerLeaving, "1")
	}
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
	b.mu.Unlock()
	if target := r.Header.Get(headerTarget); target != "" && target != b.id {
		w.Header().Set(headerInstance, b.id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	early := strings.HasPrefix(r.URL.Path, uploadPrefix) && rand.Float64() < b.earlyShare
	b.mu.Unlock()
	if early {
		b.rejectEarly(w, r, id)
		return
	}
	b.log.add("arrives", id, b.id)
	if !b.readBody(r, id) {
		panic(http.ErrAbortHandler)
	}
	deadline := time.Now().Add(time.Minute)
	if leftMS, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		deadline = time.Now().Add(time.Duration(leftMS) * time.Millisecond)
	}
	if id == "" || !b.takeSlot(r, deadline) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.freeSlot()
	b.log.add("runs", id, b.id+" "+b.service)
	timer := time.NewTimer(b.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-b.stopped:
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	lostShare := b.lostShare
	b.mu.Unlock()
	if rand.Float64() < lostShare {
		b.log.add("loses", id, b.id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerStamp, b.id+"."+id)
	// An error says that the entry has closed the connection.
	_, _ = io.WriteString(w, "the answer to "+id)
}

// takeSlot waits for a slot until the deadline, if the queue has a place, and reports whether
// it got one.
func (b *backend) takeSlot(r *http.Request, deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots && b.waiting >= queuePlaces {
		return false
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	b.waiting++
	defer func() { b.waiting-- }()
	for b.running >= b.slots {
		freed := b.freed
		b.mu.Unlock()
		expired := false
		select {
		case <-freed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		b.mu.Lock()
		if expired {
			return false
		}
	}
	b.running++
	return true
}

// freeSlot returns a slot.
func (b *backend) freeSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	close(b.freed)
	b.freed = make(chan struct{})
}
