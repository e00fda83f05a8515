package staging

import (
	"context"
	"sync"
)

// prioritySemaphore limits concurrency. Urgent waiters acquire a slot before all
// other waiters; waiters of the same urgency are served in order.
type prioritySemaphore struct {
	mu          sync.Mutex
	available   int
	urgentQueue []chan struct{}
	normalQueue []chan struct{}
}

func newPrioritySemaphore(count int) *prioritySemaphore { return &prioritySemaphore{available: count} }

// acquire waits for a slot.
func (p *prioritySemaphore) acquire(ctx context.Context, urgent bool) error {
	p.mu.Lock()
	if p.available > 0 {
		p.available--
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	queue := &p.normalQueue
	if urgent {
		queue = &p.urgentQueue
	}
	*queue = append(*queue, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		p.cancelWait(queue, granted)
		return ctx.Err()
	}
}

// cancelWait removes a waiter. A slot that it was granted in the meantime is
// released.
func (p *prioritySemaphore) cancelWait(queue *[]chan struct{}, granted chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, waiting := range *queue {
		if waiting == granted {
			*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
			return
		}
	}
	p.grantNext()
}

// release releases a slot.
func (p *prioritySemaphore) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantNext()
}

// grantNext hands a released slot to the next waiter, or makes it available. The
// caller holds the lock.
func (p *prioritySemaphore) grantNext() {
	for _, queue := range []*[]chan struct{}{&p.urgentQueue, &p.normalQueue} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	p.available++
}
