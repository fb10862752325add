package quarantine

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// maxCarried bounds the suspects in one heartbeat, newest breaks first by
// chance of the map's order; all get through over several heartbeats.
const maxCarried = 32

// HeartbeatExtension returns the list's news for the heartbeats.
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

// Suspects returns suspects for a peer. Times go as ages, since the entries' clocks
// may differ.
func (l *List) Suspects() []*teaselv1.Suspect { return l.RecentSuspects(FailureLifetime) }

// RecentSuspects returns suspects for a peer that broke a backend server within a time.
func (l *List) RecentSuspects(age time.Duration) []*teaselv1.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var news []*teaselv1.Suspect
	for digest, known := range l.suspects {
		if len(news) == maxCarried {
			break
		}
		if now.Sub(known.last()) > FailureLifetime {
			delete(l.suspects, digest)
			continue
		}
		if now.Sub(known.last()) > age {
			continue
		}
		news = append(news, known.message(digest, now))
	}
	return news
}

func (s *suspect) message(digest Digest, now time.Time) *teaselv1.Suspect {
	message := &teaselv1.Suspect{
		Digest:  digest[:],
		Service: s.service,
	}
	for server, at := range s.breaks {
		message.Breaks = append(message.Breaks, &teaselv1.SuspectBreak{
			Server: server,
			AgeMs:  milliseconds(now.Sub(at)),
		})
	}
	if !s.finished.IsZero() {
		message.Finished = true
		message.FinishedAgeMs = milliseconds(now.Sub(s.finished))
	}
	return message
}

func milliseconds(age time.Duration) uint32 {
	return uint32(max(0, age.Milliseconds()))
}

// Merge takes a peer's suspects over.
func (l *List) Merge(news []*teaselv1.Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, message := range news {
		if len(message.GetDigest()) != len(Digest{}) {
			continue
		}
		digest := Digest(message.GetDigest())
		for _, broken := range message.GetBreaks() {
			at := now.Add(-time.Duration(broken.GetAgeMs()) * time.Millisecond)
			if now.Sub(at) < FailureLifetime {
				l.learn(digest, message.GetService(), broken.GetServer(), at)
			}
		}
		known := l.suspects[digest]
		finished := now.Add(-time.Duration(message.GetFinishedAgeMs()) * time.Millisecond)
		if known != nil && message.GetFinished() && newer(finished, known.finished) {
			known.finished = finished
		}
	}
}
