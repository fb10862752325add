package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
)

const (
	// sampleSize and sampleDecay are go-metrics' customary values for latencies
	// that weigh the last five minutes most.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// observed counts callers' look-ups and requests and records how long they took,
// in microseconds.
func observed(registry metrics.Registry, next http.Handler) http.Handler {
	newLatency := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	lookups := newLatency("look-ups.latency-us")
	requests := newLatency("requests.latency-us")
	active := metrics.GetOrRegisterCounter("requests.active", registry)
	received := metrics.GetOrRegisterCounter("requests.body-bytes", registry)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		if strings.HasPrefix(r.URL.Path, "/"+teaselv1connect.LookupServiceName+"/") {
			defer func() { lookups.Update(time.Since(began).Microseconds()) }()
			next.ServeHTTP(w, r)
			return
		}
		active.Inc(1)
		received.Inc(max(0, r.ContentLength))
		defer func() {
			active.Dec(1)
			requests.Update(time.Since(began).Microseconds())
		}()
		next.ServeHTTP(w, r)
	})
}
