package fencing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

var errUnavailable = errors.New("platform unreachable")

// newOwnership returns an ownership of entry-1 whose only peer reports
// peerIncarnation, and the list of incarnations passed to OnLost.
func newOwnership(table platform.Table, peerIncarnation uint64) (*Ownership, *[]uint64) {
	lostTo := &[]uint64{}
	return &Ownership{
		Entry: "entry-1",
		Peers: []string{"10.0.0.2:1"},
		Table: table,
		QueryPeer: func(context.Context, string) (uint64, error) {
			return peerIncarnation, nil
		},
		OnLost: func(incarnation uint64) { *lostTo = append(*lostTo, incarnation) },
	}, lostTo
}

// withLostResponses makes a table execute every commit, but lose the responses
// to the first lostCount of them.
func withLostResponses(table platform.Table, lostCount int) platform.Table {
	commit := table.Commit
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		revisions, err := commit(ctx, writes)
		if lostCount--; lostCount >= 0 {
			return nil, errUnavailable
		}
		return revisions, err
	}
	return table
}

// withOutage makes a table fail all calls for a duration that begins now.
func withOutage(table platform.Table, duration time.Duration) platform.Table {
	began := time.Now()
	read, commit := table.Read, table.Commit
	table.Read = func(ctx context.Context, row string) (platform.Row, error) {
		if time.Since(began) < duration {
			return platform.Row{}, errUnavailable
		}
		return read(ctx, row)
	}
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		if time.Since(began) < duration {
			return nil, errUnavailable
		}
		return commit(ctx, writes)
	}
	return table
}

// runWatch runs Watch of several ownerships at once and stops it after a duration.
func runWatch(t *testing.T, duration time.Duration, ownerships ...*Ownership) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, ownership := range ownerships {
		wg.Go(func() { ownership.Watch(ctx) })
	}
	wg.Wait()
}

// TestEachStartRaisesTheIncarnation checks that a process chooses a higher
// incarnation than the peers and the row have, even if its clock is behind, and
// that the older process learns that it lost the ownership.
func TestEachStartRaisesTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		ahead := uint64(time.Now().Add(time.Hour).UnixNano())
		first, lost := newOwnership(store.Platform().Table, ahead)
		first.Acquire(t.Context())
		assert.Equal(t, first.Incarnation(), ahead+1, "one above the incarnation that peers know, although the clock is behind")
		second, _ := newOwnership(store.Platform().Table, 0)
		second.Acquire(t.Context())
		assert.Equal(t, second.Incarnation(), ahead+2, "one above the incarnation in the row, although the clock is behind")
		runWatch(t, 2*watchInterval, first, second)
		assert.DeepEqual(t, *lost, []uint64{ahead + 2})
		assert.Assert(t, second.Held())
	})
}

// TestLostCommitResponseIsRecovered loses the responses to commits that took
// effect. The process must recognize its own row by the token, and neither commit
// again nor take the row for that of another process.
func TestLostCommitResponseIsRecovered(t *testing.T) {
	for lostCount := 1; lostCount <= 3; lostCount++ {
		synctest.Test(t, func(t *testing.T) {
			var store memory.Store
			acquired, lost := newOwnership(withLostResponses(store.Platform().Table, lostCount), 0)
			acquired.Acquire(t.Context())
			assert.Assert(t, acquired.Held())
			assert.Equal(t, store.Commits(), uint64(1))
			runWatch(t, 2*watchInterval, acquired)
			assert.Equal(t, len(*lost), 0)
		})
	}
}

// TestProvisionalIncarnationDuringPlatformOutage starts a process while the platform's
// table is unavailable for an hour and an older process of the same entry runs.
// Neither must lose the ownership before the table is available again; then the
// older one must lose it.
func TestProvisionalIncarnationDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		previous, lost := newOwnership(store.Platform().Table, 0)
		previous.Acquire(t.Context())
		table := withOutage(store.Platform().Table, time.Hour)
		next, nextLost := newOwnership(table, previous.Incarnation())
		began := time.Now()
		next.Acquire(t.Context())
		assert.Equal(t, time.Since(began), platformTimeout)
		assert.Assert(t, !next.Held())
		assert.Assert(t, next.Incarnation() > previous.Incarnation())
		previous.Table = table
		runWatch(t, time.Hour-time.Minute, previous, next)
		assert.Equal(t, len(*lost)+len(*nextLost), 0, "no process loses the ownership because the table is unavailable")
		runWatch(t, 5*time.Minute, previous, next)
		assert.Assert(t, next.Held())
		assert.DeepEqual(t, *lost, []uint64{next.Incarnation()})
		assert.Equal(t, len(*nextLost), 0)
	})
}

// TestRacingStartsLeaveOneOwner starts two processes of one entry at the same
// time: exactly one of them must lose the ownership.
func TestRacingStartsLeaveOneOwner(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			var store memory.Store
			first, firstLost := newOwnership(store.Platform().Table, 0)
			second, secondLost := newOwnership(store.Platform().Table, 0)
			var wg sync.WaitGroup
			wg.Go(func() { first.Acquire(t.Context()) })
			wg.Go(func() { second.Acquire(t.Context()) })
			wg.Wait()
			assert.Assert(t, first.Incarnation() != second.Incarnation())
			runWatch(t, 2*watchInterval, first, second)
			assert.Equal(t, len(*firstLost)+len(*secondLost), 1)
		})
	}
}
