package placement

import (
	"time"
)

// registrationSettleTime is how long after the end of an evacuation the registrations show which
// servers of the failure domain have become cold before it. A server writes its registration about
// every heartbeat, and within two seconds of the return of the store, which may have been away
// until just before the end.
const registrationSettleTime = 2 * time.Second

// cold reports whether a server is cold, or may be without this entry knowing.
func (f *Fleet) cold(server *serverRecord, now time.Time) bool {
	return now.Before(server.coldUntil) || f.awaitsRegistration(server)
}

// awaitsRegistration reports whether a server is back from an evacuation and neither its
// registration nor its health has shown since whether it is cold.
func (f *Fleet) awaitsRegistration(server *serverRecord) bool {
	settled, returning := f.returning[server.FailureDomain]
	return returning && server.verification.healthAt.Before(settled.Add(-registrationSettleTime))
}

// ConfirmRegistrations records that the registrations passed to Update so far are those at a
// time.
func (f *Fleet) ConfirmRegistrations(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmRegistrations(at)
	for domain, settled := range f.returning {
		if !at.Before(settled) {
			delete(f.returning, domain)
		}
	}
}

// hasTurn reports whether the rate limit of cold servers lets this entry send a server a
// request now.
func (f *Fleet) hasTurn(server *serverRecord, now time.Time) bool {
	turn, open := f.coldTurn(server, now)
	return open && turn != server.lastColdTurn
}

// coldTurnLength is how long an entry's turn at a cold server lasts. It equals the
// window in which the rate limit counts requests.
const coldTurnLength = time.Second

// coldTurn returns the number of this entry's last turn at a cold server and whether
// the turn is still open. Entries take turns by the wall clock, without exchanging
// messages, and each sends at most one request per turn. The wall clock is read once, at
// the start, and the steady clock from then on: a clock that steps would add turns.
//
// A turn lasts one second, so a window of one second overlaps all turns that begin
// within a span of two seconds: at most 2r+1 turns if r begin per second. Turns
// therefore begin at the rate r = (limit-1)/2. Clock skew between entries shifts
// turns, but adds none.
func (f *Fleet) coldTurn(server *serverRecord, now time.Time) (turn int64, open bool) {
	factor, limit := f.options.coldRateLimit()
	if service := f.serviceSettings[server.Service]; service != nil {
		limit += service.ColdRateLimit * factor
	}
	index, count := f.EntryPosition()
	cycle := time.Duration(float64(count) / max((limit-1)/2, minColdTurnRate) * float64(time.Second))
	cycle = max(cycle, coldTurnLength)
	offset := cycle / time.Duration(count) * time.Duration(index)
	// Servers that become cold together have their turns at different times.
	offset += time.Duration(server.hash % uint64(cycle))
	elapsed := f.startedAt.UnixNano() + int64(now.Sub(f.startedAt)) - int64(offset)
	return elapsed / int64(cycle), elapsed%int64(cycle) < int64(coldTurnLength)
}

// minColdTurnRate is the minimum rate of turns at a cold server, in turns per second
// of all entries together.
const minColdTurnRate = 0.1
