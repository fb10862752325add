package placement

import (
	"maps"
	"slices"
	"time"
)

// Summary counts the registered backend servers, overall and by state. A server may
// be in several states.
type Summary struct {
	// Known is the number of all registered servers.
	Known    int
	Failing  int
	Cold     int
	Draining int
	// InFlight is the number of this entry's requests in flight at all servers.
	InFlight int
}

// Summary returns the current counts.
func (f *Fleet) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var sum Summary
	for _, server := range f.servers {
		sum.Known++
		sum.InFlight += server.inFlight
		if f.failing(server, now) {
			sum.Failing++
		}
		if now.Before(server.coldUntil) {
			sum.Cold++
		}
		if server.Draining {
			sum.Draining++
		}
	}
	return sum
}

// ServerInFlight is the number of this entry's requests in flight at one backend
// server.
type ServerInFlight struct {
	// Server is the ID of the server.
	Server string
	// Service is the name of its service.
	Service  string
	Requests int
}

// InFlightByServer returns the number of this entry's requests in flight at each
// server that has any, ordered by server ID.
func (f *Fleet) InFlightByServer() []ServerInFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts []ServerInFlight
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if server := f.servers[id]; server.inFlight > 0 {
			counts = append(counts, ServerInFlight{
				Server:   id,
				Service:  server.Service,
				Requests: server.inFlight,
			})
		}
	}
	return counts
}

// LongestRoundTrip returns the longest estimated round-trip time to any region's
// servers, or 0 if there is no estimate.
func (f *Fleet) LongestRoundTrip() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := time.Duration(0)
	for _, roundTrip := range f.roundTrips {
		longest = max(longest, roundTrip)
	}
	return longest
}
