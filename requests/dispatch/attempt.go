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

// agentAttempt is one dispatch of the request to an agent.
type agentAttempt struct {
	id string
	// number counts the attempts of the request from 1.
	number int
	agent  placement.Candidate
	answer *answerValidator
	// unsent is set if nothing was sent because the agent could not be reached or had
	// been closed since it was picked.
	unsent bool

	// ctx ends when the attempt must be abandoned.
	ctx    context.Context
	cancel context.CancelFunc
	sentAt time.Time
	stream ReplyStream
	// held are the checked frames that were received before the attempt took over the
	// stream of another one.
	held []wire.AnswerFrame
	// firstDataSeen is set once the time to the first data was recorded.
	firstDataSeen bool

	// frames receives the result of the read in progress, if isReading is set.
	frames    chan frameResult
	isReading bool
	// lastFrameAt is when the last frame was passed on, or when the attempt was sent.
	lastFrameAt time.Time
	// isCounted is set while the attempt counts as one that may have run.
	isCounted bool
	// isRecalled is set when the entry has closed the attempt so that its server does not
	// begin the request.
	isRecalled bool
	// isSilent is set when another agent took the request over because this one sent
	// nothing.
	isSilent bool
}

// frameResult is the result of reading a frame.
type frameResult struct {
	reply wire.AnswerFrame
	err   error
}

// newAttempt returns the next attempt, at an agent that the placer picked.
func (x *execution) newAttempt(agent placement.Candidate) *agentAttempt {
	a := &agentAttempt{id: x.nextAttemptID(), agent: agent, answer: newAnswerValidator(x.request.ID), frames: make(chan frameResult, 1)}
	a.number = x.attemptCount
	a.answer.skipEndCheck = x.disabledGuard == guardAnswer
	return a
}

// runAttempt dispatches the request once, or goes on with an attempt that has begun
// during a handover. A nil error means that the complete answer was written to the
// sink. Any other error carries core.ExecutionNotRun only if this attempt provably did
// not run.
func (x *execution) runAttempt(ctx context.Context, placer *placement.Placer, a *agentAttempt) error {
	var err error
	switch {
	case a.stream != nil:
		err = x.receiveAnswer(ctx, placer, a)
	case x.mayDispatch(a.id):
		x.beginAttempt(a)
		err = x.sendAndReceive(ctx, placer, a)
	default:
		placer.Finish(x.config.Now(), a.agent.ID, placement.Inconclusive, 0, 0)
		return core.NewFailure(core.CodeInternal, core.ExecutionUnknown, "attempt %s was not dispatched: it would violate the at-most-once invariant", a.id)
	}
	outcome := outcomeOf(ctx, err, a)
	if x.successor != nil && !a.isSilent {
		outcome = placement.Inconclusive
	}
	x.endAttempt(placer, a, err, outcome)
	return err
}

// beginAttempt counts an attempt that is about to be sent. It counts as possibly run
// until its outcome proves otherwise.
func (x *execution) beginAttempt(a *agentAttempt) {
	x.request.Trace.Placed(a.number, a.agent, x.candidateCount, x.output.sentBytes)
	x.unprovenAttempts++
	a.isCounted = true
	delete(x.abandonedAgents, a.agent.ID)
}

// endAttempt records the outcome of an attempt that beginAttempt counted.
func (x *execution) endAttempt(placer *placement.Placer, a *agentAttempt, err error, outcome placement.Outcome) {
	switch {
	case core.ExecutionOf(err) != core.ExecutionNotRun:
		x.mayHaveRun = true
	case a.isCounted:
		x.unprovenAttempts--
		a.isCounted = false
	}
	running, limit := 0, 0
	if a.answer.end != nil {
		running, limit = a.answer.end.Running, a.answer.end.Limit
	}
	placer.Finish(x.config.Now(), a.agent.ID, outcome, running, limit)
}

func outcomeOf(ctx context.Context, err error, a *agentAttempt) placement.Outcome {
	answer := a.answer
	switch {
	case err == nil:
		return placement.Answered
	case ctx.Err() != nil:
		return placement.Inconclusive
	case core.CodeOf(err) == core.CodeEngineFailed:
		return placement.Failed
	case a.unsent && core.CodeOf(err) != core.CodeAgentUnreachable:
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

// send dispatches the request to the agent of an attempt.
func (x *execution) send(a *agentAttempt) error {
	a.sentAt = x.config.Now()
	a.lastFrameAt = a.sentAt
	stream, err := x.sender().Send(a.ctx, a.agent, x.dispatchMessage(a.id, a.agent))
	if isNotConnected(err) {
		a.unsent = true
		return core.NewRefusal(core.CodeAgentUnreachable, 0, "agent %s: %v", a.agent.ID, err)
	}
	a.unsent = err != nil && core.ExecutionOf(err) == core.ExecutionNotRun
	a.stream = stream
	return err
}

// sendAndReceive dispatches the request to the agent and receives the answer.
// If the attempt ends without an end frame, it determines whether it ran.
func (x *execution) sendAndReceive(ctx context.Context, placer *placement.Placer, a *agentAttempt) error {
	a.ctx, a.cancel = x.attemptContext(ctx)
	defer a.cancel()
	err := x.send(a)
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return err
	}
	if err != nil {
		return x.resolveOutcome(ctx, a, err)
	}
	return x.receiveAnswer(ctx, placer, a)
}

// receiveAnswer receives the answer of an attempt that was sent. If the attempt ends
// without an end frame, it determines whether it ran.
func (x *execution) receiveAnswer(ctx context.Context, placer *placement.Placer, a *agentAttempt) error {
	defer a.cancel()
	err := x.receive(ctx, placer, a)
	if err != nil {
		a.close()
	}
	if err == nil || a.answer.end != nil || x.successor != nil {
		return err
	}
	return x.resolveOutcome(ctx, a, err)
}

// receive reads frames until the end frame, or until another attempt has taken over
// the request. answer.end stays unset if the error is not the result in the end frame.
func (x *execution) receive(ctx context.Context, placer *placement.Placer, a *agentAttempt) error {
	for {
		reply, err := x.nextFrame(ctx, placer, a)
		if x.successor == nil {
			a.stream.Select()
		}
		if err != nil {
			if core.CodeOf(err) == core.CodeChecksumMismatch {
				x.output.corruptSent = x.output.sentBytes > 0
			}
			return err
		}
		a.lastFrameAt = x.config.Now()
		if err := x.forward(reply); err != nil {
			return err
		}
		if reply.End != nil {
			return x.finishAttempt(a.answer)
		}
		if reply.Data == nil {
			continue
		}
		x.observeFirstData(placer, a)
		if x.handOver(ctx, placer, a) {
			return incompleteError("%s continues the stream because of a pause of this server", x.successor.agent.ID)
		}
	}
}

// startRead reads the next frame in the background unless a read is in progress.
func (a *agentAttempt) startRead() {
	if a.isReading {
		return
	}
	a.isReading = true
	go func() {
		reply, err := a.readFrame()
		a.frames <- frameResult{reply, err}
	}()
}

// isRefused reports whether the agent has said that the attempt did not run.
func (a *agentAttempt) isRefused() bool {
	return a.answer.end != nil && a.answer.end.Code != core.CodeOK && core.ExecutionOf(endError(a.answer)) == core.ExecutionNotRun
}

// close ends the call to the agent and the read in progress.
func (a *agentAttempt) close() {
	a.stream.Cancel()
	if a.isReading {
		<-a.frames
		a.isReading = false
	}
}

// readFrame reads and checks a frame of the stream.
func (a *agentAttempt) readFrame() (wire.AnswerFrame, error) {
	reply, err := a.stream.Recv()
	if errors.Is(err, io.EOF) {
		return wire.AnswerFrame{}, incompleteError("the answer stream closed before its end frame")
	}
	if err != nil {
		a.isRecalled = errors.Is(err, ErrRecalled)
		return wire.AnswerFrame{}, core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "reading the answer failed")
	}
	return reply, a.answer.accept(reply)
}

// observeFirstData records the time to the first data of a stream.
func (x *execution) observeFirstData(placer *placement.Placer, a *agentAttempt) {
	if a.firstDataSeen || !x.request.Stream {
		return
	}
	a.firstDataSeen = true
	now := x.config.Now()
	placer.ObserveFirstEvent(now, a.agent.ID, now.Sub(a.sentAt))
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
	return endError(answer)
}

// endError converts an end frame without a complete answer into an error.
func endError(answer *answerValidator) error {
	end := answer.end
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
func (x *execution) resolveOutcome(ctx context.Context, a *agentAttempt, cause error) error {
	if a.answer.header != nil {
		return x.unknownOutcomeError(ctx, a.ctx, cause)
	}
	remaining := x.request.Deadline.Sub(x.config.Now())
	boundedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(x.config.TombstoneTimeout, remaining))
	defer cancel()
	reply, err := x.sender().Tombstone(boundedCtx, a.agent, wire.Tombstone{AttemptID: a.id, Incarnation: a.agent.Incarnation})
	if err != nil || reply.Execution != core.ExecutionNotRun {
		return x.unknownOutcomeError(ctx, a.ctx, cause)
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
