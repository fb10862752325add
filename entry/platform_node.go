package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/entry/pipeline"
	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// platformNode is an entry that takes its settings, routes and registrations of backend
// servers from the platform. A node, in contrast, is configured by published intents.
type platformNode struct {
	// settings is replaced when the settings file changes.
	settings atomic.Pointer[platform.Settings]
	logger   *log.Logger
	metrics  metrics.Registry
	// droppedLogLines returns the number of log lines dropped so far.
	droppedLogLines func() int64
	// fleet chooses the backend server of each request.
	fleet *placement.Fleet
	// pool holds the connections to backend servers.
	pool *upstream.Pool
	// registry follows the routes and registrations in the platform's store.
	registry *registry.Registry
	// eras holds the era of the platform's store.
	eras platform.Eras
	// readerClient asks the entry that reads the store for this one.
	readerClient *http.Client
	// tracker exchanges state with the other entries.
	tracker *presence.Tracker
	// gateway forwards callers' requests.
	gateway *gateway.Gateway
	// pipeline passes callers' requests to the gateway, pipelined ones concurrently.
	pipeline *pipeline.Handler
	// connections bounds what the connections to all listeners hold.
	connections *connections
	// suspects holds the requests that may crash backend servers.
	suspects quarantine.List
	// trials lets quarantined requests run once more.
	trials *trials
	// startedAt is when newPlatformNode was called.
	startedAt time.Time
	// startingPeerHeard is when a message of an entry that had just started last arrived, nil if
	// none did.
	startingPeerHeard atomic.Pointer[time.Time]
	// confirmedAt is the time as of which the servers' registrations are known, and confirmedSince
	// that from which on they were without a gap. Only confirmServers uses them.
	confirmedAt    time.Time
	confirmedSince time.Time
	// shuttingDown is set when a graceful shutdown begins: look-ups then no longer name
	// the entry, and each connection is closed after its answer.
	shuttingDown atomic.Bool
	// ending ends when the requests in flight at the end of a graceful shutdown are given up, by
	// a call of giveUp.
	ending context.Context
	giveUp context.CancelFunc
	// responsesDue is when a graceful shutdown ends. It is nil until the end of lameDuckTime.
	responsesDue atomic.Pointer[time.Time]
}

const (
	// maxPollShare is the largest fraction of the drain bound, the time within which a
	// draining server must stop receiving requests, that may pass between two polls of the
	// registrations. The rest is for the poll and for requests in transit.
	maxPollShare = 0.5
	// drainMarginShare is the fraction of the drain bound that is reserved for delays
	// other than network round trips.
	drainMarginShare = 0.25
	// drainRoundTrips is the number of round trips from the start of a poll until the
	// last request reaches the server: one for the call of the store, one for a new
	// connection and half of one for sending the request.
	drainRoundTrips = 2.5
	// minPollShare is the smallest fraction of the drain bound between two polls. It
	// limits the rate of polls where round trips are too long to keep the drain bound.
	minPollShare = 0.1
	// keepAliveDialTimeout bounds connecting to a backend server, the store or another
	// entry with a keepAliveDialer. A lost SYN is sent again only after a second, and the
	// longest round trip is a fraction of a second.
	keepAliveDialTimeout = 700 * time.Millisecond
	// keepAliveInterval is the time between two TCP keep-alive probes on an idle
	// connection. After keepAliveProbes unanswered probes the connection is closed.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// quarantineFailureLimit is the number of servers that fail while they run a request
	// until the request is quarantined. The platform limits the retries of a
	// request after the request has made three servers fail.
	quarantineFailureLimit = 3
	// confirmationSlack is how much longer than the undisturbed window the registrations may stay
	// unconfirmed before the store counts as away. While it is, it may keep those of servers that have
	// ended.
	confirmationSlack = 500 * time.Millisecond
	// suspectGossipTime is how long after its last failure a suspect is sent to peers, how long
	// an entry says that it has just started, and how long the others then send it all suspects.
	// It spans several datagrams, as more than half of them may be lost.
	suspectGossipTime = 5 * time.Second
)

// newPlatformNode returns a platformNode; serve starts it. The function droppedLogLines
// returns the number of log lines dropped so far.
func newPlatformNode(settings platform.Settings, logger *log.Logger, droppedLogLines func() int64) *platformNode {
	n := &platformNode{
		logger:          logger,
		droppedLogLines: droppedLogLines,
		metrics:         metrics.NewRegistry(),
		startedAt:       time.Now(),
	}
	n.ending, n.giveUp = context.WithCancel(context.Background())
	n.readerClient = newReaderClient()
	n.eras.OnChange = n.logEra
	n.eras.OnUnreadable = n.logUnreadableEra
	n.settings.Store(&settings)
	n.suspects.FailureLimit = quarantineFailureLimit
	n.suspects.OnFailure = n.handleFailure
	n.tracker = &presence.Tracker{
		Self:   n.self,
		Store:  n.newStore(),
		Logger: logger,
	}
	n.suspects.OnCleared = n.handleCleared
	n.trials = newTrials(n.newStore(), &n.suspects, logger)
	n.fleet = placement.New(settings.Region, n.entryPosition,
		placement.WithFailureDomain(settings.FailureDomain),
		placement.WithEntries(settings.Name, n.servingEntries),
		placement.WithRegistrationLag(n.maxConfirmationAge),
		placement.WithConnections(func(incarnation routing.Incarnation, from, before time.Time) bool {
			return n.pool.Connected(incarnation, from, before)
		}),
		placement.WithColdRateLimit(func() (factor, slack float64) {
			bounds := n.settings.Load().Bounds
			return bounds.ColdFactor, bounds.ColdSlack
		}))
	n.fleet.OnStateChange = n.logServerState
	n.fleet.OnLimitChange = n.logServerLimit
	n.tracker.FillPresence = n.fillPresence
	n.tracker.ApplyPresence = n.applyPresence
	n.tracker.FillRow = n.fillRow
	n.tracker.ApplyRow = n.applyRow
	n.pool = &upstream.Pool{
		HeaderNames:      platform.HeaderNames,
		MaxIdlePerServer: n.maxIdlePerServer,
		Eligible:         n.fleet.Eligible,
		Usable:           n.fleet.UsableConnections,
		OnOpened:         n.fleet.ObserveConnection,
		OnClosed: func(server *routing.Server, openedAt time.Time) {
			n.fleet.SuspectRestart(server, placement.SignClosed, time.Now(), openedAt)
		},
		MaxIdleTotal: n.maxIdleTotal,
		Dial:         newKeepAliveDialer(keepAliveDialTimeout).dial,
	}
	n.registry = &registry.Registry{
		OperatorStore: n.newStore(),
		ServerStore:   n.newStore(),
		Regions:       settings.DomainRegions,
		ServerPollPause: func() time.Duration {
			return registrationPollInterval(n.settings.Load().Bounds.DrainTime, n.fleet.LongestRoundTrip())
		},
		MaxLag:               func() time.Duration { return n.settings.Load().Bounds.StableWindow },
		RegistrationInterval: func() time.Duration { return n.settings.Load().RegistrationInterval },
		OnConfiguration:      n.fleet.Configure,
		OnEvacuations:        n.fleet.SetEvacuated,
		OnServersUpdated:     n.updateServers,
		OnServersRemoved:     n.removeServers,
		OnDoubtfulServers:    n.fleet.SetDoubtful,
		OnServersConfirmed:   n.confirmServers,
		Logger:               logger,
		SnapshotSources:      n.snapshotSources,
		FindReader:           n.findReader,
	}
	n.gateway = &gateway.Gateway{
		HeaderNames:     platform.HeaderNames,
		DecodeStatement: platform.DecodeStatement,
		Configuration:   n.registry.Configuration,
		Fleet:           n.fleet,
		Pool:            n.pool,
		RetryBudget: &gateway.RetryBudget{
			Bounds: func() (ratio, slack float64, window time.Duration) {
				bounds := n.settings.Load().Bounds
				return bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow
			},
			EntryCount: n.entryCount,
		},
		Quarantine: &n.suspects,
		BeginTrial: n.trials.begin,
		EndTrial:   n.trials.end,
		RegistrationsAge: func() (age time.Duration, known bool) {
			return n.registry.TableAge(platform.ServerTable)
		},
		ResponsesDue: n.shutdownEnd,
		Ending:       n.ending,
		Logger:       logger,
		Metrics:      n.metrics,
	}
	n.connections = newConnections(n.memoryLimit, n.maxHeaderBytes, logger, n.metrics)
	n.connections.limiter.Configuration = n.registry.Configuration
	n.connections.limiter.MaxConns = n.maxConns
	n.pipeline = &pipeline.Handler{
		Next:            n.gateway,
		Refuse:          http.HandlerFunc(n.gateway.RefuseStopping),
		Idempotent:      n.idempotent,
		ShuttingDown:    n.shuttingDown.Load,
		RequestIDHeader: platform.HeaderNames.RequestID,
		Logger:          logger,
	}
	n.registerGauges()
	return n
}

// registrationPollInterval returns the pause between two polls of the servers'
// registrations: maxPollShare of the drain bound, or less if round trips are long, but at
// least minPollShare of the drain bound.
func registrationPollInterval(drainBound, roundTrip time.Duration) time.Duration {
	remaining := (1-drainMarginShare)*float64(drainBound) - drainRoundTrips*float64(roundTrip)
	return time.Duration(max(minPollShare*float64(drainBound), min(maxPollShare*float64(drainBound), remaining)))
}

// updateServers applies the registrations of servers that are new or have changed.
func (n *platformNode) updateServers(servers []routing.Server) {
	n.fleet.Update(servers)
	n.suspects.CheckUnanswered()
}

// removeServers removes servers whose registrations are gone.
func (n *platformNode) removeServers(ids []string) {
	n.fleet.Remove(ids)
	n.suspects.CheckUnanswered()
}

// logServerState logs that the state of a backend server changed.
func (n *platformNode) logServerState(server *routing.Server, state placement.ServerState, cause string) {
	n.logger.Info().Str("event", "server").Str("server", server.ID).Str("belief", string(state)).Str("cause", cause).
		Str("service", server.Service).Str("failure-domain", server.FailureDomain).Int64("sequence", server.Sequence).Msg("")
}

// logServerLimit logs that a backend server states a limit on the rate of requests, or none
// any more, to this entry or to a peer.
func (n *platformNode) logServerLimit(server *routing.Server, statement routing.Statement, fromPeer bool) {
	n.logger.Info().Str("event", "server-limit").Str("server", server.ID).Str("service", server.Service).
		Bool("limited", statement.Limited).Float64("per-second", statement.RequestLimit).Bool("from-peer", fromPeer).Msg("")
}

// logEra logs that the platform's store has come back from a copy.
func (n *platformNode) logEra(from, to platform.Era) {
	n.logger.Warn().Str("event", "store-era").Stringer("from", from).Stringer("to", to).Msg("")
}

// logUnreadableEra logs that a response of the store states no valid era.
func (n *platformNode) logUnreadableEra(value string) {
	n.logger.Warn().Str("event", "era-unreadable").Str("value", value).Msg("")
}

// servingEntries returns the entries that look-ups may name to callers.
func (n *platformNode) servingEntries() []placement.Entry {
	serving := n.tracker.ServingEntries()
	entries := make([]placement.Entry, 0, len(serving))
	for _, each := range serving {
		entries = append(entries, placement.Entry{
			Name:   each.Name,
			Region: each.Region,
		})
	}
	return entries
}

// fillPresence adds to a message to the other entries this entry's requests in flight at
// each backend server, the servers that fail its requests, the recent suspects and the
// quarantined requests. While another entry has just started, it adds all suspects.
func (n *platformNode) fillPresence(message *teaselv1.Presence) {
	n.fleet.FillPresence(message)
	message.Starting = time.Since(n.startedAt) < suspectGossipTime
	maxAge := suspectGossipTime
	if heard := n.startingPeerHeard.Load(); heard != nil && time.Since(*heard) < suspectGossipTime {
		maxAge = quarantine.FailureLifetime
	}
	message.Suspects = n.suspects.RecentSuspects(maxAge)
	message.Quarantines = n.suspects.Quarantines()
}

// applyPresence records the state of the backend servers that another entry reports in a
// message, and merges the suspects and quarantined requests in the message into this
// entry's list.
func (n *platformNode) applyPresence(message *teaselv1.Presence) {
	if message.GetStarting() {
		now := time.Now()
		n.startingPeerHeard.Store(&now)
	}
	n.fleet.ApplyPresence(message)
	n.suspects.Merge(message.GetSuspects())
	n.suspects.MergeQuarantines(message.GetQuarantines())
}

// idempotent reports whether a request's route is one of requests that may run more than
// once.
func (n *platformNode) idempotent(request *http.Request) bool {
	conf := n.registry.Configuration()
	if conf == nil {
		return false
	}
	route := conf.MatchRoute(request.Host, routing.Path(request))
	return route != nil && route.Kind == routing.Idempotent
}

// ready reports whether look-ups may name this entry.
func (n *platformNode) ready() bool {
	return n.registry.Loaded() && !n.shuttingDown.Load()
}

// entryPosition returns this entry's index among all known entries and the number of
// entries. Since some entries may not be known yet, the number is at least that of the
// failure domains plus one.
func (n *platformNode) entryPosition() (index, count int) {
	index, count = n.tracker.Position()
	return index, max(count, len(n.settings.Load().DomainRegions)+1)
}

// maxIdlePerServer returns the limit of idle connections from this entry to one server
// of a service: this entry's share of half of the connections that a server accepts.
func (n *platformNode) maxIdlePerServer(service string) int {
	conf := n.registry.Configuration()
	if conf == nil || conf.Services[service] == nil {
		return 1
	}
	return max(1, conf.Services[service].MaxConnections/(2*n.entryCount()))
}

const (
	// connShare is the fraction of the file descriptors for connections to the listeners,
	// and idleConnShare the fraction for idle connections to servers. The rest is for
	// requests in flight, the store and peers.
	connShare     = 0.5
	idleConnShare = 0.2
)

// maxConns returns the limit of open connections to all listeners.
func (n *platformNode) maxConns() int {
	return int(connShare * float64(n.settings.Load().MaxDescriptors))
}

// memoryLimit returns the memory limit of the process in bytes.
func (n *platformNode) memoryLimit() int64 {
	return int64(cmp.Or(n.settings.Load().MemoryLimitMB, platform.DefaultMemoryLimitMB)) << 20
}

// maxHeaderBytes returns the limit of a header's size in the configuration, or 0 if there is none.
func (n *platformNode) maxHeaderBytes() int {
	if conf := n.registry.Configuration(); conf != nil {
		return conf.Limits.MaxHeaderBytes
	}
	return 0
}

// maxIdleTotal returns the limit of idle connections to all servers together.
func (n *platformNode) maxIdleTotal() int {
	return int(idleConnShare * float64(n.settings.Load().MaxDescriptors))
}

// entryCount returns the number of entries; see entryPosition.
func (n *platformNode) entryCount() int {
	_, count := n.entryPosition()
	return count
}

// self returns the description of this entry that the tracker sends to other entries.
func (n *platformNode) self() presence.Entry {
	settings := n.settings.Load()
	return presence.Entry{
		Name:          settings.Name,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPorts[0])),
		Serving:       n.ready(),
	}
}

const (
	// staleConnInterval is the time between two calls that close stale idle connections.
	staleConnInterval = 2 * time.Second
	// settingsPollInterval is the time between two checks of the settings file.
	settingsPollInterval = 2 * time.Second
)

// serve runs the entry on the open sockets until ctx is done or a listener fails,
// then shuts down gracefully. A signal from reloadSignals reloads the settings.
func (n *platformNode) serve(ctx context.Context, open platformSockets, reloadSignals <-chan os.Signal) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { n.registry.Run(background) })
	group.Go(func() { n.tracker.Run(background, open.peers) })
	group.Go(func() { n.trials.run(background) })
	group.Go(func() { n.checkServers(background) })
	group.Go(func() { n.closeStaleConns(background) })
	group.Go(func() { n.watchSettings(background, reloadSignals) })
	callerServer := n.connections.newServer(n.pipeline)
	servers := []*http.Server{callerServer}
	failures := make(chan error, maxListeners)
	start := func(server *http.Server, listener net.Listener) {
		group.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	if open.callers != nil {
		start(callerServer, n.pipeline.Listener(open.callers))
	}
	for handler, listener := range map[*http.HandlerFunc]net.Listener{
		new(http.HandlerFunc(n.serveReady)):    open.ready,
		new(http.HandlerFunc(n.serveLookup)):   open.lookups,
		new(http.HandlerFunc(n.serveSnapshot)): open.snapshots,
		new(http.HandlerFunc(n.serveMetrics)):  open.metrics,
	} {
		if listener == nil {
			continue
		}
		reader := n.connections.newReader(handler)
		server := n.connections.newServer(reader)
		// None of these requests has a body.
		server.ReadTimeout = maxHeaderTimeout
		servers = append(servers, server)
		start(server, reader.Listener(listener))
	}
	settings := n.settings.Load()
	n.logger.Info().Str("event", "started").Str("callers", settings.CallerAddress).Str("region", settings.Region).
		Strs("defaulted", settings.DefaultedKeys).Msg("")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	n.shutdown(servers)
	stop()
	return failure
}

const (
	// maxListeners is the maximum number of TCP listeners of a platformNode.
	maxListeners = 5
)

// serveReady answers the platform's readiness probe.
func (n *platformNode) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !n.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
