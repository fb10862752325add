package key

import (
	"time"
)

// expiryQueue is a first-in, first-out queue of values that expire in the order
// in which they were added. The zero value is an empty queue.
type expiryQueue[T any] struct {
	items []expiryItem[T]
	head  int
}

// expiryItem is a value with its time of expiry.
type expiryItem[T any] struct {
	value   T
	expires time.Time
}

// push adds a value, which must not expire before those in the queue.
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
	if q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return value
}

// responseCache limits the total size of the remembered responses. It drops the
// oldest first.
type responseCache struct {
	maxBytes   int
	totalBytes int
	claims     []*Claim
}

// size returns the bytes of the response, header and body.
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

// add accounts for the claim's response, and drops the oldest responses while
// their total exceeds maxBytes.
func (c *responseCache) add(claim *Claim) {
	if claim.result.Response == nil {
		return
	}
	c.totalBytes += claim.result.Response.size()
	c.claims = append(c.claims, claim)
	for c.totalBytes > c.maxBytes && len(c.claims) > 0 {
		c.remove(c.claims[0])
		c.claims = c.claims[1:]
	}
}

// remove drops the claim's response. The claim itself is kept.
func (c *responseCache) remove(claim *Claim) {
	c.totalBytes -= claim.result.Response.size()
	claim.result.Response = nil
}
