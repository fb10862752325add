package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// RetryBudget bounds how often requests are sent to a further server. The bound
// holds over all entries, so each takes a share: repeats in proportion to its
// own requests, and an equal part of the slack.
type RetryBudget struct {
	// Bounds returns the ratio, the slack and the window of the bound.
	Bounds func() (ratio, slack float64, window time.Duration)
	// EntryCount returns how many entries share the slack.
	EntryCount func() int

	mu       sync.Mutex
	services map[string]*usage
}

// budgetShare is the part of the bound that is used. The rest is for what the
// entries can't see of each other: repeats that are delayed on their way and
// arrive in a later window, and an entry that starts again and has forgotten
// those of its last window.
const budgetShare = 0.7

// usage counts the requests and repeats of one service.
type usage struct {
	requests []time.Time
	repeats  []time.Time
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.usage(service)
	used.requests = append(used.requests, time.Now())
}

// firstShare is the part of the budget that requests may use whose callers can
// still come again; the rest is for those that have been refused before.
const firstShare = 0.6

// TryRetry reports whether a request may be sent once more, and counts it if so.
func (b *RetryBudget) TryRetry(service string, returning bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.usage(service)
	if b.left(used, returning) < 1 {
		return false
	}
	used.repeats = append(used.repeats, time.Now())
	return true
}

// RetriesLeft returns how many repeats a service has left now.
func (b *RetryBudget) RetriesLeft(service string, returning bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, int(b.left(b.usage(service), returning)))
}

// left returns the repeats left. The caller holds the lock.
func (b *RetryBudget) left(used *usage, returning bool) float64 {
	ratio, slack, _ := b.Bounds()
	allowed := budgetShare * (ratio*float64(len(used.requests)) + slack/float64(max(1, b.EntryCount())))
	if !returning {
		allowed *= firstShare
	}
	return allowed - float64(len(used.repeats))
}

// Services returns the names of the services with requests or repeats.
func (b *RetryBudget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.services))
}

// usage returns a service's counts of the last window. The caller holds the
// lock.
func (b *RetryBudget) usage(service string) *usage {
	if b.services == nil {
		b.services = make(map[string]*usage)
	}
	used := b.services[service]
	if used == nil {
		used = &usage{}
		b.services[service] = used
	}
	_, _, window := b.Bounds()
	since := time.Now().Add(-window)
	used.requests = after(used.requests, since)
	used.repeats = after(used.repeats, since)
	return used
}

// after drops the times up to since from the front of a list.
func after(times []time.Time, since time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(since) {
		times = times[1:]
	}
	return times
}
