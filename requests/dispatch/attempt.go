package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// runAttempt dispatches the request once. A nil error means that the complete
// answer was written to the sink. Any other error carries core.ExecutionNotRun
// only if this attempt provably did not run.
func (x *execution) runAttempt(ctx context.Context, placer *placement.Placer, agent placement.Candidate) error {
	id := x.nextAttemptID()
	if !x.mayDispatch(id) {
		placer.Finish(x.config.Now(), agent.ID, placement.Inconclusive, 0, 0)
		return core.NewFailure(core.CodeInternal, core.ExecutionUnknown, "attempt %s was not dispatched: it would violate the at-most-once invariant", id)
	}
	x.request.Trace.Placed(x.attemptCount, agent, x.candidateCount, x.output.sentBytes)
	// The attempt counts as possibly run until its outcome proves otherwise.
	x.unprovenAttempts++
	answer := newAnswerValidator(x.request.ID)
	answer.skipEndCheck = x.disabledGuard == guardAnswer
	err := x.sendAndReceive(ctx, placer, id, agent, answer)
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		x.unprovenAttempts--
	} else {
		x.mayHaveRun = true
	}
	running, limit := 0, 0
	if answer.end != nil {
		running, limit = answer.end.Running, answer.end.Limit
	}
	outcome := outcomeOf(ctx, err, answer)
	if x.handoverTarget != nil {
		outcome = placement.Inconclusive
	}
	placer.Finish(x.config.Now(), agent.ID, outcome, running, limit)
	return err
}

func outcomeOf(ctx context.Context, err error, answer *answerValidator) placement.Outcome {
	switch {
	case err == nil:
		return placement.Answered
	case ctx.Err() != nil:
		return placement.Inconclusive
	case core.CodeOf(err) == core.CodeEngineFailed:
		return placement.Failed
	case answer.end == nil && core.CodeOf(err) == core.CodeServerClosed:
		return placement.Inconclusive
	case answer.end != nil && isAgentUnavailable(err):
		return placement.Unavailable
	case answer.end != nil && core.ExecutionOf(err) == core.ExecutionNotRun:
		return placement.Refused
	default:
		return placement.Failed
	}
}

// isAgentUnavailable reports whether err shows that the agent temporarily
// refuses all work.
func isAgentUnavailable(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeDraining, core.CodeDataCentreOut, core.CodeConfigStale, core.CodeFenced,
		core.CodeEngineNotServing, core.CodeNotReady:
		return core.ExecutionOf(err) == core.ExecutionNotRun
	default:
		return false
	}
}

// attemptContext returns a context that ends when the attempt must be
// abandoned. The context of an at-most-once request is not cancelled when the
// caller disconnects, so that a retry by the caller finds the stored result.
func (x *execution) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.request.outlivesCaller() {
		ctx = context.WithoutCancel(ctx)
	}
	remaining := x.request.Deadline.Add(-x.tombstoneReserve()).Sub(x.config.Now())
	return context.WithTimeout(ctx, remaining)
}

// sendAndReceive dispatches the request to the agent and receives the answer.
// If the attempt ends without an end frame, it determines whether it ran.
func (x *execution) sendAndReceive(ctx context.Context, placer *placement.Placer, id string, agent placement.Candidate, answer *answerValidator) error {
	callCtx, cancel := x.attemptContext(ctx)
	defer cancel()
	sent := x.config.Now()
	x.unsent = false
	stream, err := x.sender().Send(callCtx, agent, x.dispatchMessage(id, agent))
	if isNotConnected(err) {
		return core.NewRefusal(core.CodeAgentUnreachable, 0, "agent %s: %v", agent.ID, err)
	}
	if err != nil && core.ExecutionOf(err) == core.ExecutionNotRun {
		x.unsent = true
		return err
	}
	if err == nil {
		var startTimer *time.Timer
		if x.startTimeout() > 0 && !x.request.AtMostOnce {
			startTimer = time.AfterFunc(x.startTimeout(), cancel)
		}
		shouldHandOver := x.handoverCheck(ctx, placer, agent.ID, sent)
		err = x.receive(stream, answer, startTimer, shouldHandOver)
		if err != nil {
			stream.Cancel()
		}
	}
	if err == nil || answer.end != nil {
		return err
	}
	return x.resolveOutcome(ctx, callCtx, id, agent, answer, err)
}

// receive reads frames until the end frame, or until shouldHandOver returns true
// after a data frame. startTimer, if not nil, is stopped by the first frame.
// answer.end stays unset if the error is not the result in the end frame.
func (x *execution) receive(stream ReplyStream, answer *answerValidator, startTimer *time.Timer, shouldHandOver func() bool) error {
	if startTimer != nil {
		defer startTimer.Stop()
	}
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return incompleteError("the answer stream closed before its end frame")
		}
		if err != nil {
			return core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "reading the answer failed")
		}
		if err := answer.accept(reply); err != nil {
			x.output.corruptSent = x.output.sentBytes > 0 && core.CodeOf(err) == core.CodeChecksumMismatch
			return err
		}
		if startTimer != nil {
			startTimer.Stop()
		}
		if err := x.forward(reply); err != nil {
			return err
		}
		if reply.End != nil {
			return x.finishAttempt(answer)
		}
		if reply.Data != nil && shouldHandOver() {
			return incompleteError("the stream is handed over to another server because of a pause of this server")
		}
	}
}

// forward passes a checked frame to the output.
func (x *execution) forward(reply wire.AnswerFrame) error {
	switch {
	case reply.Header != nil:
		return x.output.acceptHeader(reply.Header)
	case reply.Data != nil:
		return x.output.write(reply.Data.Bytes)
	default:
		return nil
	}
}

// finishAttempt converts a checked end frame into the result of the attempt.
func (x *execution) finishAttempt(answer *answerValidator) error {
	end := answer.end
	if end.Code == core.CodeOK {
		x.answerComplete = answer.isComplete()
		if !invariant.Check(invariant.WholeAnswer, x.answerComplete, "the answer of request %s does not match its end frame", x.request.ID) {
			return core.NewFailure(core.CodeInternal, core.ExecutionUnknown, "the answer does not match its end frame")
		}
		return x.output.close()
	}
	executionState := end.Execution
	if executionState == core.ExecutionNotRun && answer.header != nil {
		executionState = core.ExecutionUnknown
	}
	if executionState == core.ExecutionNotRun {
		retryAfter := time.Duration(end.RetryAfterMillis) * time.Millisecond
		return core.NewRefusal(end.Code, retryAfter, "%s", end.Detail)
	}
	return core.NewFailure(end.Code, executionState, "%s", end.Detail)
}

// resolveOutcome determines the outcome of an attempt without an end frame. A
// tombstone confirmed by the agent proves that the attempt did not run and will
// not run.
func (x *execution) resolveOutcome(ctx, callCtx context.Context, id string, agent placement.Candidate, answer *answerValidator, cause error) error {
	if answer.header != nil {
		return x.unknownOutcomeError(ctx, callCtx, cause)
	}
	remaining := x.request.Deadline.Sub(x.config.Now())
	boundedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(x.config.TombstoneTimeout, remaining))
	defer cancel()
	reply, err := x.sender().Tombstone(boundedCtx, agent, wire.Tombstone{AttemptID: id, Incarnation: agent.Incarnation})
	if err != nil || reply.Execution != core.ExecutionNotRun {
		return x.unknownOutcomeError(ctx, callCtx, cause)
	}
	return core.NewRefusal(core.CodeTombstoned, x.queue(x.request).RetryAfter(x.request.Team), "the attempt was cancelled by a tombstone before it started: %s", core.DetailOf(cause))
}

// unknownOutcomeError returns the error of an attempt that may have run.
func (x *execution) unknownOutcomeError(ctx, callCtx context.Context, cause error) error {
	switch {
	case ctx.Err() != nil && !x.request.outlivesCaller():
		return core.Wrap(cause, core.CodeCancelled, core.ExecutionUnknown, "the caller cancelled the request")
	case errors.Is(callCtx.Err(), context.DeadlineExceeded):
		return core.Wrap(cause, core.CodeTimeout, core.ExecutionUnknown, "the deadline passed after dispatch")
	default:
		return cause
	}
}
