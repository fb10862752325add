package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricsPort is the TCP port of the entry's metrics; it is also set in
// deploy/system.toml.
const metricsPort = "9464"

// unknownTableAge is the value of a table's gauge store.age-ms before the first successful
// call for the table.
const unknownTableAge = -1

// registerGauges registers the gauges whose values are computed on each scrape.
func (n *platformNode) registerGauges() {
	registerGauge := func(name string, value func() int64) {
		// Register fails only for a duplicate name, and each name is registered once.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
	registerGauge("requests.in-flight", n.gateway.InFlight)
	// requests.pipelined counts the requests that were started before the responses to those
	// in front of them on the same connection were complete.
	registerGauge("requests.pipelined", n.pipeline.Started)
	// The gauges of servers count all known backend servers, those that are failing,
	// those that are cold because they recently started, those that state a limit, that they
	// are shutting down or that they want no request for some time, those that may have started
	// again, and this entry's requests in flight at all of them.
	registerGauge("servers.known", func() int64 { return int64(n.fleet.Summary().Known) })
	registerGauge("servers.failing", func() int64 { return int64(n.fleet.Summary().Failing) })
	registerGauge("servers.cold", func() int64 { return int64(n.fleet.Summary().Cold) })
	registerGauge("servers.limited", func() int64 { return int64(n.fleet.Summary().Limited) })
	registerGauge("servers.leaving", func() int64 { return int64(n.fleet.Summary().Leaving) })
	registerGauge("servers.waiting", func() int64 { return int64(n.fleet.Summary().Waiting) })
	registerGauge("servers.unverified", func() int64 { return int64(n.fleet.Summary().Unverified) })
	registerGauge("servers.in-flight", func() int64 { return int64(n.fleet.Summary().InFlight) })
	// entries.known is at least the number of failure domains plus one, also while fewer
	// entries are known; see entryPosition. entries.serving counts the entries that
	// look-ups may name.
	registerGauge("entries.known", func() int64 { return int64(n.entryCount()) })
	registerGauge("entries.serving", func() int64 { return int64(len(n.tracker.ServingEntries())) })
	registerGauge("configuration.version", func() int64 {
		if conf := n.registry.Configuration(); conf != nil {
			return int64(conf.Version)
		}
		return 0
	})
	registerGauge("log.lines-dropped", n.droppedLogLines)
	for _, table := range n.registry.Tables() {
		registerGauge("store.age-ms."+table, func() int64 {
			age, known := n.registry.TableAge(table)
			if !known {
				return unknownTableAge
			}
			return age.Milliseconds()
		})
	}
}

// serveMetrics writes the metrics in the Prometheus text format, one value per line:
// the registered counters, gauges and histograms, the retries that each service has left
// and this entry's requests in flight at each server. A histogram is written as a
// summary; other types of go-metrics are skipped.
func (n *platformNode) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := bufio.NewWriter(w)
	n.metrics.Each(func(name string, value any) {
		name = metricNameReplacer.Replace(name)
		switch value := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(lines, "%s %d\n", name, value.Count())
		case metrics.Gauge:
			fmt.Fprintf(lines, "%s %d\n", name, value.Value())
		case metrics.Histogram:
			snapshot := value.Snapshot()
			for _, quantile := range []float64{0.5, 0.9, 0.99} {
				fmt.Fprintf(lines, "%s{quantile=\"%g\"} %g\n", name, quantile, snapshot.Percentile(quantile))
			}
			fmt.Fprintf(lines, "%s_count %d\n", name, snapshot.Count())
		}
	})
	for _, service := range n.gateway.RetryBudget.Services() {
		// The argument true selects the whole budget, which is open to callers' own
		// retries; other requests may use only a part of it.
		fmt.Fprintf(lines, "repeats_left{service=%q} %d\n", service, n.gateway.RetryBudget.RetriesLeft(service, true))
	}
	for _, inFlight := range n.fleet.InFlightByServer() {
		fmt.Fprintf(lines, "server_in_flight{server=%q,service=%q} %d\n", inFlight.ServerID, inFlight.Service, inFlight.Requests)
	}
	// A write fails only if the client has disconnected or a deadline has passed.
	_ = lines.Flush()
}

// metricNameReplacer replaces the dots and hyphens of go-metrics names, which
// Prometheus names can't contain.
var metricNameReplacer = strings.NewReplacer(".", "_", "-", "_")
