package main

import (
	"runtime"
	"syscall"
	"time"
)

// processUsage holds the processor time used by the process, and its memory and
// goroutines, at one time.
type processUsage struct {
	at          time.Time
	cpu         time.Duration
	memoryBytes uint64
	goroutines  int
}

const gcRuns = 2

// readUsage runs the garbage collector and reads the usage. memoryBytes is the
// sum of the live heap and the stacks.
func readUsage() processUsage {
	for range gcRuns {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return processUsage{
		at:          time.Now(),
		cpu:         cpuTime(),
		memoryBytes: stats.HeapAlloc + stats.StackInuse,
		goroutines:  runtime.NumGoroutine(),
	}
}

func cpuTime() time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return 0
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
