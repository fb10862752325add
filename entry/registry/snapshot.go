package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// Snapshot is what an entry has read from the store, for one that starts and
// can't reach it.
type Snapshot struct {
	Operators platform.StoreRows
	Servers   platform.StoreRows
}

// Snapshot returns what this entry has read, or false if it has not read all of
// it.
func (r *Registry) Snapshot() (Snapshot, bool) {
	if !r.Loaded() {
		return Snapshot{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		Operators: records(r.operatorRows),
		Servers:   records(r.serverRows),
	}, true
}

func records(rows map[string]platform.StoreRow) platform.StoreRows {
	all := platform.StoreRows{}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		all.Rows = append(all.Rows, rows[key])
		all.Version = max(all.Version, rows[key].Version)
	}
	return all
}

// introduce asks other entries for what they have read, until the store or one
// of them has answered.
func (r *Registry) introduce(ctx context.Context) {
	sleep(ctx, introduceAfter)
	for ctx.Err() == nil && !r.Loaded() {
		for _, ask := range r.SnapshotSources() {
			snapshot, err := ask(ctx)
			if err != nil {
				r.Logger.Warn().Str("event", "introduction-failed").Err(err).Msg("")
				continue
			}
			r.adopt(snapshot)
			break
		}
		sleep(ctx, introduceAfter)
	}
}

// introduceAfter is how long an entry waits for the store before it asks
// others; a reading takes a few round trips.
const introduceAfter = time.Second

// adopt takes over what another entry has read, unless the store has answered
// meanwhile. The feeds go on as if nothing were known, since what was read there
// may be older than the store's history.
func (r *Registry) adopt(snapshot Snapshot) {
	if r.configuration.Load() == nil {
		r.changeOperators(snapshot.Operators.Rows)
	}
	if !r.serversKnown.Load() {
		r.changeServers(snapshot.Servers.Rows)
		r.serversKnown.Store(true)
	}
	r.Logger.Info().Str("event", "introduced").Int("servers", len(snapshot.Servers.Rows)).Uint64("row-version", snapshot.Operators.Version).Msg("")
}
