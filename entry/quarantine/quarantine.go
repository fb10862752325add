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
//
// Where callers are known, a request is up to three suspects, see Request: what only one
// caller's requests do is held against that caller alone.
package quarantine

import (
	"encoding/hex"
	"math"
	"slices"
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
	// OneCaller reports whether the suspect is a request as one caller sends it.
	OneCaller bool
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
	// unanswered holds the runs passed to RecordUnanswered, oldest first.
	unanswered []unansweredRun
	// active holds the suspect that this entry currently runs on each backend server,
	// by the server passed to Admit, with the digest of its content.
	active map[string]activeSuspect
}

// suspect is a request that was in flight when a backend server failed.
type suspect struct {
	service string
	// oneCaller reports whether the suspect is a request as one caller sends it, if this entry
	// recorded any of the failures itself.
	oneCaller bool
	// content is the digest of the request's content if oneCaller is set.
	content Digest
	// failures holds the last failure of each backend server, by the server passed to
	// RecordFailure.
	failures map[string]*failure
	// survived holds the times of those failures that were none, since the server went on
	// running, or that a peer's success cleared, by the server.
	survived map[string]time.Time
	// seenHere reports whether this entry recorded any of the failures itself.
	seenHere bool
	// quarantinedAt is the time of the failure by which the request was last quarantined,
	// zero if it never was. quarantinedSince is when that was recorded here first since the
	// request was last cleared.
	quarantinedAt    time.Time
	quarantinedSince time.Time
	// confirmedAt is when a peer last told that the request is quarantined, and that its failures
	// have no cause in common.
	confirmedAt time.Time
	// lastSuccess is when a run of the request last succeeded. clearedAt is when a success was
	// last recorded here behind failures, which then no longer counted.
	lastSuccess time.Time
	clearedAt   time.Time
	// inTrial reports whether a call of BeginTrial has yet to be followed by one of EndTrial.
	// trialAt is the earliest time of the next one.
	inTrial bool
	trialAt time.Time
	// sends is the number of messages in which the suspect was sent since it last changed, and
	// quarantineSends that of those in which it was sent as quarantined.
	sends           int
	quarantineSends int
	early           earlyTrial
}

// failure is the failure of a backend server.
type failure struct {
	at time.Time
	// senders holds hashes of those whose requests the server ran, at most maxFailureSenders,
	// and nothing if they are not known, see Request.sender.
	senders []uint32
	// failureDomain is a hash of the server's failure domain, 0 if it is not known.
	failureDomain uint32
}

// activeSuspect is the suspect that this entry currently runs on a backend server.
type activeSuspect struct {
	digest Digest
	// requests is the number of this entry's requests with the digest in flight at the
	// server.
	requests int
}

// unansweredRun is a run of a request that got no answer from a backend server.
type unansweredRun struct {
	run     Run
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
	// maxSuspects is the maximum number of suspects in a list that are not quarantined, and
	// maxQuarantined that of those that are, see evict.
	maxSuspects    = 1024
	maxQuarantined = 4096
	// maxFailureSenders is the maximum number of senders that are known of a failure.
	maxFailureSenders = 4
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
	l.addFailure(digest, service, server, &failure{
		at: time.Now(),
	}, false)
}

// RecordUnanswered records that a run got no answer from its backend server before the
// request's deadline, or before its caller left. If the server ends soon, as
// CheckUnanswered finds out from running, that counts as a failure at that time.
func (l *List) RecordUnanswered(run Run, running func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unanswered) >= maxUnanswered {
		l.unanswered = l.unanswered[len(l.unanswered)-maxUnanswered+1:]
	}
	l.unanswered = append(l.unanswered, unansweredRun{
		run:     run,
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
		l.addRun(run.run)
	}
}

// addFailure records the failure of a backend server. The caller must hold the lock.
func (l *List) addFailure(digest Digest, service, server string, f *failure, fromPeer bool) *suspect {
	s := l.addSuspect(digest)
	s.service = service
	s.seenHere = s.seenHere || !fromPeer
	wasQuarantined := l.quarantined(s)
	survived := s.survived[server]
	recorded := s.failures[server]
	isNew := recorded == nil || isNewEvent(f.at, recorded.at) || !fromPeer && !survived.IsZero() && f.at.After(survived)
	if isNew {
		s.failures[server], s.sends = f, 0
	} else {
		recorded.addSenders(f.senders)
	}
	count := s.recentFailures(time.Now())
	if count >= l.failureLimit() && isNewEvent(f.at, s.quarantinedAt) {
		s.quarantinedAt = f.at
	}
	quarantined := !wasQuarantined && l.quarantined(s)
	if quarantined {
		s.quarantinedSince = time.Now()
	}
	if l.OnFailure != nil && (!fromPeer || quarantined || isNew && s.seenHere) {
		l.OnFailure(Failure{
			Digest:      digest,
			Service:     service,
			Server:      server,
			FromPeer:    fromPeer,
			Count:       count,
			Quarantined: quarantined,
			OneCaller:   s.oneCaller,
			SeenHere:    s.seenHere,
		})
	}
	return s
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
			failures: make(map[string]*failure),
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

// evict makes room for another suspect in a full list. It removes the expired ones and, if the
// list is still full, one of those with the lowest weight, the one whose last failure is oldest.
// A quarantined one goes only if there are maxQuarantined. The caller must hold the lock.
func (l *List) evict() {
	if len(l.suspects) < maxSuspects {
		return
	}
	now := time.Now()
	var candidate Digest
	lowest, oldestAge := math.MaxInt, time.Duration(0)
	quarantined := 0
	for digest, s := range l.suspects {
		age := now.Sub(s.lastFailure())
		if age > FailureLifetime {
			delete(l.suspects, digest)
			continue
		}
		weight := l.weight(s)
		if weight >= l.failureLimit() {
			quarantined++
		}
		if weight < lowest || weight == lowest && age >= oldestAge {
			candidate, lowest, oldestAge = digest, weight, age
		}
	}
	if len(l.suspects)-quarantined >= maxSuspects || quarantined >= maxQuarantined {
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
	s.early = earlyTrial{}
	if weight == 0 || l.weight(s) > 0 {
		return
	}
	s.clearedAt, s.sends = time.Now(), 0
	if (s.seenHere || wasQuarantined) && l.OnCleared != nil {
		l.OnCleared(digest)
	}
}

// lastFailure returns the time of the last failure of any backend server.
func (s *suspect) lastFailure() time.Time {
	last := s.quarantinedAt
	for _, f := range s.failures {
		if f.at.After(last) {
			last = f.at
		}
	}
	return last
}

// recentFailures returns how many backend servers failed within FailureLifetime
// and after the last success of the suspect.
func (s *suspect) recentFailures(now time.Time) int {
	count := 0
	for server, f := range s.failures {
		if s.counts(server) && now.Sub(f.at) < FailureLifetime {
			count++
		}
	}
	return count
}

// counts reports whether the failure of a server is later than the last success, and the server
// has not survived it.
func (s *suspect) counts(server string) bool {
	at := s.failures[server].at
	return at.After(s.lastSuccess) && at.After(s.survived[server])
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
func (l *List) Admit(request Request, server string) (release func(), allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.ContainsFunc(request.levels(), func(digest Digest) bool { return l.failureCount(digest) > 0 }) {
		return func() {}, true
	}
	current := l.active[server]
	if current.requests > 0 && current.digest != request.Content {
		return nil, false
	}
	if l.active == nil {
		l.active = make(map[string]activeSuspect)
	}
	l.active[server] = activeSuspect{
		digest:   request.Content,
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
