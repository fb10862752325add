package placement

import (
	"math"
	"time"
)

// HealthSignal is what the result of one request says about the health of the
// server that it was sent to.
type HealthSignal uint8

// Health signals.
const (
	// SignalAnswered means that the server ran the request and sent an answer that shows
	// no fault of the server. The rest of a long answer may not have arrived yet.
	SignalAnswered HealthSignal = iota
	// SignalShed means that the server refused the request although it reports
	// free slots.
	SignalShed
	// SignalFull means that the server refused the request and reports no free
	// slot, or no load at all.
	SignalFull
	// SignalNoConnection means that no connection to the server could be
	// established.
	SignalNoConnection
	// SignalReplaced means that another server now listens at the address.
	SignalReplaced
	// SignalBroken means that the connection broke before the answer, or that the answer
	// was truncated, a server error or possibly that to another request.
	SignalBroken
	// SignalNone says nothing about the server.
	SignalNone
)

const (
	// failureHalfLife is the half-life of the counts of failed and of all requests.
	failureHalfLife = 2 * time.Second
	// A server is excluded if at least minFailures of its requests failed, and these are
	// at least minFailureRatio of all its requests, by the decayed counts.
	minFailureRatio = 0.25
	minFailures     = 2
	// minExclusion and maxExclusion bound how long a failing server is excluded. The time
	// doubles with each exclusion, and starts from minExclusion again once the server has
	// answered a request after the end of an exclusion.
	minExclusion = time.Second
	maxExclusion = 8 * time.Second
)

// failureDetector decides from the results of requests whether a server is failing
// and excludes it for a time (passive outlier detection).
type failureDetector struct {
	// failures and total are exponentially decayed counts of the failed requests and of
	// all that were answered or failed, as of decayedAt.
	failures  float64
	total     float64
	decayedAt time.Time
	// excludedUntil is when the last exclusion ends, and exclusionTime is its length.
	excludedUntil time.Time
	exclusionTime time.Duration
	// unreachable reports whether the last exclusion began because no connection could be
	// established.
	unreachable bool
	// replaced reports whether another server has answered at the server's address.
	// The server is then gone, even if it is still registered.
	replaced bool
}

// decay decays the counts from decayedAt to now.
func (d *failureDetector) decay(now time.Time) {
	if !d.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(d.decayedAt)) / float64(failureHalfLife))
		d.failures *= factor
		d.total *= factor
	}
	d.decayedAt = now
}

// observe records a signal and reports whether the signal starts an exclusion or is the
// first sign that the server was replaced. A failed connection, or a refusal in spite of
// free slots, excludes the server at once; other failures do so once there are enough
// of them, see minFailures and minFailureRatio. SignalNone and SignalFull have no effect.
func (d *failureDetector) observe(signal HealthSignal, now time.Time) bool {
	if signal == SignalNone || signal == SignalFull {
		return false
	}
	if signal == SignalReplaced {
		first := !d.replaced
		d.replaced = true
		return first
	}
	d.decay(now)
	d.total++
	if signal == SignalAnswered {
		if now.After(d.excludedUntil) {
			d.exclusionTime = 0
		}
		return false
	}
	d.failures++
	exclude := signal == SignalNoConnection || signal == SignalShed ||
		d.failures >= minFailures && d.failures >= minFailureRatio*d.total
	if !exclude || now.Before(d.excludedUntil) {
		return false
	}
	d.exclusionTime = min(maxExclusion, max(minExclusion, 2*d.exclusionTime))
	d.excludedUntil = now.Add(d.exclusionTime)
	d.unreachable = signal == SignalNoConnection
	return true
}

// excludedAsUnreachable reports whether the server is excluded now because no connection could be
// established.
func (d *failureDetector) excludedAsUnreachable(now time.Time) bool {
	return d.unreachable && now.Before(d.excludedUntil)
}

// endUnreachable ends an exclusion that began because no connection could be established.
func (d *failureDetector) endUnreachable(now time.Time) {
	if d.excludedAsUnreachable(now) {
		d.excludedUntil = now
	}
}

// failing reports whether the server is excluded now or was replaced.
func (d *failureDetector) failing(now time.Time) bool {
	return d.replaced || now.Before(d.excludedUntil)
}
