package placement

import (
	"math"
	"time"
)

// HealthSignal is what one request tells of a server.
type HealthSignal uint8

// Signs of a server.
const (
	// SignalAnswered is a whole answer of the server's own.
	SignalAnswered HealthSignal = iota
	// SignalShed is a refusal by a server that reports free slots.
	SignalShed
	// SignalFull is a refusal of a server that reports no free slot.
	SignalFull
	// SignalNoConnection means that no connection came about.
	SignalNoConnection
	// SignalReplaced means that another server has the address now.
	SignalReplaced
	// SignalBroken means that the answer was cut, spoilt or a failure.
	SignalBroken
	// SignalNone tells nothing of the server.
	SignalNone
)

const (
	// failHalfLife is how long it takes until a failure counts half.
	failHalfLife = 2 * time.Second
	// failShare and failWeight condemn a server: failures in that share of its
	// requests, once they weigh as much as several.
	failShare  = 0.25
	failWeight = 2
	// failFirst and failMost bound how long a failing server is left out; the time
	// doubles with each failure after that.
	failFirst = time.Second
	failMost  = 8 * time.Second
)

// health judges one server by what becomes of requests.
type health struct {
	failures float64
	total    float64
	at       time.Time
	until    time.Time
	patience time.Duration
	// replaced says that another server has the address: this one is gone, whether
	// its registration is or not.
	replaced bool
}

// decay ages the counts to a time.
func (h *health) decay(now time.Time) {
	if !h.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.at)) / float64(failHalfLife))
		h.failures *= factor
		h.total *= factor
	}
	h.at = now
}

// observe takes a sign over and reports whether it condemned the server.
func (h *health) observe(sign HealthSignal, now time.Time) bool {
	if sign == SignalNone || sign == SignalFull {
		return false
	}
	if sign == SignalReplaced {
		first := !h.replaced
		h.replaced = true
		return first
	}
	h.decay(now)
	h.total++
	if sign == SignalAnswered {
		if now.After(h.until) {
			h.patience = 0
		}
		return false
	}
	h.failures++
	condemned := sign == SignalNoConnection || sign == SignalShed ||
		h.failures >= failWeight && h.failures >= failShare*h.total
	if !condemned || now.Before(h.until) {
		return false
	}
	h.patience = min(failMost, max(failFirst, 2*h.patience))
	h.until = now.Add(h.patience)
	return true
}

func (h *health) failing(now time.Time) bool {
	return h.replaced || now.Before(h.until)
}
