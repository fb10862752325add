// Package fencing decides which process may act for an entry VM: the newest one. The
// platform's table has a row for each entry, which names its owner, the process that
// last acquired the ownership, with the incarnation of that process, a fencing token.
//
// In names that leave the process, such as those of the row, the Seat message and
// the events, the ownership is called the entry's seat. Package slot uses seat in
// another sense, for the right to allocate slots of a backend server.
//
// A process that starts raises the incarnation by a conditional write. The row is
// not a lease: it doesn't expire and isn't renewed. An older process stops when it
// learns of the higher incarnation, from its peers or from the row. So each start of
// a process costs the table one write, and each running process a read a minute.
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

// rowPrefix followed by the entry's name is the name of the row.
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

// Ownership is the exclusive right to act for an entry, which this process holds or
// tries to acquire.
type Ownership struct {
	// Entry is the name of the entry.
	Entry string
	// PeerAddress is the address at which peers reach this process.
	PeerAddress string
	// Peers holds the addresses of the peers that Acquire queries. It may contain
	// PeerAddress, which Acquire skips.
	Peers []string
	// Table is the platform's table that holds the row.
	Table platform.Table
	// QueryPeer asks the peer at an address for the highest incarnation of the entry
	// that it knows.
	QueryPeer func(ctx context.Context, address string) (uint64, error)
	// OnLost is called when Watch finds that another process owns the entry, with the
	// incarnation of that process.
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
func (o *Ownership) Incarnation() uint64 {
	return o.incarnation
}

// Held reports whether the row has ever named this process as the owner; it stays
// true if another process acquires the ownership later. As long as Held is false, the
// incarnation is provisional: it exceeds those that the peers reported, but maybe not
// the one in the row.
func (o *Ownership) Held() bool {
	return o.held.Load()
}

// Acquire chooses an incarnation and writes it to the row. The incarnation is the
// time in nanoseconds, or a higher number where a peer or the row has one that is
// at least as high. If the row can't be written within platformTimeout, the
// incarnation is provisional, and Watch tries to write it later.
func (o *Ownership) Acquire(ctx context.Context) {
	o.processToken = rand.Text()
	o.incarnation = max(uint64(time.Now().UnixNano()), nextIncarnation(o.highestPeerIncarnation(ctx)))
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for ctx.Err() == nil && !o.tryAcquire(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	kind := "seat-provisional"
	if o.Held() {
		kind = "seat-taken"
	}
	o.Events.Record(timeline.Event{
		Kind: kind,
	})
}

// nextIncarnation returns the incarnation that follows the current one.
func nextIncarnation(current uint64) uint64 {
	if current == math.MaxUint64 {
		panic("fencing: the incarnations of the entry are exhausted")
	}
	return current + 1
}

// highestPeerIncarnation returns the highest incarnation of the entry that any
// peer knows, or zero if no peer answers.
func (o *Ownership) highestPeerIncarnation(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	incarnations := make([]uint64, len(o.Peers))
	for i, address := range o.Peers {
		if address == o.PeerAddress {
			continue
		}
		wg.Go(func() { incarnations[i], _ = o.QueryPeer(ctx, address) })
	}
	wg.Wait()
	highest := uint64(0)
	for _, incarnation := range incarnations {
		highest = max(highest, incarnation)
	}
	return highest
}

// tryAcquire tries once to write the row, with an incarnation higher than the
// one in the row, and reports whether the row is known to name this process. If the
// response to a write is lost, the next attempt finds this process's token in the
// row.
func (o *Ownership) tryAcquire(ctx context.Context) bool {
	row, revision, err := o.readRow(ctx)
	if err != nil {
		return false
	}
	if row.GetMark() == o.processToken {
		o.held.Store(true)
		return true
	}
	o.incarnation = max(o.incarnation, nextIncarnation(row.GetIncarnation()))
	return o.writeRow(ctx, revision)
}

// readRow returns the decoded row and its revision; both are empty if there is no
// row.
func (o *Ownership) readRow(ctx context.Context) (*teaselv1.Seat, platform.Revision, error) {
	row, err := o.Table.Read(ctx, rowPrefix+o.Entry)
	if errors.Is(err, platform.ErrNotFound) {
		return &teaselv1.Seat{}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	decoded := &teaselv1.Seat{}
	if err := proto.Unmarshal(row.Value, decoded); err != nil {
		return nil, "", errors.Wrapf(err, "decode row %s", row.Name)
	}
	return decoded, row.Revision, nil
}

// writeRow writes the row if it is still at the revision, and reports whether the
// write is known to have succeeded.
func (o *Ownership) writeRow(ctx context.Context, revision platform.Revision) bool {
	value, err := proto.Marshal(&teaselv1.Seat{
		Entry:       o.Entry,
		Incarnation: o.incarnation,
		PeerAddress: o.PeerAddress,
		Mark:        o.processToken,
		TakenNs:     time.Now().UnixNano(),
	})
	if err != nil {
		panic("fencing: encode row: " + err.Error())
	}
	_, err = o.Table.Commit(ctx, []platform.Write{{
		Row:              rowPrefix + o.Entry,
		ExpectedRevision: revision,
		Value:            value,
	}})
	if err == nil {
		o.held.Store(true)
	}
	return err == nil
}

// Watch checks the row periodically until ctx is done. If the ownership is lost, it
// calls OnLost and returns. It writes the row if Acquire could not, or if the platform
// has lost the row.
func (o *Ownership) Watch(ctx context.Context) {
	for {
		interval := watchInterval/2 + mathrand.N(watchInterval)
		if !o.Held() {
			interval = provisionalWatchInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if !o.checkRow(ctx) {
			return
		}
	}
}

// checkRow reads the row once and reports whether this process may go on acting for
// the entry. If the row names another process with an incarnation at least as high,
// checkRow calls OnLost and returns false. If it names one with a lower incarnation,
// or there is no row, checkRow tries to write the row. If the row can't be read,
// checkRow returns true.
func (o *Ownership) checkRow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, revision, err := o.readRow(ctx)
	switch {
	case err != nil:
	case row.GetMark() == o.processToken:
		o.held.Store(true)
	case row.GetIncarnation() >= o.incarnation:
		o.OnLost(row.GetIncarnation())
		return false
	default:
		// The platform was unavailable when this process started, or lost the row.
		o.writeRow(ctx, revision)
	}
	return true
}
