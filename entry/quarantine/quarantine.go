// Package quarantine stops requests that break each backend server that runs
// them from walking through the fleet. A request that was in flight when a
// backend server broke is a suspect. Two rules tell the cause from those that
// were only in flight beside it:
//
//   - a suspect that ends well is cleared;
//   - no backend server runs two suspects at a time, so that of two suspects
//     at most one breaks a second backend server.
//
// A suspect that broke two backend servers is quarantined: every entry refuses
// it as not run for a while. Suspects travel with the heartbeats.
package quarantine

import (
	"sync"
	"time"
)

// Digest identifies what a request asks for, without its idempotency key, so
// that a caller that sends it again under a new key is recognised.
type Digest [16]byte

// List holds the suspects that this entry knows of. The zero value is empty.
type List struct {
	// FailureLimit is how many backend servers a request may break before it is refused;
	// 0 takes the usual two. Where callers send requests that can't be told apart,
	// more breaks are needed before they are taken for one.
	FailureLimit int

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// running counts the suspects' requests by backend server.
	running map[string]run
}

type suspect struct {
	service string
	// breaks holds when each backend server was broken last.
	breaks   map[string]time.Time
	finished time.Time
}

type run struct {
	digest Digest
	count  int
}

const (
	// limit is how many backend servers a request may break before it is refused.
	limit = 2
	// FailureLifetime is how long the breaking of a backend server is remembered.
	FailureLifetime = 10 * time.Minute
	// maxTravel is more than a message takes from one entry to another.
	maxTravel = 5 * time.Second
	// maxSuspects bounds the list; the suspect whose last break is oldest goes
	// first.
	maxSuspects = 512
)

// RecordFailure records that a request of a service was in flight when its backend
// server broke.
func (l *List) RecordFailure(digest Digest, service, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(digest, service, server, time.Now())
}

// learn notes one break. The caller holds the lock.
func (l *List) learn(digest Digest, service, server string, at time.Time) {
	if l.suspects == nil {
		l.suspects = make(map[Digest]*suspect)
	}
	known := l.suspects[digest]
	if known == nil {
		l.shrink()
		known = &suspect{
			service: service,
			breaks:  make(map[string]time.Time),
		}
		l.suspects[digest] = known
	}
	if newer(at, known.breaks[server]) {
		known.breaks[server] = at
	}
}

// newer reports whether a time is of a later event and not of the same one that
// was heard of again: each time that an age travels, it loses the delay of its
// message.
func newer(at, known time.Time) bool {
	return at.Sub(known) > maxTravel
}

// shrink makes room for one more suspect. The caller holds the lock.
func (l *List) shrink() {
	now := time.Now()
	var oldest Digest
	var age time.Duration
	for digest, known := range l.suspects {
		since := now.Sub(known.last())
		if since > FailureLifetime {
			delete(l.suspects, digest)
			continue
		}
		if since >= age {
			oldest, age = digest, since
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}

func (s *suspect) last() time.Time {
	var last time.Time
	for _, at := range s.breaks {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// count returns how many backend servers the suspect broke within the lifetime
// and since it last ended well.
func (s *suspect) count(now time.Time) int {
	count := 0
	for _, at := range s.breaks {
		if at.After(s.finished) && now.Sub(at) < FailureLifetime {
			count++
		}
	}
	return count
}

// RecordSuccess records that a request ended well.
func (l *List) RecordSuccess(digest Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[digest]; known != nil {
		known.finished = time.Now()
	}
}

// Quarantined reports whether a request is to be refused.
func (l *List) Quarantined(digest Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := l.FailureLimit
	if most == 0 {
		most = limit
	}
	return l.count(digest) >= most
}

// count returns how many backend servers a request broke. The caller holds the
// lock.
func (l *List) count(digest Digest) int {
	known := l.suspects[digest]
	if known == nil {
		return 0
	}
	return known.count(time.Now())
}

// Admit reports whether a request may run on a backend server now: a suspect
// may not while another one does. Leave must follow if it may.
func (l *List) Admit(digest Digest, server string) (leave func(), allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count(digest) == 0 {
		return func() {}, true
	}
	current := l.running[server]
	if current.count > 0 && current.digest != digest {
		return nil, false
	}
	if l.running == nil {
		l.running = make(map[string]run)
	}
	l.running[server] = run{
		digest: digest,
		count:  current.count + 1,
	}
	return func() { l.leave(server) }, true
}

func (l *List) leave(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.running[server]
	current.count--
	if current.count == 0 {
		delete(l.running, server)
		return
	}
	l.running[server] = current
}
