package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// beginServerEra prepares the server rows for a full read in another era. The store may lack
// registrations that were written shortly before, until the servers write them again. The caller
// must hold r.mu.
func (r *Registry) beginServerEra(era platform.Era) {
	r.serverEra = era
	if len(r.rowVersions) == 0 {
		return
	}
	for serverID := range r.rowVersions {
		r.rowVersions[serverID] = 0
	}
	if returnedAt := eraChangedAt(r.ServerStore); returnedAt.After(r.lastServerTableFailure) {
		r.lastServerTableFailure = returnedAt
	}
}

// eraChangedAt returns when this process learned that the store had come back from a copy, or the
// present time if that is not known.
func eraChangedAt(store *platform.Client) time.Time {
	if changedAt := store.Eras.ChangedAt(); !changedAt.IsZero() {
		return changedAt
	}
	return time.Now()
}

// evacuationGrace is how long after the store's return from a copy an evacuation that the copy
// lacks stays in force. Operators write it again if it is to last.
const evacuationGrace = 10 * time.Second

// keepEvacuations adds the rows among the known ones that request evacuations to the operator
// rows, as lost until a row of the store confirms them. The caller must hold r.mu.
func (r *Registry) keepEvacuations(known map[string]platform.StoreRow) {
	r.lostEvacuations = make(map[string]bool)
	r.lostEvacuationsEnd = eraChangedAt(r.OperatorStore).Add(evacuationGrace)
	for key, row := range known {
		if _, ok := platform.EvacuatedDomain(key); ok {
			r.operatorRows[key] = row
			r.lostEvacuations[key] = true
		}
	}
}

// endLostEvacuations removes the rows of lost evacuations if their time is over, and reports
// whether there were any. The caller must hold r.mu.
func (r *Registry) endLostEvacuations() bool {
	if len(r.lostEvacuations) == 0 || time.Now().Before(r.lostEvacuationsEnd) {
		return false
	}
	for key := range r.lostEvacuations {
		r.Logger.Warn().Str("event", "evacuation-lost").Str("key", key).Msg("")
		delete(r.operatorRows, key)
	}
	r.lostEvacuations = nil
	return true
}

// removedRow is the last row of a server that was removed.
type removedRow struct {
	platform.StoreRow
	at time.Time
}

const (
	// heldHeartbeats is the number of intervals of renewed registrations after which the store
	// removes the row of a server that is silent.
	heldHeartbeats = 3
	// removedRowLifetime is how long the row of a removed server is kept. A copy of the store is
	// some seconds old.
	removedRowLifetime = time.Minute
	// maxRemovedRows is the maximum number of such rows.
	maxRemovedRows = 4096
)

// holdOlderRows returns the rows of a full read in another era that are to be applied. It holds
// back those that a server wrote before what is known of it: before it stated that it drains, for
// example, or before it left. The server writes what the store has lost again. A row that the
// store still has after the time in which it removes those of silent servers is that of a
// server that lives and has nothing else to say. The caller must hold r.mu.
func (r *Registry) holdOlderRows(rows []platform.StoreRow) []platform.StoreRow {
	r.held = make(map[string]platform.StoreRow)
	r.heldUntil = r.lastServerTableFailure.Add(registrationGrace + heldHeartbeats*r.RegistrationInterval())
	now := time.Now()
	var current []platform.StoreRow
	for _, row := range rows {
		known, registered := r.serverRows[row.Key]
		removed, left := r.removed[row.Key]
		if _, missing := r.missing[row.Key]; missing {
			left = false
		}
		switch {
		case registered && r.olderRow(row, known, false):
		case !registered && left && now.Sub(removed.at) < removedRowLifetime && r.olderRow(row, removed.StoreRow, true):
		default:
			current = append(current, row)
			continue
		}
		r.held[row.Key] = row
		r.Logger.Info().Str("event", "registration-held").Str("server", row.Key).Bool("left", !registered).Uint64("row-version", row.Version).Msg("")
	}
	return current
}

// olderRow reports whether a server, or an earlier start of it, wrote a row before the known one,
// or that one itself if orSame is true. It is false for servers that don't state when they
// started, which may have begun to count anew.
func (r *Registry) olderRow(row, known platform.StoreRow, orSame bool) bool {
	server, err := platform.DecodeServer(row.Key, row.Value, r.Regions)
	if err != nil {
		return false
	}
	knownServer, err := platform.DecodeServer(known.Key, known.Value, r.Regions)
	switch {
	case err != nil || server.StartUnixMS == 0 || knownServer.StartUnixMS == 0:
		return false
	case server.StartUnixMS != knownServer.StartUnixMS:
		return server.StartUnixMS < knownServer.StartUnixMS
	}
	return server.Sequence < knownServer.Sequence || orSame && server.Sequence == knownServer.Sequence
}

// releaseHeldRows returns rows that are to be applied, without those that are held, and with these
// behind the others at the end of their time. The caller must hold r.mu.
func (r *Registry) releaseHeldRows(rows []platform.StoreRow, now time.Time) []platform.StoreRow {
	if len(r.held) == 0 {
		return rows
	}
	var current []platform.StoreRow
	for _, row := range rows {
		if held, found := r.held[row.Key]; found && !row.Removed && row.Version == held.Version {
			continue
		}
		delete(r.held, row.Key)
		current = append(current, row)
	}
	if now.Before(r.heldUntil) {
		return current
	}
	for _, serverID := range slices.Sorted(maps.Keys(r.held)) {
		current = append(current, r.held[serverID])
	}
	r.held = nil
	return current
}

// recordRemoved keeps the row of a server that is removed. The caller must hold r.mu.
func (r *Registry) recordRemoved(serverID string, now time.Time) {
	row, found := r.serverRows[serverID]
	if !found {
		return
	}
	if len(r.removed) >= maxRemovedRows {
		maps.DeleteFunc(r.removed, func(_ string, removed removedRow) bool { return now.Sub(removed.at) >= removedRowLifetime })
	}
	if len(r.removed) < maxRemovedRows {
		r.removed[serverID] = removedRow{
			StoreRow: row,
			at:       now,
		}
	}
}
