package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
)

const (
	// latencySampleSize and latencySampleDecay are the parameters that go-metrics
	// suggests for its exponentially decaying sample. With them, the sample favours the
	// last five minutes.
	latencySampleSize  = 1028
	latencySampleDecay = 0.015
)

// withRequestMetrics records the latency of callers' look-ups and requests in
// microseconds, the number of requests in flight, and the total Content-Length of the
// requests in bytes. A request without a Content-Length, such as a chunked one, adds
// nothing to the total.
func withRequestMetrics(registry metrics.Registry, next http.Handler) http.Handler {
	newLatency := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(latencySampleSize, latencySampleDecay))
	}
	lookups := newLatency("look-ups.latency-us")
	requests := newLatency("requests.latency-us")
	active := metrics.GetOrRegisterCounter("requests.active", registry)
	received := metrics.GetOrRegisterCounter("requests.body-bytes", registry)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		if strings.HasPrefix(r.URL.Path, "/"+teaselv1connect.LookupServiceName+"/") {
			defer func() { lookups.Update(time.Since(start).Microseconds()) }()
			next.ServeHTTP(w, r)
			return
		}
		active.Inc(1)
		received.Inc(max(0, r.ContentLength))
		defer func() {
			active.Dec(1)
			requests.Update(time.Since(start).Microseconds())
		}()
		next.ServeHTTP(w, r)
	})
}
