package rockcost

import (
	"runtime"
	"syscall"
	"time"
)

// Cost is the mean cost of one run of an operation.
type Cost struct {
	CPUTime        time.Duration
	Allocs         float64
	AllocatedBytes float64
}

// processCPUTime returns the CPU time that this process has used, including garbage collection.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // only fails for an invalid argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// resourceUsage is a reading of the resource counters of the process.
type resourceUsage struct {
	cpuTime time.Duration
	allocs  uint64
	bytes   uint64
}

func readUsage() resourceUsage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{cpuTime: processCPUTime(), allocs: m.Mallocs, bytes: m.TotalAlloc}
}

// since returns the mean cost of n runs since the reading u.
func (u resourceUsage) since(n int) Cost {
	now := readUsage()
	return Cost{
		CPUTime:        (now.cpuTime - u.cpuTime) / time.Duration(n),
		Allocs:         float64(now.allocs-u.allocs) / float64(n),
		AllocatedBytes: float64(now.bytes-u.bytes) / float64(n),
	}
}

// liveHeapBytes returns the size of the live objects on the heap.
func liveHeapBytes() uint64 {
	// The second collection frees objects that finalizers kept alive in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// MeasureHeap returns the bytes on the heap of a World at the scale, with its streams, its snapshot and
// the host list.
func MeasureHeap(scale Scale, seed uint64) float64 {
	before := liveHeapBytes()
	f := NewFixture(scale, seed)
	f.StartAttempts(runningStreams)
	snapshot := f.World.TakeSnapshot()
	after := liveHeapBytes()
	runtime.KeepAlive(f)
	runtime.KeepAlive(snapshot)
	if after < before {
		return 0
	}
	return float64(after - before)
}
