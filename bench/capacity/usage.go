package main

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the process's consumption at one moment.
type usage struct {
	at         time.Time
	cpu        time.Duration
	memory     uint64
	goroutines int
}

const collections = 2

// usageNow collects garbage and reads live heap and stacks.
func usageNow() usage {
	for range collections {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{
		at:         time.Now(),
		cpu:        cpuTime(),
		memory:     stats.HeapAlloc + stats.StackInuse,
		goroutines: runtime.NumGoroutine(),
	}
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
