package placement

import (
	"slices"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

const (
	// verificationReportTime is how long an entry tells its peers of a sign, or of a server's
	// health.
	verificationReportTime = 5 * time.Second
	// maxReportedVerifications is the maximum number of servers in each of the two lists in a
	// message to the peers.
	maxReportedVerifications = 12
	// peerTimeSlack is how much later than it was the time of an event may seem that a peer
	// reports by its age.
	peerTimeSlack = 250 * time.Millisecond
)

// fillVerification adds to a message for the peers the servers that may have started again by
// signs that this entry saw, and those that stated lately until when they are cold, the latest first.
func (f *Fleet) fillVerification(message *teaselv1.Presence, now time.Time) {
	var doubted, checked []*serverRecord
	for _, server := range f.servers {
		verification := &server.verification
		if verification.signs >= minToldSigns && !verification.since.IsZero() && now.Sub(verification.since) < verificationReportTime {
			doubted = append(doubted, server)
		}
		if !verification.healthAt.IsZero() && now.Sub(verification.healthAt) < verificationReportTime && verification.since.IsZero() {
			checked = append(checked, server)
		}
	}
	slices.SortFunc(doubted, func(a, b *serverRecord) int { return b.verification.since.Compare(a.verification.since) })
	for _, server := range doubted[:min(len(doubted), maxReportedVerifications)] {
		message.Unverified = append(message.Unverified, &teaselv1.UnverifiedServer{
			Server: server.wireHash(),
			AgeMs:  milliseconds(now.Sub(server.verification.since)),
		})
	}
	slices.SortFunc(checked, func(a, b *serverRecord) int { return b.verification.healthAt.Compare(a.verification.healthAt) })
	for _, server := range checked[:min(len(checked), maxReportedVerifications)] {
		message.Verified = append(message.Verified, &teaselv1.VerifiedServer{
			Server: server.wireHash(),
			AgeMs:  milliseconds(now.Sub(server.verification.healthAt)),
			ColdMs: milliseconds(server.coldUntil.Sub(now)),
		})
	}
}

// milliseconds returns a duration in milliseconds, 0 if it is negative.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// applyVerification records what a peer knows of the processes at servers' addresses. What it saw
// before this entry knew the incarnation may be of an earlier one and is ignored.
func (f *Fleet) applyVerification(message *teaselv1.Presence, now time.Time) {
	for _, report := range message.GetUnverified() {
		server := f.byWireHash[report.GetServer()]
		since := now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond)
		if server == nil || !since.After(server.knownSince) {
			continue
		}
		verification := &server.verification
		if since.After(verification.verifiedAt) && since.After(verification.since) && since.After(verification.peerSince.Add(peerTimeSlack)) {
			verification.peerSince = since
			f.doubt(server, signPeer, since)
		}
	}
	for _, report := range message.GetVerified() {
		server := f.byWireHash[report.GetServer()]
		at := now.Add(-time.Duration(report.GetAgeMs())*time.Millisecond - peerTimeSlack)
		if server != nil && at.After(server.knownSince) {
			f.applyHealth(server, at, time.Duration(report.GetColdMs())*time.Millisecond)
		}
	}
}
