package swarm

import (
	"context"
	"sync"
	"time"
)

// slots hands out upload slots. Of the requests that wait, the one whose sender
// has the fewest chunks comes first, so that downloaders stay close together.
// It is safe for concurrent use.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	done  uint32
	given chan struct{}
}

func newSlots(count int) *slots { return &slots{free: count} }

// take waits for a slot, at most for wait. A true result must be followed by
// release.
func (s *slots) take(ctx context.Context, done uint32, wait time.Duration) bool {
	queued := s.enqueue(done)
	if queued == nil {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-queued.given:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !s.withdraw(queued)
}

// enqueue takes a free slot, or returns the place in the queue.
func (s *slots) enqueue(done uint32) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil
	}
	queued := &waiter{done: done, given: make(chan struct{})}
	s.waiting = append(s.waiting, queued)
	return queued
}

// withdraw leaves the queue. It reports false when a slot was given meanwhile.
func (s *slots) withdraw(queued *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == queued {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release returns a slot or passes it on.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := 0
	for i, other := range s.waiting {
		if other.done < s.waiting[next].done {
			next = i
		}
	}
	close(s.waiting[next].given)
	s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
}
