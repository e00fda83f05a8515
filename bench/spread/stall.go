package main

import (
	"context"
	"sync/atomic"
	"time"
)

// stallSampleInterval is the interval at which a stallDetector is scheduled.
const stallSampleInterval = 5 * time.Millisecond

// stallDetector measures periods in which the whole process was not scheduled. It
// distinguishes an overloaded computer from a slow fleet.
type stallDetector struct {
	longestNanos atomic.Int64
}

func (s *stallDetector) run(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallSampleInterval)
		now := time.Now()
		if gap := now.Sub(last); int64(gap) > s.longestNanos.Load() {
			s.longestNanos.Store(int64(gap))
		}
		last = now
	}
}

// takeLongest returns the longest time between two samples since the last call.
func (s *stallDetector) takeLongest() time.Duration { return time.Duration(s.longestNanos.Swap(0)) }
