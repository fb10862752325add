// Package caller generates a mixed load of requests and sends them as callers do:
// each caller looks up the entries for a service, caches the result for its lifetime,
// and sends its requests there. Report compares the outcomes that the callers got with
// the requests that the backend servers ran.
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

// Generator generates a mixed load of requests at a fixed rate.
type Generator struct {
	configuration  *intent.Configuration
	entryAddresses []string
	// relayAddress is the host and port of the SOCKS relay.
	relayAddress string
	// rate is the number of requests per second.
	rate       float64
	randomSeed uint64
	callers    []*caller
	// clients holds one HTTP client for each region.
	clients []*http.Client

	// onFirstDone, if not nil, is called with the first result whose outcome is done,
	// and then set to nil.
	onFirstDone func(Result)

	// mu protects results and, once the generator runs, onFirstDone.
	mu sync.Mutex
	// results holds the requests that have ended, in the order in which they ended.
	results []Result
}

// Option configures a Generator.
type Option func(*Generator)

// WithRate sets the number of requests per second, defaultRequestsPerSecond by
// default.
func WithRate(rate float64) Option {
	return func(g *Generator) { g.rate = rate }
}

// WithSeed sets the random seed of the mix of requests, 1 by default.
func WithSeed(seed uint64) Option {
	return func(g *Generator) { g.randomSeed = seed }
}

// WithOnFirstDone sets a function that is called with the first result whose
// outcome is done.
func WithOnFirstDone(callback func(Result)) Option {
	return func(g *Generator) { g.onFirstDone = callback }
}

const (
	defaultRequestsPerSecond = 120
	// callersPerRegion is the number of callers in each region.
	callersPerRegion = 8
	// maxIdleConns is the maximum number of idle connections of a region's callers to
	// one entry.
	maxIdleConns = 64
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// dialTimeout limits the time to connect to an entry.
	dialTimeout = 3 * time.Second
)

// NewGenerator returns a load generator with callersPerRegion callers in each region
// of a site. Successive callers send their first look-ups to successive entries.
func NewGenerator(loaded *site.Site, options ...Option) *Generator {
	generator := &Generator{
		configuration: loaded.Configuration,
		relayAddress:  loaded.Settings.RelayAddress,
		rate:          defaultRequestsPerSecond,
		randomSeed:    1,
	}
	for _, option := range options {
		option(generator)
	}
	for _, entry := range loaded.Entries {
		generator.entryAddresses = append(generator.entryAddresses, entry.CallersAddress)
	}
	for regionIndex, region := range loaded.Configuration.Deployment.Regions {
		client := generator.newClient(region.Name)
		generator.clients = append(generator.clients, client)
		for i := range callersPerRegion {
			generator.callers = append(generator.callers, &caller{
				address:        fmt.Sprintf("10.%d.0.%d", regionIndex+1, i+1),
				client:         client,
				entryAddresses: generator.entryAddresses,
				nextEntry:      len(generator.callers),
				lookups:        make(map[string]cachedLookup),
			})
		}
	}
	return generator
}

// newClient returns an HTTP client that connects through the relay as the callers
// of a region do.
func (g *Generator) newClient(region string) *http.Client {
	dialer, err := proxy.SOCKS5("tcp", g.relayAddress, &proxy.Auth{
		User: relay.CallerUser(region),
	}, &net.Dialer{})
	if err != nil {
		panic("create SOCKS dialer: " + err.Error())
	}
	relayed, ok := dialer.(proxy.ContextDialer)
	if !ok {
		panic("SOCKS dialer does not implement ContextDialer")
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return relayed.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Run sends requests until the duration has passed or ctx is done, waits until all
// of them have ended and returns their results.
func (g *Generator) Run(ctx context.Context, duration time.Duration) []Result {
	random := rand.New(rand.NewPCG(g.randomSeed, 0))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / g.rate))
	defer ticker.Stop()
	end := time.After(duration)
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			next := g.nextRequest(random, number)
			sender := g.callers[random.IntN(len(g.callers))]
			group.Go(func() { g.record(sender.send(next)) })
			continue
		}
		group.Wait()
		for _, client := range g.clients {
			client.CloseIdleConnections()
		}
		return g.results
	}
}

// record stores a result, and calls onFirstDone for the first that is done.
func (g *Generator) record(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
	if g.onFirstDone != nil && result.Outcome == outcome.Done {
		g.onFirstDone(result)
		g.onFirstDone = nil
	}
}
