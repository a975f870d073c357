package rockcost

import (
	"runtime"
	"syscall"
	"time"
)

// Cost is what one run of an operation takes.
type Cost struct {
	Processor time.Duration
	Allocs    float64
	Bytes     float64 // allocated
}

// processorTime returns the processor time that this process has used, the collector's included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // fails only for an argument that is not valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// usage is a reading of the counters of the process.
type usage struct {
	processor time.Duration
	allocs    uint64
	bytes     uint64
}

func readUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{processor: processorTime(), allocs: m.Mallocs, bytes: m.TotalAlloc}
}

// since returns the cost of each of n runs since an earlier reading.
func (u usage) since(n int) Cost {
	now := readUsage()
	return Cost{
		Processor: (now.processor - u.processor) / time.Duration(n),
		Allocs:    float64(now.allocs-u.allocs) / float64(n),
		Bytes:     float64(now.bytes-u.bytes) / float64(n),
	}
}

// heap returns the bytes of live objects.
func heap() uint64 {
	// The second collection frees what finalizers held in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// HeapOf returns the bytes of heap that a World of the scale holds, with its streams, its snapshot and the host list.
func HeapOf(scale Scale, seed uint64) float64 {
	before := heap()
	f := NewFleet(scale, seed)
	f.Run(runningStreams)
	snapshot := f.World.TakeSnapshot()
	after := heap()
	runtime.KeepAlive(f)
	runtime.KeepAlive(snapshot)
	if after < before {
		return 0
	}
	return float64(after - before)
}
