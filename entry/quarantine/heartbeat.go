package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// maxSuspectsPerMessage is the maximum number of suspects in one message. Those sent least often
// come first, then those for which most servers failed, and those with as many failures in a
// random order, so that each is likely to be in one of several messages.
const maxSuspectsPerMessage = 32

const (
	// sentPerMessage is how many of these suspects are certain to fit into a datagram.
	sentPerMessage = 8
	// minSends is the number of messages in which a suspect is sent, after it has changed, before
	// those that have been sent as often. Otherwise, a few with most failures would take all the
	// room.
	minSends = 3
)

// HeartbeatExtension returns the functions that add suspects to heartbeats and merge
// those received.
func (l *List) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		FillRequest: func(_ *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
			request.Suspects = l.Suspects()
		},
		HandleRequest: func(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
			l.Merge(request.GetSuspects())
			response.Suspects = l.Suspects()
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			l.Merge(response.GetSuspects())
		},
	}
}

// Suspects returns up to maxSuspectsPerMessage suspects to send to a peer, without
// expired ones. Times are sent as ages, because the clocks of the entries may differ.
func (l *List) Suspects() []*teaselv1.Suspect {
	return l.selectSuspects(FailureLifetime, func(*suspect) bool { return true })
}

// RecentSuspects is like Suspects, but returns only suspects whose last failure, or the success
// that cleared them, was at most maxAge ago, and none that Quarantines returns. Both remove the
// expired suspects that they come across.
func (l *List) RecentSuspects(maxAge time.Duration) []*teaselv1.Suspect {
	return l.selectSuspects(maxAge, func(s *suspect) bool { return !l.toldAsQuarantine(s) })
}

// selectSuspects returns suspects to send to a peer, of those for which include returns true.
func (l *List) selectSuspects(maxAge time.Duration, include func(*suspect) bool) []*teaselv1.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var selected []Digest
	for digest, s := range l.suspects {
		switch {
		case now.Sub(s.lastFailure()) > FailureLifetime:
			delete(l.suspects, digest)
		case l.coveredByContent(s), !include(s):
		case now.Sub(l.lastNews(s)) <= maxAge:
			selected = append(selected, digest)
		}
	}
	// The order of the iteration, which is random, stays between equal ones.
	slices.SortStableFunc(selected, func(a, b Digest) int {
		first, second := l.suspects[a], l.suspects[b]
		return cmp.Or(first.sends/minSends-second.sends/minSends, l.urgency(second)-l.urgency(first))
	})
	for _, digest := range selected[:min(len(selected), sentPerMessage)] {
		l.suspects[digest].sends++
	}
	var messages []*teaselv1.Suspect
	for _, digest := range selected[:min(len(selected), maxSuspectsPerMessage)] {
		messages = append(messages, l.suspects[digest].encode(digest, now, l.failureLimit()))
	}
	return messages
}

// coveredByContent reports whether peers need not know of a suspect, a request as one caller sends
// it, because the same failures are known of its content whoever sends it. The caller must hold the
// lock.
func (l *List) coveredByContent(s *suspect) bool {
	failures := s.recentFailures(time.Now())
	return s.oneCaller && failures > 0 && l.failureCount(s.content) >= failures
}

// toldAsQuarantine reports whether Quarantines returns a suspect, so that peers need no more. The
// caller must hold the lock.
func (l *List) toldAsQuarantine(s *suspect) bool {
	return l.quarantined(s) && !l.doubtful(s)
}

// lastNews is like suspect.lastChange, but for a request as one caller sends it, it may also return
// when its content was cleared: from then on, the peers must know of it. The caller must hold the
// lock.
func (l *List) lastNews(s *suspect) time.Time {
	last := s.lastChange()
	if content := l.suspects[s.content]; s.oneCaller && content != nil && content.clearedAt.After(last) {
		return content.clearedAt
	}
	return last
}

// urgency returns how much earlier than others a suspect is sent to peers. That a suspect is
// cleared is as urgent as a first failure. Among those with as many failures, the peers need most
// what they can learn from this entry only, and what holds for all callers. The caller must hold
// the lock.
func (l *List) urgency(s *suspect) int {
	urgency := 4 * max(1, l.weight(s))
	if s.seenHere {
		urgency += 2
	}
	if !s.oneCaller {
		urgency++
	}
	return urgency
}

// encode returns the message that describes a suspect to a peer, with its latest failures
// up to a limit. More are not needed to quarantine it. Those that do not count are left out,
// unless that has changed lately: the ages in several messages can't tell whether a success was
// later than a failure.
func (s *suspect) encode(digest Digest, now time.Time, limit int) *teaselv1.Suspect {
	message := &teaselv1.Suspect{
		Digest:    digest[:],
		Service:   s.service,
		OneCaller: s.oneCaller,
	}
	latest := slices.SortedFunc(maps.Keys(s.failures), func(a, b string) int {
		return s.failures[b].at.Compare(s.failures[a].at)
	})
	for _, server := range latest[:min(len(latest), limit)] {
		f, cleared := s.failures[server], !s.counts(server)
		if cleared && now.Sub(s.clearedAt) > maxMessageDelay {
			continue
		}
		message.Breaks = append(message.Breaks, &teaselv1.SuspectBreak{
			Server:        server,
			AgeMs:         ageMilliseconds(now.Sub(f.at)),
			Senders:       f.senders,
			FailureDomain: f.failureDomain,
			Cleared:       cleared,
		})
	}
	if !s.lastSuccess.IsZero() {
		message.Finished = true
		message.FinishedAgeMs = ageMilliseconds(now.Sub(s.lastSuccess))
	}
	return message
}

const (
	// maxQuarantinesPerMessage is the maximum number of quarantined requests in a message.
	maxQuarantinesPerMessage = 8
	// maxStoredQuarantines and maxStoredSuspects are the maximum numbers of quarantined
	// requests and of suspects that an entry stores. A row of the store holds 64 KiB.
	maxStoredQuarantines = 1024
	maxStoredSuspects    = 64
)

// Quarantines returns up to maxQuarantinesPerMessage quarantined requests to send to a
// peer, those first that were sent least often, and in a random order. Unlike suspects, they
// are sent however long ago the last failure was, so that an entry that starts learns them. They
// are no longer sent shortly before they expire, because a message that arrives later would renew
// them. Those whose failures have a cause in common are sent as suspects only, since a Quarantine
// names no cause.
func (l *List) Quarantines() []*teaselv1.Quarantine {
	return l.encodeQuarantines(maxQuarantinesPerMessage, func(*suspect) bool { return true })
}

// StoredQuarantines returns the quarantined requests for which this entry recorded any
// failure, to be kept where they outlive the process.
func (l *List) StoredQuarantines() []*teaselv1.Quarantine {
	return l.encodeQuarantines(maxStoredQuarantines, func(s *suspect) bool { return s.seenHere })
}

// StoredSuspects returns the suspects for which this entry recorded any failure, at most
// maxStoredSuspects and those first for which most servers failed, to be kept where they outlive the
// process. With the failures, a later process can tell which ones the servers have survived.
func (l *List) StoredSuspects() []*teaselv1.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var stored []Digest
	for digest, s := range l.suspects {
		if s.seenHere && s.recentFailures(now) > 0 {
			stored = append(stored, digest)
		}
	}
	slices.SortFunc(stored, func(a, b Digest) int { return l.weight(l.suspects[b]) - l.weight(l.suspects[a]) })
	var messages []*teaselv1.Suspect
	for _, digest := range stored[:min(len(stored), maxStoredSuspects)] {
		messages = append(messages, l.suspects[digest].encode(digest, now, l.failureLimit()))
	}
	return messages
}

// encodeQuarantines returns up to limit of the quarantined requests for which include
// returns true.
func (l *List) encodeQuarantines(limit int, include func(*suspect) bool) []*teaselv1.Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []Digest
	for digest, s := range l.suspects {
		age := time.Since(s.quarantinedAt)
		if l.toldAsQuarantine(s) && age <= FailureLifetime-maxMessageDelay && include(s) {
			selected = append(selected, digest)
		}
	}
	slices.SortStableFunc(selected, func(a, b Digest) int {
		return l.suspects[a].quarantineSends - l.suspects[b].quarantineSends
	})
	var messages []*teaselv1.Quarantine
	for _, digest := range selected[:min(len(selected), limit)] {
		s := l.suspects[digest]
		s.quarantineSends++
		messages = append(messages, &teaselv1.Quarantine{
			Digest: digest[:],
			AgeMs:  ageMilliseconds(time.Since(s.quarantinedAt)),
		})
	}
	return messages
}

// MergeStored adds suspects and quarantined requests that were stored some time ago, by this
// entry's previous process if own is true and by another entry otherwise. The time is measured
// with clocks that may differ; a negative one counts as zero. StoredSuspects and
// StoredQuarantines return those of the own entry again.
func (l *List) MergeStored(suspects []*teaselv1.Suspect, quarantines []*teaselv1.Quarantine, storedAgo time.Duration, own bool) {
	storedAgo = max(0, storedAgo)
	addAge := func(ageMS uint32) uint32 {
		return ageMilliseconds(min(time.Duration(ageMS)*time.Millisecond+storedAgo, FailureLifetime))
	}
	digests := make([][]byte, 0, len(suspects)+len(quarantines))
	for _, message := range suspects {
		for _, failure := range message.GetBreaks() {
			failure.AgeMs = addAge(failure.GetAgeMs())
		}
		message.FinishedAgeMs = addAge(message.GetFinishedAgeMs())
		digests = append(digests, message.GetDigest())
	}
	for _, message := range quarantines {
		message.AgeMs = addAge(message.GetAgeMs())
		digests = append(digests, message.GetDigest())
	}
	l.Merge(suspects)
	l.MergeQuarantines(quarantines)
	if !own {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, digest := range digests {
		if len(digest) != len(Digest{}) {
			continue
		}
		if s := l.suspects[Digest(digest)]; s != nil {
			s.seenHere = true
		}
	}
}

// MergeQuarantines adds the quarantined requests that a peer sent. Those with an invalid
// digest and expired ones are ignored.
func (l *List) MergeQuarantines(messages []*teaselv1.Quarantine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, message := range messages {
		at := time.Now().Add(-time.Duration(message.GetAgeMs()) * time.Millisecond)
		if len(message.GetDigest()) != len(Digest{}) || time.Since(at) >= FailureLifetime {
			continue
		}
		digest := Digest(message.GetDigest())
		s := l.addSuspect(digest)
		wasQuarantined := l.quarantined(s)
		if isNewEvent(at, s.quarantinedAt) {
			s.quarantinedAt = at
		}
		s.confirmedAt = time.Now()
		if l.OnFailure != nil && !wasQuarantined && l.quarantined(s) {
			l.OnFailure(Failure{
				Digest:      digest,
				Service:     s.service,
				FromPeer:    true,
				Count:       s.recentFailures(time.Now()),
				Quarantined: true,
				OneCaller:   s.oneCaller,
				SeenHere:    s.seenHere,
			})
		}
	}
}

// ageMilliseconds returns an age in milliseconds, or 0 if it is negative.
func ageMilliseconds(age time.Duration) uint32 {
	return uint32(max(0, age.Milliseconds()))
}

// Merge adds the failures and successes of the suspects that a peer sent. Suspects with
// an invalid digest, expired failures, and successes of requests that are no suspects
// here are ignored.
func (l *List) Merge(messages []*teaselv1.Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, message := range messages {
		if len(message.GetDigest()) != len(Digest{}) {
			continue
		}
		digest := Digest(message.GetDigest())
		for _, failure := range message.GetBreaks() {
			at := now.Add(-time.Duration(failure.GetAgeMs()) * time.Millisecond)
			switch {
			case now.Sub(at) >= FailureLifetime:
			case failure.GetCleared():
				l.mergeCleared(digest, failure.GetServer(), at)
			default:
				l.addFailure(digest, message.GetService(), failure.GetServer(), newPeerFailure(at, failure), true).oneCaller = message.GetOneCaller()
			}
		}
		s := l.suspects[digest]
		success := now.Add(-time.Duration(message.GetFinishedAgeMs()) * time.Millisecond)
		if s != nil && message.GetFinished() && isNewEvent(success, s.lastSuccess) {
			l.setSuccess(digest, s, success)
		}
	}
}

// newPeerFailure returns the failure at a time that a peer sent.
func newPeerFailure(at time.Time, message *teaselv1.SuspectBreak) *failure {
	f := &failure{
		at:            at,
		failureDomain: message.GetFailureDomain(),
	}
	f.addSenders(message.GetSenders())
	return f
}

// mergeCleared records that the failure of a server at a time does not count any more, as a peer
// knows. The caller must hold the lock.
func (l *List) mergeCleared(digest Digest, server string, at time.Time) {
	s := l.suspects[digest]
	if s == nil || s.failures[server] == nil || !s.counts(server) || isNewEvent(s.failures[server].at, at) {
		return
	}
	s.survived[server] = s.failures[server].at
	s.clearedAt, s.sends = time.Now(), 0
	l.settle(digest, s)
}
