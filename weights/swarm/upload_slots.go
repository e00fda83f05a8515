package swarm

import (
	"context"
	"sync"
	"time"
)

// uploadSlots limits concurrent uploads. A freed slot goes to the waiting request
// whose sender has the fewest chunks, so that all downloaders progress at a
// similar rate. It is safe for concurrent use.
type uploadSlots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

// waiter is a queued request for a slot.
type waiter struct {
	chunksDone uint32
	// granted is closed when the waiter receives a slot.
	granted chan struct{}
}

func newUploadSlots(count int) *uploadSlots { return &uploadSlots{free: count} }

// acquire waits up to timeout for a slot and reports whether it got one. The
// caller must then call release.
func (s *uploadSlots) acquire(ctx context.Context, chunksDone uint32, timeout time.Duration) bool {
	queued := s.acquireOrEnqueue(chunksDone)
	if queued == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-queued.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !s.removeWaiter(queued)
}

// acquireOrEnqueue takes a free slot and returns nil, or returns a queued waiter.
func (s *uploadSlots) acquireOrEnqueue(chunksDone uint32) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil
	}
	queued := &waiter{chunksDone: chunksDone, granted: make(chan struct{})}
	s.waiting = append(s.waiting, queued)
	return queued
}

// removeWaiter removes queued from the queue. It reports false if queued already
// received a slot.
func (s *uploadSlots) removeWaiter(queued *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, candidate := range s.waiting {
		if candidate == queued {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release passes the slot to the waiter with the fewest chunks, or frees it if
// none waits.
func (s *uploadSlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := 0
	for i, candidate := range s.waiting {
		if candidate.chunksDone < s.waiting[next].chunksDone {
			next = i
		}
	}
	close(s.waiting[next].granted)
	s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
}
