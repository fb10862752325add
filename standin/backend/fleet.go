package backend

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselstack/teaselstack/intent"
)

// Fleet is the set of all backend servers of a deployment, with the Report of what
// they ran.
type Fleet struct {
	servers []*Server

	mu     sync.Mutex
	report Report
}

// Report counts what the fleet has run.
type Report struct {
	// RunsByKey is the number of runs of each idempotency key.
	RunsByKey map[string]int `json:"runs"`
	// RunsByTag is the number of runs of each request, by its tag (see QueryEcho).
	RunsByTag map[string]int `json:"marks"`
	// Requests is the number of requests that started to run, with or without a key.
	Requests int `json:"requests"`
	// Shed is the number of requests refused before running. Requests does not
	// include them.
	Shed int `json:"shed"`
	// OverSlots is the number of requests that arrived while all slots of their
	// server were in use. They are shed.
	OverSlots int `json:"over-slots"`
	// Crashes is the number of crashes of all servers.
	Crashes int `json:"crashes"`
	// LastStart is the time when each backend server last started a request, by the
	// server's name.
	LastStart map[string]time.Time `json:"last-start"`
}

// NewFleet returns the backend servers of a configuration, not yet running.
func NewFleet(configuration *intent.Configuration) *Fleet {
	fleet := &Fleet{
		report: Report{
			RunsByKey: make(map[string]int),
			RunsByTag: make(map[string]int),
			LastStart: make(map[string]time.Time),
		},
	}
	for _, service := range configuration.Services {
		for _, server := range service.BackendServers {
			fleet.servers = append(fleet.servers, &Server{
				Name:    server.Name,
				Address: server.Address,
				Slots:   server.Slots,
				fleet:   fleet,
			})
		}
	}
	return fleet
}

// Servers returns all backend servers.
func (f *Fleet) Servers() []*Server {
	return f.servers
}

// Serve runs all backend servers until ctx is done or one fails to listen.
func (f *Fleet) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range f.servers {
		group.Go(func() error { return server.Serve(ctx) })
	}
	return group.Wait()
}

// Report returns a copy of the current counts.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.report
	report.RunsByKey = maps.Clone(report.RunsByKey)
	report.RunsByTag = maps.Clone(report.RunsByTag)
	report.LastStart = maps.Clone(report.LastStart)
	return report
}

// updateReport calls update with the report while it holds the lock.
func (f *Fleet) updateReport(update func(*Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.report)
}
