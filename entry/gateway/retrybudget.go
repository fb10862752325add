package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// RetryBudget limits the retries for each service, so that they don't multiply the
// load on a failing service. The limit holds for all entries together: an entry may make
// a fixed ratio of retries to the requests that it receives, plus an equal share of a
// fixed number of retries, the slack.
type RetryBudget struct {
	// Bounds returns the allowed ratio of retries to requests, the number of retries
	// that all entries together may make beyond it (the slack), and the length of the
	// sliding window in which requests and retries are counted.
	Bounds func() (ratio, slack float64, window time.Duration)
	// EntryCount returns how many entries share the slack.
	EntryCount func() int

	mu sync.Mutex
	// services is keyed by the name of the service.
	services map[string]*serviceUsage
}

// usableBudgetFraction is the fraction of the limit that an entry uses. The rest
// covers retries that the entry does not count in the window in which they arrive: those
// that the network delays into a later window, and those that the entry made before it
// restarted.
const usableBudgetFraction = 0.7

// serviceUsage holds the times of a service's requests and retries in the sliding
// window, oldest first.
type serviceUsage struct {
	requestTimes []time.Time
	retryTimes   []time.Time
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.currentUsage(service)
	usage.requestTimes = append(usage.requestTimes, time.Now())
}

// firstRequestFraction is the fraction of the budget up to which the entry retries
// requests that are not themselves a caller's retry. All retries count towards it. The
// rest is reserved for requests that are a caller's retry after a refusal, because their
// callers have less time left to retry again.
const firstRequestFraction = 0.6

// AllowRetry reports whether a request may be retried, and counts the retry if so. If
// callerRetry is true, the request is itself a caller's retry after a refusal and may
// use the whole budget.
func (b *RetryBudget) AllowRetry(service string, callerRetry bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.currentUsage(service)
	if b.remaining(usage, callerRetry) < 1 {
		return false
	}
	usage.retryTimes = append(usage.retryTimes, time.Now())
	return true
}

// RetriesLeft returns how many more retries AllowRetry would now allow for the same
// service and the same value of callerRetry.
func (b *RetryBudget) RetriesLeft(service string, callerRetry bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, int(b.remaining(b.currentUsage(service), callerRetry)))
}

// remaining returns the number of retries left, see RetriesLeft. It is negative if more
// retries were made than the limit now allows. b.mu must be held.
func (b *RetryBudget) remaining(usage *serviceUsage, callerRetry bool) float64 {
	ratio, slack, _ := b.Bounds()
	allowed := usableBudgetFraction * (ratio*float64(len(usage.requestTimes)) + slack/float64(max(1, b.EntryCount())))
	if !callerRetry {
		allowed *= firstRequestFraction
	}
	return allowed - float64(len(usage.retryTimes))
}

// Services returns the sorted names of all services for which another method was ever
// called.
func (b *RetryBudget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.services))
}

// currentUsage drops the requests and retries of a service that have left the sliding
// window, and returns the remaining ones. It creates the usage of a service that has
// none. b.mu must be held.
func (b *RetryBudget) currentUsage(service string) *serviceUsage {
	if b.services == nil {
		b.services = make(map[string]*serviceUsage)
	}
	usage := b.services[service]
	if usage == nil {
		usage = &serviceUsage{}
		b.services[service] = usage
	}
	_, _, window := b.Bounds()
	cutoff := time.Now().Add(-window)
	usage.requestTimes = dropUntil(usage.requestTimes, cutoff)
	usage.retryTimes = dropUntil(usage.retryTimes, cutoff)
	return usage
}

// dropUntil returns the part of times that is after the cutoff. times must be sorted.
func dropUntil(times []time.Time, cutoff time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(cutoff) {
		times = times[1:]
	}
	return times
}
