package placement

import (
	"math"
	"time"
)

// load estimates how many requests a server runs or queues: this entry's own, which
// are known, and those of other entries. The estimate of the latter is a weighted mean
// of the server's last load report, whose weight halves every loadReportHalfLife, and
// of the sum of the peers' reports.
func (f *Fleet) load(server *serverRecord, now time.Time) float64 {
	reportedByPeers := f.peerReports.inFlight[server.wireHash()]
	if server.othersLoadAt.IsZero() {
		return float64(server.inFlight + reportedByPeers)
	}
	reportWeight := math.Exp2(-float64(now.Sub(server.othersLoadAt)) / float64(loadReportHalfLife))
	return float64(server.inFlight) + server.othersLoad*reportWeight + float64(reportedByPeers)*(1-reportWeight)
}

// cachedUtilization is a service's utilization, the ratio of load to slots, at the
// time of its computation.
type cachedUtilization struct {
	ratio      float64
	computedAt time.Time
}

// utilizationLifetime is how long a cached utilization is used.
const utilizationLifetime = 50 * time.Millisecond

// congestion maps the utilization of a service to a scale from 0, at
// uncongestedUtilization or less, to 1, at congestedUtilization or more. Servers that
// are draining, evacuated or failing do not count.
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
		cached = cachedUtilization{
			ratio:      load / max(1, slots),
			computedAt: now,
		}
		f.utilizations[service] = cached
	}
	return min(1, max(0, (cached.ratio-uncongestedUtilization)/(congestedUtilization-uncongestedUtilization)))
}

const (
	// uncongestedUtilization is the utilization up to which the congestion is 0: a
	// request for which one server has no free slot finds one at the next server.
	uncongestedUtilization = 0.6
	// congestedUtilization is the utilization from which the congestion is 1: the few
	// free slots are rarely at the servers that an object prefers.
	congestedUtilization = 0.9
)

// lerp interpolates linearly between from and to.
func lerp(from, to, share float64) float64 { return from + (to-from)*share }

// admits reports whether a request may be sent to a server that is expected to
// answer after latency. A request that would miss its deadline may not, and one
// that would meet the latency objective of its route may. A late request, between
// the two, may if the server's load per slot is below a limit. The limit falls as
// the service becomes congested, so that late requests do not take slots that
// timely ones could use.
func (f *Fleet) admits(request *Request, server *serverRecord, latency time.Duration, congestion float64, now time.Time) bool {
	if request.TimeLeft > 0 && latency > request.TimeLeft {
		return false
	}
	if request.Route == nil || request.Route.LatencyObjective == 0 || request.Waited+latency <= request.Route.LatencyObjective {
		return true
	}
	maxLateLoad := lerp(maxLateLoadUncongested, maxLateLoadCongested, congestion)
	if request.CallerRetry {
		maxLateLoad += callerRetryExtraLoad
	}
	return f.load(server, now) < maxLateLoad*float64(server.Slots)
}

const (
	// maxLateLoadUncongested and maxLateLoadCongested are the loads per slot below
	// which a server is sent a late request, at congestion 0 and at congestion 1.
	maxLateLoadUncongested = 2
	maxLateLoadCongested   = 0.7
	// callerRetryExtraLoad is added to the load per slot below which a server is sent a
	// late request if that is a caller's retry, because the caller is unlikely to have
	// time for another one.
	callerRetryExtraLoad = 0.5
)

// RetryAfter returns how long a caller should wait before it retries a request that
// was refused for lack of room: about the service time of one request, plus jitter,
// so that callers refused together do not retry together. The jitter is proportional
// to random, a random number in [0, 1).
func RetryAfter(random float64) time.Duration {
	return minRetryAfter + time.Duration(random*float64(retryAfterJitter))
}

const (
	// minRetryAfter is about the service time of a request at a warm server.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterJitter is the maximum jitter: the service time of a few requests, and
	// less than callers are ready to wait.
	retryAfterJitter = 600 * time.Millisecond
)
