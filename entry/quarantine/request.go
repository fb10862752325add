package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request identifies a request at three levels. Failures count, and a success clears them, at
// each level by itself, so that one caller's requests that crash servers do not keep the
// others' from being served, and the others' successes do not clear that caller. A zero digest
// leaves its level out.
type Request struct {
	// Content identifies the request whoever sends it.
	Content Digest
	// Caller identifies the request as one caller sends it, and Exact as one caller sends it
	// with the same header.
	Caller Digest
	Exact  Digest
}

// Run is a run of a request on a backend server.
type Run struct {
	Request Request
	Service string
	// Server identifies an incarnation of the server.
	Server        string
	FailureDomain string
}

// levels returns the digests of the request's levels, that of the content first.
func (r *Request) levels() []Digest {
	return slices.DeleteFunc([]Digest{r.Content, r.Caller, r.Exact}, func(d Digest) bool { return d == Digest{} })
}

// sender returns a hash of who sent the request, at the level with a digest: of the caller for the
// content, and of the header for the caller. It is 0 at the last level, or if that is not known.
func (r *Request) sender(level Digest) uint32 {
	switch level {
	case r.Content:
		return hashDigest(r.Caller)
	case r.Caller:
		return hashDigest(r.Exact)
	}
	return 0
}

// hashDigest returns a hash of a digest that is not 0, or 0 for the zero digest.
func hashDigest(digest Digest) uint32 {
	if digest == (Digest{}) {
		return 0
	}
	return max(1, binary.BigEndian.Uint32(digest[:]))
}

// hashName returns a hash of a name that is not 0, or 0 for no name.
func hashName(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(1, uint32(xxhash.Sum64String(name)))
}

// RecordRunFailure records that a backend server failed during a run, see RecordFailure.
func (l *List) RecordRunFailure(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addRun(run)
}

// addRun records at all levels that a backend server failed during a run. The caller must hold
// the lock.
func (l *List) addRun(run Run) {
	for level, digest := range run.Request.levels() {
		f := &failure{
			at: time.Now(),
		}
		if sender := run.Request.sender(digest); sender != 0 {
			f.senders = []uint32{sender}
		}
		if level == 0 {
			f.failureDomain = hashName(run.FailureDomain)
		}
		if s := l.addSuspect(digest); level > 0 {
			s.oneCaller, s.content = true, run.Request.Content
		}
		l.addFailure(digest, run.Service, run.Server, f, false)
	}
}

// RecordRequestSuccess records that a request succeeded, see RecordSuccess.
func (l *List) RecordRequestSuccess(request Request) {
	for _, digest := range request.levels() {
		l.RecordSuccess(digest)
	}
}

// Refused reports whether a request must be refused because it is quarantined at any level.
func (l *List) Refused(request Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.quarantinedLevels(request)) > 0
}

// quarantinedLevels returns the digests of those levels at which a request is quarantined. The
// caller must hold the lock.
func (l *List) quarantinedLevels(request Request) []Digest {
	return slices.DeleteFunc(request.levels(), func(digest Digest) bool {
		s := l.suspects[digest]
		return s == nil || !l.quarantined(s)
	})
}

// addSenders adds senders whose requests the server ran when it failed.
func (f *failure) addSenders(senders []uint32) {
	for _, sender := range senders {
		if len(f.senders) < maxFailureSenders && !slices.Contains(f.senders, sender) {
			f.senders = append(f.senders, sender)
		}
	}
}

// commonCause is what the failures of a suspect have in common.
type commonCause struct {
	// senders holds those whose requests ran on each of the servers.
	senders []uint32
	// failureDomain is that of all servers, 0 if there are several or it is not known.
	failureDomain uint32
}

// commonCause returns what the failures that count have in common.
func (s *suspect) commonCause(now time.Time) commonCause {
	var cause commonCause
	first := true
	for server, f := range s.failures {
		if !s.counts(server) || now.Sub(f.at) >= FailureLifetime {
			continue
		}
		if first {
			cause.senders, cause.failureDomain, first = slices.Clone(f.senders), f.failureDomain, false
			continue
		}
		// A full list of senders may leave out those that it has in common with the others.
		if len(f.senders) < maxFailureSenders {
			cause.senders = slices.DeleteFunc(cause.senders, func(sender uint32) bool { return !slices.Contains(f.senders, sender) })
		}
		if f.failureDomain != cause.failureDomain {
			cause.failureDomain = 0
		}
	}
	return cause
}

// isZero reports whether the failures have nothing in common.
func (c commonCause) isZero() bool { return len(c.senders) == 0 && c.failureDomain == 0 }

// explains reports whether the cause may be why the servers failed, so that a request of a sender
// may well be harmless.
func (c commonCause) explains(sender uint32) bool {
	return c.failureDomain != 0 || len(c.senders) > 0 && !slices.Contains(c.senders, sender)
}
