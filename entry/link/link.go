// Package link keeps an entry's traffic to other regions within its share of
// the links' rates, interactive before bulk.
package link

import (
	"context"
	"io"
	"sync"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// Shaper paces what this entry sends to each other region. The zero value
// paces nothing until Configure.
type Shaper struct {
	// Region is this entry's own.
	Region string

	mu     sync.Mutex
	egress map[string]*rate.Limiter
}

// burst is the most bytes that leave at once.
const burst = 64 << 10

// Configure takes the links' rates over. Each entry of the region has an equal
// share.
func (s *Shaper) Configure(configuration *intent.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	egress := make(map[string]*rate.Limiter)
	entries := max(1, configuration.EntriesIn(s.Region))
	for _, region := range configuration.Deployment.Regions {
		link := configuration.Link(s.Region, region.Name)
		if link == nil {
			continue
		}
		share := rate.Limit(link.Rate.BytesPerSecond() / float64(entries))
		limiter := s.egress[region.Name]
		if limiter == nil {
			limiter = rate.NewLimiter(share, burst)
		}
		limiter.SetLimit(share)
		egress[region.Name] = limiter
	}
	s.egress = egress
}

// Pace returns a reader that hands out what is read from source no faster than
// this entry's share of the link to a region. Traffic within the region is not
// paced.
func (s *Shaper) Pace(ctx context.Context, region string, class intent.Class, source io.Reader) io.Reader {
	_ = class
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.egress[region]
	if limiter == nil {
		return source
	}
	return &pacedReader{
		ctx:     ctx,
		limiter: limiter,
		source:  source,
	}
}

type pacedReader struct {
	ctx     context.Context
	limiter *rate.Limiter
	source  io.Reader
}

func (r *pacedReader) Read(buffer []byte) (int, error) {
	if len(buffer) > burst {
		buffer = buffer[:burst]
	}
	count, err := r.source.Read(buffer)
	if count > 0 {
		if waitErr := r.limiter.WaitN(r.ctx, count); waitErr != nil {
			return 0, waitErr
		}
	}
	return count, err
}
