// Package timeline records what an entry did and why, in bounded memory, under
// a hybrid logical clock, so that the events of all processes merge into one
// causal order.
//
// The clock is that of Kulkarni and others, "Logical Physical Clocks and
// Consistent Snapshots in Globally Distributed Databases" (2014).
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Event is one thing that a process did.
type Event struct {
	Time     Timestamp
	Entry    string
	Sequence uint64
	// Kind is a kebab-case name such as slot-takeover.
	Kind    string
	Service string
	Server  string
	Key     string
	// Version is a configuration version, 0 where none matters.
	Version uint64
	Detail  string
}

// Timestamp is one reading of the hybrid logical clock.
type Timestamp struct {
	Wall    int64
	Logical uint32
}

// Compare orders two readings.
func (t Timestamp) Compare(other Timestamp) int {
	if order := cmp.Compare(t.Wall, other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(t.Logical, other.Logical)
}

// Clock is a hybrid logical clock. The zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a reading above every earlier one.
func (c *Clock) Now() Timestamp {
	return c.Observe(Timestamp{})
}

// MaxClockSkew is how far a peer's clock may be ahead of the own before it is no
// longer followed.
const MaxClockSkew = 2 * time.Second

// Observe returns a reading above every earlier one and above a peer's, unless
// the peer's is more than MaxAhead ahead of the own wall clock.
func (c *Clock) Observe(peer Timestamp) Timestamp {
	reading, _ := c.TryObserve(peer)
	return reading
}

// TryObserve is Observe, and reports whether the peer's reading was followed: one
// clock that is far ahead must not carry all others with it.
func (c *Clock) TryObserve(peer Timestamp) (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	followed := peer.Wall-wall <= int64(MaxClockSkew)
	if !followed {
		peer = Timestamp{}
	}
	return c.above(peer, wall), followed
}

// above returns the reading after the last one and a peer's. The caller holds
// the lock.
func (c *Clock) above(peer Timestamp, wall int64) Timestamp {
	highest := c.last
	if peer.Compare(highest) > 0 {
		highest = peer
	}
	if wall > highest.Wall {
		c.last = Timestamp{
			Wall: wall,
		}
		return c.last
	}
	c.last = Timestamp{
		Wall:    highest.Wall,
		Logical: highest.Logical + 1,
	}
	return c.last
}

// Ring keeps the newest events of one process.
type Ring struct {
	clock *Clock
	entry string

	mu      sync.Mutex
	events  []Event
	next    int
	written uint64
	// once holds when an event that repeats was last recorded.
	once map[string]time.Time
}

// NewRing returns a ring that keeps up to size events of an entry.
func NewRing(entry string, size int, clock *Clock) *Ring {
	return &Ring{
		clock:  clock,
		entry:  entry,
		events: make([]Event, 0, size),
	}
}

// Record stamps an event and keeps it, dropping the oldest when full. A nil
// ring records nothing.
func (r *Ring) Record(event Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Time = r.clock.Now()
	event.Entry = r.entry
	r.written++
	event.Sequence = r.written
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// onceInterval is how often RecordOnce keeps an event of one name, and
// maxOnce how many names it remembers.
const (
	onceInterval = time.Minute
	maxOnce      = 1024
)

// RecordThrottled is Record for an event that repeats under a name: it is kept
// once a minute.
func (r *Ring) RecordThrottled(name string, event Event) {
	if r == nil || !r.due(name) {
		return
	}
	r.Record(event)
}

func (r *Ring) due(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.once[name]
	if known && time.Since(last) < onceInterval {
		return false
	}
	if r.once == nil || len(r.once) >= maxOnce {
		r.once = make(map[string]time.Time)
	}
	r.once[name] = time.Now()
	return true
}

// Filter selects events; empty fields match all.
type Filter struct {
	Key     string
	Service string
	Server  string
	Version uint64
	Limit   int
}

func (f Filter) matches(event Event) bool {
	return (f.Key == "" || f.Key == event.Key) &&
		(f.Service == "" || f.Service == event.Service) &&
		(f.Server == "" || f.Server == event.Server) &&
		(f.Version == 0 || f.Version == event.Version)
}

// Select returns the newest matching events, oldest first, and how many events
// the ring has dropped since it began.
func (r *Ring) Select(filter Filter) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if filter.matches(event) {
			selected = append(selected, event)
		}
	}
	if filter.Limit > 0 && len(selected) > filter.Limit {
		selected = selected[len(selected)-filter.Limit:]
	}
	return selected, r.written - uint64(len(r.events))
}

// Merge puts events of several processes into one causal order.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortFunc(merged, func(a, b Event) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		if order := cmp.Compare(a.Entry, b.Entry); order != 0 {
			return order
		}
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	return merged
}
