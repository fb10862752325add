package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// replaceOperatorRows replaces all operator rows with those of a full read. Without a
// configuration row among them, the current configuration stays in force. In another era than
// before, evacuations that the rows lack may be lost, see lostEvacuations.
func (r *Registry) replaceOperatorRows(contents platform.StoreRows) {
	r.mu.Lock()
	known := r.operatorRows
	r.operatorRows = make(map[string]platform.StoreRow)
	if configuration, found := known[platform.ConfigurationKey]; found {
		r.operatorRows[platform.ConfigurationKey] = configuration
	}
	if contents.Era != r.operatorEra {
		r.operatorEra = contents.Era
		r.keepEvacuations(known)
	}
	r.updateOperatorRows(contents.Rows)
	evacuated := r.evacuatedDomains()
	r.mu.Unlock()
	r.OnEvacuations(evacuated)
}

// applyOperatorRows applies changed and removed operator rows, and ends evacuations that are
// lost.
func (r *Registry) applyOperatorRows(rows []platform.StoreRow) {
	r.mu.Lock()
	ended := r.endLostEvacuations()
	if len(rows) == 0 && !ended {
		r.mu.Unlock()
		return
	}
	r.updateOperatorRows(rows)
	evacuated := r.evacuatedDomains()
	r.mu.Unlock()
	r.OnEvacuations(evacuated)
}

// updateOperatorRows updates the known operator rows. If the configuration row is removed or
// can't be decoded, the last valid configuration stays in force. The caller must hold r.mu.
func (r *Registry) updateOperatorRows(rows []platform.StoreRow) {
	if r.operatorRows == nil {
		r.operatorRows = make(map[string]platform.StoreRow)
	}
	for _, row := range rows {
		if row.Key == platform.ConfigurationKey {
			if !row.Removed && r.applyConfiguration(row) {
				r.operatorRows[row.Key] = row
			}
			continue
		}
		delete(r.lostEvacuations, row.Key)
		r.operatorRows[row.Key] = row
		if row.Removed {
			delete(r.operatorRows, row.Key)
		}
		if failureDomain, ok := platform.EvacuatedDomain(row.Key); ok {
			r.Logger.Info().Str("event", "evacuation").Str("failure-domain", failureDomain).Bool("taken-back", row.Removed).Uint64("row-version", row.Version).Msg("")
		}
	}
}

// evacuatedDomains returns the evacuated failure domains. The caller must hold r.mu.
func (r *Registry) evacuatedDomains() map[string]bool {
	evacuated := make(map[string]bool)
	for key := range r.operatorRows {
		if failureDomain, ok := platform.EvacuatedDomain(key); ok {
			evacuated[failureDomain] = true
		}
	}
	return evacuated
}

// applyConfiguration puts the configuration in a row in force if it is valid and its
// Version, which is not that of the row, is above the current configuration's. It reports
// whether the row's configuration is in force now. The caller must hold r.mu, which stays
// locked while OnConfiguration is called.
func (r *Registry) applyConfiguration(row platform.StoreRow) bool {
	next, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		r.Logger.Error().Str("event", "configuration-unreadable").Uint64("row-version", row.Version).Err(err).Msg("")
		return false
	}
	if current := r.configuration.Load(); current != nil && current.Version >= next.Version {
		return current.Version == next.Version
	}
	r.configuration.Store(next)
	r.OnConfiguration(next)
	r.Logger.Info().Str("event", "configuration-in-force").Uint64("version", next.Version).Uint64("row-version", row.Version).Int("routes", next.RouteCount()).Msg("")
	return true
}

// replaceServerRows applies a full read of the server table. Known rows that it lacks
// count as removed. In another era than before, the known versions mean nothing.
func (r *Registry) replaceServerRows(contents platform.StoreRows) {
	rows := contents.Rows
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	if contents.Era != r.serverEra {
		r.beginServerEra(contents.Era)
		rows = r.holdOlderRows(rows)
	}
	for serverID := range r.rowVersions {
		if !present[serverID] {
			rows = append(rows, platform.StoreRow{
				Key:     serverID,
				Removed: true,
				// applyServerRows skips rows whose version is not above the known one.
				Version: r.rowVersions[serverID] + 1,
			})
		}
	}
	r.mu.Unlock()
	r.applyServerRows(rows)
	r.serversLoaded.Store(true)
}

// applyServerRows applies changed and removed registrations. A server whose
// registration can't be decoded is removed, but its row is kept for Snapshot. A
// registration that goes missing within registrationGrace of the last failed call for the
// server table makes its server doubtful. The first call of applyServerRows after that
// grace period removes the server, unless it has been registered again.
func (r *Registry) applyServerRows(rows []platform.StoreRow) {
	// One response may hold several versions of a row, so updated and removed hold only
	// the last state of each server.
	updated := make(map[string]routing.Server)
	removed := make(map[string]bool)
	r.mu.Lock()
	// The maps are always created together.
	if r.rowVersions == nil {
		r.rowVersions = make(map[string]uint64)
		r.missing = make(map[string]time.Time)
		r.serverRows = make(map[string]platform.StoreRow)
		r.removed = make(map[string]removedRow)
	}
	now := time.Now()
	rows = r.releaseHeldRows(rows, now)
	withinGrace := now.Sub(r.lastServerTableFailure) < registrationGrace
	for _, row := range rows {
		if row.Version <= r.rowVersions[row.Key] {
			continue
		}
		if row.Removed {
			r.recordRemoved(row.Key, now)
			delete(r.rowVersions, row.Key)
			delete(r.serverRows, row.Key)
			delete(updated, row.Key)
			if withinGrace {
				r.missing[row.Key] = now
			} else {
				removed[row.Key] = true
			}
			continue
		}
		r.rowVersions[row.Key] = row.Version
		r.serverRows[row.Key] = row
		delete(r.removed, row.Key)
		server, err := platform.DecodeServer(row.Key, row.Value, r.Regions)
		if err != nil {
			r.Logger.Warn().Str("event", "registration-unreadable").Str("server", row.Key).Err(err).Msg("")
			delete(updated, row.Key)
			removed[row.Key] = true
			continue
		}
		server.RowVersion = row.Version
		delete(r.missing, row.Key)
		delete(removed, row.Key)
		updated[row.Key] = server
	}
	// The grace period starts at lastServerTableFailure, so it ends for all missing
	// registrations at the same time.
	for _, serverID := range slices.Sorted(maps.Keys(r.missing)) {
		if now.Sub(r.lastServerTableFailure) >= registrationGrace {
			delete(r.missing, serverID)
			removed[serverID] = true
		}
	}
	doubtful := slices.Sorted(maps.Keys(r.missing))
	r.mu.Unlock()
	r.OnDoubtfulServers(doubtful)
	if len(removed) > 0 {
		r.OnServersRemoved(slices.Sorted(maps.Keys(removed)))
	}
	if len(updated) > 0 {
		r.OnServersUpdated(slices.Collect(maps.Values(updated)))
	}
}
