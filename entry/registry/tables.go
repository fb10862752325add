package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// replaceOperators takes the operators' whole table over.
func (r *Registry) replaceOperators(rows []platform.StoreRow) {
	r.mu.Lock()
	r.evacuated = nil
	r.operatorRows = nil
	r.mu.Unlock()
	r.changeOperators(rows)
	if len(rows) == 0 {
		r.SetEvacuated(nil)
	}
}

// changeOperators takes the operators' changes over. A configuration that can't
// be read leaves the last good one in force.
func (r *Registry) changeOperators(rows []platform.StoreRow) {
	if len(rows) == 0 {
		return
	}
	r.mu.Lock()
	next := maps.Clone(r.evacuated)
	if next == nil {
		next = make(map[string]bool)
	}
	if r.operatorRows == nil {
		r.operatorRows = make(map[string]platform.StoreRow)
	}
	for _, row := range rows {
		r.operatorRows[row.Key] = row
		if row.Removed {
			delete(r.operatorRows, row.Key)
		}
		if domain, is := platform.EvacuatedDomain(row.Key); is {
			if row.Removed {
				delete(next, domain)
			} else {
				next[domain] = true
			}
			r.Logger.Info().Str("event", "evacuation").Str("failure-domain", domain).Bool("taken-back", row.Removed).Uint64("row-version", row.Version).Msg("")
			continue
		}
		if row.Key == platform.ConfigurationKey && !row.Removed {
			r.configure(row)
		}
	}
	r.evacuated = next
	r.mu.Unlock()
	r.SetEvacuated(next)
}

func (r *Registry) configure(row platform.StoreRow) {
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

// replaceServers takes the whole table of registrations over.
func (r *Registry) replaceServers(rows []platform.StoreRow) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	for id := range r.versions {
		if !present[id] {
			rows = append(rows, platform.StoreRow{
				Key:     id,
				Removed: true,
				Version: r.versions[id] + 1,
			})
		}
	}
	r.mu.Unlock()
	r.changeServers(rows)
	r.serversKnown.Store(true)
}

// changeServers takes changed registrations over. A registration that can't be
// read names no server to use.
func (r *Registry) changeServers(rows []platform.StoreRow) {
	// One answer may hold several states of a row; the last one counts.
	news := make(map[string]routing.Server)
	gone := make(map[string]bool)
	r.mu.Lock()
	if r.versions == nil {
		r.versions = make(map[string]uint64)
		r.lapsed = make(map[string]time.Time)
		r.serverRows = make(map[string]platform.StoreRow)
	}
	now := time.Now()
	unsure := now.Sub(r.regained) < lapseGrace
	for _, row := range rows {
		if row.Version <= r.versions[row.Key] {
			continue
		}
		if row.Removed {
			delete(r.versions, row.Key)
			delete(r.serverRows, row.Key)
			delete(news, row.Key)
			if unsure {
				r.lapsed[row.Key] = now
			} else {
				gone[row.Key] = true
			}
			continue
		}
		r.versions[row.Key] = row.Version
		r.serverRows[row.Key] = row
		server, err := platform.DecodeServer(row.Key, row.Value, r.Regions)
		if err != nil {
			r.Logger.Warn().Str("event", "registration-unreadable").Str("server", row.Key).Err(err).Msg("")
			delete(news, row.Key)
			gone[row.Key] = true
			continue
		}
		server.RowVersion = row.Version
		delete(r.lapsed, row.Key)
		delete(gone, row.Key)
		news[row.Key] = server
	}
	for _, id := range slices.Sorted(maps.Keys(r.lapsed)) {
		if now.Sub(r.regained) >= lapseGrace {
			delete(r.lapsed, id)
			gone[id] = true
		}
	}
	doubtful := slices.Sorted(maps.Keys(r.lapsed))
	r.mu.Unlock()
	r.SetDoubtful(doubtful)
	if len(gone) > 0 {
		r.RemoveServers(slices.Sorted(maps.Keys(gone)))
	}
	if len(news) > 0 {
		r.UpdateServers(slices.Collect(maps.Values(news)))
	}
}
