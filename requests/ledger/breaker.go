package ledger

import (
	"sync"
	"time"

	"currantusher.dev/core"
)

// breaker is a circuit breaker for the table service. After a failure it refuses
// claims immediately for a period, then admits one claim per period as a probe.
type breaker struct {
	mu        sync.Mutex
	period    time.Duration
	openUntil time.Time
	failedAt  time.Time
}

// shouldRefuse reports whether a claim must be refused, and for how much longer.
// If it returns false while the breaker is open, the caller is the probe of this
// period.
func (b *breaker) shouldRefuse(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failedAt.IsZero() {
		return 0, false
	}
	if remaining := b.openUntil.Sub(now); remaining > 0 {
		return remaining, true
	}
	b.openUntil = now.Add(b.period)
	return 0, false
}

// isOpen is like shouldRefuse, but does not use up the probe of the period.
func (b *breaker) isOpen(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.openUntil.Sub(now)
	return remaining, !b.failedAt.IsZero() && remaining > 0
}

// lastFailure returns when the table service last failed, or the zero time if a
// call has succeeded since.
func (b *breaker) lastFailure() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedAt
}

// recordResult closes the breaker if err shows that the table service is
// reachable, and opens it otherwise.
func (b *breaker) recordResult(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isReachable(err) {
		b.failedAt = time.Time{}
		return
	}
	b.failedAt = now
	b.openUntil = now.Add(b.period)
}

// isReachable reports whether the table service processed the call; conflicts
// and throttling count as processed.
func isReachable(err error) bool {
	if err == nil {
		return true
	}
	code := core.CodeOf(err)
	return code == core.CodeStoreConflict || code == core.CodeStoreThrottled
}
