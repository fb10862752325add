package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/configuration"
	"github.com/teaselstack/teaselstack/entry/dispatch"
	"github.com/teaselstack/teaselstack/entry/fencing"
	"github.com/teaselstack/teaselstack/entry/health"
	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/link"
	"github.com/teaselstack/teaselstack/entry/lookup"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/pipeline"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// node is an entry that is configured by published intents. A platformNode, in
// contrast, takes its routes and registrations from the platform.
type node struct {
	settings settings.Settings
	logger   *log.Logger
	metrics  metrics.Registry
	// started is when the process started.
	started time.Time
	// shuttingDown is set when a graceful shutdown begins.
	shuttingDown atomic.Bool
	// refusingRequests is set once new requests are refused.
	refusingRequests atomic.Bool
	// shutdownEnd is when a graceful shutdown ends, nil before it begins.
	shutdownEnd atomic.Pointer[time.Time]
	// events holds the entry's time line.
	events *timeline.Ring
	// keeper follows the published configuration.
	keeper *configuration.Keeper
	// roster exchanges heartbeats with the other entries.
	roster *membership.Roster
	// slots allocates the slots of the backend servers at which this entry has a seat
	// as home or deputy.
	slots *slot.Ledger
	// health probes backend servers and tracks which of them fail.
	health *health.Monitor
	// links limits the rate of traffic to other regions.
	links *link.Shaper
	// loadView ranks the homes of a service, the entries that grant the slots of its
	// backend servers, by their last known load.
	loadView *steering.LoadView
	// keys claims idempotency keys and remembers the results of their requests.
	keys *key.Register
	// suspects holds the requests that may crash backend servers.
	suspects quarantine.List
	// connections bounds what the connections to all listeners hold.
	connections *connections
	// dispatcher forwards callers' requests.
	dispatcher *dispatch.Dispatcher
	// lookupServer answers look-ups.
	lookupServer *lookup.Server
	// pipeline passes callers' requests on and counts those that are not yet answered, for a
	// graceful shutdown.
	pipeline *pipeline.Handler
	// peerClient sends calls to the other entries.
	peerClient *http.Client
	// ownership is this process's right to act for the entry, with its incarnation. It
	// is exclusive once the platform has recorded it.
	ownership *fencing.Ownership
	// vmStatus caches which VMs the platform lists as gone.
	vmStatus membership.VMStatusCache
	// seatPartners holds the names of the entries that have a seat at one of the same
	// backend servers as this entry. It is nil before the first configuration.
	seatPartners atomic.Pointer[[]string]
	// configured is closed once the entry has a configuration by which it may serve.
	configured chan struct{}
	// advertised is set once advertise has marked the entry as serving.
	advertised atomic.Bool
	// ownershipLost is closed when another process has acquired the ownership of this
	// entry.
	ownershipLost chan struct{}
	// ownershipLostOnce ensures that ownershipLost is closed only once.
	ownershipLostOnce sync.Once
}

const (
	// platformCallTimeout bounds one call to the platform.
	platformCallTimeout = 10 * time.Second
	// dialTimeout bounds connecting to a peer, a backend server or the platform with a
	// dialFunc.
	dialTimeout = 2 * time.Second
	// expectContinueTimeout bounds how long a request that is relayed to its home
	// waits for a slot there before its body is sent. In practice the request's
	// deadline ends the wait earlier.
	expectContinueTimeout = time.Hour
	// minCompressBytes is the minimum size of a response that is compressed. It exceeds
	// the size of look-up answers: compressing one would take more time than it saves, and
	// a gzip writer takes 0.8 MB of memory.
	minCompressBytes = 16 << 10
	// maxIdleConnsPerHost bounds the idle connections to one host in each transport.
	maxIdleConnsPerHost = 64
)

// newNode returns a node that uses the platform at the URL in the settings.
func newNode(loaded settings.Settings, logger *log.Logger) *node {
	return newNodeOnPlatform(loaded, logger, func(transport http.RoundTripper) platform.Platform {
		return platform.NewClient(loaded.PlatformURL, &http.Client{
			Transport: transport,
			Timeout:   platformCallTimeout,
		}).Platform()
	})
}

// newNodeOnPlatform creates a node and tries to acquire the ownership of its entry, which
// takes a few seconds if the platform is unreachable; serve starts the node. The function
// newPlatform returns a client of the platform that uses the given transport.
func newNodeOnPlatform(loaded settings.Settings, logger *log.Logger, newPlatform func(http.RoundTripper) platform.Platform) *node {
	clock := &timeline.Clock{}
	started := time.Now()
	n := &node{
		settings:      loaded,
		logger:        logger,
		metrics:       metrics.NewRegistry(),
		started:       started,
		configured:    make(chan struct{}),
		ownershipLost: make(chan struct{}),
		events:        timeline.NewRing(loaded.Name, loaded.Limits.TimelineEvents, clock),
	}
	registerRuntimeGauges(n.metrics)
	n.connections = n.newConnections()
	n.peerClient = n.newPeerClient()
	platformClient := newPlatform(n.newTransport())
	n.vmStatus.VMs = platformClient.VMs
	n.keeper = &configuration.Keeper{
		Platform:       platformClient,
		FetchDeltas:    n.fetchConfiguration,
		PollsPlatform:  func() bool { return n.roster.FirstInDomain() },
		SeedsContacted: func() bool { return n.roster.SeedsContacted() },
		Events:         n.events,
		OnChange:       n.applyConfiguration,
		OnServing:      func() { close(n.configured) },
	}
	n.slots = &slot.Ledger{
		Entry:         loaded.Name,
		Events:        n.events,
		LeasesEnabled: true,
		RunningPeers:  n.runningPeers,
	}
	n.health = &health.Monitor{
		Probe:         health.HTTPProbe(n.newTransport()),
		MarkFailing:   n.slots.MarkFailing,
		MarkReachable: n.slots.MarkReachable,
		SilentDomains: n.slots.SilentDomains,
		Events:        n.events,
	}
	n.links = &link.Shaper{
		Region: loaded.Region,
	}
	n.ownership = n.acquireOwnership(platformClient.Table)
	n.keys = key.New(loaded.Name, n.ownership.Incarnation(), platformClient.Table, n.keyOptions()...)
	n.loadView = &steering.LoadView{
		Entry:         loaded.Name,
		Configuration: n.keeper.Current,
		OwnLoad:       n.slots.Load,
		OwnLoads:      n.slots.Loads,
	}
	n.roster = n.newRoster(clock)
	n.loadView.Peer = n.roster.Peer
	n.dispatcher = n.newDispatcher()
	n.lookupServer = &lookup.Server{
		Configuration:  n.keeper.Serving,
		RankHomes:      n.loadView.RankHomes,
		ServingEntries: n.servingMembers,
		ServingEntry:   n.servingMember,
		IssueTicket:    n.keys.IssueTicket,
		Stopping:       func() bool { return n.roster.Self().GetStopping() },
		Region:         loaded.Region,
	}
	n.pipeline = n.newPipeline()
	return n
}

// newRoster returns the roster of peers, which exchanges heartbeats with them.
func (n *node) newRoster(clock *timeline.Clock) *membership.Roster {
	client := n.peerClient
	self := &teaselv1.Member{
		Name:            n.settings.Name,
		Incarnation:     n.keys.Incarnation(),
		Region:          n.settings.Region,
		FailureDomain:   n.settings.FailureDomain,
		CallerAddress:   n.settings.CallersAddress,
		PeerAddress:     n.settings.PeersAddress,
		OperatorAddress: n.settings.OperatorsAddress,
	}
	send := func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
		return teaselv1.NewPeerServiceProtobufClient("http://"+address, client).Heartbeat(ctx, request)
	}
	return membership.New(self, send,
		membership.WithSeeds(n.settings.Peers),
		membership.WithHeartbeatInterval(time.Duration(n.settings.Limits.HeartbeatInterval)),
		membership.WithTimeline(clock, n.events),
		membership.WithExtension(n.loadView.HeartbeatExtension()),
		membership.WithExtension(n.slots.HeartbeatExtension()),
		membership.WithExtension(n.keeper.HeartbeatExtension()),
		membership.WithExtension(n.suspects.HeartbeatExtension()),
		membership.WithSuperseded(n.handleOwnershipLost),
		membership.WithVMStatus(n.vmStatus.Status),
		membership.WithSeatPartners(func() []string {
			if names := n.seatPartners.Load(); names != nil {
				return *names
			}
			return nil
		}),
	)
}

// maxResponseHeaderBytes bounds the header of a response, together with the interim responses
// before it, in bytes. A faulty server may send bytes without end, which are kept until then.
const maxResponseHeaderBytes = 64 << 10

// newTransport returns an HTTP transport for connections to peers, backend servers or
// the platform. It uses the SOCKS5 proxy in the settings, if there is one.
func (n *node) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           newDialFunc(n.settings),
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		IdleConnTimeout:       time.Minute,
		ExpectContinueTimeout: expectContinueTimeout,
		// The default is 10 MB, for each response.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// newDispatcher returns the dispatcher, which forwards callers' requests to backend
// servers.
func (n *node) newDispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Entry:            n.settings.Name,
		Region:           n.settings.Region,
		PeerKey:          n.settings.PeerKey,
		MaxDeadline:      time.Duration(n.settings.Limits.MaxDeadline),
		Configuration:    n.keeper.Serving,
		RankHomes:        n.loadView.RankHomes,
		PeerAddress:      n.peerAddress,
		WatchDead:        n.roster.WatchDead,
		ReportHealth:     n.health.Observe,
		TrackInFlight:    n.loadView.TrackInFlight,
		Slots:            n.slots,
		Links:            n.links,
		Keys:             n.keys,
		Quarantine:       &n.suspects,
		Events:           n.events,
		Metrics:          n.metrics,
		ShutdownEnd:      n.stopsAt,
		BackendTransport: n.newTransport(),
		PeerTransport:    n.newTransport(),
	}
}

// keyOptions returns the options of the register of idempotency keys. Among them is the
// function that asks the entry that claimed a key for the state of the claim.
func (n *node) keyOptions() []key.Option {
	client := n.peerClient
	options := []key.Option{
		key.WithQueryFunc(func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
			address := n.peerAddress(entry)
			if address == "" {
				return nil, errors.Errorf("ask entry %s for a key: unknown entry", entry)
			}
			return teaselv1.NewPeerServiceProtobufClient("http://"+address, client).Key(ctx, request)
		}),
	}
	if maxDeadline := time.Duration(n.settings.Limits.MaxDeadline); maxDeadline > 0 {
		options = append(options, key.WithMaxDeadline(maxDeadline))
	}
	return options
}

// applyConfiguration applies a new configuration to the components of the node.
func (n *node) applyConfiguration(next *intent.Configuration) {
	n.slots.Configure(next)
	n.health.Configure(next)
	n.links.Configure(next)
	partners := n.slots.Partners()
	n.seatPartners.Store(&partners)
	n.keys.SetEntryCount(len(next.Deployment.Entries))
	n.roster.UpdateSelf(func(self *teaselv1.Member) {
		self.ConfigurationVersion = next.Version
		self.Stopping = n.shuttingDown.Load() || next.EntryDraining(n.settings.Name)
	})
	n.logger.Info().Str("event", "configuration-in-force").Uint64("version", next.Version).Msg("")
}

// ready reports whether the entry has been advertised and is not shutting down. The entry
// stays ready while the configuration drains it, although look-ups then don't name it.
func (n *node) ready() bool {
	return n.advertised.Load() && !n.shuttingDown.Load()
}

// serve runs the entry on the open sockets until ctx is done, a listener fails or
// another process acquires the ownership of the entry, then shuts down gracefully.
func (n *node) serve(ctx context.Context, open sockets) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	group.Go(func() { n.keeper.Run(background) })
	group.Go(func() { n.advertise(background) })
	group.Go(func() { n.ownership.Watch(background) })
	group.Go(func() { n.roster.Run(background) })
	group.Go(func() { n.slots.Run(background) })
	group.Go(func() { n.health.Run(background) })
	group.Go(func() { n.keys.Run(background) })
	failures := make(chan error, 3)
	peers := n.connections.newReader(n.peersHandler())
	operators := n.connections.newReader(n.operatorsHandler())
	servers := []*http.Server{
		n.newServer(n.pipeline),
		n.newServer(peers),
		n.newServer(operators),
	}
	for i, listener := range []net.Listener{n.pipeline.Listener(open.callers), peers.Listener(open.peers), operators.Listener(open.operators)} {
		group.Go(func() {
			if err := servers[i].Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	n.logger.Info().Str("event", "serving").Str("callers", n.settings.CallersAddress).Msg("")
	var failure error
	select {
	case <-ctx.Done():
	case <-n.ownershipLost:
		failure = errors.New("another process has this entry's seat")
	case failure = <-failures:
	}
	err := n.shutdown(servers)
	stopBackground()
	group.Wait()
	n.vmStatus.Wait()
	if failure != nil {
		return failure
	}
	return err
}
