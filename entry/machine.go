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
	"github.com/teaselstack/teaselstack/entry/health"
	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/lease"
	"github.com/teaselstack/teaselstack/entry/link"
	"github.com/teaselstack/teaselstack/entry/lookup"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/timeline"
)

// machine is one running entry: its parts, wired together.
type machine struct {
	settings settings.Settings
	logger   *log.Logger
	metrics  metrics.Registry
	started  time.Time
	stopping atomic.Bool
	// refusing is set once new requests are refused.
	refusing   atomic.Bool
	events     *timeline.Ring
	keeper     *configuration.Keeper
	roster     *membership.Roster
	slots      *slot.Ledger
	health     *health.Monitor
	links      *link.Shaper
	view       *steering.LoadView
	keys       *key.Register
	suspects   quarantine.List
	dispatcher *dispatch.Dispatcher
	lookups    *lookup.Server
	peers      *http.Client
	seat       *lease.Seat
	listing    membership.VMStatusCache
	// partners are the entries that hold seats at the same backend servers.
	partners atomic.Pointer[[]string]
	// settled is closed when the configuration that the entry starts with is
	// known; enlisted is set once look-ups may name the entry.
	settled  chan struct{}
	enlisted atomic.Bool
	// superseded is closed when another process has this entry's seat.
	superseded     chan struct{}
	supersededOnce sync.Once
}

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 10 * time.Second
	// dialTimeout bounds connecting to a peer or a backend server.
	dialTimeout = 2 * time.Second
	// expectTimeout is how long a relayed body waits for its home's slot; the
	// request's deadline ends the wait earlier.
	expectTimeout = time.Hour
	// minCompressed is the shortest answer that is compressed, in bytes. Look-ups'
	// are shorter: a gzip writer holds 0.8 MB and takes longer than it saves.
	minCompressed = 16 << 10
	// idleConnections is the most idle connections kept to one host.
	idleConnections = 64
)

func newMachine(loaded settings.Settings, logger *log.Logger) *machine {
	return newMachineOn(loaded, logger, func(transport http.RoundTripper) platform.Platform {
		return platform.NewClient(loaded.PlatformURL, &http.Client{
			Transport: transport,
			Timeout:   platformTimeout,
		}).Platform()
	})
}

// newMachineOn returns an entry on a platform that is reached by a transport.
func newMachineOn(loaded settings.Settings, logger *log.Logger, connect func(http.RoundTripper) platform.Platform) *machine {
	clock := &timeline.Clock{}
	started := time.Now()
	m := &machine{
		settings:   loaded,
		logger:     logger,
		metrics:    metrics.NewRegistry(),
		started:    started,
		settled:    make(chan struct{}),
		superseded: make(chan struct{}),
		events:     timeline.NewRing(loaded.Name, loaded.Limits.TimelineEvents, clock),
	}
	registerRuntime(m.metrics)
	m.peers = m.peerClient()
	service := connect(m.newTransport())
	m.listing.Machines = service.VMs
	m.keeper = &configuration.Keeper{
		Platform:       service,
		FetchDeltas:    m.fetchConfiguration,
		PollsPlatform:  func() bool { return m.roster.FirstInDomain() },
		SeedsContacted: func() bool { return m.roster.SeedsContacted() },
		Events:         m.events,
		OnChange:       m.configure,
		OnServing:      func() { close(m.settled) },
	}
	m.slots = &slot.Ledger{
		Entry:         loaded.Name,
		Events:        m.events,
		LeasesEnabled: true,
		RunningPeers:  m.running,
	}
	m.health = &health.Monitor{
		Probe:         health.HTTPProbe(m.newTransport()),
		MarkFailing:   m.slots.MarkFailing,
		MarkReachable: m.slots.MarkReachable,
		SilentDomains: m.slots.SilentDomains,
		Events:        m.events,
	}
	m.links = &link.Shaper{
		Region: loaded.Region,
	}
	m.seat = m.takeSeat(service.Table)
	m.keys = key.New(loaded.Name, m.seat.Incarnation(), service.Table, m.keyOptions()...)
	m.view = &steering.LoadView{
		Entry:         loaded.Name,
		Configuration: m.keeper.Current,
		OwnLoad:       m.slots.Load,
		OwnLoads:      m.slots.Loads,
	}
	m.roster = m.newRoster(clock)
	m.view.Peer = m.roster.Peer
	m.dispatcher = m.newDispatcher()
	m.lookups = &lookup.Server{
		Configuration:  m.keeper.Serving,
		RankHomes:      m.view.RankHomes,
		ServingEntries: m.answerable,
		ServingEntry:   m.answerableEntry,
		IssueTicket:    m.keys.IssueTicket,
		Stopping:       func() bool { return m.roster.Self().GetStopping() },
		Region:         loaded.Region,
	}
	return m
}

func (m *machine) newRoster(clock *timeline.Clock) *membership.Roster {
	client := m.peers
	self := &teaselv1.Member{
		Name:            m.settings.Name,
		Incarnation:     m.keys.Incarnation(),
		Region:          m.settings.Region,
		FailureDomain:   m.settings.FailureDomain,
		CallerAddress:   m.settings.CallersAddress,
		PeerAddress:     m.settings.PeersAddress,
		OperatorAddress: m.settings.OperatorsAddress,
	}
	call := func(ctx context.Context, address string, request *teaselv1.HeartbeatRequest) (*teaselv1.HeartbeatResponse, error) {
		return teaselv1.NewPeerServiceProtobufClient("http://"+address, client).Heartbeat(ctx, request)
	}
	return membership.New(self, call,
		membership.WithSeeds(m.settings.Peers),
		membership.WithHeartbeatInterval(time.Duration(m.settings.Limits.HeartbeatInterval)),
		membership.WithTimeline(clock, m.events),
		membership.WithExtension(m.view.HeartbeatExtension()),
		membership.WithExtension(m.slots.HeartbeatExtension()),
		membership.WithExtension(m.keeper.HeartbeatExtension()),
		membership.WithExtension(m.suspects.HeartbeatExtension()),
		membership.WithSuperseded(m.giveUpSeat),
		membership.WithVMStatus(m.listing.Status),
		membership.WithSeatPartners(func() []string {
			if names := m.partners.Load(); names != nil {
				return *names
			}
			return nil
		}),
	)
}

// newTransport returns a transport to peers, backend servers or the platform.
func (m *machine) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           newDial(m.settings),
		MaxIdleConnsPerHost:   idleConnections,
		IdleConnTimeout:       time.Minute,
		ExpectContinueTimeout: expectTimeout,
		DisableCompression:    true,
	}
}

func (m *machine) newDispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Entry:            m.settings.Name,
		Region:           m.settings.Region,
		PeerKey:          m.settings.PeerKey,
		MaxDeadline:      time.Duration(m.settings.Limits.MaxDeadline),
		Configuration:    m.keeper.Serving,
		RankHomes:        m.view.RankHomes,
		PeerAddress:      m.peerAddress,
		ReportHealth:     m.health.Observe,
		TrackInFlight:    m.view.TrackInFlight,
		Slots:            m.slots,
		Links:            m.links,
		Keys:             m.keys,
		Quarantine:       &m.suspects,
		Events:           m.events,
		Metrics:          m.metrics,
		BackendTransport: m.newTransport(),
		PeerTransport:    m.newTransport(),
	}
}

// keyOptions lets the register of keys ask other claimants.
func (m *machine) keyOptions() []key.Option {
	client := m.peers
	options := []key.Option{
		key.WithQueryFunc(func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
			address := m.peerAddress(entry)
			if address == "" {
				return nil, errors.Errorf("ask entry %s for a key: unknown entry", entry)
			}
			return teaselv1.NewPeerServiceProtobufClient("http://"+address, client).Key(ctx, request)
		}),
	}
	if longest := time.Duration(m.settings.Limits.MaxDeadline); longest > 0 {
		options = append(options, key.WithMaxDeadline(longest))
	}
	return options
}

// configure takes a new configuration over in all parts.
func (m *machine) configure(next *intent.Configuration) {
	m.slots.Configure(next)
	m.health.Configure(next)
	m.links.Configure(next)
	partners := m.slots.Partners()
	m.partners.Store(&partners)
	m.keys.SetEntryCount(len(next.Deployment.Entries))
	m.roster.UpdateSelf(func(self *teaselv1.Member) {
		self.ConfigurationVersion = next.Version
		self.Stopping = m.stopping.Load() || next.EntryDraining(m.settings.Name)
	})
	m.logger.Info().Str("event", "configuration-in-force").Uint64("version", next.Version).Msg("")
}

func (m *machine) ready() bool {
	return m.enlisted.Load() && !m.stopping.Load()
}

// serve runs until ctx is done, then shuts down gracefully.
func (m *machine) serve(ctx context.Context, opened listeners) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	group.Go(func() { m.keeper.Run(background) })
	group.Go(func() { m.enlist(background) })
	group.Go(func() { m.seat.Watch(background) })
	group.Go(func() { m.roster.Run(background) })
	group.Go(func() { m.slots.Run(background) })
	group.Go(func() { m.health.Run(background) })
	group.Go(func() { m.keys.Run(background) })
	failures := make(chan error, 3)
	servers := []*http.Server{
		m.newServer(m.callersHandler()),
		m.newServer(m.peersHandler()),
		m.newServer(m.operatorsHandler()),
	}
	for i, listener := range []net.Listener{opened.callers, opened.peers, opened.operators} {
		group.Go(func() {
			if err := servers[i].Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	m.logger.Info().Str("event", "serving").Str("callers", m.settings.CallersAddress).Msg("")
	var failure error
	select {
	case <-ctx.Done():
	case <-m.superseded:
		failure = errors.New("another process has this entry's seat")
	case failure = <-failures:
	}
	err := m.shutdown(servers)
	stopBackground()
	group.Wait()
	m.listing.Wait()
	if failure != nil {
		return failure
	}
	return err
}
