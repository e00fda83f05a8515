package ledger

import (
	"sync"
	"time"
)

// pacer spaces the starts of transactions.
type pacer struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

// wait takes the next start and returns the time until then.
func (p *pacer) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := now
	if p.next.After(now) {
		start = p.next
	}
	p.next = start.Add(p.interval)
	return start.Sub(now)
}
