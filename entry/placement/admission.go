package placement

import (
	"math"
	"time"
)

// load estimates the requests that a server runs or holds: this entry's own and
// those of others. What the server last said of those grows old; then what the
// peers told counts.
func (f *Fleet) load(s *server, now time.Time) float64 {
	told := f.hearsay.inFlight[s.short()]
	if s.othersAt.IsZero() {
		return float64(s.inFlight + told)
	}
	fresh := math.Exp2(-float64(now.Sub(s.othersAt)) / float64(othersHalfLife))
	return float64(s.inFlight) + s.others*fresh + float64(told)*(1-fresh)
}

// occupancy is the part of a service's slots that is taken, as of a time.
type occupancy struct {
	share float64
	at    time.Time
}

// occupancyLifetime is how long a service's occupancy is not counted again.
const occupancyLifetime = 50 * time.Millisecond

// congestion says how far a service is from having room, from 0 for plenty to 1
// for none.
func (f *Fleet) congestion(service string, now time.Time) float64 {
	known, found := f.occupied[service]
	if !found || now.Sub(known.at) > occupancyLifetime {
		taken, slots := 0.0, 0.0
		for _, each := range f.services[service] {
			if each.Draining || f.evacuated[each.FailureDomain] || f.failing(each, now) {
				continue
			}
			taken += f.load(each, now)
			slots += float64(each.Slots)
		}
		known = occupancy{
			share: taken / max(1, slots),
			at:    now,
		}
		f.occupied[service] = known
	}
	return min(1, max(0, (known.share-plentyShare)/(fullShare-plentyShare)))
}

const (
	// plentyShare is the part of a service's slots below which it has plenty of
	// room: a request that waits at one server finds a free slot at the next.
	plentyShare = 0.6
	// fullShare is the part from which it has none: with so few free slots, those
	// of an object's servers are taken.
	fullShare = 0.9
)

// between returns the value at a share of the way from one to another.
func between(from, to, share float64) float64 { return from + (to-from)*share }

// admits reports whether a request is given to a server. One that will have its
// answer within its objective is. Another one is only where it takes no place
// that such a request could use: the less room the service has, the shorter the
// queue that it may join.
func (f *Fleet) admits(request *Request, each *server, cost time.Duration, congestion float64, now time.Time) bool {
	if request.TimeLeft > 0 && cost > request.TimeLeft {
		return false
	}
	if request.Route == nil || request.Route.LatencyObjective == 0 || request.Waited+cost <= request.Route.LatencyObjective {
		return true
	}
	most := between(lateLoadPlenty, lateLoadFull, congestion)
	if request.CallerRetry {
		most += returningLoad
	}
	return f.load(each, now) < most*float64(each.Slots)
}

const (
	// lateLoadPlenty and lateLoadFull are the most load, in slots, at which a
	// server gets a request whose answer will be late, while its service has plenty
	// of room and while it has none.
	lateLoadPlenty = 2
	lateLoadFull   = 0.7
	// returningLoad is how much more it may be for a caller that was refused
	// before: it has no other try.
	returningLoad = 0.5
)

// RetryAfter is when a caller that found no room should come again: after about
// the work of one request, and apart from others that are sent away now, by a
// draw from [0, 1).
func RetryAfter(draw float64) time.Duration {
	return comeBackFirst + time.Duration(draw*float64(comeBackSpread))
}

const (
	// comeBackFirst is about the time in which a warm server ends a request.
	comeBackFirst = 300 * time.Millisecond
	// comeBackSpread is the time over which callers that were sent away together
	// return: some requests' work, and less than what they are ready to wait.
	comeBackSpread = 600 * time.Millisecond
)
