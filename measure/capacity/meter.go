package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Cost is what one operation takes.
type Cost struct {
	// CPUTime is processor time of all threads, the garbage collector's too.
	CPUTime time.Duration
	// Allocations and AllocatedBytes are of the heap.
	Allocations    float64
	AllocatedBytes float64
}

// minSampleTime is the least processor time of one measurement.
const minSampleTime = 60 * time.Millisecond

// measureRepeated measures an operation, repeated until it took minSample.
func measureRepeated(operation func()) Cost {
	operation()
	for count := 1; ; count *= 4 {
		sample := measureRuns(operation, count)
		if spent := sample.CPUTime * time.Duration(count); spent >= minSampleTime {
			return sample
		}
	}
}

// measureOnce measures a single run of a long operation.
func measureOnce(operation func()) Cost {
	return measureRuns(operation, 1)
}

func measureRuns(operation func(), count int) Cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begun := cpuTime()
	for range count {
		operation()
	}
	spent := cpuTime() - begun
	runtime.ReadMemStats(&after)
	return Cost{
		CPUTime:        spent / time.Duration(count),
		Allocations:    float64(after.Mallocs-before.Mallocs) / float64(count),
		AllocatedBytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(count),
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// retainedHeap returns the heap bytes that stay in use after build, while its result lives.
func retainedHeap[T any](build func() T) (T, float64) {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return result, float64(after) - float64(before)
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
