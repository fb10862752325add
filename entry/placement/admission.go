package placement

import (
	"math"
	"time"
)

// load estimates the requests that a server runs or queues: those of this entry
// and those of others. The count of the others moves from the server's last load
// report to the sum of the peers' reports as the former ages.
func (f *Fleet) load(server *serverRecord, now time.Time) float64 {
	reportedByPeers := f.peerReports.inFlight[server.wireHash()]
	if server.othersLoadAt.IsZero() {
		return float64(server.inFlight + reportedByPeers)
	}
	freshness := math.Exp2(-float64(now.Sub(server.othersLoadAt)) / float64(loadReportHalfLife))
	return float64(server.inFlight) + server.othersLoad*freshness + float64(reportedByPeers)*(1-freshness)
}

// utilization is the cached ratio of a service's load to its slots.
type utilization struct {
	ratio      float64
	computedAt time.Time
}

// utilizationLifetime is how long a cached utilization is used.
const utilizationLifetime = 50 * time.Millisecond

// congestion maps a service's utilization to a scale from 0, at
// plentyUtilization or less, to 1, at fullUtilization or more.
func (f *Fleet) congestion(service string, now time.Time) float64 {
	cached, found := f.utilizations[service]
	if !found || now.Sub(cached.computedAt) > utilizationLifetime {
		load, slots := 0.0, 0.0
		for _, server := range f.byService[service] {
			if server.Draining || f.evacuated[server.FailureDomain] || f.failing(server, now) {
				continue
			}
			load += f.load(server, now)
			slots += float64(server.Slots)
		}
		cached = utilization{
			ratio:      load / max(1, slots),
			computedAt: now,
		}
		f.utilizations[service] = cached
	}
	return min(1, max(0, (cached.ratio-plentyUtilization)/(fullUtilization-plentyUtilization)))
}

const (
	// plentyUtilization is the utilization up to which a service has plenty of
	// room: a request that one server has no slot for finds one at the next.
	plentyUtilization = 0.6
	// fullUtilization is the utilization from which a service counts as full: so
	// few slots are free that those of an object's preferred servers are taken.
	fullUtilization = 0.9
)

// lerp interpolates linearly between from and to.
func lerp(from, to, share float64) float64 { return from + (to-from)*share }

// admits reports whether a request is sent to a server. It is if its answer is
// expected within its objective. A request whose answer will be late is admitted
// only if it takes no slot that a timely request could use: the more congested
// the service, the shorter the queue that it may join.
func (f *Fleet) admits(request *Request, server *serverRecord, latency time.Duration, congestion float64, now time.Time) bool {
	if request.TimeLeft > 0 && latency > request.TimeLeft {
		return false
	}
	if request.Route == nil || request.Route.LatencyObjective == 0 || request.Waited+latency <= request.Route.LatencyObjective {
		return true
	}
	maxLateLoad := lerp(lateLoadPlenty, lateLoadFull, congestion)
	if request.CallerRetry {
		maxLateLoad += callerRetryLoad
	}
	return f.load(server, now) < maxLateLoad*float64(server.Slots)
}

const (
	// lateLoadPlenty and lateLoadFull are the load per slot below which a server is
	// sent a request whose answer will be late, at congestion 0 and at 1.
	lateLoadPlenty = 2
	lateLoadFull   = 0.7
	// callerRetryLoad is added to that load for a caller that was refused before,
	// which has no further try.
	callerRetryLoad = 0.5
)

// RetryAfter returns how long a caller that found no room should wait before it
// tries again: about the service time of one request, plus jitter that spreads
// the callers that are refused together. The jitter is given by a draw from
// [0, 1).
func RetryAfter(draw float64) time.Duration {
	return minRetryAfter + time.Duration(draw*float64(retryAfterJitter))
}

const (
	// minRetryAfter is about the service time of a request at a warm server.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterJitter is the time over which callers that are refused together
	// return: the service time of a few requests, and less than callers are ready
	// to wait.
	retryAfterJitter = 600 * time.Millisecond
)
