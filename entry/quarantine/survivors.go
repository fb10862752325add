package quarantine

import "time"

// CheckSurvivors finds the failures that were none. A connection that breaks while a server runs a
// request counts as a failure of the server, but a server that has crashed is not registered any
// more after survivalTime, or as another incarnation. The registrations are those at asOf, known
// without a gap from since on, and registered reports whether there is one of a server, as passed to
// RecordFailure. A quarantined request for which too few failures are left is cleared.
func (l *List) CheckSurvivors(since, asOf time.Time, registered func(server string) bool) {
	if asOf.Sub(since) < survivalTime {
		return
	}
	l.mu.Lock()
	candidates := make(map[string]bool)
	for _, s := range l.suspects {
		for server, f := range s.failures {
			if s.counts(server) && asOf.Sub(f.at) >= survivalTime {
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
	for server, f := range s.failures {
		if alive[server] && s.counts(server) && asOf.Sub(f.at) >= survivalTime {
			s.survived[server] = f.at
			changed = true
		}
	}
	if changed {
		l.settle(digest, s)
	}
}

// settle clears a suspect of whose failures some count no longer if too few are left, unless it is
// quarantined for failures that only peers know. The caller must hold the lock.
func (l *List) settle(digest Digest, s *suspect) {
	left := s.recentFailures(time.Now())
	switch limit := l.failureLimit(); {
	case left >= limit:
	case l.quarantined(s) && len(s.failures) < limit:
	case l.quarantined(s):
		l.setSuccess(digest, s, time.Now())
	case left == 0 && s.seenHere && l.OnCleared != nil:
		l.OnCleared(digest)
	}
}
