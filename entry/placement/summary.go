package placement

import (
	"maps"
	"slices"
	"time"
)

// Summary holds the numbers of the backend servers that a Fleet knows, overall and by
// state, and of the requests in flight at them. A server may be in several states.
type Summary struct {
	// Known is the number of all servers, including doubtful ones.
	Known    int
	Failing  int
	Cold     int
	Draining int
	// Limited, Leaving and Waiting count the servers that state a limit on the rate of requests,
	// that they are shutting down, or that they want no request for some time.
	Limited int
	Leaving int
	Waiting int
	// Unverified counts the servers at whose addresses other processes than the registered ones may
	// run.
	Unverified int
	// InFlight is the number of this entry's requests in flight at all servers.
	InFlight int
}

// Summary returns the current numbers.
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
		if f.cold(server, now) {
			sum.Cold++
		}
		if server.Draining {
			sum.Draining++
		}
		if server.limit.limited {
			sum.Limited++
		}
		if server.leaving.leaving {
			sum.Leaving++
		}
		if now.Before(server.waitUntil) {
			sum.Waiting++
		}
		if !server.verification.since.IsZero() {
			sum.Unverified++
		}
	}
	return sum
}

// InFlightCount is the number of this entry's requests in flight at one backend
// server.
type InFlightCount struct {
	ServerID string
	// Service is the name of the service that the server belongs to.
	Service  string
	Requests int
}

// InFlightByServer returns the number of this entry's requests in flight at each
// server that has any, ordered by server ID.
func (f *Fleet) InFlightByServer() []InFlightCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts []InFlightCount
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if server := f.servers[id]; server.inFlight > 0 {
			counts = append(counts, InFlightCount{
				ServerID: id,
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
