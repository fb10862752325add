// Package fencing ensures that only the newest process of an entry VM acts for it.
// The platform's table has a row for each entry, its seat, which names that process
// by its incarnation, a fencing token. This seat is unrelated to the seats at
// backend servers in package slot.
//
// A process that starts raises the incarnation by a conditional write. The row is
// not a lease: it doesn't expire and isn't renewed. An older process stops when it
// learns of the higher incarnation, from its peers or from the row. So a seat costs
// the store one write per start and a read a minute.
package fencing

import (
	"context"
	"crypto/rand"
	"math"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// rowPrefix and the entry's name form the name of the seat's row.
const rowPrefix = "seat/"

const (
	// platformTimeout bounds how long Acquire tries to write the row, and how long
	// one check of the row takes.
	platformTimeout = 3 * time.Second
	// peerTimeout bounds how long Acquire waits for the answers of the peers.
	peerTimeout = 500 * time.Millisecond
	// retryInterval is the time between two attempts of Acquire to write the row.
	retryInterval = 200 * time.Millisecond
	// watchInterval is the mean time between two checks of the row. Each interval
	// is drawn between half of it and one and a half times it.
	watchInterval = time.Minute
	// provisionalWatchInterval is the time between two checks while the row
	// doesn't name this process yet.
	provisionalWatchInterval = 2 * time.Second
)

// Seat is the seat of an entry, as this process holds or tries to acquire it.
type Seat struct {
	// Entry is the name of the entry.
	Entry string
	// PeerAddress is the address at which peers reach this process.
	PeerAddress string
	// Peers holds the addresses of the peers that Acquire queries. It may contain
	// PeerAddress, which Acquire skips.
	Peers []string
	// Table is the platform's table that holds the row.
	Table platform.Table
	// QueryPeer asks the peer at an address for the highest incarnation of this
	// seat that it knows.
	QueryPeer func(ctx context.Context, address string) (uint64, error)
	// OnLost is called when Watch finds that another process holds the seat, with
	// the incarnation of that process.
	OnLost func(incarnation uint64)
	// Events records whether Acquire wrote the row or left the incarnation
	// provisional; it may be nil.
	Events *timeline.Ring

	// processToken is the random token that identifies this process in the row.
	processToken string
	// incarnation changes only while Acquire runs.
	incarnation uint64
	// held is set once the row has named this process; it is never cleared.
	held atomic.Bool
}

// Incarnation returns the incarnation of this process. Acquire sets it, and it
// doesn't change after that.
func (s *Seat) Incarnation() uint64 {
	return s.incarnation
}

// Held reports whether the row has named this process; it stays true if another
// process acquires the seat later. Until the row has, the incarnation is
// provisional: higher than any that the peers reported.
func (s *Seat) Held() bool {
	return s.held.Load()
}

// Acquire chooses an incarnation and writes it to the row. The incarnation is the
// time in nanoseconds, or a higher number where a peer or the row has one that is
// at least as high. If the platform is unreachable, the incarnation is provisional,
// and Watch writes it later.
func (s *Seat) Acquire(ctx context.Context) {
	s.processToken = rand.Text()
	s.incarnation = max(uint64(time.Now().UnixNano()), nextIncarnation(s.highestPeerIncarnation(ctx)))
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for ctx.Err() == nil && !s.tryAcquire(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	kind := "seat-provisional"
	if s.Held() {
		kind = "seat-taken"
	}
	s.Events.Record(timeline.Event{
		Kind: kind,
	})
}

// nextIncarnation returns the incarnation that follows the current one.
func nextIncarnation(current uint64) uint64 {
	if current == math.MaxUint64 {
		panic("fencing: the incarnations of the seat are exhausted")
	}
	return current + 1
}

// highestPeerIncarnation returns the highest incarnation of the seat that any
// peer knows, or zero if no peer answers.
func (s *Seat) highestPeerIncarnation(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	answers := make([]uint64, len(s.Peers))
	for i, address := range s.Peers {
		if address == s.PeerAddress {
			continue
		}
		group.Go(func() { answers[i], _ = s.QueryPeer(ctx, address) })
	}
	group.Wait()
	highest := uint64(0)
	for _, answer := range answers {
		highest = max(highest, answer)
	}
	return highest
}

// tryAcquire tries once to write the row, with an incarnation higher than the
// one in the row, and reports whether the row names this process. If the response
// to a write is lost, the next attempt finds this process's token in the row.
func (s *Seat) tryAcquire(ctx context.Context) bool {
	row, revision, err := s.readRow(ctx)
	if err != nil {
		return false
	}
	if row.GetMark() == s.processToken {
		s.held.Store(true)
		return true
	}
	s.incarnation = max(s.incarnation, nextIncarnation(row.GetIncarnation()))
	return s.writeRow(ctx, revision)
}

// readRow returns the decoded row and its revision, or an empty seat and revision
// if there is no row.
func (s *Seat) readRow(ctx context.Context) (*teaselv1.Seat, platform.Revision, error) {
	row, err := s.Table.Read(ctx, rowPrefix+s.Entry)
	if errors.Is(err, platform.ErrNotFound) {
		return &teaselv1.Seat{}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	seat := &teaselv1.Seat{}
	if err := proto.Unmarshal(row.Value, seat); err != nil {
		return nil, "", errors.Wrapf(err, "decode row %s", row.Name)
	}
	return seat, row.Revision, nil
}

// writeRow writes the row if it is still at the revision, and reports whether
// it did.
func (s *Seat) writeRow(ctx context.Context, revision platform.Revision) bool {
	value, err := proto.Marshal(&teaselv1.Seat{
		Entry:       s.Entry,
		Incarnation: s.incarnation,
		PeerAddress: s.PeerAddress,
		Mark:        s.processToken,
		TakenNs:     time.Now().UnixNano(),
	})
	if err != nil {
		panic("fencing: encode seat: " + err.Error())
	}
	_, err = s.Table.Commit(ctx, []platform.Write{{
		Row:              rowPrefix + s.Entry,
		ExpectedRevision: revision,
		Value:            value,
	}})
	if err == nil {
		s.held.Store(true)
	}
	return err == nil
}

// Watch checks the row periodically until ctx is done or the seat is lost. It
// writes the row if Acquire could not, or if the platform has lost the row.
func (s *Seat) Watch(ctx context.Context) {
	for {
		interval := watchInterval/2 + mathrand.N(watchInterval)
		if !s.Held() {
			interval = provisionalWatchInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if !s.checkRow(ctx) {
			return
		}
	}
}

// checkRow reads the row once and reports whether this process may keep the seat.
// If the row names another process with an incarnation at least as high, checkRow
// calls OnLost and returns false. If it names one with a lower incarnation, or
// there is no row, checkRow writes the row. A row that can't be read changes
// nothing.
func (s *Seat) checkRow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, revision, err := s.readRow(ctx)
	switch {
	case err != nil:
	case row.GetMark() == s.processToken:
		s.held.Store(true)
	case row.GetIncarnation() >= s.incarnation:
		s.OnLost(row.GetIncarnation())
		return false
	default:
		// The platform was unavailable when this process started, or lost the row.
		s.writeRow(ctx, revision)
	}
	return true
}
