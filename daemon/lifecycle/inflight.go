package lifecycle

import (
	"context"
	"sync"
)

// Group counts work in progress. The zero value is ready for use.
type Group struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Enter counts one more piece of work until the returned function is called.
func (g *Group) Enter() (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	return sync.OnceFunc(g.leave)
}

func (g *Group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Count returns the pieces of work in progress.
func (g *Group) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// Wait returns nil once no work is in progress, or the error of ctx.
func (g *Group) Wait(ctx context.Context) error {
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

func (g *Group) idleSignal() <-chan struct{} {
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
