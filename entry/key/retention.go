package key

import (
	"time"
)

// expiryQueue is a first-in, first-out queue of values that expire in the order
// in which they were added. The zero value is an empty queue.
type expiryQueue[T any] struct {
	items []expiryItem[T]
	// head is the index in items of the oldest value; the elements before it are unused.
	head int
}

// expiryItem is a value with its time of expiry.
type expiryItem[T any] struct {
	value   T
	expires time.Time
}

// push adds a value. It must expire no earlier than the values already in the queue.
func (q *expiryQueue[T]) push(value T, expires time.Time) {
	q.items = append(q.items, expiryItem[T]{
		value:   value,
		expires: expires,
	})
}

// headExpired reports whether the queue is not empty and its oldest value has
// expired.
func (q *expiryQueue[T]) headExpired(now time.Time) bool {
	return q.head < len(q.items) && !now.Before(q.items[q.head].expires)
}

// pop removes and returns the oldest value. The queue must not be empty.
func (q *expiryQueue[T]) pop() T {
	var zero expiryItem[T]
	value := q.items[q.head].value
	// The slice must not keep the removed value alive.
	q.items[q.head] = zero
	q.head++
	// Once more than half of the elements are unused, the values are moved to the front
	// of the slice, so that the queue does not grow without bound.
	if q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return value
}

// size returns the size of the response's header and body in bytes, or 0 if r is nil.
func (r *Response) size() int {
	if r == nil {
		return 0
	}
	total := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// responseEvictor keeps the total size of the responses of ended claims within
// maxBytes by dropping the oldest responses. Its methods require the register's lock.
type responseEvictor struct {
	// maxBytes limits totalBytes, the total size of the responses that have not been
	// dropped.
	maxBytes   int
	totalBytes int
	// claims holds the claims that ended with a response, oldest first. add removes the
	// claims whose responses it drops; claims that have expired stay until then.
	claims []*Claim
}

// add adds a claim that has ended, if it has a response, and drops the oldest responses
// until the total is within maxBytes. A response larger than maxBytes drops all others
// and then itself.
func (e *responseEvictor) add(claim *Claim) {
	if claim.result.Response == nil {
		return
	}
	e.totalBytes += claim.result.Response.size()
	e.claims = append(e.claims, claim)
	for e.totalBytes > e.maxBytes && len(e.claims) > 0 {
		e.dropResponse(e.claims[0])
		e.claims = e.claims[1:]
	}
}

// dropResponse drops the claim's response, if it still has one. It does not remove the
// claim from e.claims.
func (e *responseEvictor) dropResponse(claim *Claim) {
	e.totalBytes -= claim.result.Response.size()
	claim.result.Response = nil
}
