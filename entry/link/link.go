// Package link keeps an entry's traffic to other regions within its share of
// the links' rates, interactive before bulk.
//
// Each entry of a region has an equal share of what the region may send on a
// link, so the sum is within the rate without a message. Both directions are
// paced: requests by the entry that sends them, answers by the entry that sends
// those back.
package link

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// Shaper paces what this entry sends to each other region. The zero value
// paces nothing until Configure.
type Shaper struct {
	// Region is this entry's own.
	Region string

	mu     sync.Mutex
	egress map[string]*pipe
}

const (
	// burst is the most bytes that leave at once.
	burst = 64 << 10
	// headBytes is what the head of a request or an answer counts, in bytes.
	headBytes = 1 << 10
	// payload is the part of a link's rate that is left for bodies and heads under
	// the headers of TCP and IP.
	payload = 0.95
	// bulkFloor is the part of a share that bulk alone may use, so that no amount
	// of interactive traffic stops it for good.
	bulkFloor = 0.05
	// leastRate is what a bulk transfer of unknown length counts, in bytes a second.
	leastRate = 64 << 10
)

// Configure takes the links' rates over.
func (s *Shaper) Configure(configuration *intent.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	egress := make(map[string]*pipe)
	entries := max(1, configuration.EntryCount(s.Region))
	for _, region := range configuration.Deployment.Regions {
		link := configuration.Link(s.Region, region.Name)
		if link == nil {
			continue
		}
		known := s.egress[region.Name]
		if known == nil {
			known = newPipe()
		}
		known.configure(payload*link.Rate.BytesPerSecond()/float64(entries), link.InteractiveReserve)
		egress[region.Name] = known
	}
	s.egress = egress
}

func (s *Shaper) pipe(region string) *pipe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.egress[region]
}

// Pace returns a reader that hands out what is read from source no faster than
// this entry's share of the link to a region. Traffic within the region is not
// paced.
func (s *Shaper) Pace(ctx context.Context, region string, class intent.Class, source io.Reader) io.Reader {
	pipe := s.pipe(region)
	if pipe == nil {
		return source
	}
	pipe.charge(headBytes)
	return &pacedReader{
		ctx:    ctx,
		pipe:   pipe,
		class:  class,
		source: source,
	}
}

// Admit reports whether a transfer of a length in bytes, negative for an unknown
// one, can reach a region within a time beside those admitted before. If so,
// done must be called at its end. Interactive traffic is always admitted.
func (s *Shaper) Admit(region string, class intent.Class, length int64, within time.Duration) (done func(), admitted bool) {
	pipe := s.pipe(region)
	if pipe == nil || class != intent.Bulk {
		return func() {}, true
	}
	needed := float64(leastRate)
	if length >= 0 {
		needed = float64(length) / max(within.Seconds(), time.Millisecond.Seconds())
	}
	return pipe.commit(needed)
}

type pacedReader struct {
	ctx    context.Context
	pipe   *pipe
	class  intent.Class
	source io.Reader
}

func (r *pacedReader) Read(buffer []byte) (int, error) {
	if len(buffer) > chunk {
		buffer = buffer[:chunk]
	}
	count, err := r.source.Read(buffer)
	if count > 0 {
		if waitErr := r.pipe.wait(r.ctx, r.class, count); waitErr != nil {
			return 0, waitErr
		}
	}
	return count, err
}
