package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricsPort is the TCP port of the entry's metrics; deploy/system.toml names it too.
const metricsPort = "9464"

// unknownAge is the reported age of a table for which the store has not answered yet.
const unknownAge = -1

// registerGauges registers the gauges that are computed whenever metrics are read.
func (n *platformNode) registerGauges() {
	register := func(name string, value func() int64) {
		// Register fails only for a duplicate name, and each name is registered once.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
	register("requests.in-flight", n.gateway.InFlight)
	register("servers.known", func() int64 { return int64(n.fleet.Summary().Known) })
	register("servers.failing", func() int64 { return int64(n.fleet.Summary().Failing) })
	register("servers.cold", func() int64 { return int64(n.fleet.Summary().Cold) })
	register("servers.in-flight", func() int64 { return int64(n.fleet.Summary().InFlight) })
	register("entries.known", func() int64 { return int64(n.entryCount()) })
	register("entries.serving", func() int64 { return int64(len(n.tracker.ServingEntries())) })
	register("configuration.version", func() int64 {
		if conf := n.registry.Configuration(); conf != nil {
			return int64(conf.Version)
		}
		return 0
	})
	register("log.lines-dropped", n.droppedLogLines)
	for _, table := range n.registry.Tables() {
		register("store.age-ms."+table, func() int64 {
			age, known := n.registry.TableAge(table)
			if !known {
				return unknownAge
			}
			return age.Milliseconds()
		})
	}
}

// serveMetrics writes the counters, gauges and histograms in the Prometheus text
// format, one value a line.
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
		fmt.Fprintf(lines, "repeats_left{service=%q} %d\n", service, n.gateway.RetryBudget.RetriesLeft(service, true))
	}
	for _, load := range n.fleet.InFlight() {
		fmt.Fprintf(lines, "server_in_flight{server=%q,service=%q} %d\n", load.Server, load.Service, load.Requests)
	}
	// A write fails only if the client has disconnected.
	_ = lines.Flush()
}

// metricNameReplacer turns the names of go-metrics into valid Prometheus names.
var metricNameReplacer = strings.NewReplacer(".", "_", "-", "_")
