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

// responseLimiter limits the total size of the responses that ended claims hold. It
// drops the oldest responses first.
type responseLimiter struct {
	// maxBytes is the limit of totalBytes.
	maxBytes int
	// totalBytes is the total size of the responses that have not been dropped.
	totalBytes int
	// claims holds the claims that ended with a response, oldest first. Some of their
	// responses may have been dropped since.
	claims []*Claim
}

// add adds the size of the claim's response, if it has one, to totalBytes, and drops the
// oldest responses while totalBytes exceeds maxBytes. A response larger than maxBytes
// is thus dropped itself, after all others.
func (c *responseLimiter) add(claim *Claim) {
	if claim.result.Response == nil {
		return
	}
	c.totalBytes += claim.result.Response.size()
	c.claims = append(c.claims, claim)
	for c.totalBytes > c.maxBytes && len(c.claims) > 0 {
		c.dropResponse(c.claims[0])
		c.claims = c.claims[1:]
	}
}

// dropResponse drops the claim's response, if it still has one. The claim itself is
// kept, also in c.claims.
func (c *responseLimiter) dropResponse(claim *Claim) {
	c.totalBytes -= claim.result.Response.size()
	claim.result.Response = nil
}
