package main

import (
	"context"
	"sync/atomic"
	"time"
)

// stallPeriod is how often a stallWatch wants to run.
const stallPeriod = 5 * time.Millisecond

// stallWatch finds times at which the whole process did not run, so that a
// crowded machine is told from a slow fleet.
type stallWatch struct {
	longest atomic.Int64
}

func (w *stallWatch) run(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallPeriod)
		now := time.Now()
		if gap := now.Sub(last); int64(gap) > w.longest.Load() {
			w.longest.Store(int64(gap))
		}
		last = now
	}
}

// take returns the longest gap since the last call.
func (w *stallWatch) take() time.Duration { return time.Duration(w.longest.Swap(0)) }
