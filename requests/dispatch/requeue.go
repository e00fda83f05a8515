package dispatch

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
	"currantusher.dev/requests/placement"
)

// refusalCheckPeriod is how often a broken stream looks for an available server while
// all have refused it.
const refusalCheckPeriod = 100 * time.Millisecond

// requeue waits in the queue for another slot and clears the set of tried
// agents.
func (x *execution) requeue(ctx context.Context) error {
	boundedCtx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	x.markBegun()
	if err := x.grant.Requeue(boundedCtx); err != nil {
		return err
	}
	clear(x.triedAgents)
	x.mayBeAcceptedSoon = false
	return nil
}

// canWaitForSlot reports whether to wait for another slot after a failed pick.
// Backend servers of requests with their own candidates have no agent to admit
// requests, so that a slot may be taken between the grant and the pick. A broken
// stream continues when the next slot is free. Other requests wait if an agent is
// only full: a slot that the queue granted is lost when its agent leaves before the
// pick.
func (x *execution) canWaitForSlot(placer *placement.Placer, err error) bool {
	if core.CodeOf(err) != core.CodeNoBackend {
		return false
	}
	candidates := x.candidates()
	return x.request.Candidates != nil || placer.HasEligible(x.config.Now(), x.placementRequest(candidates), candidates)
}

// waitForSlot returns the slot, for which no server could be picked, and waits
// for another one.
func (x *execution) waitForSlot(ctx context.Context) error {
	deadline := x.waitDeadline()
	boundedCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x.markBegun()
	return x.grant.RequeueUntil(boundedCtx, deadline)
}

// markBegun tells the queue if the caller has got a part of the answer.
func (x *execution) markBegun() {
	if x.output.sentBytes > 0 {
		x.grant.Begun()
	}
}

// waitDeadline returns the time until which the request may wait before it is sent again.
func (x *execution) waitDeadline() time.Time {
	if x.output.sentBytes > 0 {
		// The first byte was sent, so only the final deadline applies.
		return x.request.Deadline
	}
	return x.request.queueDeadline()
}

// waitForRefusingAgents waits for a moment if no agent is left for a broken stream, and
// permits those that refused it to be picked again: they may load weights or start. The
// placer does not pick an agent for a while after a refusal. Requests whose callers have
// got nothing yet are refused instead.
func (x *execution) waitForRefusingAgents(ctx context.Context) bool {
	retryAt := x.config.Now().Add(refusalCheckPeriod)
	if x.output.sentBytes == 0 || len(x.refusingAgents) == 0 || !retryAt.Before(x.request.Deadline) {
		return false
	}
	for id := range x.refusingAgents {
		delete(x.triedAgents, id)
	}
	pause.For(ctx, refusalCheckPeriod)
	return ctx.Err() == nil
}
