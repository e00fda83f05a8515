package staging

import (
	"context"
	"sync"
)

// places bounds what runs side by side. Urgent waiters get a free place before
// all others.
type places struct {
	mu     sync.Mutex
	free   int
	urgent []chan struct{}
	others []chan struct{}
}

func newPlaces(count int) *places { return &places{free: count} }

// acquire waits for a place.
func (p *places) acquire(ctx context.Context, urgent bool) error {
	p.mu.Lock()
	if p.free > 0 {
		p.free--
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	queue := &p.others
	if urgent {
		queue = &p.urgent
	}
	*queue = append(*queue, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		p.abandon(queue, granted)
		return ctx.Err()
	}
}

// abandon gives up a wait. A place that was granted meanwhile is returned.
func (p *places) abandon(queue *[]chan struct{}, granted chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, waiting := range *queue {
		if waiting == granted {
			*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
			return
		}
	}
	p.grant()
}

// release returns a place.
func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant()
}

// grant gives a place to the next waiter. The caller holds the lock.
func (p *places) grant() {
	for _, queue := range []*[]chan struct{}{&p.urgent, &p.others} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	p.free++
}
