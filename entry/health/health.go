// Package health monitors backend servers, mainly by the results of requests
// (passive health checks). Probes (active health checks) are secondary, because
// they cost a backend server time and their results may mislead.
//
// A successful probe clears a failing backend server, but a failed probe never
// marks one as failing. If more than half of a service's backend servers seem to
// fail at once, the network is more likely at fault than the servers. While this
// share, which load balancers call the panic threshold, is exceeded, no server is
// marked as failing; each still gets no more requests than it has slots.
package health

import (
	"context"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/timeline"
)

// Signal is what the result of one request or probe says about the health of a
// backend server.
type Signal uint8

// Health signals.
const (
	// SignalAnswered means that the backend server answered, with any status.
	SignalAnswered Signal = iota
	// SignalShed means that the backend server refused the request for lack of
	// capacity; it is reachable.
	SignalShed
	// SignalNoConnection means that no connection could be established.
	SignalNoConnection
	// SignalNoAnswer means that the connection broke, or the request's deadline passed,
	// before the backend server answered.
	SignalNoAnswer
)

const (
	// connectFailureLimit is the number of SignalNoConnection, and unansweredLimit that of
	// SignalNoAnswer, since the last answer at which a backend server counts as failing.
	// unansweredLimit is higher because a request may itself cause its connections to
	// break.
	connectFailureLimit = 2
	unansweredLimit     = 4
	// panicThreshold is the share of failing backend servers of a service above which
	// none is marked as failing.
	panicThreshold = 0.5
	// probeInterval is the minimum time between two probes of one backend server by an
	// entry. A probe takes the server about 6 ms, so probes by both home and deputy take
	// 0.6% of its time.
	probeInterval = 2 * time.Second
	// probeTimeout limits the duration of a probe.
	probeTimeout = time.Second
	// initialTrialDelay is the time after which a failing backend server that no probe
	// clears counts as healthy again, on trial. The delay doubles, up to maxTrialDelay,
	// each time the server becomes failing again, until it answers while it counts as
	// healthy.
	initialTrialDelay = 10 * time.Second
	maxTrialDelay     = 2 * time.Minute
)

// Monitor monitors the health of the configured backend servers for one entry.
type Monitor struct {
	// Probe sends a probe to a backend server and returns nil if it is answered.
	Probe func(ctx context.Context, server *intent.BackendServer) error
	// MarkFailing is called with failing set when a backend server should get no new
	// requests, and without it when the server has recovered. The server is given by
	// name. MarkFailing must not call the Monitor, whose lock is held.
	MarkFailing func(server string, failing bool)
	// MarkReachable is called with the failure domain of a backend server for each signal
	// about the server except SignalNoConnection.
	MarkReachable func(failureDomain string)
	// SilentDomains returns the failure domains from which this entry has heard nothing
	// lately although it needs contact with them. One backend server of each is probed to
	// find out whether the domain is reachable.
	SilentDomains func() []string
	// Events receives an event for each backend server that becomes failing or
	// recovers; it may be nil.
	Events *timeline.Ring

	mu            sync.Mutex
	configuration *intent.Configuration
	// records holds the health of the configuration's backend servers by name.
	records map[string]*serverHealth
	// probeRound counts the rounds of probes. It selects the backend server to probe in
	// a silent failure domain, in rotation.
	probeRound int
}

// serverHealth is the health of one backend server.
type serverHealth struct {
	server *intent.BackendServer
	// connectFailures is the number of SignalNoConnection since the last answer, and
	// unanswered that of SignalNoAnswer. The start of a trial sets connectFailures to one
	// below connectFailureLimit.
	connectFailures int
	unanswered      int
	// failing is set when connectFailureLimit or unansweredLimit is reached, and cleared
	// by an answer or when the trial is due.
	failing bool
	// reportedFailing is the value last passed to MarkFailing; it is false while the
	// panic threshold is exceeded.
	reportedFailing bool
	// lastProbe is when the last probe was sent.
	lastProbe time.Time
	// trialAt is when a failing backend server counts as healthy again, on trial.
	// trialDelay is the time from when it became failing until then.
	trialAt    time.Time
	trialDelay time.Duration
}

// Configure replaces the configuration. A backend server that is new or whose address
// changed starts as healthy.
func (m *Monitor) Configure(configuration *intent.Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*serverHealth)
	for _, service := range configuration.Services {
		for i := range service.BackendServers {
			server := &service.BackendServers[i]
			record := m.records[server.Name]
			if record == nil || record.server.Address != server.Address {
				if record != nil && record.reportedFailing {
					m.MarkFailing(server.Name, false)
				}
				record = &serverHealth{}
			}
			record.server = server
			next[server.Name] = record
		}
	}
	m.records = next
	m.configuration = configuration
}

// Observe records what the result of a request or probe says about the health of a
// backend server. The health of a server that isn't configured is not recorded.
func (m *Monitor) Observe(server *intent.BackendServer, signal Signal) {
	if signal != SignalNoConnection {
		m.MarkReachable(server.FailureDomain)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	record := m.records[server.Name]
	if record == nil {
		return
	}
	switch signal {
	case SignalAnswered, SignalShed:
		m.clearFailures(record)
	case SignalNoConnection:
		record.connectFailures++
	case SignalNoAnswer:
		record.unanswered++
	}
	if !record.failing && (record.connectFailures >= connectFailureLimit || record.unanswered >= unansweredLimit) {
		record.failing = true
		record.trialDelay = min(maxTrialDelay, max(initialTrialDelay, 2*record.trialDelay))
		record.trialAt = time.Now().Add(record.trialDelay)
	}
	m.reportFailing(server.Service)
}

// clearFailures marks a backend server that has answered as healthy. The first answer
// of a failing server doesn't reset the trial delay: if the server becomes failing again
// before a second answer, the delay doubles.
func (m *Monitor) clearFailures(record *serverHealth) {
	record.connectFailures = 0
	record.unanswered = 0
	if !record.failing {
		record.trialDelay = 0
	}
	record.failing = false
}

// reportFailing calls MarkFailing for the backend servers of a service that became
// failing or recovered. While the share of failing servers exceeds panicThreshold, all
// are reported as recovered. The caller holds the lock.
func (m *Monitor) reportFailing(service string) {
	servers := m.configuration.Service(service).BackendServers
	failing := 0
	for i := range servers {
		if m.records[servers[i].Name].failing {
			failing++
		}
	}
	thresholdExceeded := float64(failing) > panicThreshold*float64(len(servers))
	for i := range servers {
		record := m.records[servers[i].Name]
		if reported := record.failing && !thresholdExceeded; reported != record.reportedFailing {
			record.reportedFailing = reported
			m.MarkFailing(record.server.Name, reported)
			m.recordEvent(record)
		}
	}
}

// recordEvent records on the time line that a backend server was reported as failing
// or as recovered.
func (m *Monitor) recordEvent(record *serverHealth) {
	kind := "server-recovered"
	if record.reportedFailing {
		kind = "server-failing"
	}
	m.Events.Record(timeline.Event{
		Kind:    kind,
		Service: record.server.Service,
		Server:  record.server.Name,
	})
}

// Run probes backend servers until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval / 2)
	defer ticker.Stop()
	for {
		m.runProbes(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runProbes concurrently probes the backend servers that are due and waits for the
// results.
func (m *Monitor) runProbes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range m.selectProbeTargets(m.SilentDomains()) {
		group.Go(func() {
			if m.Probe(ctx, server) == nil {
				m.Observe(server, SignalAnswered)
			}
		})
	}
	group.Wait()
}

// selectProbeTargets returns the backend servers to probe now: those that are failing
// and, in rotation, one of each silent failure domain, except those probed less than
// probeInterval ago. A failing backend server whose trial is due is not probed but
// marked as healthy, and the next connection failure makes it failing again. So does
// the next request without an answer if the server was failing because of
// unansweredLimit such requests, since their count is kept.
func (m *Monitor) selectProbeTargets(silent []string) []*intent.BackendServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.configuration == nil {
		return nil
	}
	now := time.Now()
	var targets []*intent.BackendServer
	addIfDue := func(record *serverHealth) {
		if now.Sub(record.lastProbe) >= probeInterval {
			record.lastProbe = now
			targets = append(targets, record.server)
		}
	}
	byDomain := make(map[string][]*serverHealth)
	for _, service := range m.configuration.Services {
		for i := range service.BackendServers {
			record := m.records[service.BackendServers[i].Name]
			byDomain[record.server.FailureDomain] = append(byDomain[record.server.FailureDomain], record)
			if record.failing && now.After(record.trialAt) {
				record.failing = false
				record.connectFailures = connectFailureLimit - 1
				m.reportFailing(service.Name)
			}
			if record.failing {
				addIfDue(record)
			}
		}
	}
	m.probeRound++
	for _, domain := range silent {
		if servers := byDomain[domain]; len(servers) > 0 {
			addIfDue(servers[m.probeRound%len(servers)])
		}
	}
	return targets
}
