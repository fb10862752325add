package placement

import (
	"time"
)

// admitsCold reports whether a server is not cold, or this entry may send it a
// request now.
func (f *Fleet) admitsCold(each *server, now time.Time) bool {
	if !now.Before(each.coldUntil) {
		return true
	}
	turn, open := f.coldTurn(each, now)
	return open && turn != each.coldTurn
}

// coldSlot is how long an entry's turn at a cold server lasts: the span over
// which the bound is counted.
const coldSlot = time.Second

// coldTurn returns the number of this entry's turn at a cold server and whether
// it is open. Entries take turns by the time of day, without a message; each
// sends one request in its turn. Any second touches the turns that begin within
// two, so turns begin at half of the bounded rate, less one for the turn that is
// touched in part. Clocks that differ shift turns but do not add any.
func (f *Fleet) coldTurn(each *server, now time.Time) (turn int64, open bool) {
	factor, bound := f.options.coldBound()
	if service := f.settings[each.Service]; service != nil {
		bound += service.ColdRateLimit * factor
	}
	index, count := f.EntryPosition()
	cycle := time.Duration(float64(count) / max((bound-1)/2, minColdRate) * float64(time.Second))
	cycle = max(cycle, coldSlot)
	offset := cycle / time.Duration(count) * time.Duration(index)
	// Servers that turn cold together have their turns at different times.
	offset += time.Duration(each.hash % uint64(cycle))
	at := now.UnixNano() - int64(offset)
	return at / int64(cycle), at%int64(cycle) < int64(coldSlot)
}

// minColdRate is the least rate at which cold servers are tried, a second.
const minColdRate = 0.1
