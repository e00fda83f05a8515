package lifecycle

import (
	"context"
	"sync"
)

// WorkTracker counts work in progress. The zero value is ready for use.
type WorkTracker struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Begin counts one more piece of work until the returned function is called.
func (g *WorkTracker) Begin() (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	return sync.OnceFunc(g.leave)
}

func (g *WorkTracker) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Count returns the pieces of work in progress.
func (g *WorkTracker) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// Wait returns nil once no work is in progress, or the error of ctx.
func (g *WorkTracker) Wait(ctx context.Context) error {
	for {
		idle := g.idleSignal()
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

func (g *WorkTracker) idleSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count == 0 {
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
