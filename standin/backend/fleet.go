package backend

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/teaselstack/teaselstack/intent"
)

// Fleet is all backend servers of a deployment.
type Fleet struct {
	servers []*Server

	mu     sync.Mutex
	report Report
}

// Report is what the fleet has run.
type Report struct {
	// RunsByKey counts the runs of each idempotency key, Marks those of each request's
	// mark.
	RunsByKey map[string]int `json:"runs"`
	RunsByTag map[string]int `json:"marks"`
	// Requests counts all requests run, Shed those refused before running.
	Requests int `json:"requests"`
	Shed     int `json:"shed"`
	// OverSlots counts requests that found all slots of their server in use; they
	// are shed.
	OverSlots int `json:"over-slots"`
	// Crashes counts the crashes of all servers.
	Crashes int `json:"crashes"`
	// LastStart is when each backend server last began a request.
	LastStart map[string]time.Time `json:"last-start"`
}

// NewFleet returns the backend servers of a configuration.
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

// Serve runs all backend servers until ctx is done or one can't listen.
func (f *Fleet) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range f.servers {
		group.Go(func() error { return server.Serve(ctx) })
	}
	return group.Wait()
}

// Report returns a copy of what the fleet has run.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.report
	report.RunsByKey = maps.Clone(report.RunsByKey)
	report.RunsByTag = maps.Clone(report.RunsByTag)
	report.LastStart = maps.Clone(report.LastStart)
	return report
}

// change updates the report.
func (f *Fleet) change(update func(*Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(&f.report)
}
