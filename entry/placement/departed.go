package placement

import (
	"maps"
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

// departedServer holds what a server had stated when its registration went.
type departedServer struct {
	at        time.Time
	leaving   statedLeaving
	limit     statedLimit
	waitUntil time.Time
}

const (
	// departedLifetime is how long the statements of a server are kept without its registration.
	departedLifetime = 10 * time.Minute
	// maxDeparted is the maximum number of servers without a registration whose statements are
	// kept.
	maxDeparted = 4096
)

// depart keeps what a server has stated, since its registration may come back: that may have been
// missing because of an outage of the store. Nothing is kept of a server that does not state when it
// started, which may come back as another incarnation. The caller must hold f.mu.
func (f *Fleet) depart(record *serverRecord, now time.Time) {
	stated := record.leaving.leaving || now.Before(record.waitUntil) || record.limit.limited
	if !stated || record.StartUnixMS == 0 {
		return
	}
	if len(f.departed) >= maxDeparted {
		maps.DeleteFunc(f.departed, func(_ routing.Incarnation, server departedServer) bool {
			return now.Sub(server.at) >= departedLifetime
		})
	}
	if len(f.departed) < maxDeparted {
		f.departed[record.Incarnation()] = departedServer{
			at:        now,
			leaving:   record.leaving,
			limit:     record.limit,
			waitUntil: record.waitUntil,
		}
	}
}

// rejoin restores what depart has kept of a server. The caller must hold f.mu.
func (f *Fleet) rejoin(record *serverRecord, now time.Time) {
	incarnation := record.Incarnation()
	departed, found := f.departed[incarnation]
	delete(f.departed, incarnation)
	if found && now.Sub(departed.at) < departedLifetime {
		record.leaving, record.limit, record.waitUntil = departed.leaving, departed.limit, departed.waitUntil
	}
}

// inherit takes over from the record of the start before what the server stated since the first sign
// that it may have started again, because the process that is registered now may have stated it. A
// statement without any sign may be of either process. It counts if that only keeps requests back for
// a time.
func (s *serverRecord) inherit(previous *serverRecord) {
	began := previous.verification.began
	if !previous.waitStatedAt.Before(began) {
		s.waitUntil, s.waitStatedAt = previous.waitUntil, previous.waitStatedAt
	}
	if previous.limit.limited && !previous.limit.statedAt.Before(began) {
		s.limit = previous.limit
	}
	if previous.leaving.leaving && !began.IsZero() && !previous.leaving.since.Before(began) {
		s.leaving = previous.leaving
	}
}
