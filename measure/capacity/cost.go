package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// operationCost is the cost of one operation, or the mean over several runs of it.
type operationCost struct {
	// CPUTime is the processor time of all threads, including garbage collection.
	CPUTime time.Duration
	// Allocations is the number of heap allocations, AllocatedBytes their total size.
	Allocations    float64
	AllocatedBytes float64
}

// minSampleCPUTime is the minimum processor time of all runs of an operation from
// which measureRepeated calculates the mean.
const minSampleCPUTime = 60 * time.Millisecond

// measureRepeated runs an operation once to warm up, then repeats it often enough
// to use at least minSampleCPUTime, and returns its mean cost.
func measureRepeated(operation func()) operationCost {
	operation()
	for count := 1; ; count *= 4 {
		sample := measureRuns(operation, count)
		if used := sample.CPUTime * time.Duration(count); used >= minSampleCPUTime {
			return sample
		}
	}
}

// measureOnce returns the cost of a single run, without a warm-up. It is meant for
// operations that take long or can't be repeated, such as applying a delta.
func measureOnce(operation func()) operationCost {
	return measureRuns(operation, 1)
}

// measureRuns returns the mean cost of count runs of an operation.
func measureRuns(operation func(), count int) operationCost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range count {
		operation()
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	return operationCost{
		CPUTime:        used / time.Duration(count),
		Allocations:    float64(after.Mallocs-before.Mallocs) / float64(count),
		AllocatedBytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(count),
	}
}

// cpuTime returns the processor time, user and system, that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// retainedHeap returns the result of build and the number of heap bytes that it
// retains.
func retainedHeap[T any](build func() T) (T, float64) {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return result, float64(after) - float64(before)
}

// heapInUse returns the number of heap bytes in use after garbage collection. The
// second collection frees what finalizers and sync.Pool kept alive in the first.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
