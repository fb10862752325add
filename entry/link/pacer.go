package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// chunkBytes is the maximum number of bytes that a transfer waits for at a time. It
// must not exceed the capacity of any of the pacer's token buckets, or the transfer
// could never get the tokens for them.
const chunkBytes = 16 << 10

// pacer is a rate limiter for this entry's share of one link, in one direction.
//
// It has three token buckets, in bytes: bulkFloor is filled at the part of the rate
// that only bulk may use, shared at the rest of the rate, for both classes, and bulkCap
// limits bulk to the part of the rate that is not reserved for interactive traffic.
// Interactive traffic has priority over bulk: it reserves tokens of shared in advance,
// even if that makes the balance negative, whereas bulk takes from shared only tokens
// that are available.
type pacer struct {
	shared    *rate.Limiter
	bulkFloor *rate.Limiter
	bulkCap   *rate.Limiter
	// bulkTurn is a semaphore. The one bulk transfer that waits for the tokens of its
	// next chunk holds it, and the others wait for it in order of arrival. A transfer
	// acquires it anew for each chunk.
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

// configure sets the share, in bytes per second, and the fraction of the rate that is
// reserved for interactive traffic. The rate at which the buckets are filled is the
// share less the capacities of shared and bulkFloor, so that the bytes sent after wait
// stay within the share in any one second, including a burst. But the rate is at least
// half of the share, so a share below twice these capacities can be exceeded for a
// second. Bytes that deduct accounts for may also exceed it, since they are sent
// without waiting.
func (p *pacer) configure(share, interactiveReserve float64) {
	sustainedRate := share - min(burstBytes+chunkBytes, share/2)
	p.shared.SetLimit(rate.Limit(sustainedRate * (1 - bulkFloorFraction)))
	p.bulkFloor.SetLimit(rate.Limit(sustainedRate * bulkFloorFraction))
	p.bulkCap.SetLimit(rate.Limit(sustainedRate * (1 - interactiveReserve)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAdmittedRate = sustainedRate * (1 - interactiveReserve)
}

// deduct takes the tokens for count bytes that are sent without waiting from shared,
// even if that makes the balance negative. Later chunks of either class then wait
// longer for tokens of shared. count must not exceed burstBytes, or nothing is taken.
func (p *pacer) deduct(count int) {
	p.shared.ReserveN(time.Now(), count)
}

// wait blocks until count bytes of a class may be sent. It returns an error if ctx is
// done first, and may do so as soon as the wait is known to exceed the deadline of ctx.
// count must not exceed chunkBytes.
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
	return p.waitFloorOrShared(ctx, count)
}

// waitFloorOrShared waits until bulkFloor or shared has enough tokens for count bytes, and takes
// them from that bucket. It returns an error if ctx is done first.
func (p *pacer) waitFloorOrShared(ctx context.Context, count int) error {
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
	// minRefillWait and maxRefillWait bound the time after which waitFloorOrShared
	// checks the buckets again: the minimum so that it doesn't spin, the maximum so that
	// it notices when the rate of a bucket has changed.
	minRefillWait = time.Millisecond
	maxRefillWait = time.Second
)

// refillTime returns the time until a bucket has enough tokens for count bytes,
// but at least minRefillWait and at most maxRefillWait. For a bucket whose rate is 0,
// it returns maxRefillWait.
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
