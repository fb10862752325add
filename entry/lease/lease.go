// Package lease holds an entry VM's seat: a row of the platform's table that
// names the incarnation of the one process that may act for the entry.
//
// A process that starts raises the incarnation by a conditional write. The row
// doesn't expire and isn't renewed: an older process is fenced by the higher
// incarnation, which it learns from its peers or from the row. So a seat costs
// the store one write a start, and a read a minute.
package lease

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

// RowPrefix begins the names of the seats' rows.
const RowPrefix = "seat/"

const (
	// takeTimeout bounds how long a start waits for the platform.
	takeTimeout = 3 * time.Second
	// askTimeout bounds how long a start waits for its peers.
	askTimeout = 500 * time.Millisecond
	// retryInterval is the time between two attempts to take the row.
	retryInterval = 200 * time.Millisecond
	// watchInterval is the time between two looks at the row, give or take half.
	watchInterval = time.Minute
	// provisionalInterval is the same while the row isn't taken yet.
	provisionalInterval = 2 * time.Second
)

// Seat is the seat of this process.
type Seat struct {
	Entry       string
	PeerAddress string
	// Peers are addresses to ask which incarnation of the seat they know.
	Peers []string
	Table platform.Table
	// QueryPeer asks a peer for the incarnation it knows.
	QueryPeer func(ctx context.Context, address string) (uint64, error)
	// OnLost is called when another process has the seat.
	OnLost func(incarnation uint64)
	// Events takes the steps of the seat; it may be nil.
	Events *timeline.Ring

	mark        string
	incarnation uint64
	held        atomic.Bool
}

// Incarnation returns the incarnation of this process. Take sets it, and it
// doesn't change after that.
func (s *Seat) Incarnation() uint64 {
	return s.incarnation
}

// Held reports whether the row names this process. While it does not, the
// incarnation is provisional: above all that the peers knew.
func (s *Seat) Held() bool {
	return s.held.Load()
}

// Acquire chooses an incarnation above all earlier ones of the seat and writes it
// to the row. With the platform out of reach the incarnation is provisional,
// and Watch writes it later.
func (s *Seat) Acquire(ctx context.Context) {
	s.mark = rand.Text()
	s.incarnation = max(uint64(time.Now().UnixNano()), next(s.askPeers(ctx)))
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for ctx.Err() == nil && !s.take(ctx) {
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

// next returns the incarnation after one that is known.
func next(known uint64) uint64 {
	if known == math.MaxUint64 {
		panic("lease: the incarnations of a seat are used up")
	}
	return known + 1
}

// askPeers returns the highest incarnation of the seat that peers know.
func (s *Seat) askPeers(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// take tries once to write the row, raising the own incarnation above the one
// there. A lost answer is settled by the next try, which reads the own mark.
func (s *Seat) take(ctx context.Context) bool {
	row, revision, err := s.read(ctx)
	if err != nil {
		return false
	}
	if row.GetMark() == s.mark {
		s.held.Store(true)
		return true
	}
	s.incarnation = max(s.incarnation, next(row.GetIncarnation()))
	return s.write(ctx, revision)
}

// read returns the row; an empty one where there is none.
func (s *Seat) read(ctx context.Context) (*teaselv1.Seat, platform.Revision, error) {
	row, err := s.Table.Read(ctx, RowPrefix+s.Entry)
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

// write takes the row while it is at a revision.
func (s *Seat) write(ctx context.Context, revision platform.Revision) bool {
	value, err := proto.Marshal(&teaselv1.Seat{
		Entry:       s.Entry,
		Incarnation: s.incarnation,
		PeerAddress: s.PeerAddress,
		Mark:        s.mark,
		TakenNs:     time.Now().UnixNano(),
	})
	if err != nil {
		panic("lease: encode a seat: " + err.Error())
	}
	_, err = s.Table.Commit(ctx, []platform.Write{{
		Row:              RowPrefix + s.Entry,
		ExpectedRevision: revision,
		Value:            value,
	}})
	if err == nil {
		s.held.Store(true)
	}
	return err == nil
}

// Watch looks at the row until ctx is done or the seat is lost. It takes the
// row that Take could not.
func (s *Seat) Watch(ctx context.Context) {
	for {
		interval := watchInterval/2 + mathrand.N(watchInterval)
		if !s.Held() {
			interval = provisionalInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if !s.look(ctx) {
			return
		}
	}
}

// look reads the row once, and reports whether the seat still is this
// process's.
func (s *Seat) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	row, revision, err := s.read(ctx)
	switch {
	case err != nil:
	case row.GetMark() == s.mark:
		s.held.Store(true)
	case row.GetIncarnation() >= s.incarnation:
		s.OnLost(row.GetIncarnation())
		return false
	default:
		// The platform was down when this process started, or lost the row.
		s.write(ctx, revision)
	}
	return true
}
