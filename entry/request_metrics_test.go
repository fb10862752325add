package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
)

// TestMetricsSeparateLookupsFromRequests checks that a look-up counts in its own latency
// histogram and not among the requests.
func TestMetricsSeparateLookupsFromRequests(t *testing.T) {
	registry := metrics.NewRegistry()
	handler := withRequestMetrics(registry, http.NotFoundHandler())
	for _, path := range []string{teaselv1connect.LookupServiceLookupProcedure, "/work", "/work"} {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader("offer")))
	}
	count := func(name string) int64 {
		histogram, ok := registry.Get(name).(metrics.Histogram)
		assert.Assert(t, ok, name)
		return histogram.Count()
	}
	assert.Equal(t, count("look-ups.latency-us"), int64(1))
	assert.Equal(t, count("requests.latency-us"), int64(2))
	assert.Equal(t, registry.Get("requests.body-bytes").(metrics.Counter).Count(), int64(len("offer")*2))
	assert.Equal(t, registry.Get("requests.active").(metrics.Counter).Count(), int64(0))
}
