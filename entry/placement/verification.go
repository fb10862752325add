package placement

import (
	"math/rand/v2"
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

// A registration names one start of a server, its incarnation. Until the next start is registered
// and its registration read, requests may reach a process that the entry takes for the earlier one:
// it is cold, and bears few requests. Connections tell them apart, because each leads to one process
// only. So a server is unverified from a sign that its process may have ended until it is known which
// process runs. Meanwhile requests reach it on connections that were opened well before the sign. New
// connections are opened at the rate of a cold server.

// Sign says why another process may run at a server's address.
type Sign string

// Signs.
const (
	// SignRefused means that no connection could be opened.
	SignRefused Sign = "refused"
	// SignBroken means that a connection broke during an exchange.
	SignBroken Sign = "broken"
	// SignClosed means that an idle connection was closed earlier than the server had stated.
	SignClosed Sign = "closed"
	// SignSilent means that a request got no response by its deadline.
	SignSilent Sign = "silent"
	// signPeer means that another entry saw a sign.
	signPeer Sign = "peer"
	// signUnknown means that nothing has shown for some time which process runs: no
	// registrations were read, and the server has answered no request.
	signUnknown Sign = "unknown"
)

// verification is what an entry knows of the process that runs at a server's address.
type verification struct {
	// verifiedAt is a time at which the registered incarnation still ran, or the process stated
	// until when it is cold.
	verifiedAt time.Time
	// healthAt is when the server was last asked successfully until when it is cold.
	healthAt time.Time
	// since is when the last sign was seen; it is zero if the server is verified.
	since time.Time
	// openedBefore is the time before which connections were opened to the registered
	// incarnation, if the server is unverified.
	openedBefore time.Time
	// began is when the first sign was seen since the server was last verified, and renewedAt the
	// value that it had when the server was last verified without a connection from before. Such a
	// connection may lead nowhere, and its end shows nothing new.
	began     time.Time
	renewedAt time.Time
	// reachedAt is when a connection to the server was first opened after the last sign.
	reachedAt time.Time
	// signs is the number of signs that this entry has seen since began, with SignRefused counted as
	// minToldSigns. peerSince is when the last sign was seen that another entry reported.
	signs     int
	peerSince time.Time
	// checkAt is when the server's health is to be checked next; zero if it isn't.
	checkAt time.Time
}

const (
	// signDelay is the maximum time from the end of a process until this entry sees a sign of
	// it. Keep-alive probes find connections to a host that was restarted.
	signDelay = 2 * time.Second
	// checkSpacing is the mean time between two checks of one server's health by all entries
	// together, and minCheckInterval the minimum time between two by one entry.
	checkSpacing     = 50 * time.Millisecond
	minCheckInterval = time.Second
	// minToldSigns is the number of signs from which on other entries are told. A server that is
	// busy resets single connections, and the end of a process ends all.
	minToldSigns = 2
)

// unverified reports whether another process than the registered one may run at a server's
// address.
func (f *Fleet) unverified(server *serverRecord, now time.Time) bool {
	verification := &server.verification
	if verification.since.IsZero() {
		known := f.lastVerified(server)
		if lag := f.options.registrationLag(); lag == 0 || elapsed(known, now) <= lag || f.wouldShow(server, now) {
			return false
		}
		f.doubt(server, signUnknown, now)
		if verification.openedBefore = known; known.IsZero() {
			verification.openedBefore = f.startedAt
		}
		return true
	}
	// The process that was reached has run since then at least.
	settings := f.serviceSettings[server.Service]
	if settings != nil && settings.ColdStart > 0 && !verification.reachedAt.IsZero() && now.Sub(verification.reachedAt) >= settings.ColdStart {
		f.endDoubt(server, now, "time")
		return false
	}
	return true
}

// wouldShow reports whether the end of a server's process would show, though it answers no request of
// this entry: by an idle connection, or by a sign that another entry with requests there would see.
func (f *Fleet) wouldShow(server *serverRecord, now time.Time) bool {
	return f.peerReports.inFlight[server.wireHash()] > 0 ||
		f.options.connected(server.Incarnation(), server.verification.renewedAt, now)
}

// lastVerified returns the last time at which the registered incarnation of a server ran.
func (f *Fleet) lastVerified(server *serverRecord) time.Time {
	if f.registrationsCompleteAt.After(server.verification.verifiedAt) {
		return f.registrationsCompleteAt
	}
	return server.verification.verifiedAt
}

// elapsed returns the time from then to now. The monotonic clock stops while the VM is suspended,
// and the time of day may be set back.
func elapsed(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// doubt records a sign that was seen at a time.
func (f *Fleet) doubt(server *serverRecord, sign Sign, at time.Time) {
	verification := &server.verification
	if verification.since.IsZero() {
		verification.began, verification.openedBefore = at, at.Add(-signDelay)
		verification.checkAt, verification.signs = time.Time{}, 0
		f.notify(server, StateUnverified, string(sign))
	}
	verification.since, verification.reachedAt = at, time.Time{}
	switch sign {
	case SignRefused:
		verification.signs += minToldSigns
	case SignBroken, SignClosed, SignSilent:
		verification.signs++
	}
	f.scheduleCheck(server, rand.N(f.checkSpread()))
}

// endDoubt records that a server is verified as of a time.
func (f *Fleet) endDoubt(server *serverRecord, at time.Time, cause string) {
	verification := &server.verification
	if at.After(verification.verifiedAt) {
		verification.verifiedAt = at
	}
	if verification.since.IsZero() {
		return
	}
	verification.since = time.Time{}
	if cause != causeConnection {
		verification.renewedAt = verification.began
	}
	state := StateUp
	if time.Now().Before(server.coldUntil) {
		state = StateCold
	}
	f.notify(server, state, cause)
}

// causeConnection is the cause of a state of a server that a response on a connection from before
// has verified.
const causeConnection = "connection"

// SuspectRestart records a sign that another process may run at a server's address. An attempt that
// began before the server was last verified shows nothing new; began is the present time if the sign
// shows at once. openedAt is when the connection was opened that showed the sign, if there was one.
func (f *Fleet) SuspectRestart(server *routing.Server, sign Sign, began, openedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.record(server)
	if record == nil {
		return
	}
	verification := &record.verification
	if verification.since.IsZero() && began.Before(verification.verifiedAt) || !openedAt.IsZero() && openedAt.Before(verification.renewedAt) {
		return
	}
	f.doubt(record, sign, time.Now())
}

// ObserveConnection records that a connection to a server was opened.
func (f *Fleet) ObserveConnection(server *routing.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record := f.record(server); record != nil && record.verification.reachedAt.IsZero() {
		record.verification.reachedAt = time.Now()
	}
}

// ObserveAnswer records that a server answered a request that was sent at a time on a connection
// opened at another one. It verifies a server if the connection leads to the registered incarnation
// and the request was sent after the last sign.
func (f *Fleet) ObserveAnswer(server *routing.Server, openedAt, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.record(server)
	if record == nil {
		return
	}
	verification := &record.verification
	if verification.since.IsZero() || openedAt.Before(verification.openedBefore) && !sentAt.Before(verification.since) {
		f.endDoubt(record, sentAt, causeConnection)
	}
}

// ObserveHealth records the response to a health check of a server that was sent at a time on a new
// connection. The server can be reached again, so it ends an exclusion for want of a connection.
func (f *Fleet) ObserveHealth(server *routing.Server, sentAt time.Time, health routing.Health) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.record(server)
	switch {
	case record == nil || health.ServerID == "":
	case health.ServerID != server.ID:
		if record.detector.observe(SignalReplaced, time.Now()) {
			f.notify(record, StateFailing, "health")
		}
	case health.ColdKnown:
		record.detector.endUnreachable(time.Now())
		f.applyHealth(record, sentAt, health.ColdLeft)
	}
}

// applyHealth records how much longer a server is cold, as it stated at a time.
func (f *Fleet) applyHealth(server *serverRecord, at time.Time, coldLeft time.Duration) {
	if at.Before(server.verification.since) || at.Before(server.verification.healthAt) {
		return
	}
	now := time.Now()
	server.verification.healthAt = at
	if coldLeft > 0 || now.Before(server.coldUntil) {
		server.coldUntil = now.Add(coldLeft)
	}
	f.endDoubt(server, at, "health")
}

// UsableConnections returns when connections to a server must have been opened for requests to be
// sent on them: at a time or later, and before another one unless that is zero. New ones are not
// used in that case, unless the request takes a turn at a cold server.
func (f *Fleet) UsableConnections(server *routing.Server) (from, before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.record(server)
	if record == nil {
		return time.Time{}, time.Time{}
	}
	if f.unverified(record, time.Now()) {
		before = record.verification.openedBefore
	}
	return record.verification.renewedAt, before
}

// record returns the record of an incarnation of a server, or nil.
func (f *Fleet) record(server *routing.Server) *serverRecord {
	if record := f.servers[server.ID]; record != nil && record.Incarnation() == server.Incarnation() {
		return record
	}
	return nil
}

// takesTurn reports whether a request to a server uses up this entry's turn at a cold server: if the
// server is cold, or may be and there is no idle connection to the registered incarnation.
func (f *Fleet) takesTurn(server *serverRecord, now time.Time) bool {
	if f.cold(server, now) {
		return true
	}
	return f.unverified(server, now) && !f.options.connected(server.Incarnation(), server.verification.renewedAt, server.verification.openedBefore)
}

// confirmRegistrations records that the registrations are known as of a time. After an outage of the
// store, they are complete only when servers have had the time to register. It ends the doubts about
// servers that were reached so long ago that the process there would have registered.
func (f *Fleet) confirmRegistrations(at time.Time) {
	if lag := f.options.registrationLag(); lag > 0 && !f.registrationsAt.IsZero() && elapsed(f.registrationsAt, at) > lag {
		f.registrationsSettleAt = at.Add(registrationSettleTime)
	}
	f.registrationsAt = at
	if at.Before(f.registrationsSettleAt) {
		return
	}
	f.registrationsCompleteAt = at
	for _, server := range f.servers {
		reached := server.verification.reachedAt
		if !server.verification.since.IsZero() && !reached.IsZero() && !at.Before(reached.Add(registrationSettleTime)) {
			f.endDoubt(server, at, "registration")
		}
	}
}

// checkSpread returns the time over which all entries together spread one check each.
func (f *Fleet) checkSpread() time.Duration {
	_, count := f.EntryPosition()
	return time.Duration(max(1, count)) * checkSpacing
}

// scheduleCheck schedules a check of a server's health, unless one is due sooner.
func (f *Fleet) scheduleCheck(server *serverRecord, delay time.Duration) {
	if !server.verification.checkAt.IsZero() {
		return
	}
	server.verification.checkAt = time.Now().Add(delay)
	select {
	case f.checksChanged <- struct{}{}:
	default:
		// The last change has yet to be noticed.
	}
}

// checkDomain schedules checks of the servers of a failure domain.
func (f *Fleet) checkDomain(name string) {
	for _, server := range f.servers {
		if server.FailureDomain == name {
			f.scheduleCheck(server, rand.N(f.checkSpread()))
		}
	}
}

// ChecksChanged returns a channel that receives a value when DueChecks may return earlier checks.
func (f *Fleet) ChecksChanged() <-chan struct{} { return f.checksChanged }

// DueChecks returns the servers whose health is to be checked now, and schedules the next check of
// each. wait is the time until the next check of any server, or a negative one if there is none.
func (f *Fleet) DueChecks() (due []routing.Server, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	wait = -1
	for _, server := range f.servers {
		verification := &server.verification
		if verification.since.IsZero() && !f.awaitsRegistration(server) && !server.detector.excludedAsUnreachable(now) {
			verification.checkAt = time.Time{}
		}
		if verification.checkAt.IsZero() {
			continue
		}
		if !now.Before(verification.checkAt) {
			interval := max(minCheckInterval, f.checkSpread())
			verification.checkAt = now.Add(interval*3/4 + rand.N(interval/2))
			if f.checkable(server, now) {
				due = append(due, server.Server)
			}
		}
		if left := verification.checkAt.Sub(now); wait < 0 || left < wait {
			wait = left
		}
	}
	return due, wait
}

// checkable reports whether the health of a server may be checked, which it may while the server
// takes requests.
func (f *Fleet) checkable(server *serverRecord, now time.Time) bool {
	return !server.Draining && !server.leaving.leaving && !server.detector.replaced && !now.Before(server.waitUntil) &&
		!f.evacuated[server.FailureDomain]
}
