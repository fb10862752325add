// Package quarantine keeps a request that crashes every backend server that
// runs it from being retried on one server after the other. A request that was
// in flight when its backend server failed is a suspect. Two rules distinguish
// the cause of the failure from other requests in flight at the same time:
//
//   - a suspect that succeeds is cleared;
//   - an entry runs at most one suspect at a time on a backend server, since the
//     next failure of the server would otherwise count for both.
//
// A suspect that was in flight at the failures of two backend servers, or of
// FailureLimit if that is set, is quarantined: every entry refuses it, reporting
// that it was not run, for FailureLifetime from then on, apart from a trial, see
// BeginTrial. Entries exchange their suspects in the messages by which they detect each
// other's failures, heartbeats or datagrams.
package quarantine

import (
	"encoding/hex"
	"math"
	"sync"
	"time"
)

// Digest identifies the content of a request, without its idempotency key, so
// that a request that its caller sends again under a new key is recognised.
type Digest [16]byte

// String returns the first bytes of the digest in hexadecimal, enough to tell requests
// apart in a log.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Failure is the failure of a backend server that ran a request.
type Failure struct {
	Digest  Digest
	Service string
	// Server is the server that failed, as passed to RecordFailure.
	Server string
	// FromPeer reports whether another entry recorded the failure.
	FromPeer bool
	// Count is the number of servers whose failures now count for the request.
	Count int
	// Quarantined reports whether the request is refused from now on.
	Quarantined bool
	// SeenHere reports whether this entry recorded any failure for the request.
	SeenHere bool
}

// List holds the suspects that this entry has recorded or received from peers.
// The zero value is an empty list. Its methods may be called concurrently.
type List struct {
	// FailureLimit is the number of backend servers that may fail with a request
	// in flight before the request is refused; 0 means the default of two. A
	// higher limit is needed where requests of different callers have the same
	// digest, since independent failures are then counted for one suspect.
	FailureLimit int
	// OnFailure is called with each failure that this entry records, and with those of
	// peers by which a request becomes quarantined or for which this entry recorded another
	// failure. It may be nil. It must not call the list, whose lock is held.
	OnFailure func(Failure)
	// OnCleared is called when a success, or the survival of a server, clears a request that was
	// quarantined or that StoredSuspects returned. It may be nil. It must not call the list,
	// whose lock is held.
	OnCleared func(Digest)

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// unanswered holds the requests passed to RecordUnanswered, oldest first.
	unanswered []unansweredRun
	// active holds the suspect that this entry currently runs on each backend server,
	// by the server passed to Admit.
	active map[string]activeSuspect
}

// suspect is a request that was in flight when a backend server failed.
type suspect struct {
	service string
	// failures holds the time of the last failure of each backend server, by the server
	// passed to RecordFailure.
	failures map[string]time.Time
	// survived holds the times of those failures that were none, since the server went on
	// running, by the server.
	survived map[string]time.Time
	// seenHere reports whether this entry recorded any of the failures itself.
	seenHere bool
	// quarantinedAt is the time of the failure by which the request was last quarantined,
	// zero if it never was.
	quarantinedAt time.Time
	// lastSuccess is when a run of the request last succeeded. clearedAt is when a success was
	// last recorded here behind failures, which then no longer counted.
	lastSuccess time.Time
	clearedAt   time.Time
	// inTrial reports whether a call of BeginTrial has yet to be followed by one of EndTrial.
	// trialAt is the earliest time of the next one.
	inTrial bool
	trialAt time.Time
}

// activeSuspect is the suspect that this entry currently runs on a backend server.
type activeSuspect struct {
	digest Digest
	// requests is the number of this entry's requests with the digest in flight at the
	// server.
	requests int
}

// unansweredRun is a request that got no answer from a backend server.
type unansweredRun struct {
	digest  Digest
	service string
	server  string
	endedAt time.Time
	// running reports whether the server still runs.
	running func() bool
}

const (
	// defaultFailureLimit is the FailureLimit of a list that sets none.
	defaultFailureLimit = 2
	// FailureLifetime is how long the failure of a backend server counts.
	FailureLifetime = 10 * time.Minute
	// maxMessageDelay is an upper bound of the delay of a message between two
	// entries.
	maxMessageDelay = 5 * time.Second
	// maxSuspects is the maximum number of suspects in a list, see evict.
	maxSuspects = 512
	// unansweredLifetime is how long after a request ended without an answer the end of its
	// backend server counts as a failure. A server that ends in silence is missed after
	// three of its heartbeats, or later while the store is away.
	unansweredLifetime = 15 * time.Second
	// survivalTime is how long after a failure a server that has crashed is still registered at
	// most: three of its heartbeats, and the time to learn of it.
	survivalTime = 10 * time.Second
	// trialRetryDelay is the time between two attempts to begin the trial of a request, and
	// spentTrialDelay if there was one already: it may have ended well without the news arriving.
	trialRetryDelay = time.Second
	spentTrialDelay = 30 * time.Second
	// maxUnanswered is the maximum number of requests without an answer in a list.
	maxUnanswered = 512
)

// RecordFailure records that a request of a service was in flight when its
// backend server failed. Several failures of the same server count once; a name that
// contains the server's incarnation makes those of different incarnations count
// separately.
func (l *List) RecordFailure(digest Digest, service, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFailure(digest, service, server, time.Now(), false)
}

// RecordUnanswered records that a request of a service got no answer from a backend server
// before its deadline, or before its caller left. If the server ends soon, as
// CheckUnanswered finds out from running, that counts as a failure at that time.
func (l *List) RecordUnanswered(digest Digest, service, server string, running func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unanswered) >= maxUnanswered {
		l.unanswered = l.unanswered[len(l.unanswered)-maxUnanswered+1:]
	}
	l.unanswered = append(l.unanswered, unansweredRun{
		digest:  digest,
		service: service,
		server:  server,
		endedAt: time.Now(),
		running: running,
	})
}

// CheckUnanswered records the failures of the backend servers that have ended since a
// request got no answer from them. It is called when servers have come or gone.
func (l *List) CheckUnanswered() {
	l.mu.Lock()
	runs := l.unanswered
	l.unanswered = nil
	l.mu.Unlock()
	var undecided, ended []unansweredRun
	for _, run := range runs {
		switch {
		case time.Since(run.endedAt) > unansweredLifetime:
		case run.running():
			undecided = append(undecided, run)
		default:
			ended = append(ended, run)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(undecided, l.unanswered...)
	for _, run := range ended {
		l.addFailure(run.digest, run.service, run.server, time.Now(), false)
	}
}

// addFailure records the failure of a backend server at a time. The caller must
// hold the lock.
func (l *List) addFailure(digest Digest, service, server string, at time.Time, fromPeer bool) {
	s := l.addSuspect(digest)
	s.service = service
	s.seenHere = s.seenHere || !fromPeer
	wasQuarantined := l.quarantined(s)
	survived := s.survived[server]
	isNew := isNewEvent(at, s.failures[server]) || !fromPeer && !survived.IsZero() && at.After(survived)
	if isNew {
		s.failures[server] = at
	}
	count := s.recentFailures(time.Now())
	if count >= l.failureLimit() && isNewEvent(at, s.quarantinedAt) {
		s.quarantinedAt = at
	}
	quarantined := !wasQuarantined && l.quarantined(s)
	if l.OnFailure != nil && (!fromPeer || quarantined || isNew && s.seenHere) {
		l.OnFailure(Failure{
			Digest:      digest,
			Service:     service,
			Server:      server,
			FromPeer:    fromPeer,
			Count:       count,
			Quarantined: quarantined,
			SeenHere:    s.seenHere,
		})
	}
}

// addSuspect returns the suspect with a digest, a new one if there is none. The caller
// must hold the lock.
func (l *List) addSuspect(digest Digest) *suspect {
	if l.suspects == nil {
		l.suspects = make(map[Digest]*suspect)
	}
	s := l.suspects[digest]
	if s == nil {
		l.evict()
		s = &suspect{
			failures: make(map[string]time.Time),
			survived: make(map[string]time.Time),
		}
		l.suspects[digest] = s
	}
	return s
}

// isNewEvent reports whether the failure or success at a time is a later event than
// the recorded one. Times are sent to peers as ages, which don't include the delay
// of the message, so the time of one event gets later with each message, by at most
// maxMessageDelay.
func isNewEvent(at, recorded time.Time) bool {
	return at.Sub(recorded) > maxMessageDelay
}

// evict removes expired suspects and, if the list is still full, one of those with the
// lowest weight, the one whose last failure is oldest. The caller must hold the lock.
func (l *List) evict() {
	now := time.Now()
	var candidate Digest
	lowest, oldestAge := math.MaxInt, time.Duration(0)
	for digest, s := range l.suspects {
		age := now.Sub(s.lastFailure())
		if age > FailureLifetime {
			delete(l.suspects, digest)
			continue
		}
		if weight := l.weight(s); weight < lowest || weight == lowest && age >= oldestAge {
			candidate, lowest, oldestAge = digest, weight, age
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, candidate)
	}
}

// weight returns the number of servers that failed, up to the failure limit. That of a
// quarantined request is the limit. The caller must hold the lock.
func (l *List) weight(s *suspect) int {
	if l.quarantined(s) {
		return l.failureLimit()
	}
	return s.recentFailures(time.Now())
}

// quarantined reports whether a suspect is quarantined. The caller must hold the lock.
func (l *List) quarantined(s *suspect) bool {
	return s.quarantinedAt.After(s.lastSuccess) && time.Since(s.quarantinedAt) < FailureLifetime
}

// lastChange returns the time of the last failure, or of the success that cleared the suspect if
// that is later.
func (s *suspect) lastChange() time.Time {
	last := s.lastFailure()
	if s.clearedAt.After(last) {
		return s.clearedAt
	}
	return last
}

// setSuccess records that a run of a suspect succeeded at a time. The caller must hold the
// lock.
func (l *List) setSuccess(digest Digest, s *suspect, at time.Time) {
	weight, wasQuarantined := l.weight(s), l.quarantined(s)
	s.lastSuccess = at
	s.trialAt = time.Time{}
	if weight == 0 || l.weight(s) > 0 {
		return
	}
	s.clearedAt = time.Now()
	if (s.seenHere || wasQuarantined) && l.OnCleared != nil {
		l.OnCleared(digest)
	}
}

// lastFailure returns the time of the last failure of any backend server.
func (s *suspect) lastFailure() time.Time {
	last := s.quarantinedAt
	for _, at := range s.failures {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// recentFailures returns how many backend servers failed within FailureLifetime
// and after the last success of the suspect.
func (s *suspect) recentFailures(now time.Time) int {
	count := 0
	for server, at := range s.failures {
		if s.counts(server) && now.Sub(at) < FailureLifetime {
			count++
		}
	}
	return count
}

// counts reports whether the failure of a server is later than the last success, and the server
// has not survived it.
func (s *suspect) counts(server string) bool {
	at := s.failures[server]
	return at.After(s.lastSuccess) && at.After(s.survived[server])
}

// CheckSurvivors finds the failures that were none. A connection that breaks while a server runs a
// request counts as a failure of the server, but a server that has crashed is not registered any
// more after survivalTime, or as another incarnation. The registrations are those at asOf, and
// registered reports whether there is one of a server, as passed to RecordFailure. A quarantined
// request for which too few failures are left is cleared.
func (l *List) CheckSurvivors(asOf time.Time, registered func(server string) bool) {
	l.mu.Lock()
	candidates := make(map[string]bool)
	for _, s := range l.suspects {
		for server, at := range s.failures {
			if s.counts(server) && asOf.Sub(at) >= survivalTime {
				candidates[server] = false
			}
		}
	}
	l.mu.Unlock()
	for server := range candidates {
		candidates[server] = registered(server)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for digest, s := range l.suspects {
		l.applySurvivors(digest, s, asOf, candidates)
	}
}

// applySurvivors records which servers have survived their failures with a suspect. The caller must
// hold the lock.
func (l *List) applySurvivors(digest Digest, s *suspect, asOf time.Time, alive map[string]bool) {
	changed := false
	for server, at := range s.failures {
		if alive[server] && s.counts(server) && asOf.Sub(at) >= survivalTime {
			s.survived[server] = at
			changed = true
		}
	}
	if !changed {
		return
	}
	left := s.recentFailures(time.Now())
	switch limit := l.failureLimit(); {
	case left >= limit:
	case l.quarantined(s):
		l.setSuccess(digest, s, time.Now())
	case left == 0 && s.seenHere && l.OnCleared != nil:
		l.OnCleared(digest)
	}
}

// RecordSuccess records that a request succeeded. Its failures up to now no longer
// count.
func (l *List) RecordSuccess(digest Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[digest]; s != nil {
		l.setSuccess(digest, s, time.Now())
	}
}

// Quarantined reports whether a request is quarantined and must be refused.
func (l *List) Quarantined(digest Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[digest]
	return s != nil && l.quarantined(s)
}

// BeginTrial reports whether a quarantined request may be tried again now, because servers that
// are lost together seem to have failed with it. It waits until survivalTime after the last failure,
// since the failures that servers survived no longer count then. If it returns true, the caller must
// call EndTrial.
func (l *List) BeginTrial(digest Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[digest]
	now := time.Now()
	if s == nil || !l.quarantined(s) || s.inTrial || now.Before(s.trialAt) || now.Sub(s.lastFailure()) < survivalTime {
		return false
	}
	s.inTrial = true
	return true
}

// EndTrial ends what BeginTrial began. If spent is set, the request has had its trial.
func (l *List) EndTrial(digest Digest, spent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[digest]
	if s == nil {
		return
	}
	s.inTrial = false
	delay := trialRetryDelay
	if spent && l.quarantined(s) {
		delay = spentTrialDelay
	}
	s.trialAt = time.Now().Add(delay)
}

// failureLimit returns FailureLimit or its default.
func (l *List) failureLimit() int {
	if l.FailureLimit == 0 {
		return defaultFailureLimit
	}
	return l.FailureLimit
}

// failureCount returns the recentFailures of a request's suspect, or 0 if the request
// is no suspect. The caller must hold the lock.
func (l *List) failureCount(digest Digest) int {
	s := l.suspects[digest]
	if s == nil {
		return 0
	}
	return s.recentFailures(time.Now())
}

// Admit reports whether a request may run on a backend server now: this entry must
// not run a suspect there while it runs another one there. If the request may run, the
// caller must call release when the run ends.
func (l *List) Admit(digest Digest, server string) (release func(), allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failureCount(digest) == 0 {
		return func() {}, true
	}
	current := l.active[server]
	if current.requests > 0 && current.digest != digest {
		return nil, false
	}
	if l.active == nil {
		l.active = make(map[string]activeSuspect)
	}
	l.active[server] = activeSuspect{
		digest:   digest,
		requests: current.requests + 1,
	}
	return func() { l.endRun(server) }, true
}

// endRun ends a run of the server's active suspect.
func (l *List) endRun(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.active[server]
	current.requests--
	if current.requests == 0 {
		delete(l.active, server)
		return
	}
	l.active[server] = current
}
