package httpcall

import "sync/atomic"

// Largest holds the largest value that was raised to. It is safe for concurrent use.
type Largest struct{ value atomic.Int64 }

// Raise sets the value unless it is larger.
func (l *Largest) Raise(to int64) {
	for {
		old := l.value.Load()
		if to <= old || l.value.CompareAndSwap(old, to) {
			return
		}
	}
}

// Or returns the value, or fallback if it is zero.
func (l *Largest) Or(fallback int64) int64 {
	if value := l.value.Load(); value != 0 {
		return value
	}
	return fallback
}
