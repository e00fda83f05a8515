package dispatch

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
	"currantusher.dev/requests/placement"
)

// retryCheckPeriod is how often a request that waits for a retry checks the budget.
const retryCheckPeriod = 50 * time.Millisecond

// markTried excludes an agent from further attempts after err. After a digest mismatch
// the same agent may serve the request with the weights that ChooseWeights returns for
// the next attempt.
func (x *execution) markTried(agent core.InstanceID, err error) {
	mayPickAgain := x.request.ChooseWeights != nil && core.CodeOf(err) == core.CodeDigestMismatch
	x.triedAgents[agent] = !mayPickAgain
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		x.refusingAgents[agent] = true
	} else {
		delete(x.refusingAgents, agent)
	}
	if mayPickAgain && core.ExecutionOf(err) == core.ExecutionNotRun {
		x.weightsRefusals++
	}
}

// hasAttemptsLeft reports whether MaxAttempts permits another attempt: at another agent, or
// at one that was abandoned.
func (x *execution) hasAttemptsLeft() bool {
	return x.mayTryAnotherAgent() || len(x.abandonedAgents) > 0
}

// mayTryAnotherAgent reports whether MaxAttempts permits an attempt at an agent that was
// not tried. Attempts that provably did not run do not count: the tried agents, the
// deadline and the retry budget bound them.
func (x *execution) mayTryAnotherAgent() bool {
	return x.unprovenAttempts+x.weightsRefusals < x.maxAttempts()
}

// afterFailure prepares another attempt after a failed one, or returns the
// reason why there is none.
func (x *execution) afterFailure(ctx context.Context, placer *placement.Placer, a *agentAttempt, lastErr error) error {
	x.mayBeAcceptedSoon = x.mayBeAcceptedSoon || isTemporaryRefusal(lastErr)
	if !x.mayRetry(ctx, lastErr) {
		return lastErr
	}
	if a.unsent {
		// No server got the request, so the attempt takes no retry from the budget.
		return nil
	}
	return x.prepareRetry(ctx, placer, a, lastErr)
}

// mayRetry reports whether another dispatch is permitted after err.
func (x *execution) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !x.hasAttemptsLeft() || x.output.sinkErr != nil {
		return false
	}
	if !x.config.Now().Before(x.request.Deadline.Add(-x.tombstoneReserve())) {
		return false
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return isRetryableElsewhere(core.CodeOf(err))
	}
	if x.request.AtMostOnce && x.disabledGuard != guardClaim {
		return false
	}
	return isTransient(core.CodeOf(err))
}

// isRetryableElsewhere reports whether another agent may accept a request that
// was refused with code.
func isRetryableElsewhere(code core.Code) bool {
	switch code {
	case core.CodeInvalidField, core.CodeCancelled, core.CodeDeadlineShort, core.CodeBodyTooLarge,
		core.CodePartQuarantined, core.CodeRequestQuarantined:
		return false
	default:
		return true
	}
}

// isTransient reports whether a repeatable request may be run again after code.
func isTransient(code core.Code) bool {
	switch code {
	case core.CodeIncomplete, core.CodeCrossedAnswer, core.CodeChecksumMismatch,
		core.CodeAgentUnreachable, core.CodeAlreadyDispatched, core.CodeTimeout, core.CodeEngineFailed, core.CodeDigestMismatch:
		return true
	default:
		return false
	}
}

// prepareRetry takes a retry from the retry budget. If the budget is spent, the
// request waits for a retry after a recall, returns to the queue after a temporary
// refusal and fails otherwise.
func (x *execution) prepareRetry(ctx context.Context, placer *placement.Placer, a *agentAttempt, lastErr error) error {
	if x.output.sentBytes > 0 && !x.output.canResume() {
		return core.NewFailure(core.CodeStreamBroken, core.ExecutionUnknown, "the stream broke after %d bytes: %s", x.output.sentBytes, core.DetailOf(lastErr))
	}
	if placer.WithdrawRetry() || a.isRecalled && x.waitForRetry(ctx, placer) {
		return nil
	}
	if !isTemporaryRefusal(lastErr) {
		return core.NewRefusal(core.CodeRetryBudget, x.queue(x.request).RetryAfter(x.request.Team), "the retry budget is spent: %s", core.DetailOf(lastErr))
	}
	return x.requeue(ctx)
}

// waitForRetry waits, without a slot, until the retry budget holds a retry, and takes it and
// a slot. It returns false if the request can't be sent any more in time. Only other
// requests that get a slot add to the budget.
func (x *execution) waitForRetry(ctx context.Context, placer *placement.Placer) bool {
	deadline := x.waitDeadline()
	boundedCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x.markBegun()
	isReady, err := x.grant.Yield(boundedCtx, deadline, func() bool { return x.awaitRetry(ctx, placer) })
	if err != nil {
		placer.ReturnRetries(1)
	}
	return isReady
}

// awaitRetry takes a retry from the budget once it holds one.
func (x *execution) awaitRetry(ctx context.Context, placer *placement.Placer) bool {
	for ctx.Err() == nil && x.config.Now().Add(retryCheckPeriod).Before(x.waitDeadline()) {
		if x.request.Barred != nil && x.request.Barred() != nil {
			return false
		}
		pause.For(ctx, retryCheckPeriod)
		if ctx.Err() == nil && placer.WithdrawRetry() {
			return true
		}
	}
	return false
}

// isTemporaryRefusal reports whether the agent that refused may accept the
// request soon: it was full, or the entry and the agent have not yet applied the
// same configuration or incarnation change.
func isTemporaryRefusal(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeLimitReached, core.CodeRevisionTooLow, core.CodeStaleIncarnation:
		return true
	default:
		return false
	}
}
