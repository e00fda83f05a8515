package ledger

import (
	"context"
	"time"

	"currantusher.dev/core"
)

// orphan is a claim that may have landed but was refused to its caller before
// any dispatch, or whose release failed.
type orphan struct {
	claim   Claim
	expires time.Time
}

const reapPeriod = 250 * time.Millisecond

// reapLater releases the claim in the background. When too many wait, the
// claim stays and repeats of the request are answered as unknown.
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

// reapOnce tries each orphan that waits now. One whose row has not landed or
// whose release failed is tried again until it expires.
func (l *Ledger) reapOnce(ctx context.Context) {
	for range len(l.orphans) {
		next := <-l.orphans
		bounded, cancel := context.WithTimeout(ctx, l.config.CommitTimeout)
		err := l.release(bounded, next.claim)
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
