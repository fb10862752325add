// Package link paces the bodies of messages that an entry sends to other regions,
// so that the traffic stays within the entry's share of each link's rate and
// interactive traffic goes before bulk.
//
// Each entry of a region has an equal share of the rate of a link from that
// region. The shares add up to no more than that rate, so the entries need not
// exchange messages. Each direction is paced at its sender: requests by the entry
// that relays them, responses by the entry that returns them.
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
	// burstBytes is the capacity of the token buckets shared and bulkCap of a pacer.
	burstBytes = 64 << 10
	// headBytes is the assumed size of the start line and headers of a message, in
	// bytes.
	headBytes = 1 << 10
	// payloadFraction is the fraction of a link's rate that is available for HTTP
	// messages; the headers of TCP and IP take the rest.
	payloadFraction = 0.95
	// bulkFloorFraction is the fraction of a pacer's rate that only bulk traffic may
	// use, so that no amount of interactive traffic starves it.
	bulkFloorFraction = 0.05
	// unknownLengthRate is the rate that Admit assumes for a transfer of unknown
	// length, in bytes per second.
	unknownLengthRate = 64 << 10
)

// Configure applies the link rates and the number of entries of a
// configuration. Transfers in progress continue at the new rate of their link.
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
// share of the link to the region allows. If there is no link to the region, as
// to the entry's own region, it returns source. Otherwise it also deducts headBytes
// from the share at once, for the start line and headers of the message.
func (s *Shaper) Pace(ctx context.Context, region string, class intent.Class, source io.Reader) io.Reader {
	linkPacer := s.pacerTo(region)
	if linkPacer == nil {
		return source
	}
	linkPacer.deduct(headBytes)
	return &pacedReader{
		ctx:    ctx,
		pacer:  linkPacer,
		class:  class,
		source: source,
	}
}

// Admit reports whether a transfer of length bytes, negative if unknown, can be
// completed within the given time, alongside the bulk transfers that were
// admitted before and have not ended. If so, done must be called when the
// transfer ends. Interactive transfers, and transfers to a region without a link,
// are always admitted.
func (s *Shaper) Admit(region string, class intent.Class, length int64, within time.Duration) (done func(), admitted bool) {
	linkPacer := s.pacerTo(region)
	if linkPacer == nil || class != intent.Bulk {
		return func() {}, true
	}
	bytesPerSecond := float64(unknownLengthRate)
	if length >= 0 {
		bytesPerSecond = float64(length) / max(within.Seconds(), time.Millisecond.Seconds())
	}
	return linkPacer.admit(bytesPerSecond)
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
