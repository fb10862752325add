package main

import (
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
	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// gate is an entry on a platform whose store holds routes and registrations.
type gate struct {
	settings atomic.Pointer[platform.Settings]
	logger   *log.Logger
	metrics  metrics.Registry
	// dropped returns how many log lines were dropped.
	dropped  func() int64
	fleet    *placement.Fleet
	pool     *upstream.Pool
	registry *registry.Registry
	roster   *presence.Tracker
	gateway  *gateway.Gateway
	suspects quarantine.List
	// leaving is set by SIGTERM: look-ups no longer name the entry, and connections
	// are closed after their answers.
	leaving atomic.Bool
}

const (
	// registrationShare is the part of the time within which a leaving server must
	// be left alone that may pass between two readings of the registrations; the
	// rest is for the reading and for requests on their way.
	registrationShare = 0.5
	// travelShare is the part of that time that is left for news and requests on
	// their way beside the round trips that they take: a call of the store, a new
	// connection and the way of a request.
	travelShare      = 0.25
	travelRoundTrips = 2.5
	// minPauseShare bounds the calls where the ways are too long for the bound.
	minPauseShare = 0.1
	// connectTimeout bounds connecting to a backend server: a lost opening packet
	// is sent again after a second, and the longest way takes a fraction of one.
	connectTimeout = 700 * time.Millisecond
	// silentProbe is the time between the probes of a connection that is silent;
	// silentProbes of them without an answer end it.
	silentProbe  = time.Second
	silentProbes = 2
	// breakLimit is how many servers a request may break before it is refused: the
	// platform bounds what follows the third.
	breakLimit = 3
	// suspectNews is how long peers are told of a request that broke a server: some
	// datagrams, more than half of which may be lost.
	suspectNews = 5 * time.Second
	// homeWeight and uploadHomeWeight say how many times a server of the entry's
	// own region counts in placement.
	homeWeight       = 1.5
	uploadHomeWeight = 3
)

func newGate(settings platform.Settings, logger *log.Logger, dropped func() int64) *gate {
	g := &gate{
		logger:  logger,
		dropped: dropped,
		metrics: metrics.NewRegistry(),
	}
	g.settings.Store(&settings)
	g.suspects.FailureLimit = breakLimit
	g.roster = &presence.Tracker{
		Self:   g.self,
		Store:  g.newStore(),
		Logger: logger,
	}
	g.fleet = placement.New(settings.Region, g.place,
		placement.WithLocalRegionWeight(homeWeight, uploadHomeWeight),
		placement.WithColdRateLimit(func() (factor, slack float64) {
			bounds := g.settings.Load().Bounds
			return bounds.ColdFactor, bounds.ColdSlack
		}))
	g.fleet.OnStateChange = g.serverChanged
	g.roster.FillPresence = g.tell
	g.roster.ApplyPresence = g.learn
	g.pool = &upstream.Pool{
		HeaderNames:      platform.HeaderNames,
		MaxIdlePerServer: g.maxIdle,
		Eligible:         g.fleet.Eligible,

		MaxIdleTotal: g.maxIdleTotal,
		Dial:         newDialer(connectTimeout).dial,
	}
	g.registry = &registry.Registry{
		OperatorStore: g.newStore(),
		ServerStore:   g.newStore(),
		Regions:       settings.DomainRegions,
		ServerPollInterval: func() time.Duration {
			return registrationPause(g.settings.Load().Bounds.DrainTime, g.fleet.LongestRoundTrip())
		},
		MaxLag:          settings.Bounds.StableWindow,
		OnConfiguration: g.fleet.Configure,
		SetEvacuated:    g.fleet.SetEvacuated,
		UpdateServers:   g.fleet.Update,
		RemoveServers:   g.fleet.Remove,
		SetDoubtful:     g.fleet.SetDoubtful,
		Logger:          logger,

		SnapshotSources: g.introducers,
	}
	g.gateway = &gateway.Gateway{
		HeaderNames:   platform.HeaderNames,
		Configuration: g.registry.Configuration,
		Fleet:         g.fleet,
		Pool:          g.pool,
		RetryBudget: &gateway.RetryBudget{
			Bounds: func() (ratio, slack float64, window time.Duration) {
				bounds := g.settings.Load().Bounds
				return bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow
			},
			EntryCount: g.entries,
		},
		Quarantine: &g.suspects,
		RegistrationsAge: func() (age time.Duration, known bool) {
			return g.registry.TableAge(platform.ServerTable)
		},
		ShuttingDown: g.leaving.Load,
		Logger:       logger,
		Metrics:      g.metrics,
	}
	g.registerGauges()
	return g
}

// registrationPause is the longest time between two readings of the servers'
// changes: half of the time within which a leaving server must be left alone, or
// less where the ways are long.
func registrationPause(drain, roundTrip time.Duration) time.Duration {
	left := (1-travelShare)*float64(drain) - travelRoundTrips*float64(roundTrip)
	return time.Duration(max(minPauseShare*float64(drain), min(registrationShare*float64(drain), left)))
}

func (g *gate) serverChanged(server *routing.Server, belief placement.ServerState, cause string) {
	g.logger.Info().Str("event", "server").Str("server", server.ID).Str("belief", string(belief)).Str("cause", cause).
		Str("service", server.Service).Str("failure-domain", server.FailureDomain).Int64("sequence", server.Sequence).Msg("")
}

// tell adds what this entry knows to a message for its peers.
func (g *gate) tell(message *teaselv1.Presence) {
	g.fleet.FillPresence(message)
	message.Suspects = g.suspects.RecentSuspects(suspectNews)
}

// learn takes over what a peer told.
func (g *gate) learn(message *teaselv1.Presence) {
	g.fleet.ApplyPresence(message)
	g.suspects.Merge(message.GetSuspects())
}

// ready reports whether callers may be sent here.
func (g *gate) ready() bool {
	return g.registry.Loaded() && !g.leaving.Load()
}

// place returns this entry's place among all entries and how many there are: one
// in each failure domain at least, whether it is known yet or not.
func (g *gate) place() (index, count int) {
	index, count = g.roster.Position()
	return index, max(count, len(g.settings.Load().DomainRegions)+1)
}

// maxIdle is how many idle connections this entry keeps to a server of a
// service: its share of half of what the server accepts.
func (g *gate) maxIdle(service string) int {
	conf := g.registry.Configuration()
	if conf == nil || conf.Services[service] == nil {
		return 1
	}
	return max(1, conf.Services[service].MaxConnections/(2*g.entries()))
}

const (
	// callersShare is the part of the descriptors that callers' connections may
	// take, and idleShare the part for idle connections to servers. The rest is for
	// requests in flight, look-ups, the store and peers.
	callersShare = 0.5
	idleShare    = 0.2
)

// maxCallers is how many connections of callers are kept open.
func (g *gate) maxCallers() int {
	return int(callersShare * float64(g.settings.Load().MaxDescriptors))
}

// maxIdleTotal is how many idle connections to all servers are kept.
func (g *gate) maxIdleTotal() int {
	return int(idleShare * float64(g.settings.Load().MaxDescriptors))
}

func (g *gate) entries() int {
	_, count := g.place()
	return count
}

func (g *gate) self() presence.Entry {
	settings := g.settings.Load()
	return presence.Entry{
		Name:          settings.Name,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPorts[0])),
		Serving:       g.ready(),
	}
}

const (
	// lameDuck is how long after SIGTERM new requests are taken: callers that
	// keep a look-up's answer for its time, three times as long at most, have
	// left by then, and there is time for the requests in flight.
	lameDuck = 3 * time.Second
	// exitMargin is how long before SIGKILL the process begins to exit by itself: a
	// slow VM needs some of it, and the platform asks for no answer in the last
	// sixth of the grace.
	exitMargin = 600 * time.Millisecond
	// sweepInterval is the time between two closings of expired connections.
	sweepInterval = 2 * time.Second
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = 2 * time.Second
)

// serve runs until ctx is done, then serves on while callers leave.
func (g *gate) serve(ctx context.Context, opened gateListeners, hangups <-chan os.Signal) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { g.registry.Run(background) })
	group.Go(func() { g.roster.Run(background, opened.peers) })
	group.Go(func() { g.sweep(background) })
	group.Go(func() { g.watchSettings(background, hangups) })
	watch := &gateway.ConnLimiter{
		Configuration: g.registry.Configuration,
		MaxConns:      g.maxCallers,
	}
	callers := &http.Server{
		Handler:           g.gateway,
		ConnState:         watch.ConnState,
		ConnContext:       watch.ConnContext,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       maxIdle,
		ErrorLog:          g.logger.Std("http ", 0),
	}
	servers := []*http.Server{callers}
	failures := make(chan error, maxListeners)
	run := func(server *http.Server, listener net.Listener) {
		if listener == nil {
			return
		}
		group.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	run(callers, opened.callers)
	for handler, listener := range map[*http.HandlerFunc]net.Listener{
		new(http.HandlerFunc(g.serveReady)):        opened.ready,
		new(http.HandlerFunc(g.serveLookup)):       opened.lookups,
		new(http.HandlerFunc(g.serveIntroduction)): opened.introductions,
		new(http.HandlerFunc(g.serveMetrics)):      opened.metrics,
	} {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headTimeout,
			IdleTimeout:       maxIdle,
			ErrorLog:          g.logger.Std("http ", 0),
		}
		servers = append(servers, server)
		run(server, listener)
	}
	settings := g.settings.Load()
	g.logger.Info().Str("event", "started").Str("callers", settings.CallerAddress).Str("region", settings.Region).
		Strs("defaulted", settings.DefaultedKeys).Msg("")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	g.shutdown(settings.Bounds.GracePeriod, servers)
	stop()
	return failure
}

// shutdown serves on while callers leave, and then until the requests in flight
// have ended or the grace time is nearly over.
func (g *gate) shutdown(grace time.Duration, servers []*http.Server) {
	g.logger.Info().Str("event", "stopping").Int64("in-flight", g.gateway.InFlight()).Int64("grace-ms", grace.Milliseconds()).Msg("")
	deadline, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	g.leaving.Store(true)
	g.roster.Broadcast()
	time.Sleep(min(lameDuck, grace/2))
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if err := server.Shutdown(deadline); err != nil {
				g.logger.Warn().Str("event", "stopped-early").Int64("in-flight", g.gateway.InFlight()).Err(err).Msg("")
			}
		})
	}
	group.Wait()
}

const (
	// maxListeners is how many listeners a gate has at most.
	maxListeners = 5
	// headTimeout bounds the time for a request's head whatever the configuration
	// says, which callers keep within.
	headTimeout = 30 * time.Second
	// maxIdle bounds idle connections whatever the configuration says.
	maxIdle = 10 * time.Minute
)

func (g *gate) serveReady(w http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path != platform.ReadyPath {
		http.NotFound(w, incoming)
		return
	}
	if !g.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}
