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
// interactive reserve. Interactive traffic goes first, since it reserves tokens
// of shared in advance, which may make the balance negative, while bulk only
// takes tokens that are available.
type pacer struct {
	shared    *rate.Limiter
	bulkFloor *rate.Limiter
	bulkCap   *rate.Limiter
	// bulkTurn is held by the bulk transfer that sends the next chunk; the others
	// wait in order of arrival.
	bulkTurn chan struct{}

	mu sync.Mutex
	// maxAdmittedRate limits admittedRate, the sum of the rates of all admitted
	// bulk transfers, both in bytes per second.
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
// that the traffic of any one second stays within it.
func (p *pacer) configure(share, reserve float64) {
	sustained := share - min(burstBytes+chunkBytes, share/2)
	p.shared.SetLimit(rate.Limit(sustained * (1 - bulkFloorFraction)))
	p.bulkFloor.SetLimit(rate.Limit(sustained * bulkFloorFraction))
	p.bulkCap.SetLimit(rate.Limit(sustained * (1 - reserve)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAdmittedRate = sustained * (1 - reserve)
}

// deduct charges bytes that are sent without waiting.
func (p *pacer) deduct(count int) {
	p.shared.ReserveN(time.Now(), count)
}

// wait blocks until a number of bytes of a class may be sent, or ctx is done.
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
	// minRefillWait and maxRefillWait limit the time that refillTime returns.
	minRefillWait = time.Millisecond
	maxRefillWait = time.Second
)

// refillTime returns the time until a bucket has enough tokens for count bytes,
// within the limits above.
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
