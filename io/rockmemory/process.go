package rockmemory

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"syscall"
)

const (
	// DefaultProcessBytes is assumed where neither the settings nor the kernel limit the memory of the process. The
	// machine's memory is no such limit, since other processes use it too.
	DefaultProcessBytes = 256 << 20
	// accountPercent is the part of the process's memory that an account may use.
	accountPercent = 50
	// controlPercent is the part that the account for the host's own work may use: answers of the platform and messages of
	// other hosts. It is apart, so that callers' bodies do not keep a host from learning what it needs.
	controlPercent = 10
	// outcomePercent is the part for answers to calls that wait for their record. Encoded for the table service, they take
	// five times as much while they are written.
	outcomePercent = 3
	// heapPercent is the part of the process's memory that the Go runtime may use, garbage included. The rest is for the
	// program itself and for data in the kernel's socket buffers.
	heapPercent = 75
	// connectionPercent is the part of the process's descriptors that connections of callers may use. Each request that runs
	// needs another one for its backend server; the rest is for the host's own work.
	connectionPercent = 40
	// defaultDescriptors is assumed if the kernel does not tell the limit.
	defaultDescriptors = 1024
	// cgroupRoot is where the kernel shows the limits of process groups.
	cgroupRoot = "/sys/fs/cgroup"
)

// AccountLimit returns the limit of an account, in bytes, for a process that may use so many bytes of memory.
func AccountLimit(processBytes int64) int64 { return processBytes / 100 * accountPercent }

// ControlLimit returns the limit, in bytes, of the account for the host's own work in such a process.
func ControlLimit(processBytes int64) int64 { return processBytes / 100 * controlPercent }

// OutcomeLimit returns the limit, in bytes, of the answers that wait for their record in such a process.
func OutcomeLimit(processBytes int64) int64 { return processBytes / 100 * outcomePercent }

// ConnectionLimit returns how many connections callers may have open in a process with so many descriptors.
func ConnectionLimit(descriptors int) int { return descriptors * connectionPercent / 100 }

// Descriptors returns the number of descriptors that the process may have open.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// LimitHeap makes the garbage collector keep the heap below a stated part of the memory that the process may use. A lower
// limit from the environment (GOMEMLIMIT) stays.
func LimitHeap(processBytes int64) {
	if limit := processBytes / 100 * heapPercent; limit < environmentLimit {
		debug.SetMemoryLimit(limit)
	}
}

// environmentLimit is the limit that the runtime took from the environment, or math.MaxInt64.
var environmentLimit = debug.SetMemoryLimit(-1)

// ProcessBytes returns the memory that the process may use, in bytes: the setting, or if that is 0 the limit of the
// process's group in the kernel, or DefaultProcessBytes.
func ProcessBytes(setting int64) int64 {
	if setting > 0 {
		return setting
	}
	if limit := groupLimit("/proc/self/cgroup", cgroupRoot); limit < math.MaxInt64 {
		return limit
	}
	return DefaultProcessBytes
}

// groupLimit returns the smallest memory limit of the process's group and the groups around it, or math.MaxInt64.
func groupLimit(groupFile, root string) int64 {
	limit := int64(math.MaxInt64)
	data, err := os.ReadFile(groupFile)
	if err != nil {
		return limit
	}
	for line := range bytes.Lines(data) {
		group, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("0::")) // of the unified hierarchy
		if !found {
			continue
		}
		for dir := filepath.Clean("/" + string(group)); ; dir = filepath.Dir(dir) {
			limit = min(limit, readLimit(filepath.Join(root, dir, "memory.max")))
			if dir == "/" {
				break
			}
		}
	}
	return limit
}

// readLimit reads a limit in bytes. Without a limit the file says "max" or does not exist.
func readLimit(file string) int64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return math.MaxInt64
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	if err != nil || n <= 0 {
		return math.MaxInt64
	}
	return n
}
