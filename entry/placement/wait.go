package placement

import (
	"time"
)

// maxWait is the longest wait of a server that this entry keeps. Servers may state a long one by
// mistake; if all servers of a service do, the service is away for as long.
const maxWait = 2 * time.Minute

// setWait records that a server wants no request from this entry for some time.
func (f *Fleet) setWait(server *serverRecord, wait time.Duration) {
	until := time.Now().Add(min(wait, maxWait))
	if until.After(server.waitUntil) {
		server.waitUntil, server.waitStatedAt = until, time.Now()
		f.notify(server, StateWaiting, "statement")
	}
}

// roomIn returns the time until the first server of an order wants requests again, if all of
// them want none now, and 0 otherwise.
func roomIn(ranked []*serverRecord, now time.Time) time.Duration {
	var first time.Duration
	for _, server := range ranked {
		left := server.waitUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
