package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// chunkBytes is the maximum number of bytes that a transfer waits for at a time. It
// must not exceed the capacity of a token bucket.
const chunkBytes = 16 << 10

// pacer is a rate limiter for this entry's share of one link, in one direction.
//
// It has three token buckets, in bytes: shared is for both classes, bulkFloor
// is extra capacity for bulk alone, and bulkCap limits bulk to the part of the rate
// that is not reserved for interactive traffic. Interactive traffic has priority
// over bulk: it reserves tokens of shared in advance, even if that makes the balance
// negative, whereas bulk takes from shared only tokens that are available.
type pacer struct {
	shared    *rate.Limiter
	bulkFloor *rate.Limiter
	bulkCap   *rate.Limiter
	// bulkTurn is a semaphore for one bulk transfer, which waits for tokens for its
	// next chunk. The others wait for the semaphore in order of arrival.
	bulkTurn chan struct{}

	mu sync.Mutex
	// maxAdmittedRate limits admittedRate, the sum of the rates of the admitted bulk
	// transfers that have not ended. Both are in bytes per second.
	maxAdmittedRate float64
	admittedRate    float64
}

// newPacer returns a pacer whose share is 0 until configure sets it.
func newPacer() *pacer {
	return &pacer{
		shared:    rate.NewLimiter(0, burstBytes),
		bulkFloor: rate.NewLimiter(0, chunkBytes),
		bulkCap:   rate.NewLimiter(0, burstBytes),
		bulkTurn:  make(chan struct{}, 1),
	}
}

// configure sets the share, in bytes per second, and the fraction of the rate that
// is reserved for interactive traffic. The rate is the share less the capacities of
// shared and bulkFloor, so that the traffic of any one second stays within the share.
// But it is at least half of the share: a share of less than twice these capacities
// can be exceeded in a second with a burst.
func (p *pacer) configure(share, interactiveReserve float64) {
	sustained := share - min(burstBytes+chunkBytes, share/2)
	p.shared.SetLimit(rate.Limit(sustained * (1 - bulkFloorFraction)))
	p.bulkFloor.SetLimit(rate.Limit(sustained * bulkFloorFraction))
	p.bulkCap.SetLimit(rate.Limit(sustained * (1 - interactiveReserve)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAdmittedRate = sustained * (1 - interactiveReserve)
}

// deduct takes the tokens for count bytes that are sent without waiting. The next
// transfers wait the longer for theirs.
func (p *pacer) deduct(count int) {
	p.shared.ReserveN(time.Now(), count)
}

// wait blocks until count bytes of a class may be sent. It returns an error if ctx is
// done first, and may do so as soon as the wait is known to exceed the deadline of ctx.
func (p *pacer) wait(ctx context.Context, class intent.Class, count int) error {
	if class != intent.Bulk {
		return p.shared.WaitN(ctx, count)
	}
	select {
	case p.bulkTurn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.bulkTurn }()
	if err := p.bulkCap.WaitN(ctx, count); err != nil {
		return err
	}
	return p.waitBulk(ctx, count)
}

// waitBulk waits until bulkFloor or shared has enough tokens for count bytes, and takes
// them from that bucket. It returns an error if ctx is done first.
func (p *pacer) waitBulk(ctx context.Context, count int) error {
	for {
		now := time.Now()
		if p.bulkFloor.AllowN(now, count) || p.shared.AllowN(now, count) {
			return nil
		}
		timer := time.NewTimer(min(refillTime(p.shared, now, count), refillTime(p.bulkFloor, now, count)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

const (
	// minRefillWait and maxRefillWait bound the time between two checks of the buckets
	// in waitBulk, whose rates may have changed meanwhile.
	minRefillWait = time.Millisecond
	maxRefillWait = time.Second
)

// refillTime returns the time until a bucket has enough tokens for count bytes,
// but at least minRefillWait and at most maxRefillWait. It returns the latter for a
// bucket whose rate is 0.
func refillTime(bucket *rate.Limiter, now time.Time, count int) time.Duration {
	if bucket.Limit() <= 0 {
		return maxRefillWait
	}
	seconds := (float64(count) - bucket.TokensAt(now)) / float64(bucket.Limit())
	return max(minRefillWait, time.Duration(min(seconds, maxRefillWait.Seconds())*float64(time.Second)))
}

// admit adds a bulk transfer's rate to admittedRate unless the sum would exceed
// maxAdmittedRate. If admitted, done must be called when the transfer ends.
func (p *pacer) admit(bytesPerSecond float64) (done func(), admitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admittedRate+bytesPerSecond > p.maxAdmittedRate {
		return nil, false
	}
	p.admittedRate += bytesPerSecond
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.admittedRate -= bytesPerSecond
	}, true
}
