package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// RetryBudget limits the retries for each service, so that they don't multiply the
// load on a failing service. The limit holds for all entries together: each entry may
// retry a number of requests in proportion to its own, plus an equal share of a slack.
type RetryBudget struct {
	// Bounds returns the allowed ratio of retries to requests, the number of
	// retries allowed beyond it (the slack), and the window in which both are
	// counted.
	Bounds func() (ratio, slack float64, window time.Duration)
	// EntryCount returns how many entries share the slack.
	EntryCount func() int

	mu sync.Mutex
	// services holds the usage by service name.
	services map[string]*serviceUsage
}

// usableBudgetFraction is the fraction of the limit that an entry uses. The rest
// covers retries that the entry can't count: those that the network delays into a
// later window, and those from before a restart of the entry.
const usableBudgetFraction = 0.7

// serviceUsage holds the times of a service's requests and retries in the current
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

// firstTryFraction is the fraction of the budget that the entry may use to retry requests
// that are not themselves a caller's retry. The rest is reserved for callers that were
// refused before, because they have less time left to retry again.
const firstTryFraction = 0.6

// TryRetry reports whether a request may be retried, and counts the retry if so. If
// callerRetry is true, the request is itself a caller's retry after a refusal and may
// use the whole budget.
func (b *RetryBudget) TryRetry(service string, callerRetry bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.currentUsage(service)
	if b.remaining(usage, callerRetry) < 1 {
		return false
	}
	usage.retryTimes = append(usage.retryTimes, time.Now())
	return true
}

// RetriesLeft returns how many retries a service has left in the current window:
// of the whole budget if callerRetry is true, and otherwise of the part that is open to
// requests that are not a caller's retry.
func (b *RetryBudget) RetriesLeft(service string, callerRetry bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, int(b.remaining(b.currentUsage(service), callerRetry)))
}

// remaining returns the number of retries left. It is negative if more retries were
// made than the limit now allows. b.mu must be held.
func (b *RetryBudget) remaining(usage *serviceUsage, callerRetry bool) float64 {
	ratio, slack, _ := b.Bounds()
	allowed := usableBudgetFraction * (ratio*float64(len(usage.requestTimes)) + slack/float64(max(1, b.EntryCount())))
	if !callerRetry {
		allowed *= firstTryFraction
	}
	return allowed - float64(len(usage.retryTimes))
}

// Services returns the sorted names of the services that had requests.
func (b *RetryBudget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.services))
}

// currentUsage returns the usage of a service without the requests and retries that are
// older than the window. b.mu must be held.
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
	usage.requestTimes = trimBefore(usage.requestTimes, cutoff)
	usage.retryTimes = trimBefore(usage.retryTimes, cutoff)
	return usage
}

// trimBefore drops the times that are not after the cutoff from a sorted list.
func trimBefore(times []time.Time, cutoff time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(cutoff) {
		times = times[1:]
	}
	return times
}
