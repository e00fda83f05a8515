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

// rpc is one streaming call from an entry to an agent.
type rpc struct {
	dispatch.Unobserved
	entry     *fakeEntry
	agent     *fakeAgent
	ctx       context.Context
	frames    chan wire.AnswerFrame
	broken    chan struct{}
	breakOnce sync.Once
	closeOnce sync.Once
}

func (call *rpc) breakCall() { call.breakOnce.Do(func() { close(call.broken) }) }

func (call *rpc) isBroken() bool {
	select {
	case <-call.broken:
		return true
	default:
		return call.ctx.Err() != nil
	}
}

func (call *rpc) reply(r wire.AnswerFrame) {
	if !call.isBroken() {
		call.frames <- r
	}
}

func (call *rpc) closeSend() { call.closeOnce.Do(func() { close(call.frames) }) }

// Recv implements dispatch.ReplyStream.
func (call *rpc) Recv() (wire.AnswerFrame, error) {
	select {
	case <-call.entry.killedCh():
		<-call.agent.cluster.shutdownCtx.Done()
		return wire.AnswerFrame{}, errCallBroken
	default:
	}
	select {
	case r, ok := <-call.frames:
		time.Sleep(netLatency)
		if !ok {
			return wire.AnswerFrame{}, errCallBroken
		}
		return r, nil
	case <-call.broken:
		return wire.AnswerFrame{}, errCallBroken
	case <-call.ctx.Done():
		return wire.AnswerFrame{}, call.ctx.Err()
	case <-call.entry.killedCh():
		<-call.agent.cluster.shutdownCtx.Done()
		return wire.AnswerFrame{}, errCallBroken
	}
}

// Cancel implements dispatch.ReplyStream.
func (call *rpc) Cancel() { call.breakCall() }

// fakeTransport is the transport of one entry to the agents.
type fakeTransport struct{ entry *fakeEntry }

func (n *fakeTransport) agent(id core.InstanceID) *fakeAgent {
	for _, a := range n.entry.cluster.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// Send implements dispatch.Sender.
func (n *fakeTransport) Send(ctx context.Context, to placement.Candidate, m wire.Dispatch) (dispatch.ReplyStream, error) {
	c := n.entry.cluster
	a := n.agent(to.ID)
	a.mu.Lock()
	killed := a.killed
	a.mu.Unlock()
	if killed {
		return nil, wire.ErrNotConnected
	}
	if n.entry.killed.Err() != nil {
		<-c.shutdownCtx.Done()
		return nil, errCallBroken
	}
	call := &rpc{entry: n.entry, agent: a, ctx: ctx, frames: make(chan wire.AnswerFrame, 64), broken: make(chan struct{})}
	c.mu.Lock()
	c.calls[call] = true
	c.mu.Unlock()
	c.reachStep(stepDispatched, n.entry, a)
	c.mu.Lock()
	delay := netLatency + c.dispatchDelay
	c.dispatchDelay = 0
	c.mu.Unlock()
	go func() {
		time.Sleep(delay)
		a.mu.Lock()
		killed := a.killed
		a.mu.Unlock()
		if killed {
			call.breakCall()
			return
		}
		a.serve(call, m)
	}()
	return call, nil
}

// Tombstone implements dispatch.Sender.
func (n *fakeTransport) Tombstone(ctx context.Context, to placement.Candidate, m wire.Tombstone) (wire.TombstoneReply, error) {
	if n.entry.killed.Err() != nil {
		<-n.entry.cluster.shutdownCtx.Done()
	}
	time.Sleep(netLatency)
	a := n.agent(to.ID)
	answered := make(chan core.Execution, 1)
	go func() {
		a.waitWhilePaused()
		a.mu.Lock()
		gate, killed := a.gate, a.killed
		a.mu.Unlock()
		if !killed {
			answered <- gate.Tombstone(time.Now(), m.AttemptID, m.Incarnation)
		}
	}()
	select {
	case execution := <-answered:
		return wire.TombstoneReply{Execution: execution}, nil
	case <-ctx.Done():
		return wire.TombstoneReply{}, ctx.Err()
	}
}
