// Package slot owns the slots of the backend servers whose home is this entry,
// so that no backend server is ever given more requests than it has slots.
package slot

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/timeline"
)

// Errors of Acquire. Each means that nothing was given out.
var (
	// ErrNoServer says that this entry owns no usable backend server of the service.
	ErrNoServer = errors.New("no backend server")
	// ErrNoRoom says that no slot will come free before the deadline.
	ErrNoRoom = errors.New("no room")
)

// Priority orders waiting requests when room is short; a higher one goes first.
type Priority uint8

// Priorities of requests.
const (
	// Transfer is an upload or another request of a bulk service.
	Transfer Priority = iota
	// Browse is an idempotent request of an interactive service.
	Browse
	// Decision is a non-idempotent request of an interactive service: an offer,
	// a booking.
	Decision
)

// Ask describes who wants a slot.
type Ask struct {
	Service  string
	Priority Priority
	// Caller is the caller's address, for fairness among callers.
	Caller string
	// FromRegion is the region of the entry that admitted the request.
	FromRegion string
	// Exclude names backend servers that already failed the request.
	Exclude []string
}

// Ledger counts the slots in use on each backend server of this entry.
type Ledger struct {
	// Entry is this entry's name.
	Entry string
	// Events takes takeovers and drains; it may be nil.
	Events *timeline.Ring

	mu      sync.Mutex
	servers map[string]*server
	// freed is closed and replaced whenever a slot comes free.
	freed chan struct{}
}

type server struct {
	intent    *intent.BackendServer
	inUse     int
	draining  bool
	requests  uint64
	lastStart time.Time
}

// Grant is the use of one slot until Release.
type Grant struct {
	Server *intent.BackendServer

	ledger *Ledger
	once   sync.Once
}

// Status is the state of one backend server.
type Status struct {
	Server    *intent.BackendServer
	Role      string
	Usable    int
	InUse     int
	Draining  bool
	Requests  uint64
	LastStart time.Time
}

// Configure takes a new configuration over.
func (l *Ledger) Configure(configuration *intent.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*server)
	for _, service := range configuration.Services {
		for i := range service.BackendServers {
			backend := &service.BackendServers[i]
			if Home(configuration, backend) != l.Entry {
				continue
			}
			known := l.servers[backend.Name]
			if known == nil {
				known = &server{}
			}
			known.intent = backend
			known.draining = configuration.Draining(backend)
			next[backend.Name] = known
		}
	}
	l.servers = next
	l.wake()
}

// Acquire waits for a slot of a backend server of the service until ctx is done.
func (l *Ledger) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	for {
		grant, freed, err := l.try(ask)
		if grant != nil || err != nil {
			return grant, err
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoRoom
		case <-freed:
		}
	}
}

func (l *Ledger) try(ask Ask) (*Grant, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *server
	owned := false
	for _, candidate := range l.servers {
		if candidate.intent.Service != ask.Service || candidate.draining || slices.Contains(ask.Exclude, candidate.intent.Name) {
			continue
		}
		owned = true
		if candidate.inUse >= candidate.intent.Slots {
			continue
		}
		if best == nil || candidate.free() > best.free() {
			best = candidate
		}
	}
	if !owned {
		return nil, nil, ErrNoServer
	}
	if best == nil {
		if l.freed == nil {
			l.freed = make(chan struct{})
		}
		return nil, l.freed, nil
	}
	best.inUse++
	best.requests++
	best.lastStart = time.Now()
	return &Grant{
		Server: best.intent,
		ledger: l,
	}, nil, nil
}

func (s *server) free() int {
	return s.intent.Slots - s.inUse
}

// Release gives the slot back. Further calls do nothing.
func (g *Grant) Release() {
	g.once.Do(func() {
		g.ledger.mu.Lock()
		defer g.ledger.mu.Unlock()
		if server := g.ledger.servers[g.Server.Name]; server != nil {
			server.inUse--
		}
		g.ledger.wake()
	})
}

// wake tells waiting requests to look again. The caller holds the lock.
func (l *Ledger) wake() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// Status returns the state of all backend servers of this entry.
func (l *Ledger) Status() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Status
	for _, server := range l.servers {
		all = append(all, Status{
			Server:    server.intent,
			Role:      "home",
			Usable:    server.intent.Slots,
			InUse:     server.inUse,
			Draining:  server.draining,
			Requests:  server.requests,
			LastStart: server.lastStart,
		})
	}
	return all
}
