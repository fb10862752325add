package quarantine

import (
	"crypto/sha256"
	"slices"
	"time"
)

// Trial is a run of a quarantined request, whose success ends the quarantine. There are two
// kinds. The first waits until survivalTime after the last failure, since the failures that
// servers survived no longer count then; it lets a request through that servers seem to fail
// with that are lost together. An early trial waits for nothing. It is for a request whose
// failures have a cause in common: one caller sent all of them, and another one asks now, or the
// same with two headers of one caller, or all servers were in one failure domain, which may be
// lost.
type Trial struct {
	// Request is the request.
	Request Request
	// Claims holds what an entry must claim before, so that there is one trial over all entries.
	Claims []Digest
	// MaxSends is the maximum number of servers that the request is sent to under the claims,
	// if the first rejects it without running it.
	MaxSends int
	// Early reports whether this is an early trial.
	Early bool
	// quarantined holds the digests of the levels at which the request is quarantined.
	quarantined []Digest
	// failureDomain is that of the servers that failed, 0 if that is not the cause.
	failureDomain uint32
}

const (
	// maxTrialSends is MaxSends. An early trial later than earlyTrialTime after the quarantine
	// began has one send, since the platform accepts three sends later than its undisturbed
	// window after the third failure.
	maxTrialSends = 2
	// earlyTrialTime is how long requests wait for the result of an early trial.
	earlyTrialTime = 2 * time.Second
)

// earlyTrial is the state of the early trial of a suspect.
type earlyTrial struct {
	// begun is when this entry first tried to begin it, zero if it has not.
	begun time.Time
	// running reports whether it runs here.
	running bool
}

// Avoids reports whether the trial must not run in a failure domain, unless there is no other.
func (t *Trial) Avoids(failureDomain string) bool {
	return t.failureDomain != 0 && hashName(failureDomain) == t.failureDomain
}

// EarlyClaim returns what an entry claims for the early trial of a suspect.
func EarlyClaim(digest Digest) Digest {
	sum := sha256.Sum256(append([]byte("early"), digest[:]...))
	return Digest(sum[:len(Digest{})])
}

// BeginTrial reports whether a quarantined request may be tried again now. If it returns true,
// the caller must call EndTrial.
func (l *List) BeginTrial(request Request) (trial Trial, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	quarantined := l.quarantinedLevels(request)
	if len(quarantined) == 0 {
		return Trial{}, false
	}
	if failureDomain, doubtful := l.doubt(request, quarantined); doubtful && l.beginEarly(quarantined) {
		return l.earlyTrial(request, quarantined, failureDomain), true
	}
	for _, digest := range quarantined {
		s := l.suspects[digest]
		if s.inTrial || s.early.running || now.Before(s.trialAt) || now.Sub(s.lastFailure()) < survivalTime {
			return Trial{}, false
		}
	}
	for _, digest := range quarantined {
		l.suspects[digest].inTrial = true
	}
	return Trial{
		Request:     request,
		Claims:      quarantined,
		MaxSends:    maxTrialSends,
		quarantined: quarantined,
	}, true
}

// beginEarly begins the early trials of quarantined suspects, unless one of them has been begun
// before. The caller must hold the lock.
func (l *List) beginEarly(quarantined []Digest) bool {
	for _, digest := range quarantined {
		if !l.suspects[digest].early.begun.IsZero() {
			return false
		}
	}
	for _, digest := range quarantined {
		l.suspects[digest].early = earlyTrial{
			begun:   time.Now(),
			running: true,
		}
	}
	return true
}

// earlyTrial returns an early trial. The caller must hold the lock.
func (l *List) earlyTrial(request Request, quarantined []Digest, failureDomain uint32) Trial {
	trial := Trial{
		Request:       request,
		MaxSends:      maxTrialSends,
		Early:         true,
		quarantined:   quarantined,
		failureDomain: failureDomain,
	}
	for _, digest := range quarantined {
		trial.Claims = append(trial.Claims, EarlyClaim(digest))
		if time.Since(l.suspects[digest].quarantinedSince) > earlyTrialTime {
			trial.MaxSends = 1
		}
	}
	return trial
}

// doubtful reports whether the failures of a quarantined suspect have a cause in common, as far as
// this entry and those that told it of the quarantine know. The caller must hold the lock.
func (l *List) doubtful(s *suspect) bool {
	now := time.Now()
	return !s.confirmedAt.After(s.quarantinedAt) && s.recentFailures(now) >= l.failureLimit() && !s.commonCause(now).isZero()
}

// doubt reports whether at all levels at which a request is quarantined, the failures may be due to
// something that they have in common. If that is a failure domain, doubt returns it. The caller
// must hold the lock.
func (l *List) doubt(request Request, quarantined []Digest) (failureDomain uint32, doubtful bool) {
	now := time.Now()
	blamed := false
	// A level is considered after those that leave out more senders.
	for _, digest := range slices.Backward(quarantined) {
		s := l.suspects[digest]
		if request.sender(digest) == 0 || !l.doubtful(s) {
			return 0, false
		}
		cause := s.commonCause(now)
		// What a part of this caller's requests is blamed for may be all that the content failed with.
		sender := request.sender(digest)
		if !cause.explains(sender) && !(blamed && slices.Contains(cause.senders, sender)) {
			return 0, false
		}
		blamed = true
		failureDomain = cause.failureDomain
	}
	return failureDomain, len(quarantined) > 0
}

// AwaitsTrial reports whether an early trial may soon show that a request need not be refused.
func (l *List) AwaitsTrial(request Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	quarantined := l.quarantinedLevels(request)
	_, doubtful := l.doubt(request, quarantined)
	return doubtful && slices.ContainsFunc(quarantined, func(digest Digest) bool {
		return time.Since(l.suspects[digest].early.begun) < earlyTrialTime
	})
}

// EndTrial ends what BeginTrial began. If spent is set, the request has had its trial.
func (l *List) EndTrial(trial Trial, spent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, digest := range trial.quarantined {
		s := l.suspects[digest]
		if s == nil {
			continue
		}
		if trial.Early {
			s.early.running = false
			if !spent {
				s.early.begun = time.Time{}
			}
			continue
		}
		s.inTrial = false
		delay := trialRetryDelay
		if spent && l.quarantined(s) {
			delay = spentTrialDelay
		}
		s.trialAt = time.Now().Add(delay)
	}
}
