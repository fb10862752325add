package placement

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// peerReports holds the last presence report of each peer and the sums of these
// reports by server. Servers are identified by their wire hash.
type peerReports struct {
	// byPeer is keyed by the peer's name.
	byPeer map[string]*peerReport
	// inFlight is the number of requests that all peers have in flight at a server.
	inFlight map[uint32]int
	// failing is the number of peers that report a server as failing.
	failing map[uint32]int
	// lastExpiry is when expire last removed old reports.
	lastExpiry time.Time
}

// peerReport is one peer's report of backend servers: inFlight[i] is the number of
// the peer's requests in flight at servers[i], and failing lists the servers that
// fail the peer's requests.
type peerReport struct {
	receivedAt time.Time
	servers    []uint32
	inFlight   []uint32
	failing    []uint32
}

// peerReportLifetime is how long a peer's report counts unless a newer one replaces
// it. A request takes about as long, and a peer of this entry's region sends at least one
// report in this time. A peer of another region may send them less often.
const peerReportLifetime = 1200 * time.Millisecond

// add adds a report to the sums if sign is 1, or subtracts it if sign is -1.
func (r *peerReports) add(report *peerReport, sign int) {
	for i, server := range report.servers {
		r.inFlight[server] += sign * int(report.inFlight[i])
	}
	for _, server := range report.failing {
		r.failing[server] += sign
	}
}

// replace replaces a peer's previous report. A nil report removes the peer.
func (r *peerReports) replace(peer string, report *peerReport) {
	if r.byPeer == nil {
		r.byPeer = make(map[string]*peerReport)
		r.inFlight = make(map[uint32]int)
		r.failing = make(map[uint32]int)
	}
	if previous := r.byPeer[peer]; previous != nil {
		r.add(previous, -1)
	}
	if report == nil {
		delete(r.byPeer, peer)
		return
	}
	r.byPeer[peer] = report
	r.add(report, 1)
}

// expire removes the reports that are older than peerReportLifetime. To save time, it
// does so at most once per quarter of the lifetime.
func (r *peerReports) expire(now time.Time) {
	if now.Sub(r.lastExpiry) < peerReportLifetime/4 {
		return
	}
	r.lastExpiry = now
	for peer, report := range r.byPeer {
		if now.Sub(report.receivedAt) > peerReportLifetime {
			r.replace(peer, nil)
		}
	}
}

// FillPresence adds this entry's report to a message for its peers: the number of its
// requests in flight at each server, the servers that fail its requests, the limits that
// servers state, the servers that state that they are shutting down, and those that may have
// started again or were verified.
func (f *Fleet) FillPresence(message *teaselv1.Presence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, server := range f.servers {
		if server.inFlight > 0 {
			message.Servers = append(message.Servers, server.wireHash())
			message.InFlight = append(message.InFlight, uint32(server.inFlight))
		}
		if server.detector.failing(now) {
			message.Failing = append(message.Failing, server.wireHash())
		}
	}
	f.fillLimits(message, now)
	f.fillLeaving(message, now)
	f.fillVerification(message, now)
}

// wireHash returns the truncated hash that identifies the server in presence
// messages.
func (s *serverRecord) wireHash() uint32 { return uint32(s.hash) }

// ApplyPresence replaces the report of the peer that sent the message, and records what
// servers stated to the peer.
func (f *Fleet) ApplyPresence(message *teaselv1.Presence) {
	count := min(len(message.GetServers()), len(message.GetInFlight()))
	report := &peerReport{
		receivedAt: time.Now(),
		servers:    message.GetServers()[:count],
		inFlight:   message.GetInFlight()[:count],
		failing:    message.GetFailing(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerReports.replace(message.GetName(), report)
	f.applyLimits(message, report.receivedAt)
	f.applyLeaving(message, report.receivedAt)
	f.applyVerification(message, report.receivedAt)
}
