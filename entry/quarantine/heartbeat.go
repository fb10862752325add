package quarantine

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// maxSuspectsPerMessage is the maximum number of suspects in one message. They are
// selected by the random order of map iteration, so that each is likely to be in one of
// several messages.
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

// RecentSuspects is like Suspects, but returns only suspects whose last failure was
// at most maxAge ago. Both remove the expired suspects that they come across.
func (l *List) RecentSuspects(maxAge time.Duration) []*teaselv1.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var messages []*teaselv1.Suspect
	for digest, s := range l.suspects {
		if len(messages) == maxSuspectsPerMessage {
			break
		}
		if now.Sub(s.lastFailure()) > FailureLifetime {
			delete(l.suspects, digest)
			continue
		}
		if now.Sub(s.lastFailure()) > maxAge {
			continue
		}
		messages = append(messages, s.encode(digest, now))
	}
	return messages
}

// encode returns the message that describes a suspect to a peer.
func (s *suspect) encode(digest Digest, now time.Time) *teaselv1.Suspect {
	message := &teaselv1.Suspect{
		Digest:  digest[:],
		Service: s.service,
	}
	for server, at := range s.failures {
		message.Breaks = append(message.Breaks, &teaselv1.SuspectBreak{
			Server: server,
			AgeMs:  ageMilliseconds(now.Sub(at)),
		})
	}
	if !s.lastSuccess.IsZero() {
		message.Finished = true
		message.FinishedAgeMs = ageMilliseconds(now.Sub(s.lastSuccess))
	}
	return message
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
			s.lastSuccess = success
		}
	}
}
