package placement

import (
	"time"
)

// admitsCold reports whether a server is warmed up or, if it is cold, whether
// this entry may send it a request now.
func (f *Fleet) admitsCold(server *serverRecord, now time.Time) bool {
	if !now.Before(server.coldUntil) {
		return true
	}
	turn, open := f.coldTurn(server, now)
	return open && turn != server.lastColdTurn
}

// coldTurnLength is how long an entry's turn at a cold server lasts: as long as
// the window over which the rate limit applies.
const coldTurnLength = time.Second

// coldTurn returns the number of this entry's turn at a cold server and whether
// the turn is open now. Entries take turns by the wall clock, without exchanging
// messages, and each sends at most one request in its turn.
//
// A window of one second overlaps the turns that begin within a span of two, so
// turns begin at half of the limited rate, less one request for the turn that
// the window overlaps in part. Clock skew between entries shifts turns but adds
// none.
func (f *Fleet) coldTurn(server *serverRecord, now time.Time) (turn int64, open bool) {
	factor, limit := f.options.coldRateLimit()
	if service := f.serviceSettings[server.Service]; service != nil {
		limit += service.ColdRateLimit * factor
	}
	index, count := f.EntryPosition()
	cycle := time.Duration(float64(count) / max((limit-1)/2, minColdRate) * float64(time.Second))
	cycle = max(cycle, coldTurnLength)
	offset := cycle / time.Duration(count) * time.Duration(index)
	// Servers that become cold together have their turns at different times.
	offset += time.Duration(server.hash % uint64(cycle))
	elapsed := now.UnixNano() - int64(offset)
	return elapsed / int64(cycle), elapsed%int64(cycle) < int64(coldTurnLength)
}

// minColdRate is the least rate of turns at a cold server, in turns per second
// over all entries.
const minColdRate = 0.1
