package lifecycle

import (
	"context"
	"sync"
)

// WorkTracker counts operations in progress. The zero value is ready for use. It is
// safe for concurrent use.
type WorkTracker struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Begin counts an operation as in progress until the returned function is called.
// Further calls of that function do nothing.
func (t *WorkTracker) Begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	return sync.OnceFunc(t.end)
}

func (t *WorkTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Count returns the number of operations in progress.
func (t *WorkTracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Wait waits until no operation is in progress. It returns the error of ctx if that
// ends first.
func (t *WorkTracker) Wait(ctx context.Context) error {
	for {
		idle := t.idleChannel()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *WorkTracker) idleChannel() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == 0 {
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	return t.idle
}
