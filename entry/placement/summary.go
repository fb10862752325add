package placement

import (
	"maps"
	"slices"
	"time"
)

// Summary counts what is known of the servers.
type Summary struct {
	Known    int
	Failing  int
	Cold     int
	Draining int
	// InFlight is how many requests of this entry they run or hold.
	InFlight int
}

// Summary counts what is known of the servers now.
func (f *Fleet) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var sum Summary
	for _, each := range f.servers {
		sum.Known++
		sum.InFlight += each.inFlight
		if f.failing(each, now) {
			sum.Failing++
		}
		if now.Before(each.coldUntil) {
			sum.Cold++
		}
		if each.Draining {
			sum.Draining++
		}
	}
	return sum
}

// ServerInFlight is a server with how many requests of this entry it runs or holds.
type ServerInFlight struct {
	Server   string
	Service  string
	Requests int
}

// InFlight returns the servers that run or hold requests of this entry, in the
// order of their IDs.
func (f *Fleet) InFlight() []ServerInFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var occupied []ServerInFlight
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if each := f.servers[id]; each.inFlight > 0 {
			occupied = append(occupied, ServerInFlight{
				Server:   id,
				Service:  each.Service,
				Requests: each.inFlight,
			})
		}
	}
	return occupied
}

// LongestRoundTrip returns the longest way to a region's servers and back that is
// known.
func (f *Fleet) LongestRoundTrip() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := time.Duration(0)
	for _, travel := range f.travel {
		longest = max(longest, travel)
	}
	return longest
}
