package swarm

import (
	"sync"
	"time"
)

const (
	// maxLinkCopies bounds the bytes of a version that this instance receives and
	// sends within one window, in copies of the version.
	maxLinkCopies = 2
	// discardReserveDivisor sets the bytes reserved for content that is received
	// and discarded while chunks are missing: one copy divided by this value, but
	// at least one chunk.
	discardReserveDivisor = 256
	// burstDurationFactor is the assumed length of a burst of downloads, in
	// durations of this instance's own download. minLinkBudgetWindow is the
	// minimum of the product.
	burstDurationFactor = 3
	minLinkBudgetWindow = 30 * time.Second
)

// linkBudget bounds the bytes of one version that this instance receives and
// sends during one burst, in which many instances download the version at the
// same time. Uploads are refused if they would leave too little of maxLinkCopies
// for the chunks that are still missing. After the window the budget is renewed,
// so that instances that join later or lose their weights can download from this
// peer again. It is safe for concurrent use.
type linkBudget struct {
	mu sync.Mutex
	// copyBytes is the size of the manifest and all chunks, missingBytes the part
	// that is not received yet, and discardReserveBytes the reserve for content
	// that is received and discarded.
	copyBytes           int64
	missingBytes        int64
	discardReserveBytes int64
	// largestChunkBytes is the size of the largest chunk. An upload budget below
	// it counts as 0.
	largestChunkBytes int64
	receivedBytes     int64
	sentBytes         int64
	// windowStart is when the budget was last renewed, and window the time from
	// then until it is renewed again.
	windowStart time.Time
	window      time.Duration
	// renewals counts the windows that have ended.
	renewals int
}

func newLinkBudget(copyBytes, missingBytes, largestChunkBytes int64, window time.Duration, now time.Time) *linkBudget {
	return &linkBudget{
		copyBytes:           copyBytes,
		missingBytes:        missingBytes,
		largestChunkBytes:   largestChunkBytes,
		discardReserveBytes: max(largestChunkBytes, copyBytes/discardReserveDivisor),
		windowStart:         now,
		window:              window,
	}
}

// markComplete records that all chunks are received and shortens the window to
// the expected end of the burst. The instances of a burst start at about the same
// time and have similar links, so the burst is taken to last
// burstDurationFactor times as long as this instance's own download.
func (b *linkBudget) markComplete(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burstBound := burstDurationFactor * now.Sub(b.windowStart)
	b.window = min(b.window, max(burstBound, minLinkBudgetWindow))
}

// renewIfElapsed starts a new window with zero bytes used once the current window
// has elapsed. b.mu must be held.
func (b *linkBudget) renewIfElapsed(now time.Time) {
	if now.Sub(b.windowStart) < b.window {
		return
	}
	b.receivedBytes, b.sentBytes, b.windowStart = 0, 0, now
	b.renewals++
}

// uploadBytesLeft returns the bytes that may still be uploaded in this window.
func (b *linkBudget) uploadBytesLeft(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.uploadBytesLeftLocked(now)
}

func (b *linkBudget) uploadBytesLeftLocked(now time.Time) int64 {
	b.renewIfElapsed(now)
	reserveBytes := b.discardReserveBytes
	if b.missingBytes == 0 {
		reserveBytes = 0
	}
	left := maxLinkCopies*b.copyBytes - b.receivedBytes - b.missingBytes - b.sentBytes - reserveBytes
	if left < b.largestChunkBytes {
		return 0
	}
	return left
}

// reserveUpload charges an upload of size bytes to the budget. It reports false
// and charges nothing if the budget does not allow the upload.
func (b *linkBudget) reserveUpload(size int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.uploadBytesLeftLocked(now) < size {
		return false
	}
	b.sentBytes += size
	return true
}

// refundUpload reverts reserveUpload for an upload of which nothing was sent.
func (b *linkBudget) refundUpload(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentBytes = max(0, b.sentBytes-size)
}

// allowsDownload reports whether a download of size bytes stays within
// maxLinkCopies. It charges nothing.
func (b *linkBudget) allowsDownload(size int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renewIfElapsed(now)
	return b.receivedBytes+b.sentBytes+size <= maxLinkCopies*b.copyBytes
}

// recordDownload charges a download of size bytes. useful reports that the
// content was valid and is no longer missing.
func (b *linkBudget) recordDownload(size int64, useful bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receivedBytes += size
	if useful {
		b.missingBytes = max(0, b.missingBytes-size)
	}
}

// setMissingBytes sets the bytes that are still to be received.
func (b *linkBudget) setMissingBytes(missingBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missingBytes = missingBytes
}
