package main

import (
	"runtime"
	rtmetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// liveHeap is the runtime's name for the bytes that the last collection found
// in use.
const liveHeap = "/gc/heap/live:bytes"

// registerRuntime adds gauges of the process itself.
func registerRuntime(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("goroutines", registry, func() int64 {
		return int64(runtime.NumGoroutine())
	})
	metrics.NewRegisteredFunctionalGauge("heap-live-bytes", registry, func() int64 {
		samples := []rtmetrics.Sample{{
			Name: liveHeap,
		}}
		rtmetrics.Read(samples)
		return int64(samples[0].Value.Uint64())
	})
}
