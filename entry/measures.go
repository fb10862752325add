package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricsPort serves the entry's metrics; deploy/system.toml names it.
const metricsPort = "9464"

// neverAnswered is the age of a table that the store has never told of.
const neverAnswered = -1

// registerGauges adds what is read only when the metrics are asked for.
func (g *gate) registerGauges() {
	register := func(name string, value func() int64) {
		// Each name is registered once, so that this can't fail.
		_ = g.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
	register("requests.in-flight", g.gateway.InFlight)
	register("servers.known", func() int64 { return int64(g.fleet.Summary().Known) })
	register("servers.failing", func() int64 { return int64(g.fleet.Summary().Failing) })
	register("servers.cold", func() int64 { return int64(g.fleet.Summary().Cold) })
	register("servers.in-flight", func() int64 { return int64(g.fleet.Summary().InFlight) })
	register("entries.known", func() int64 { return int64(g.entries()) })
	register("entries.serving", func() int64 { return int64(len(g.roster.ServingEntries())) })
	register("configuration.version", func() int64 {
		if conf := g.registry.Configuration(); conf != nil {
			return int64(conf.Version)
		}
		return 0
	})
	register("log.lines-dropped", g.dropped)
	for _, table := range g.registry.Tables() {
		register("store.age-ms."+table, func() int64 {
			age, known := g.registry.TableAge(table)
			if !known {
				return neverAnswered
			}
			return age.Milliseconds()
		})
	}
}

// serveMetrics writes counters, gauges and histograms, one value a line.
func (g *gate) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := bufio.NewWriter(w)
	g.metrics.Each(func(name string, value any) {
		name = metricName.Replace(name)
		switch value := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(lines, "%s %d\n", name, value.Count())
		case metrics.Gauge:
			fmt.Fprintf(lines, "%s %d\n", name, value.Value())
		case metrics.Histogram:
			seen := value.Snapshot()
			for _, share := range []float64{0.5, 0.9, 0.99} {
				fmt.Fprintf(lines, "%s{quantile=\"%g\"} %g\n", name, share, seen.Percentile(share))
			}
			fmt.Fprintf(lines, "%s_count %d\n", name, seen.Count())
		}
	})
	for _, service := range g.gateway.RetryBudget.Services() {
		fmt.Fprintf(lines, "repeats_left{service=%q} %d\n", service, g.gateway.RetryBudget.RetriesLeft(service, true))
	}
	for _, each := range g.fleet.InFlight() {
		fmt.Fprintf(lines, "server_in_flight{server=%q,service=%q} %d\n", each.Server, each.Service, each.Requests)
	}
	// A reader that has left needs no more lines.
	_ = lines.Flush()
}

// metricName turns the registry's names into those of the exposition format.
var metricName = strings.NewReplacer(".", "_", "-", "_")
