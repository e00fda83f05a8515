package proof

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// link is one call between an entry and an agent.
type link struct {
	entry  *fakeEntry
	agent  *fakeAgent
	ctx    context.Context
	frames chan wire.AnswerFrame
	broken chan struct{}
	once   sync.Once
	sent   sync.Once
}

func (l *link) breakOff() { l.once.Do(func() { close(l.broken) }) }

func (l *link) isBroken() bool {
	select {
	case <-l.broken:
		return true
	default:
		return l.ctx.Err() != nil
	}
}

func (l *link) reply(r wire.AnswerFrame) {
	if !l.isBroken() {
		l.frames <- r
	}
}

func (l *link) closeSend() { l.sent.Do(func() { close(l.frames) }) }

// Recv implements dispatch.ReplyStream.
func (l *link) Recv() (wire.AnswerFrame, error) {
	select {
	case <-l.entry.dead():
		<-l.agent.cluster.down.Done()
		return wire.AnswerFrame{}, errBroken
	default:
	}
	select {
	case r, ok := <-l.frames:
		time.Sleep(netLatency)
		if !ok {
			return wire.AnswerFrame{}, errBroken
		}
		return r, nil
	case <-l.broken:
		return wire.AnswerFrame{}, errBroken
	case <-l.ctx.Done():
		return wire.AnswerFrame{}, l.ctx.Err()
	case <-l.entry.dead():
		<-l.agent.cluster.down.Done()
		return wire.AnswerFrame{}, errBroken
	}
}

// Cancel implements dispatch.ReplyStream.
func (l *link) Cancel() { l.breakOff() }

// network is the peer transport as one entry uses it.
type network struct{ entry *fakeEntry }

func (n *network) agent(id core.InstanceID) *fakeAgent {
	for _, a := range n.entry.cluster.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// Send implements dispatch.Sender.
func (n *network) Send(ctx context.Context, to placement.Candidate, m wire.Dispatch) (dispatch.ReplyStream, error) {
	c := n.entry.cluster
	a := n.agent(to.ID)
	a.mu.Lock()
	dead := a.dead
	a.mu.Unlock()
	if dead {
		return nil, wire.ErrNotConnected
	}
	if n.entry.killed.Err() != nil {
		<-c.down.Done()
		return nil, errBroken
	}
	l := &link{entry: n.entry, agent: a, ctx: ctx, frames: make(chan wire.AnswerFrame, 64), broken: make(chan struct{})}
	c.mu.Lock()
	c.links[l] = true
	c.mu.Unlock()
	c.at(stepDispatched, n.entry, a)
	c.mu.Lock()
	delay := netLatency + c.delay
	c.delay = 0
	c.mu.Unlock()
	go func() {
		time.Sleep(delay)
		a.mu.Lock()
		gone := a.dead
		a.mu.Unlock()
		if gone {
			l.breakOff()
			return
		}
		a.serve(l, m)
	}()
	return l, nil
}

// Tombstone implements dispatch.Sender.
func (n *network) Tombstone(ctx context.Context, to placement.Candidate, m wire.Tombstone) (wire.TombstoneReply, error) {
	if n.entry.killed.Err() != nil {
		<-n.entry.cluster.down.Done()
	}
	time.Sleep(netLatency)
	a := n.agent(to.ID)
	answered := make(chan core.Execution, 1)
	go func() {
		a.waitWhilePaused()
		a.mu.Lock()
		gate, dead := a.gate, a.dead
		a.mu.Unlock()
		if !dead {
			answered <- gate.Tombstone(time.Now(), m.AttemptID, m.Incarnation)
		}
	}()
	select {
	case work := <-answered:
		return wire.TombstoneReply{Execution: work}, nil
	case <-ctx.Done():
		return wire.TombstoneReply{}, ctx.Err()
	}
}
