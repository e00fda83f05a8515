package ledger

import (
	"sync"
	"time"
)

// pacer limits the rate of transactions to one start per interval.
type pacer struct {
	interval time.Duration

	mu        sync.Mutex
	nextStart time.Time
}

// reserve reserves the next start time and returns how long to wait for it.
func (p *pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := now
	if p.nextStart.After(now) {
		start = p.nextStart
	}
	p.nextStart = start.Add(p.interval)
	return start.Sub(now)
}
