package main

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/entry/quarantine"
)

// maxConfirmationAge returns how long the registrations may stay unconfirmed before the store counts as
// away.
func (n *platformNode) maxConfirmationAge() time.Duration {
	return n.settings.Load().Bounds.StableWindow + confirmationSlack
}

// confirmServers applies that the registrations known are those at a time. A return of the store
// from a copy is a gap in them: it brings back those of servers that have ended.
func (n *platformNode) confirmServers(at time.Time) {
	n.fleet.ConfirmRegistrations(at)
	away := at.Sub(n.confirmedAt) > n.maxConfirmationAge()
	if away || n.eras.ChangedAt().After(n.confirmedSince) {
		n.confirmedSince = at
	}
	n.confirmedAt = at
	n.suspects.CheckSurvivors(n.confirmedSince, at, func(server string) bool {
		id, startUnixMS, ok := gateway.ParseIncarnationKey(server)
		return ok && n.fleet.RunsSince(id, startUnixMS)
	})
}

// handleFailure logs that a backend server failed while it ran a request, and whether the
// request is quarantined from now on. An entry that saw a failure stores the request.
func (n *platformNode) handleFailure(failure quarantine.Failure) {
	if failure.SeenHere {
		n.tracker.UpdateRow()
	}
	if failure.OneCaller && !failure.Quarantined {
		// The line on the content says the same.
		return
	}
	n.logger.Warn().Str("event", "suspect").Str("digest", failure.Digest.String()).Str("service", failure.Service).
		Str("server", failure.Server).Bool("from-peer", failure.FromPeer).Int("failures", failure.Count).
		Bool("quarantined", failure.Quarantined).Msg("")
}

// handleCleared logs that a request is no longer suspected of crashing servers, and takes it out
// of this entry's row.
func (n *platformNode) handleCleared(digest quarantine.Digest) {
	n.tracker.UpdateRow()
	n.trials.handleSuccess(digest)
	n.logger.Info().Str("event", "suspect-cleared").Str("digest", digest.String()).Msg("")
}

// fillRow adds to this entry's row the requests for which it saw a failure.
func (n *platformNode) fillRow(row *teaselv1.Presence) {
	row.Suspects = n.suspects.StoredSuspects()
	row.Quarantines = n.suspects.StoredQuarantines()
	row.WrittenUnixMs = time.Now().UnixMilli()
}

// applyRow merges the suspects and quarantined requests in an entry's row into this entry's
// list.
func (n *platformNode) applyRow(row *teaselv1.Presence) {
	own := row.GetName() == n.settings.Load().Name
	n.suspects.MergeStored(row.GetSuspects(), row.GetQuarantines(), time.Since(time.UnixMilli(row.GetWrittenUnixMs())), own)
}
