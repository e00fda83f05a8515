package swarm

import (
	"sync"
	"time"
)

const (
	// maxCopies bounds the copies of a version that cross this instance's
	// link, received and sent together.
	maxCopies = 2
	// reserveParts gives the allowance for discarded content while chunks are
	// missing: this part of a copy, and at least one chunk.
	reserveParts = 256
	// burstParts times the duration of the own download bounds the burst that
	// it was part of; minWindow is the shortest such bound.
	burstParts = 3
	minWindow  = 30 * time.Second
)

// ledger accounts for the content of one version that crosses this instance's
// link in one burst. Sending is bounded so that received and sent content stay
// within maxCopies once all missing chunks have come. When the burst is over the
// account starts anew, so that instances which come later or lose their content
// find peers again. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// size is one copy, missing is what is still to be received and reserve
	// the allowance for discarded content, in bytes.
	size    int64
	missing int64
	reserve int64
	// chunk is the size of the largest chunk; a smaller rest counts as none.
	chunk    int64
	received int64
	sent     int64
	// renewed is when the account began, window when it starts anew.
	renewed time.Time
	window  time.Duration
}

func newLedger(size, missing, chunk int64, window time.Duration, now time.Time) *ledger {
	return &ledger{
		size:    size,
		missing: missing,
		chunk:   chunk,
		reserve: max(chunk, size/reserveParts),
		renewed: now,
		window:  window,
	}
}

// whole says that nothing is missing any more. Since all instances of a burst
// begin together and have links alike, a few times the own duration is the end
// of the burst.
func (l *ledger) whole(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := burstParts * now.Sub(l.renewed)
	l.window = min(l.window, max(spent, minWindow))
}

// renew starts the account anew after the burst.
func (l *ledger) renew(now time.Time) {
	if now.Sub(l.renewed) < l.window {
		return
	}
	l.received, l.sent, l.renewed = 0, 0, now
}

// left returns the bytes that may still be sent.
func (l *ledger) left(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leftLocked(now)
}

func (l *ledger) leftLocked(now time.Time) int64 {
	l.renew(now)
	reserve := l.reserve
	if l.missing == 0 {
		reserve = 0
	}
	left := maxCopies*l.size - l.received - l.missing - l.sent - reserve
	if left < l.chunk {
		return 0
	}
	return left
}

// send books an upload. It reports false when the budget does not allow it.
func (l *ledger) send(size int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leftLocked(now) < size {
		return false
	}
	l.sent += size
	return true
}

// refund takes back an upload of which nothing was sent.
func (l *ledger) refund(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = max(0, l.sent-size)
}

// room reports whether a download of size stays within the bound.
func (l *ledger) room(size int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renew(now)
	return l.received+l.sent+size <= maxCopies*l.size
}

// receive books a download; useful content is no longer missing.
func (l *ledger) receive(size int64, useful bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received += size
	if useful {
		l.missing = max(0, l.missing-size)
	}
}

// setMissing corrects what is still to be received.
func (l *ledger) setMissing(missing int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missing = missing
}
