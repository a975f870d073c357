package main

import (
	"syscall"
	"time"
)

const (
	memoryLimitMB = 284 // limits.memoryMb of the machines
	restartDelay  = 500 * time.Millisecond
	// endsThatCount is the number of ends of a process from which the rule counts its machine.
	endsThatCount = 3
)

// watchMemory does what the platform does: it kills the process if it exceeds its memory, and starts it again.
func (e *entry) watchMemory() {
	for {
		if now, _ := e.residentMB(); now > memoryLimitMB {
			e.memoryEnds.Add(1)
			note("%s holds %d MB, more than %d MB", e.name, now, memoryLimitMB)
			e.signal(syscall.SIGKILL)
			<-e.done
			time.Sleep(restartDelay)
			if !e.start() {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// allEndedThrice reports whether the rule is broken already.
func allEndedThrice(hosts []*entry) bool {
	for _, e := range hosts {
		if e.memoryEnds.Load() < endsThatCount {
			return false
		}
	}
	return true
}

// reportEnds records the ends by memory and the present use, and reports whether the rule held.
func reportEnds(hosts []*entry) bool {
	for _, e := range hosts {
		now, peak := e.residentMB()
		note("%s: ended %d times by memory; present process: %d MB, at its peak %d MB", e.name, e.memoryEnds.Load(), now, peak)
	}
	return !allEndedThrice(hosts)
}
