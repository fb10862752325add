package placement

import (
	"slices"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

const (
	// leavingReportTime is how long an entry tells its peers that a server has stated that it
	// is leaving. Later the registration says so, or is gone.
	leavingReportTime = 10 * time.Second
	// maxReportedLeaving is the maximum number of leaving servers in a message to the peers.
	maxReportedLeaving = 16
)

// statedLeaving is a server's statement that it is shutting down. It holds until the server
// starts again, whatever the registration says.
type statedLeaving struct {
	leaving bool
	// since is when the server first stated it. own reports whether it did so in a response to
	// this entry.
	since time.Time
	own   bool
}

// setLeaving records that a server stated that it is shutting down.
func (f *Fleet) setLeaving(server *serverRecord, since time.Time, own bool) {
	if server.leaving.leaving {
		server.leaving.own = server.leaving.own || own
		return
	}
	server.leaving = statedLeaving{
		leaving: true,
		since:   since,
		own:     own,
	}
	f.notify(server, StateDraining, "statement")
}

// fillLeaving adds to a message for the peers the servers that have stated lately that they
// are shutting down, the latest first.
func (f *Fleet) fillLeaving(message *teaselv1.Presence, now time.Time) {
	var leaving []*serverRecord
	for _, server := range f.servers {
		if server.leaving.own && now.Sub(server.leaving.since) < leavingReportTime {
			leaving = append(leaving, server)
		}
	}
	slices.SortFunc(leaving, func(a, b *serverRecord) int { return b.leaving.since.Compare(a.leaving.since) })
	for _, server := range leaving[:min(len(leaving), maxReportedLeaving)] {
		message.Leaving = append(message.Leaving, &teaselv1.ServerLeaving{
			Server: server.wireHash(),
			AgeMs:  uint32(max(0, now.Sub(server.leaving.since).Milliseconds())),
		})
	}
}

// applyLeaving records the servers that stated to a peer that they are shutting down. A
// statement from before this entry knew the server may be that of an earlier incarnation and
// is ignored.
func (f *Fleet) applyLeaving(message *teaselv1.Presence, now time.Time) {
	for _, report := range message.GetLeaving() {
		server := f.byWireHash[report.GetServer()]
		since := now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond)
		if server != nil && since.After(server.knownSince) {
			f.setLeaving(server, since, false)
		}
	}
}
