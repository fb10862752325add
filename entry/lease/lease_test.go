package lease

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

var errDown = errors.New("out of reach")

// seat returns a seat of entry-1 whose peers know an incarnation.
func seat(table platform.Table, known uint64) (*Seat, *[]uint64) {
	lost := &[]uint64{}
	return &Seat{
		Entry: "entry-1",
		Peers: []string{"10.0.0.2:1"},
		Table: table,
		QueryPeer: func(context.Context, string) (uint64, error) {
			return known, nil
		},
		OnLost: func(incarnation uint64) { *lost = append(*lost, incarnation) },
	}, lost
}

// losing carries every commit out and loses the answers of the first few.
func losing(table platform.Table, answers int) platform.Table {
	commit := table.Commit
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		revisions, err := commit(ctx, writes)
		if answers--; answers >= 0 {
			return nil, errDown
		}
		return revisions, err
	}
	return table
}

// down answers nothing until a time has passed.
func down(table platform.Table, span time.Duration) platform.Table {
	began := time.Now()
	read, commit := table.Read, table.Commit
	table.Read = func(ctx context.Context, row string) (platform.Row, error) {
		if time.Since(began) < span {
			return platform.Row{}, errDown
		}
		return read(ctx, row)
	}
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		if time.Since(began) < span {
			return nil, errDown
		}
		return commit(ctx, writes)
	}
	return table
}

// watch runs the watch of a seat for a span.
func watch(t *testing.T, span time.Duration, seats ...*Seat) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var group sync.WaitGroup
	for _, each := range seats {
		group.Go(func() { each.Watch(ctx) })
	}
	group.Wait()
}

func TestEachStartRaisesTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		ahead := uint64(time.Now().Add(time.Hour).UnixNano())
		first, lost := seat(store.Platform().Table, ahead)
		first.Acquire(t.Context())
		assert.Equal(t, first.Incarnation(), ahead+1, "above what peers know, though the clock is behind")
		second, _ := seat(store.Platform().Table, 0)
		second.Acquire(t.Context())
		assert.Equal(t, second.Incarnation(), ahead+2, "above the row, though the clock is behind")
		watch(t, 2*watchInterval, first, second)
		assert.DeepEqual(t, *lost, []uint64{ahead + 2})
		assert.Assert(t, second.Held())
	})
}

func TestLostCommitResponseIsRecovered(t *testing.T) {
	for answers := 1; answers <= 3; answers++ {
		synctest.Test(t, func(t *testing.T) {
			var store memory.Store
			taken, lost := seat(losing(store.Platform().Table, answers), 0)
			taken.Acquire(t.Context())
			assert.Assert(t, taken.Held())
			assert.Equal(t, store.Commits(), uint64(1))
			watch(t, 2*watchInterval, taken)
			assert.Equal(t, len(*lost), 0)
		})
	}
}

func TestProvisionalSeatDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		before, lost := seat(store.Platform().Table, 0)
		before.Acquire(t.Context())
		table := down(store.Platform().Table, time.Hour)
		next, nextLost := seat(table, before.Incarnation())
		began := time.Now()
		next.Acquire(t.Context())
		assert.Equal(t, time.Since(began), takeTimeout)
		assert.Assert(t, !next.Held())
		assert.Assert(t, next.Incarnation() > before.Incarnation())
		before.Table = table
		watch(t, time.Hour-time.Minute, before, next)
		assert.Equal(t, len(*lost)+len(*nextLost), 0, "nobody stops because the store is down")
		watch(t, 5*time.Minute, before, next)
		assert.Assert(t, next.Held())
		assert.DeepEqual(t, *lost, []uint64{next.Incarnation()})
		assert.Equal(t, len(*nextLost), 0)
	})
}

func TestRacingStartsLeaveOneHolder(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			var store memory.Store
			first, firstLost := seat(store.Platform().Table, 0)
			second, secondLost := seat(store.Platform().Table, 0)
			var group sync.WaitGroup
			group.Go(func() { first.Acquire(t.Context()) })
			group.Go(func() { second.Acquire(t.Context()) })
			group.Wait()
			assert.Assert(t, first.Incarnation() != second.Incarnation())
			watch(t, 2*watchInterval, first, second)
			assert.Equal(t, len(*firstLost)+len(*secondLost), 1)
		})
	}
}
