// Package link paces an entry's traffic to other regions, so that it stays
// within the entry's share of each link's rate and interactive traffic goes
// before bulk.
//
// The entries of a region have equal shares of the rate of a link from that
// region. So their sum stays within the rate, and the entries need not exchange
// messages. Both directions are paced at the sender: requests by the entry that
// relays them, responses by the entry that returns them.
package link

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

// Shaper paces the traffic that this entry sends to each other region. The zero
// value paces nothing until Configure is called.
type Shaper struct {
	// Region is the region of this entry.
	Region string

	mu sync.Mutex
	// egress maps each other region to the pacer of the link to it.
	egress map[string]*pacer
}

const (
	// burstBytes is the capacity of a pacer's token buckets shared and bulkCap.
	burstBytes = 64 << 10
	// headBytes is the number of bytes that is charged for the start line and
	// header of a message, whatever their real size.
	headBytes = 1 << 10
	// payloadFraction is the fraction of a link's rate that is left for HTTP
	// messages after the headers of TCP and IP.
	payloadFraction = 0.95
	// bulkFloorFraction is the fraction of a share that only bulk may use, so that
	// no amount of interactive traffic starves it.
	bulkFloorFraction = 0.05
	// unknownLengthRate is the rate that Admit assumes for a transfer of unknown
	// length, in bytes per second.
	unknownLengthRate = 64 << 10
)

// Configure applies the link rates and the number of entries of a
// configuration. Transfers on links that exist already go on at the new rate.
func (s *Shaper) Configure(configuration *intent.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	egress := make(map[string]*pacer)
	entries := max(1, configuration.EntryCount(s.Region))
	for _, region := range configuration.Deployment.Regions {
		link := configuration.Link(s.Region, region.Name)
		if link == nil {
			continue
		}
		linkPacer := s.egress[region.Name]
		if linkPacer == nil {
			linkPacer = newPacer()
		}
		linkPacer.configure(payloadFraction*link.Rate.BytesPerSecond()/float64(entries), link.InteractiveReserve)
		egress[region.Name] = linkPacer
	}
	s.egress = egress
}

// pacerTo returns the pacer of the link to a region, nil if there is none.
func (s *Shaper) pacerTo(region string) *pacer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.egress[region]
}

// Pace returns a reader that reads from source no faster than this entry's
// share of the link to the region allows. Without a link to the region, as for
// the entry's own, it returns source. It charges headBytes at once for the head
// of the message.
func (s *Shaper) Pace(ctx context.Context, region string, class intent.Class, source io.Reader) io.Reader {
	pacer := s.pacerTo(region)
	if pacer == nil {
		return source
	}
	pacer.deduct(headBytes)
	return &pacedReader{
		ctx:    ctx,
		pacer:  pacer,
		class:  class,
		source: source,
	}
}

// Admit reports whether a transfer of length bytes, negative if unknown, can be
// completed within the given time, besides the bulk transfers that are admitted
// already. If so, done must be called when the transfer ends. Interactive
// transfers are always admitted.
func (s *Shaper) Admit(region string, class intent.Class, length int64, within time.Duration) (done func(), admitted bool) {
	pacer := s.pacerTo(region)
	if pacer == nil || class != intent.Bulk {
		return func() {}, true
	}
	bytesPerSecond := float64(unknownLengthRate)
	if length >= 0 {
		bytesPerSecond = float64(length) / max(within.Seconds(), time.Millisecond.Seconds())
	}
	return pacer.admit(bytesPerSecond)
}

// pacedReader reads from source in chunks of at most chunkBytes and returns each
// chunk when the pacer allows it to be sent.
type pacedReader struct {
	ctx    context.Context
	pacer  *pacer
	class  intent.Class
	source io.Reader
}

func (r *pacedReader) Read(buffer []byte) (int, error) {
	if len(buffer) > chunkBytes {
		buffer = buffer[:chunkBytes]
	}
	count, err := r.source.Read(buffer)
	if count > 0 {
		if waitErr := r.pacer.wait(r.ctx, r.class, count); waitErr != nil {
			return 0, waitErr
		}
	}
	return count, err
}
