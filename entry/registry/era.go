package registry

import (
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
	returnedAt := r.ServerStore.Eras.ChangedAt()
	if returnedAt.IsZero() {
		returnedAt = time.Now()
	}
	if returnedAt.After(r.lastServerTableFailure) {
		r.lastServerTableFailure = returnedAt
	}
}
