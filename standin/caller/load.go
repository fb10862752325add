// Package caller sends a mixed load as callers do: each asks an entry which
// one to use, keeps the answer for its lifetime, sends its requests there, and
// compares what it was told with what the backend servers ran.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/proxy"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/standin/relay"
	"github.com/teaselstack/teaselstack/standin/site"
)

// Generator is a mixed load at a fixed rate.
type Generator struct {
	configuration *intent.Configuration
	seeds         []string
	relay         string
	rate          float64
	seed          uint64
	callers       []*caller
	clients       []*http.Client

	first func(Result)

	mu      sync.Mutex
	results []Result
}

// Option sets up a Load.
type Option func(*Generator)

// WithRate sets the requests a second.
func WithRate(rate float64) Option {
	return func(l *Generator) { l.rate = rate }
}

// WithSeed sets the seed of the mix.
func WithSeed(seed uint64) Option {
	return func(l *Generator) { l.seed = seed }
}

// WithOnFirstDone sets what is told of the first request that was done.
func WithOnFirstDone(first func(Result)) Option {
	return func(l *Generator) { l.first = first }
}

const (
	defaultRate = 120
	// callersPerRegion is how many callers each region has.
	callersPerRegion = 8
	// idleConnections is the most idle connections kept to one entry.
	idleConnections = 64
	idleTimeout     = 30 * time.Second
	// dialTimeout bounds connecting to an entry.
	dialTimeout = 3 * time.Second
)

// New returns a load of callers in all regions of a site.
func New(loaded *site.Site, options ...Option) *Generator {
	load := &Generator{
		configuration: loaded.Configuration,
		relay:         loaded.Settings.RelayAddress,
		rate:          defaultRate,
		seed:          1,
	}
	for _, option := range options {
		option(load)
	}
	for _, entry := range loaded.Entries {
		load.seeds = append(load.seeds, entry.CallersAddress)
	}
	for number, region := range loaded.Configuration.Deployment.Regions {
		client := load.newClient(region.Name)
		load.clients = append(load.clients, client)
		for i := range callersPerRegion {
			load.callers = append(load.callers, &caller{
				address: fmt.Sprintf("10.%d.0.%d", number+1, i+1),
				http:    client,
				seeds:   load.seeds,
				next:    len(load.callers),
				answers: make(map[string]cached),
			})
		}
	}
	return load
}

// newClient returns the connections of a region's callers.
func (l *Generator) newClient(region string) *http.Client {
	dialer, err := proxy.SOCKS5("tcp", l.relay, &proxy.Auth{
		User: relay.ClientUser(region),
	}, &net.Dialer{})
	if err != nil {
		panic("set up the relay's client: " + err.Error())
	}
	relayed, ok := dialer.(proxy.ContextDialer)
	if !ok {
		panic("the relay's client takes no context")
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return relayed.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Run sends requests until the duration or ctx ends, then waits for their
// answers.
func (l *Generator) Run(ctx context.Context, duration time.Duration) []Result {
	random := rand.New(rand.NewPCG(l.seed, 0))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	end := time.After(duration)
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			next := l.choose(random, number)
			sender := l.callers[random.IntN(len(l.callers))]
			group.Go(func() { l.record(sender.send(next)) })
			continue
		}
		group.Wait()
		for _, client := range l.clients {
			client.CloseIdleConnections()
		}
		return l.results
	}
}

func (l *Generator) record(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	if l.first != nil && result.Outcome == outcome.Done {
		l.first(result)
		l.first = nil
	}
}
