package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// chunkBytes is the most bytes that a transfer sends in one turn.
const chunkBytes = 16 << 10

// pacer is a rate limiter for this entry's share of one link, in one direction.
//
// It has three token buckets, in bytes: shared is for both classes, bulkFloor
// is extra capacity for bulk alone, and bulkCap keeps bulk out of the
// interactive reserve. Interactive traffic has priority over bulk: it reserves
// tokens of shared in advance, even if that makes the balance negative, whereas
// bulk takes only tokens that are available.
type pacer struct {
	shared    *rate.Limiter
	bulkFloor *rate.Limiter
	bulkCap   *rate.Limiter
	// bulkTurn is a semaphore that the bulk transfer that sends the next chunk
	// holds; the other transfers wait for it in order of arrival.
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

// configure sets the share, in bytes per second, and the fraction of it that is
// reserved for interactive traffic. The bursts are deducted from the share, so
// that the traffic of any one second stays within the share; at most half of the
// share is deducted.
func (p *pacer) configure(share, interactiveReserve float64) {
	sustained := share - min(burstBytes+chunkBytes, share/2)
	p.shared.SetLimit(rate.Limit(sustained * (1 - bulkFloorFraction)))
	p.bulkFloor.SetLimit(rate.Limit(sustained * bulkFloorFraction))
	p.bulkCap.SetLimit(rate.Limit(sustained * (1 - interactiveReserve)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAdmittedRate = sustained * (1 - interactiveReserve)
}

// deduct takes the tokens for count bytes that are sent without waiting.
func (p *pacer) deduct(count int) {
	p.shared.ReserveN(time.Now(), count)
}

// wait blocks until count bytes of a class may be sent, or ctx is done.
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

// waitBulk waits until bulkFloor or shared has enough tokens for count bytes,
// and takes them.
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
	// minRefillWait and maxRefillWait are the limits of the result of refillTime.
	minRefillWait = time.Millisecond
	maxRefillWait = time.Second
)

// refillTime returns the time until a bucket has enough tokens for count bytes,
// but at least minRefillWait and at most maxRefillWait.
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
