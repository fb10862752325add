package main

import (
	"runtime"
	rtmetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// liveHeapMetric is the name in runtime/metrics of the number of heap bytes that the
// last garbage collection marked as live.
const liveHeapMetric = "/gc/heap/live:bytes"

// registerRuntimeGauges registers gauges for the number of goroutines and for the heap
// that was live at the last garbage collection.
func registerRuntimeGauges(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("goroutines", registry, func() int64 {
		return int64(runtime.NumGoroutine())
	})
	metrics.NewRegisteredFunctionalGauge("heap-live-bytes", registry, func() int64 {
		samples := []rtmetrics.Sample{{
			Name: liveHeapMetric,
		}}
		rtmetrics.Read(samples)
		return int64(samples[0].Value.Uint64())
	})
}
