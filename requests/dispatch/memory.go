package dispatch

import "sync/atomic"

const (
	// maxBufferedTotalBytes bounds the bytes of all answers that a dispatcher buffers,
	// beyond the first freeBufferedBytes of each.
	maxBufferedTotalBytes = 64 << 20
	// freeBufferedBytes of each answer are not counted, so that a few servers that
	// answer without end do not fail the usual answers of others.
	freeBufferedBytes = 64 << 10
)

// bufferBudget counts the buffered bytes of all answers. It is safe for concurrent use.
type bufferBudget struct{ used atomic.Int64 }

// grow accounts for a buffer that grows from one length to another. It reports whether
// the budget suffices; otherwise nothing is accounted for.
func (b *bufferBudget) grow(from, to int) bool {
	extra := countedBytes(to) - countedBytes(from)
	if b.used.Add(extra) <= maxBufferedTotalBytes || extra == 0 {
		return true
	}
	b.used.Add(-extra)
	return false
}

// free returns the bytes of a buffer of the given length.
func (b *bufferBudget) free(length int) { b.used.Add(-countedBytes(length)) }

func countedBytes(length int) int64 { return int64(max(length-freeBufferedBytes, 0)) }
