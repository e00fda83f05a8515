package ledger

import (
	"sync"
	"time"

	"currantusher.dev/core"
)

// breaker refuses claims at once for a period after the table service failed,
// then lets one claim in each period try it again.
type breaker struct {
	mu       sync.Mutex
	period   time.Duration
	until    time.Time
	failedAt time.Time
}

// refuses reports whether a claim must be refused now, and for how long.
func (b *breaker) refuses(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failedAt.IsZero() {
		return 0, false
	}
	if left := b.until.Sub(now); left > 0 {
		return left, true
	}
	b.until = now.Add(b.period)
	return 0, false
}

// isOpen is refuses without taking the period's claim.
func (b *breaker) isOpen(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.until.Sub(now)
	return left, !b.failedAt.IsZero() && left > 0
}

// failure returns when the table service last failed, or the zero time when it
// has worked since.
func (b *breaker) failure() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedAt
}

func (b *breaker) observe(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isServing(err) {
		b.failedAt = time.Time{}
		return
	}
	b.failedAt = now
	b.until = now.Add(b.period)
}

// isServing reports whether the table service answered at all.
func isServing(err error) bool {
	if err == nil {
		return true
	}
	code := core.CodeOf(err)
	return code == core.CodeStoreConflict || code == core.CodeStoreThrottled
}
