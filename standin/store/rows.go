package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// rowStore holds the rows of all tables in memory, with conditional transactions
// and a history of changes. The zero value is empty and ready to use.
type rowStore struct {
	mu sync.Mutex
	// version is the version of the last transaction that wrote or removed a row.
	version uint64
	rows    map[rowID]platform.StoreRow
	// history holds the changes after compactedVersion in the order of their
	// versions. Earlier changes are no longer available.
	history          []platform.StoreRow
	compactedVersion uint64
	// returns counts the returns from a copy.
	returns platform.Era
	// changed is closed at the next change. It is nil if changesSince has not been
	// called since the last change.
	changed chan struct{}
}

// rowID identifies a row.
type rowID struct {
	table     string
	partition string
	key       string
}

// rowIDOf returns the ID of a row.
func rowIDOf(row platform.StoreRow) rowID {
	return rowID{
		table:     row.Table,
		partition: row.Partition,
		key:       row.Key,
	}
}

// maxPageRows is the maximum number of rows in one response.
const maxPageRows = 500

// commit applies all changes in one transaction if every expected row has the
// expected version, which is 0 for a row that must not exist. It returns the version
// of the store. On a conflict it changes nothing and returns the expected rows that
// exist, as they are stored. The slice of rows is nil only if there was no conflict.
func (r *rowStore) commit(expected, upserts, removed []platform.StoreRow) platform.StoreRows {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range expected {
		if actual := r.rows[rowIDOf(row)]; actual.Version != row.Version {
			return platform.StoreRows{
				Rows:    r.existingRows(expected),
				Version: r.version,
				Era:     r.era(),
			}
		}
	}
	if len(upserts)+len(removed) == 0 {
		return platform.StoreRows{
			Version: r.version,
			Era:     r.era(),
		}
	}
	if r.rows == nil {
		r.rows = make(map[rowID]platform.StoreRow)
	}
	r.version++
	for _, row := range upserts {
		row.Version = r.version
		r.rows[rowIDOf(row)] = row
		r.history = append(r.history, row)
	}
	for _, row := range removed {
		delete(r.rows, rowIDOf(row))
		row.Version = r.version
		row.Removed = true
		r.history = append(r.history, row)
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return platform.StoreRows{
		Version: r.version,
		Era:     r.era(),
	}
}

// existingRows returns the wanted rows that exist, as they are stored, and never nil.
// The caller must hold r.mu.
func (r *rowStore) existingRows(wanted []platform.StoreRow) []platform.StoreRow {
	found := []platform.StoreRow{}
	for _, row := range wanted {
		if actual, exists := r.rows[rowIDOf(row)]; exists {
			found = append(found, actual)
		}
	}
	return found
}

// readRange returns up to maxPageRows rows, in key order, of a partition of a table
// whose keys are at least from and less than until. An empty until sets no upper
// bound.
func (r *rowStore) readRange(table, partition, from, until string) platform.StoreRows {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := platform.StoreRows{
		Rows:    []platform.StoreRow{},
		Version: r.version,
		Era:     r.era(),
	}
	for _, row := range r.rows {
		if row.Table == table && row.Partition == partition && row.Key >= from && (until == "" || row.Key < until) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.StoreRow) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > maxPageRows {
		page.Rows = page.Rows[:maxPageRows]
		page.HasMore = true
	}
	return page
}

// awaitChanges returns a table's changes after a version. If there are none yet, it
// waits for the first one, at most for the duration wait or until ctx is done. It
// returns false if the history no longer reaches back to that version.
func (r *rowStore) awaitChanges(ctx context.Context, table string, after uint64, wait time.Duration) (platform.StoreRows, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, available, changed := r.changesSince(table, after)
		if !available || len(page.Rows) > 0 || wait == 0 {
			return page, available
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

// changesSince returns a table's changes after a version, whether the history still
// reaches back to that version, and a channel that is closed at the next change of
// any table. The history has no version above the newest one.
func (r *rowStore) changesSince(table string, after uint64) (page platform.StoreRows, available bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	page = platform.StoreRows{
		Rows:    []platform.StoreRow{},
		Version: r.version,
		Era:     r.era(),
	}
	start, _ := slices.BinarySearchFunc(r.history, after+1, func(row platform.StoreRow, version uint64) int {
		return cmp.Compare(row.Version, version)
	})
	for _, row := range r.history[start:] {
		if row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return page, after >= r.compactedVersion && after <= r.version, r.changed
}

// compact discards the history of changes.
func (r *rowStore) compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compactedVersion = r.version
	r.history = nil
}

// Copy is a copy of all rows with their version and history.
type Copy struct {
	version          uint64
	rows             map[rowID]platform.StoreRow
	history          []platform.StoreRow
	compactedVersion uint64
}

// takeCopy returns a copy.
func (r *rowStore) takeCopy() Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Copy{
		version:          r.version,
		rows:             maps.Clone(r.rows),
		history:          slices.Clone(r.history),
		compactedVersion: r.compactedVersion,
	}
}

// restore returns to the state of a copy in a new era, and wakes the calls that wait for
// changes.
func (r *rowStore) restore(from Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.compactedVersion = from.version, from.compactedVersion
	r.rows, r.history = maps.Clone(from.rows), slices.Clone(from.history)
	r.returns++
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// firstEra is the era until the first return from a copy, which the store states as 0.
const firstEra platform.Era = 1

// era returns the era of the store. The caller must hold r.mu.
func (r *rowStore) era() platform.Era { return firstEra + r.returns }

// currentEra returns the era of the store.
func (r *rowStore) currentEra() platform.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era()
}
