package main

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

const (
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = time.Second
	// maxHealthChecks is the maximum number of health checks at a time.
	maxHealthChecks = 32
)

// checkServers asks servers until when they are cold, if they may have started again without their
// registration showing it, until ctx is done.
func (n *platformNode) checkServers(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	running := make(chan struct{}, maxHealthChecks)
	for ctx.Err() == nil {
		due, wait := n.fleet.DueChecks()
		for _, server := range due {
			select {
			case running <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-running }()
				n.checkServer(ctx, &server)
			})
		}
		awaitCheck(ctx, n.fleet.ChecksChanged(), wait)
	}
}

// awaitCheck waits until changed receives a value or ctx is done, but not longer than a wait that is
// not negative.
func awaitCheck(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	var expired <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-expired:
	}
}

// checkServer asks a server until when it is cold. A server whose service has no health path is not
// asked.
func (n *platformNode) checkServer(ctx context.Context, server *routing.Server) {
	conf := n.registry.Configuration()
	if conf == nil || conf.Services[server.Service] == nil || conf.Services[server.Service].HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	began := time.Now()
	names := platform.HeaderNames
	response, failure := n.pool.Exchange(ctx, server, &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Opaque: conf.Services[server.Service].HealthPath,
		},
		Host: server.Address,
		Header: http.Header{
			names.TargetServer: {server.ID},
			names.DeadlineMS:   {strconv.FormatInt(healthCheckTimeout.Milliseconds(), 10)},
		},
	}, "", upstream.ToAnyProcess(), upstream.OnNewConnection())
	if failure != nil {
		metrics.GetOrRegisterCounter("health-checks.failed", n.metrics).Inc(1)
		n.logger.Info().Str("event", "health-check").Str("server", server.ID).Str("failure", failure.Error()).
			Int64("took-ms", time.Since(began).Milliseconds()).Msg("")
		n.observeFailedCheck(server, failure, began)
		return
	}
	defer response.Release()
	health, err := platform.DecodeHealth(response.StatusCode, response.Header)
	n.fleet.ObserveHealth(server, response.SentAt, health)
	metrics.GetOrRegisterCounter("health-checks.answered", n.metrics).Inc(1)
	n.logger.Info().Str("event", "health-check").Str("server", server.ID).Int("status", response.StatusCode).Str("responder", health.ServerID).
		Bool("known", health.ColdKnown).Int64("cold-ms", health.ColdLeft.Milliseconds()).Int64("took-ms", time.Since(began).Milliseconds()).Err(err).Msg("")
}

// observeFailedCheck records what a failed health check, which began at a time, says of a server: it
// has not been reached, or its process has ended since.
func (n *platformNode) observeFailedCheck(server *routing.Server, failure *upstream.Failure, began time.Time) {
	switch {
	case failure.NoConnection:
		n.fleet.SuspectRestart(server, placement.SignRefused, began, time.Time{})
	case failure.ConnBroken:
		n.fleet.SuspectRestart(server, placement.SignBroken, time.Now(), failure.OpenedAt)
	}
}
