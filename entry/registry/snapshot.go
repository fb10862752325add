package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// Snapshot holds an entry's copy of the rows of both tables. An entry that starts while it
// can't reach the store loads a snapshot from another entry. The field names are part of
// the JSON form.
type Snapshot struct {
	Operators platform.StoreRows
	Servers   platform.StoreRows
}

// Snapshot returns this entry's copy of the rows, or false if Loaded reports false.
func (r *Registry) Snapshot() (Snapshot, bool) {
	if !r.Loaded() {
		return Snapshot{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		Operators: sortedRows(r.operatorRows, r.operatorEra),
		Servers:   sortedRows(r.serverRows, r.serverEra),
	}, true
}

// sortedRows returns rows in the order of their keys, with their era and the highest of their
// versions as those of the result.
func sortedRows(rows map[string]platform.StoreRow, era platform.Era) platform.StoreRows {
	sorted := platform.StoreRows{
		Era: era,
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted.Rows = append(sorted.Rows, rows[key])
		sorted.Version = max(sorted.Version, rows[key].Version)
	}
	return sorted
}

// loadSnapshot tries to load a snapshot from another entry until both tables are loaded,
// from a snapshot or from the store. It leaves the others alone while the store may still
// answer: entries that all start together would all fetch a snapshot from the same few.
func (r *Registry) loadSnapshot(ctx context.Context) {
	for started := time.Now(); ctx.Err() == nil && !r.Loaded(); sleep(ctx, snapshotInterval) {
		if !r.storeMayAnswer(time.Since(started)) {
			r.fetchSnapshot(ctx)
		}
	}
}

// storeMayAnswer reports whether the first calls of the store, made some time ago, may still be
// answered: none has failed, and they have not taken longer than maxFirstRead.
func (r *Registry) storeMayAnswer(elapsed time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.callFailed && elapsed < maxFirstRead
}

// fetchSnapshot loads a snapshot from the first source that has one.
func (r *Registry) fetchSnapshot(ctx context.Context) {
	for _, fetch := range r.SnapshotSources() {
		snapshot, err := fetch(ctx)
		if err != nil {
			r.Logger.Warn().Str("event", "introduction-failed").Err(err).Msg("")
			continue
		}
		r.applySnapshot(snapshot)
		return
	}
}

const (
	// snapshotInterval is the time between two checks of whether an entry needs a snapshot,
	// and between two rounds of asking.
	snapshotInterval = 500 * time.Millisecond
	// maxFirstRead is how long an entry waits for the first answers of the store. Reading
	// several thousand rows takes a few seconds on a small VM.
	maxFirstRead = 3 * time.Second
)

// applySnapshot applies the rows of another entry, except those of a table that has
// been loaded from the store meanwhile. An answer of the store that is of an earlier era than
// the rows is late. The first successful call to the store for each
// table remains a full read, since the store may no longer have all changes since the
// snapshot.
func (r *Registry) applySnapshot(snapshot Snapshot) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.OperatorStore.Eras.Learn(snapshot.Operators.Era)
	r.ServerStore.Eras.Learn(snapshot.Servers.Era)
	if r.configuration.Load() == nil {
		r.replaceOperatorRows(snapshot.Operators)
	}
	if !r.serversLoaded.Load() {
		r.replaceServerRows(snapshot.Servers)
	}
	r.Logger.Info().Str("event", "introduced").Int("servers", len(snapshot.Servers.Rows)).Uint64("row-version", snapshot.Operators.Version).Msg("")
}
