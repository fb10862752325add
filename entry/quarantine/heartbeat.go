package quarantine

import (
	"maps"
	"slices"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// maxSuspectsPerMessage is the maximum number of suspects in one message. Those for which
// most servers failed come first, and those with as many failures in a random order, so
// that each is likely to be in one of several messages.
const maxSuspectsPerMessage = 32

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
func (l *List) Suspects() []*teaselv1.Suspect { return l.RecentSuspects(FailureLifetime) }

// RecentSuspects is like Suspects, but returns only suspects whose last failure, or the success
// that cleared them, was at most maxAge ago. Both return first those for which most servers
// failed, and remove the expired suspects that they come across.
func (l *List) RecentSuspects(maxAge time.Duration) []*teaselv1.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var selected []Digest
	for digest, s := range l.suspects {
		switch {
		case now.Sub(s.lastFailure()) > FailureLifetime:
			delete(l.suspects, digest)
		case now.Sub(s.lastChange()) <= maxAge:
			selected = append(selected, digest)
		}
	}
	// The order of the iteration, which is random, stays between equal counts. That a suspect
	// is cleared is as urgent as a first failure.
	slices.SortStableFunc(selected, func(a, b Digest) int {
		return max(1, l.weight(l.suspects[b])) - max(1, l.weight(l.suspects[a]))
	})
	var messages []*teaselv1.Suspect
	for _, digest := range selected[:min(len(selected), maxSuspectsPerMessage)] {
		messages = append(messages, l.suspects[digest].encode(digest, now, l.failureLimit()))
	}
	return messages
}

// encode returns the message that describes a suspect to a peer, with its latest failures
// up to a limit, of those that still count. More are not needed to quarantine it.
func (s *suspect) encode(digest Digest, now time.Time, limit int) *teaselv1.Suspect {
	message := &teaselv1.Suspect{
		Digest:  digest[:],
		Service: s.service,
	}
	latest := slices.SortedFunc(maps.Keys(s.failures), func(a, b string) int {
		return s.failures[b].Compare(s.failures[a])
	})
	for _, server := range latest[:min(len(latest), limit)] {
		if !s.counts(server) {
			continue
		}
		message.Breaks = append(message.Breaks, &teaselv1.SuspectBreak{
			Server: server,
			AgeMs:  ageMilliseconds(now.Sub(s.failures[server])),
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
	// requests and of suspects that an entry stores.
	maxStoredQuarantines = 256
	maxStoredSuspects    = 64
)

// Quarantines returns up to maxQuarantinesPerMessage quarantined requests to send to a
// peer, in a random order. Unlike suspects, they are sent however long ago the last
// failure was, so that an entry that starts learns them. They are no longer sent shortly
// before they expire, because a message that arrives later would renew them.
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
	var messages []*teaselv1.Quarantine
	for digest, s := range l.suspects {
		age := time.Since(s.quarantinedAt)
		if !l.quarantined(s) || age > FailureLifetime-maxMessageDelay || !include(s) {
			continue
		}
		messages = append(messages, &teaselv1.Quarantine{
			Digest: digest[:],
			AgeMs:  ageMilliseconds(age),
		})
		if len(messages) == limit {
			break
		}
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
		if l.OnFailure != nil && !wasQuarantined && l.quarantined(s) {
			l.OnFailure(Failure{
				Digest:      digest,
				Service:     s.service,
				FromPeer:    true,
				Count:       s.recentFailures(time.Now()),
				Quarantined: true,
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
			if now.Sub(at) < FailureLifetime {
				l.addFailure(digest, message.GetService(), failure.GetServer(), at, true)
			}
		}
		s := l.suspects[digest]
		success := now.Add(-time.Duration(message.GetFinishedAgeMs()) * time.Millisecond)
		if s != nil && message.GetFinished() && isNewEvent(success, s.lastSuccess) {
			l.setSuccess(digest, s, success)
		}
	}
}
