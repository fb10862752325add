package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// chunk is the most bytes that a transfer sends in one turn.
const chunk = 16 << 10

// pipe is this entry's share of one link, one way.
//
// Its three buckets: all holds what both classes may send, floor what only bulk
// may send besides, and bulk keeps bulk out of the reserve. Interactive traffic
// takes from all at once and may overdraw it; bulk takes only what is there, so
// interactive goes first.
type pipe struct {
	all   *rate.Limiter
	floor *rate.Limiter
	bulk  *rate.Limiter
	// turn is held by the one bulk transfer whose chunk is next; the others wait
	// in the order of their coming.
	turn chan struct{}

	mu sync.Mutex
	// most is the rate that bulk may be promised, committed what has been, in
	// bytes a second.
	most      float64
	committed float64
}

func newPipe() *pipe {
	return &pipe{
		all:   rate.NewLimiter(0, burst),
		floor: rate.NewLimiter(0, chunk),
		bulk:  rate.NewLimiter(0, burst),
		turn:  make(chan struct{}, 1),
	}
}

// configure sets the share, in bytes a second, and the part of it that bulk never
// takes. The bursts are deducted, so that no second has more than the share.
func (p *pipe) configure(share, reserve float64) {
	least := share - min(burst+chunk, share/2)
	p.all.SetLimit(rate.Limit(least * (1 - bulkFloor)))
	p.floor.SetLimit(rate.Limit(least * bulkFloor))
	p.bulk.SetLimit(rate.Limit(least * (1 - reserve)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = least * (1 - reserve)
}

// charge takes bytes that leave without waiting.
func (p *pipe) charge(count int) {
	p.all.ReserveN(time.Now(), count)
}

func (p *pipe) wait(ctx context.Context, class intent.Class, count int) error {
	if class != intent.Bulk {
		return p.all.WaitN(ctx, count)
	}
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.turn }()
	if err := p.bulk.WaitN(ctx, count); err != nil {
		return err
	}
	return p.waitBulk(ctx, count)
}

// waitBulk waits until the bytes are there in either bucket.
func (p *pipe) waitBulk(ctx context.Context, count int) error {
	for {
		now := time.Now()
		if p.floor.AllowN(now, count) || p.all.AllowN(now, count) {
			return nil
		}
		timer := time.NewTimer(min(shortage(p.all, now, count), shortage(p.floor, now, count)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

const (
	shortestWait = time.Millisecond
	longestWait  = time.Second
)

// shortage returns how long a bucket takes to hold a count of bytes.
func shortage(bucket *rate.Limiter, now time.Time, count int) time.Duration {
	if bucket.Limit() <= 0 {
		return longestWait
	}
	seconds := (float64(count) - bucket.TokensAt(now)) / float64(bucket.Limit())
	return max(shortestWait, time.Duration(min(seconds, longestWait.Seconds())*float64(time.Second)))
}

// commit promises a rate to a bulk transfer, if there is as much left.
func (p *pipe) commit(needed float64) (done func(), committed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.committed+needed > p.most {
		return nil, false
	}
	p.committed += needed
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.committed -= needed
	}, true
}
