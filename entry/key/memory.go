package key

import (
	"time"
)

// queue holds values in the order of their expiry. The zero value is empty.
type queue[T any] struct {
	items []queued[T]
	head  int
}

type queued[T any] struct {
	value   T
	expires time.Time
}

func (q *queue[T]) push(value T, expires time.Time) {
	q.items = append(q.items, queued[T]{
		value:   value,
		expires: expires,
	})
}

// due reports whether the oldest value has expired.
func (q *queue[T]) due(now time.Time) bool {
	return q.head < len(q.items) && !now.Before(q.items[q.head].expires)
}

// pop removes and returns the oldest value. The queue must not be empty.
func (q *queue[T]) pop() T {
	var zero queued[T]
	value := q.items[q.head].value
	q.items[q.head] = zero
	q.head++
	if q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return value
}

// answerCache bounds the bytes of remembered answers, the oldest going first.
type answerCache struct {
	most   int
	size   int
	claims []*Claim
}

// bytes counts an answer with its headers.
func (a *Response) bytes() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

func (c *answerCache) add(claim *Claim) {
	if claim.result.Response == nil {
		return
	}
	c.size += claim.result.Response.bytes()
	c.claims = append(c.claims, claim)
	for c.size > c.most && len(c.claims) > 0 {
		c.remove(c.claims[0])
		c.claims = c.claims[1:]
	}
}

// remove forgets a claim's answer, not the claim.
func (c *answerCache) remove(claim *Claim) {
	c.size -= claim.result.Response.bytes()
	claim.result.Response = nil
}
