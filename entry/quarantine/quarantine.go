// Package quarantine stops requests that break each backend server that runs
// them from walking through the fleet.
package quarantine

import (
	"sync"
	"time"
)

// List remembers suspect requests by their digests. The zero value is empty.
type List struct {
	mu       sync.Mutex
	suspects map[string]*suspect
}

type suspect struct {
	servers []string
	until   time.Time
}

const (
	// limit is how many servers a request may break before it is refused.
	limit = 2
	// lifetime is how long a suspect is remembered.
	lifetime = 10 * time.Minute
)

// Broke records that a request broke its connection to a backend server.
func (l *List) Broke(digest, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects == nil {
		l.suspects = make(map[string]*suspect)
	}
	known := l.suspects[digest]
	if known == nil {
		known = &suspect{}
		l.suspects[digest] = known
	}
	known.servers = append(known.servers, server)
	known.until = time.Now().Add(lifetime)
}

// Quarantined reports whether a request is to be refused.
func (l *List) Quarantined(digest string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[digest]
	if known == nil {
		return false
	}
	if time.Now().After(known.until) {
		delete(l.suspects, digest)
		return false
	}
	return len(known.servers) >= limit
}
