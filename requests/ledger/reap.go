package ledger

import (
	"context"
	"time"

	"currantusher.dev/core"
)

// orphan is a claim to release in the background: either its write may have
// succeeded although the caller's request was refused before any dispatch, or
// its release failed.
type orphan struct {
	claim   Claim
	expires time.Time
}

// reapPeriod is the time between attempts to release orphans.
const reapPeriod = 250 * time.Millisecond

// reapLater queues the claim for release in the background. If the queue is
// full, the claim stays and repeats of the request get an unknown outcome.
func (l *Ledger) reapLater(claim Claim) {
	select {
	case l.orphans <- orphan{claim: claim, expires: l.config.Now().Add(l.config.FinishTimeout)}:
	default:
	}
}

// reap releases orphans until ctx ends.
func (l *Ledger) reap(ctx context.Context) {
	ticker := time.NewTicker(reapPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.reapOnce(ctx)
		}
	}
}

// reapOnce tries to release each queued orphan once. An orphan whose row does
// not exist yet or whose release failed is queued again until it expires.
func (l *Ledger) reapOnce(ctx context.Context) {
	for range len(l.orphans) {
		next := <-l.orphans
		boundedCtx, cancel := context.WithTimeout(ctx, l.config.CommitTimeout)
		err := l.release(boundedCtx, next.claim)
		cancel()
		if err == nil || core.CodeOf(err) == core.CodeStoreConflict || !l.config.Now().Before(next.expires) {
			continue
		}
		select {
		case l.orphans <- next:
		default:
		}
	}
}
