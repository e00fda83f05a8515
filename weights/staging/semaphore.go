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
	p.addAvailable(1)
}

// release releases a slot.
func (p *prioritySemaphore) release() { p.resize(1) }

// resize changes the number of slots. If slots are removed that are in use, none is
// granted until as many are released.
func (p *prioritySemaphore) resize(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addAvailable(change)
}

// addAvailable changes the number of available slots and hands them to the next
// waiters. The caller holds the lock.
func (p *prioritySemaphore) addAvailable(change int) {
	p.available += change
	for _, queue := range []*[]chan struct{}{&p.urgentQueue, &p.normalQueue} {
		for p.available > 0 && len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			p.available--
		}
	}
}
