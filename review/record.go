package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that reached a backend server.
type arrival struct {
	At     time.Time
	ID     string
	Server string
	// From is the address of the machine that sent it.
	From    string
	Refused bool
	// Wait is the Retry-After of the refusal, and Limit the Server-Limit of the answer.
	Wait  time.Duration
	Limit string
}

// record holds what was sent, answered and run.
type record struct {
	started time.Time

	mu       sync.Mutex
	file     *os.File
	writer   *bufio.Writer
	arrivals []arrival
	// runs holds the servers that ran a request, by its ID.
	runs map[string][]string
}

// newRecord returns a record that is written to a file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    file,
		writer:  bufio.NewWriter(file),
		runs:    make(map[string][]string),
	}, nil
}

// log writes a line.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// arrival records that a request reached a server.
func (r *record) arrival(a arrival) {
	if a.Refused {
		r.log("server %s refuses %s from %s, Retry-After %s", a.Server, a.ID, a.From, a.Wait.Round(10*time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// run records that a server begins to run a request.
func (r *record) run(id, server string) {
	r.log("server %s runs %s", server, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
}

// ranOn returns the servers that ran a request.
func (r *record) ranOn(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// allArrivals returns the requests that reached servers.
func (r *record) allArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// close writes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
