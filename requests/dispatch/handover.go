package dispatch

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// minTimeToPause is the least time until a handover target itself pauses. Most
// streams finish within it after a handover.
const minTimeToPause = time.Second

// handoverRetryDelay is the time after a failed handover until the next one. Each one
// holds up the caller's stream and takes a retry.
const handoverRetryDelay = 500 * time.Millisecond

// handOver moves a stream to another server if its server pauses. A server that pauses
// loads its weights only after its running streams have ended, so the stream would
// prolong the pause. The attempt at the target is sent while the attempt from stays
// open, unread, and takes over with its first data. If it refuses, fails or does not
// begin in time, from goes on where it was. handOver must be called only between
// complete events. It reports whether x.successor continues the stream. A handover takes
// one retry from the retry budget.
func (x *execution) handOver(ctx context.Context, placer *placement.Placer, from *agentAttempt) bool {
	now := x.config.Now()
	if !x.mayHandOver(now, from.agent.ID) {
		return false
	}
	target, err := x.pickSuccessor(ctx, placer, from.agent.ID, now.Add(minTimeToPause), x.refusedHandovers)
	if err != nil {
		return false
	}
	if !placer.WithdrawRetry() {
		placer.Finish(now, target.ID, placement.Inconclusive, 0, 0)
		return false
	}
	from.stream.Suspend()
	a := x.newAttempt(target)
	x.beginAttempt(a)
	if err := x.awaitFirstData(ctx, a); err != nil {
		x.abandonHandover(ctx, placer, from, a, err)
		return false
	}
	x.successor = a
	x.request.Trace.HandedOver(HandoverPause, from.agent.ID, target.ID)
	return true
}

// mayHandOver reports whether the stream should leave its server now and may do so.
func (x *execution) mayHandOver(now time.Time, from core.InstanceID) bool {
	if x.request.PauseStart == nil || !x.output.canResume() || !x.hasAttemptsLeft() || now.Before(x.nextHandoverAt) {
		return false
	}
	pauseStart := x.request.PauseStart(from)
	return !pauseStart.IsZero() && !now.Before(pauseStart)
}

// awaitFirstData sends the request and receives the answer up to its first data. It
// returns an error if that takes longer than the handover timeout, or if the answer ends
// without data: if nothing is left, the server that the stream would leave says so too.
func (x *execution) awaitFirstData(ctx context.Context, a *agentAttempt) error {
	a.ctx, a.cancel = x.attemptContext(ctx)
	timer := time.AfterFunc(x.request.handoverTimeout(), a.cancel)
	err := x.send(a)
	if err == nil {
		err = x.holdFirstData(a)
	}
	if err == nil && a.answer.end != nil {
		err = incompleteError("%s sent no event", a.agent.ID)
	}
	isLate := !timer.Stop()
	if err == nil && !isLate {
		return nil
	}
	if a.stream != nil {
		a.stream.Cancel()
	}
	a.cancel()
	if isLate && core.ExecutionOf(err) != core.ExecutionNotRun {
		return core.NewFailure(core.CodeTimeout, core.ExecutionUnknown, "%s did not continue the stream within %v", a.agent.ID, x.request.handoverTimeout())
	}
	return err
}

// holdFirstData receives frames up to the first data or the end and keeps them.
func (x *execution) holdFirstData(a *agentAttempt) error {
	for {
		reply, err := a.readFrame()
		if err != nil {
			return err
		}
		a.held = append(a.held, reply)
		switch {
		case reply.Header != nil:
			if err := x.output.checkWeights(reply.Header); err != nil {
				return err
			}
		case reply.Data != nil:
			return nil
		case reply.End != nil && reply.End.Code != core.CodeOK:
			return endError(a.answer)
		case reply.End != nil:
			return nil
		}
	}
}

// abandonHandover ends an attempt that did not take over the stream of from. A server
// that did not begin within the short timeout, or had nothing left to send, may be healthy.
func (x *execution) abandonHandover(ctx context.Context, placer *placement.Placer, from, a *agentAttempt, err error) {
	outcome := outcomeOf(ctx, err, a)
	if core.CodeOf(err) == core.CodeTimeout || a.answer.isComplete() {
		outcome = placement.Inconclusive
	}
	x.endFailedHandover(placer, a, err, outcome, x.refusedHandovers)
	x.nextHandoverAt = x.config.Now().Add(handoverRetryDelay)
	x.request.Trace.HandoverFailed(HandoverPause, a.number, from.agent.ID, a.agent.ID, err)
}

// endFailedHandover records the outcome of an attempt that did not take over the request.
// It adds the server to refused if the attempt provably did not run.
func (x *execution) endFailedHandover(placer *placement.Placer, a *agentAttempt, err error, outcome placement.Outcome, refused map[core.InstanceID]bool) {
	x.endAttempt(placer, a, err, outcome)
	if a.unsent {
		// No server got the request, so the attempt takes no retry from the budget.
		placer.ReturnRetries(1)
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		refused[a.agent.ID] = true
	} else {
		x.triedAgents[a.agent.ID] = true
	}
}

// pickSuccessor picks a server other than from that does not pause before until and is
// not in excluded.
func (x *execution) pickSuccessor(ctx context.Context, placer *placement.Placer, from core.InstanceID, until time.Time, excluded map[core.InstanceID]bool) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, ctx.Err()
	}
	var targets []placement.Candidate
	candidates := x.candidates()
	tried := x.excludedAgents(candidates)
	for _, c := range candidates {
		if c.ID != from && !tried[c.ID] && !excluded[c.ID] && (c.PauseStart.IsZero() || c.PauseStart.After(until)) {
			targets = append(targets, c)
		}
	}
	x.candidateCount = len(targets)
	placementRequest := placement.Request{Weights: x.request.Weights, ExpectedDuration: minTimeToPause}
	return placer.Pick(x.config.Now(), placementRequest, targets)
}
