// Package timeline records the events of an entry in a ring buffer. Events carry
// timestamps of a hybrid logical clock, so that those of several processes merge
// into one list in which each event comes after the events that caused it.
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

// Event is one event of a process. Its field names and those of Timestamp are part
// of the JSON output of teaselctl.
type Event struct {
	Time Timestamp
	// Entry is the name of the entry that recorded the event.
	Entry string
	// Sequence numbers the events of a process from 1.
	Sequence uint64
	// Kind is a kebab-case name such as slot-takeover.
	Kind string
	// Service, Server and Key identify what the event concerns. They are empty
	// where they don't apply.
	Service string
	Server  string
	Key     string
	// Version is a configuration version, or 0 where none applies.
	Version uint64
	// Detail is a description for operators.
	Detail string
}

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is the wall-clock part in nanoseconds since the Unix epoch.
	Wall int64
	// Logical orders readings with the same Wall.
	Logical uint32
}

// Compare returns -1, 0 or 1 if t is before, equal to or after other.
func (t Timestamp) Compare(other Timestamp) int {
	if order := cmp.Compare(t.Wall, other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(t.Logical, other.Logical)
}

// Clock is a hybrid logical clock, safe for concurrent use. The zero value is
// ready for use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a reading greater than every earlier one.
func (c *Clock) Now() Timestamp {
	return c.Observe(Timestamp{})
}

// MaxClockSkew is how far a peer's reading may be ahead of the local wall clock.
// Readings further ahead are ignored.
const MaxClockSkew = 2 * time.Second

// Observe returns a reading greater than the clock's earlier readings and than a
// peer's reading. It ignores the peer's reading if that is more than MaxClockSkew
// ahead of the local wall clock.
func (c *Clock) Observe(peer Timestamp) Timestamp {
	reading, _ := c.TryObserve(peer)
	return reading
}

// TryObserve does the same as Observe and also returns whether the peer's reading
// was accepted. Readings too far ahead are ignored so that one wrong clock doesn't
// advance the clocks of all other processes.
func (c *Clock) TryObserve(peer Timestamp) (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	accepted := peer.Wall-wall <= int64(MaxClockSkew)
	if !accepted {
		peer = Timestamp{}
	}
	return c.advance(peer, wall), accepted
}

// advance sets the clock to the next reading after its last one and a peer's, and
// returns it. The caller holds c.mu.
func (c *Clock) advance(peer Timestamp, wall int64) Timestamp {
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

// Ring is a ring buffer of the newest events of one process.
type Ring struct {
	clock *Clock
	entry string

	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event. Once the ring is full, the next event to
	// be recorded overwrites that one.
	next int
	// recorded is the number of events recorded so far.
	recorded uint64
	// lastRecorded holds the time at which RecordThrottled last recorded an event, by
	// the name passed to it.
	lastRecorded map[string]time.Time
}

// NewRing returns a ring that keeps the newest size events of an entry.
func NewRing(entry string, size int, clock *Clock) *Ring {
	return &Ring{
		clock:  clock,
		entry:  entry,
		events: make([]Event, 0, size),
	}
}

// Record adds an event and sets its Time, Entry and Sequence. A full ring drops its
// oldest event. A nil ring records nothing.
func (r *Ring) Record(event Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Time = r.clock.Now()
	event.Entry = r.entry
	r.recorded++
	event.Sequence = r.recorded
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

const (
	// throttleInterval is the minimum time between two events that RecordThrottled
	// records under the same name.
	throttleInterval = time.Minute
	// maxThrottledNames is the maximum number of names in Ring.lastRecorded. Once it
	// holds that many, it is emptied before the next throttled event is recorded.
	maxThrottledNames = 1024
)

// RecordThrottled records an event unless it recorded another under the same name
// less than throttleInterval ago. The name is chosen by the caller and isn't part of
// the event. A nil ring records nothing.
func (r *Ring) RecordThrottled(name string, event Event) {
	if r == nil || !r.allowThrottled(name) {
		return
	}
	r.Record(event)
}

// allowThrottled reports whether RecordThrottled may record an event under a name.
// If so, it stores the current time as that of the name's last event.
func (r *Ring) allowThrottled(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.lastRecorded[name]
	if known && time.Since(last) < throttleInterval {
		return false
	}
	if r.lastRecorded == nil || len(r.lastRecorded) >= maxThrottledNames {
		r.lastRecorded = make(map[string]time.Time)
	}
	r.lastRecorded[name] = time.Now()
	return true
}

// Filter selects events. Empty fields match every event.
type Filter struct {
	Key     string
	Service string
	Server  string
	Version uint64
	// Limit is the maximum number of events, or 0 for no maximum.
	Limit int
}

func (f Filter) matches(event Event) bool {
	return (f.Key == "" || f.Key == event.Key) &&
		(f.Service == "" || f.Service == event.Service) &&
		(f.Server == "" || f.Server == event.Server) &&
		(f.Version == 0 || f.Version == event.Version)
}

// Select returns the newest events that match a filter, oldest first, and the
// number of events that the ring has dropped so far.
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
	return selected, r.recorded - uint64(len(r.events))
}

// Merge merges the events of several processes in the order of their timestamps.
// Equal timestamps are ordered by entry, then by sequence.
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
