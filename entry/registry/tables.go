package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// replaceOperatorRows replaces all operator rows by those of a full read.
func (r *Registry) replaceOperatorRows(rows []platform.StoreRow) {
	r.mu.Lock()
	r.evacuated = nil
	r.operatorRows = nil
	r.mu.Unlock()
	r.applyOperatorRows(rows)
	if len(rows) == 0 {
		r.SetEvacuated(nil)
	}
}

// applyOperatorRows applies changed and removed operator rows. A configuration row
// that can't be decoded leaves the last valid configuration in force.
func (r *Registry) applyOperatorRows(rows []platform.StoreRow) {
	if len(rows) == 0 {
		return
	}
	r.mu.Lock()
	evacuated := maps.Clone(r.evacuated)
	if evacuated == nil {
		evacuated = make(map[string]bool)
	}
	if r.operatorRows == nil {
		r.operatorRows = make(map[string]platform.StoreRow)
	}
	for _, row := range rows {
		r.operatorRows[row.Key] = row
		if row.Removed {
			delete(r.operatorRows, row.Key)
		}
		if domain, ok := platform.EvacuatedDomain(row.Key); ok {
			if row.Removed {
				delete(evacuated, domain)
			} else {
				evacuated[domain] = true
			}
			r.Logger.Info().Str("event", "evacuation").Str("failure-domain", domain).Bool("taken-back", row.Removed).Uint64("row-version", row.Version).Msg("")
			continue
		}
		if row.Key == platform.ConfigurationKey && !row.Removed {
			r.applyConfiguration(row)
		}
	}
	r.evacuated = evacuated
	r.mu.Unlock()
	r.SetEvacuated(evacuated)
}

// applyConfiguration puts the configuration of a row in force unless it is invalid
// or its version is not above the current one.
func (r *Registry) applyConfiguration(row platform.StoreRow) {
	next, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		r.Logger.Error().Str("event", "configuration-unreadable").Uint64("row-version", row.Version).Err(err).Msg("")
		return
	}
	if current := r.configuration.Load(); current != nil && current.Version >= next.Version {
		return
	}
	r.configuration.Store(next)
	r.OnConfiguration(next)
	r.Logger.Info().Str("event", "configuration-in-force").Uint64("version", next.Version).Uint64("row-version", row.Version).Int("routes", next.RouteCount()).Msg("")
}

// replaceServerRows applies a full read of the server table. Servers that it lacks
// count as removed.
func (r *Registry) replaceServerRows(rows []platform.StoreRow) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	for id := range r.rowVersions {
		if !present[id] {
			rows = append(rows, platform.StoreRow{
				Key:     id,
				Removed: true,
				Version: r.rowVersions[id] + 1,
			})
		}
	}
	r.mu.Unlock()
	r.applyServerRows(rows)
	r.serversLoaded.Store(true)
}

// applyServerRows applies changed and removed registrations. A server whose
// registration can't be decoded is removed. A registration that is removed shortly
// after an outage only makes its server doubtful until outageGrace has passed.
func (r *Registry) applyServerRows(rows []platform.StoreRow) {
	// One response may hold several states of a row; the last one counts.
	updated := make(map[string]routing.Server)
	removed := make(map[string]bool)
	r.mu.Lock()
	if r.rowVersions == nil {
		r.rowVersions = make(map[string]uint64)
		r.missingSince = make(map[string]time.Time)
		r.serverRows = make(map[string]platform.StoreRow)
	}
	now := time.Now()
	inGrace := now.Sub(r.lastFailure) < outageGrace
	for _, row := range rows {
		if row.Version <= r.rowVersions[row.Key] {
			continue
		}
		if row.Removed {
			delete(r.rowVersions, row.Key)
			delete(r.serverRows, row.Key)
			delete(updated, row.Key)
			if inGrace {
				r.missingSince[row.Key] = now
			} else {
				removed[row.Key] = true
			}
			continue
		}
		r.rowVersions[row.Key] = row.Version
		r.serverRows[row.Key] = row
		server, err := platform.DecodeServer(row.Key, row.Value, r.Regions)
		if err != nil {
			r.Logger.Warn().Str("event", "registration-unreadable").Str("server", row.Key).Err(err).Msg("")
			delete(updated, row.Key)
			removed[row.Key] = true
			continue
		}
		server.RowVersion = row.Version
		delete(r.missingSince, row.Key)
		delete(removed, row.Key)
		updated[row.Key] = server
	}
	for _, id := range slices.Sorted(maps.Keys(r.missingSince)) {
		if now.Sub(r.lastFailure) >= outageGrace {
			delete(r.missingSince, id)
			removed[id] = true
		}
	}
	doubtful := slices.Sorted(maps.Keys(r.missingSince))
	r.mu.Unlock()
	r.SetDoubtful(doubtful)
	if len(removed) > 0 {
		r.RemoveServers(slices.Sorted(maps.Keys(removed)))
	}
	if len(updated) > 0 {
		r.UpdateServers(slices.Collect(maps.Values(updated)))
	}
}
