package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, in the order of the events.
type record struct {
	began time.Time

	mu     sync.Mutex
	events []event
}

// event is a line of the record.
type event struct {
	at     time.Time
	what   string
	who    string
	detail string
}

// add appends an event.
func (r *record) add(what, who, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{
		at:     time.Now(),
		what:   what,
		who:    who,
		detail: detail,
	})
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// since returns the seconds from the beginning of the record to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// save writes the record to a file.
func (r *record) save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := bufio.NewWriter(file)
	for _, each := range r.all() {
		if _, err := fmt.Fprintf(writer, "%9.3f %-8s %s %s\n", r.since(each.at), each.what, each.who, each.detail); err != nil {
			return err
		}
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return file.Close()
}
