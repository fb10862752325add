package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// rows is a transactional table service in memory with a history of changes. The
// zero value is empty.
type rows struct {
	mu      sync.Mutex
	version uint64
	held    map[name]platform.StoreRow
	// log holds changes in the order of their versions; what was up to forgotten
	// is no longer known.
	log       []platform.StoreRow
	forgotten uint64
	changed   chan struct{}
}

// name identifies a row.
type name struct {
	table string
	part  string
	key   string
}

func nameOf(record platform.StoreRow) name {
	return name{
		table: record.Table,
		part:  record.Partition,
		key:   record.Key,
	}
}

// maxPage is the most rows in one answer.
const maxPage = 500

// commit carries out all changes if every expected row has its version. It
// returns the new version, or the rows that are not as expected.
func (r *rows) commit(expected, upserts, removed []platform.StoreRow) (version uint64, conflicts []platform.StoreRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, each := range expected {
		if actual := r.held[nameOf(each)]; actual.Version != each.Version {
			conflicts = r.current(expected)
			return r.version, conflicts
		}
	}
	if len(upserts)+len(removed) == 0 {
		return r.version, nil
	}
	if r.held == nil {
		r.held = make(map[name]platform.StoreRow)
	}
	r.version++
	for _, each := range upserts {
		each.Version = r.version
		r.held[nameOf(each)] = each
		r.log = append(r.log, each)
	}
	for _, each := range removed {
		delete(r.held, nameOf(each))
		each.Version = r.version
		each.Removed = true
		r.log = append(r.log, each)
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return r.version, nil
}

// current returns those of some rows that exist. The caller holds the lock.
func (r *rows) current(wanted []platform.StoreRow) []platform.StoreRow {
	found := []platform.StoreRow{}
	for _, each := range wanted {
		if actual, held := r.held[nameOf(each)]; held {
			found = append(found, actual)
		}
	}
	return found
}

// read returns the rows of a table's part from a key up to another.
func (r *rows) read(table, part, from, until string) platform.StoreRows {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := platform.StoreRows{
		Rows:    []platform.StoreRow{},
		Version: r.version,
	}
	for _, each := range r.held {
		if each.Table == table && each.Partition == part && each.Key >= from && (until == "" || each.Key < until) {
			page.Rows = append(page.Rows, each)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.StoreRow) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > maxPage {
		page.Rows = page.Rows[:maxPage]
		page.HasMore = true
	}
	return page
}

// changes returns a table's changes after a version, waiting up to a time for
// the first; false if they are no longer known.
func (r *rows) changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.StoreRows, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, known, changed := r.since(table, after)
		if !known || len(page.Rows) > 0 || wait == 0 {
			return page, known
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

func (r *rows) since(table string, after uint64) (page platform.StoreRows, known bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	page = platform.StoreRows{
		Rows:    []platform.StoreRow{},
		Version: r.version,
	}
	at, _ := slices.BinarySearchFunc(r.log, after+1, func(each platform.StoreRow, version uint64) int {
		return cmp.Compare(each.Version, version)
	})
	for _, each := range r.log[at:] {
		if each.Table == table {
			page.Rows = append(page.Rows, each)
		}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return page, after >= r.forgotten, r.changed
}

// compact forgets the history.
func (r *rows) compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgotten = r.version
	r.log = nil
}
