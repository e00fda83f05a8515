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

// attempt dispatches once. The error says whether this attempt provably did
// not run; nil means that the whole answer is out.
func (x *exchange) attempt(ctx context.Context, placer *placement.Placer, agent placement.Candidate) error {
	id := x.nextID()
	if !x.mayDispatch(id) {
		placer.Finish(x.config.Now(), agent.ID, placement.Inconclusive, 0, 0)
		return core.NewFailure(core.CodeInternal, core.ExecutionUnknown, "attempt %s would break a safety promise", id)
	}
	x.request.Trace.Placed(x.count, agent, x.among, x.output.sent)
	// Until it is proven otherwise the attempt may have run.
	x.unproven++
	answer := newAssembly(x.request.ID)
	answer.lenient = x.skip == guardAnswer
	err := x.exchange(ctx, placer, id, agent, answer)
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		x.unproven--
	} else {
		x.used = true
	}
	running, limit := 0, 0
	if answer.end != nil {
		running, limit = answer.end.Running, answer.end.Limit
	}
	outcome := outcomeOf(ctx, err, answer)
	if x.next != nil {
		outcome = placement.Inconclusive
	}
	placer.Finish(x.config.Now(), agent.ID, outcome, running, limit)
	return err
}

func outcomeOf(ctx context.Context, err error, answer *assembly) placement.Outcome {
	switch {
	case err == nil:
		return placement.Answered
	case ctx.Err() != nil:
		return placement.Inconclusive
	case core.CodeOf(err) == core.CodeEngineFailed:
		return placement.Failed
	case answer.end != nil && isUnfit(err):
		return placement.Unavailable
	case answer.end != nil && core.ExecutionOf(err) == core.ExecutionNotRun:
		return placement.Refused
	default:
		return placement.Failed
	}
}

// isUnfit reports whether the agent refuses all work for a while.
func isUnfit(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeDraining, core.CodeDataCentreOut, core.CodeConfigStale, core.CodeFenced,
		core.CodeEngineNotServing, core.CodeNotReady:
		return core.ExecutionOf(err) == core.ExecutionNotRun
	default:
		return false
	}
}

// callContext ends when the attempt must be given up. At-most-once work goes
// on after the caller left, so that a repeat finds its result.
func (x *exchange) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.request.outlivesCaller() {
		ctx = context.WithoutCancel(ctx)
	}
	left := x.request.Deadline.Add(-x.reserve()).Sub(x.config.Now())
	return context.WithTimeout(ctx, left)
}

// exchange sends the dispatch and receives the answer.
func (x *exchange) exchange(ctx context.Context, placer *placement.Placer, id string, agent placement.Candidate, answer *assembly) error {
	call, cancel := x.callContext(ctx)
	defer cancel()
	sent := x.config.Now()
	stream, err := x.sender().Send(call, agent, x.message(id, agent))
	if isNotConnected(err) {
		return core.NewRefusal(core.CodeAgentUnreachable, 0, "agent %s: %v", agent.ID, err)
	}
	if err == nil {
		var abandon *time.Timer
		if x.startTimeout() > 0 && !x.request.AtMostOnce {
			abandon = time.AfterFunc(x.startTimeout(), cancel)
		}
		leave := x.leaver(ctx, placer, agent.ID, sent)
		err = x.receive(stream, answer, abandon, leave)
		if err != nil {
			stream.Cancel()
		}
	}
	if err == nil || answer.end != nil {
		return err
	}
	return x.resolve(ctx, call, id, agent, answer, err)
}

// receive takes frames until the answer's end, or until leave says after a part
// that the answer goes on elsewhere. Errors other than the answer's
// own result leave answer.end unset.
func (x *exchange) receive(stream ReplyStream, answer *assembly, abandon *time.Timer, leave func() bool) error {
	if abandon != nil {
		defer abandon.Stop()
	}
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return incomplete("the answer ended before its end frame")
		}
		if err != nil {
			return core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "the answer broke off")
		}
		if err := answer.accept(reply); err != nil {
			x.output.tainted = x.output.sent > 0 && core.CodeOf(err) == core.CodeChecksumMismatch
			return err
		}
		if abandon != nil {
			abandon.Stop()
		}
		if err := x.forward(reply); err != nil {
			return err
		}
		if reply.End != nil {
			return x.finish(answer)
		}
		if reply.Data != nil && leave() {
			return incomplete("the stream goes on at another server, since this one closes")
		}
	}
}

// forward hands a checked frame on.
func (x *exchange) forward(reply wire.AnswerFrame) error {
	switch {
	case reply.Header != nil:
		return x.output.accept(reply.Header)
	case reply.Data != nil:
		return x.output.write(reply.Data.Bytes)
	default:
		return nil
	}
}

// finish ends an attempt whose end frame was checked.
func (x *exchange) finish(answer *assembly) error {
	end := answer.end
	if end.Code == core.CodeOK {
		x.whole = answer.isWhole()
		if !invariant.Check(invariant.WholeAnswer, x.whole, "request %s has an answer that its end frame does not cover", x.request.ID) {
			return core.NewFailure(core.CodeInternal, core.ExecutionUnknown, "the answer is not whole")
		}
		return x.output.close()
	}
	work := end.Execution
	if work == core.ExecutionNotRun && answer.begin != nil {
		work = core.ExecutionUnknown
	}
	if work == core.ExecutionNotRun {
		after := time.Duration(end.RetryAfterMillis) * time.Millisecond
		return core.NewRefusal(end.Code, after, "%s", end.Detail)
	}
	return core.NewFailure(end.Code, work, "%s", end.Detail)
}

// resolve finds out what happened to an attempt that has no end: a tombstone
// that the agent confirms proves that it did not and will not run.
func (x *exchange) resolve(ctx, call context.Context, id string, agent placement.Candidate, answer *assembly, cause error) error {
	if answer.begin != nil {
		return x.broken(ctx, call, cause)
	}
	left := x.request.Deadline.Sub(x.config.Now())
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(x.config.TombstoneTimeout, left))
	defer cancel()
	reply, err := x.sender().Tombstone(bounded, agent, wire.Tombstone{AttemptID: id, Incarnation: agent.Incarnation})
	if err != nil || reply.Execution != core.ExecutionNotRun {
		return x.broken(ctx, call, cause)
	}
	return core.NewRefusal(core.CodeTombstoned, x.queue(x.request).RetryAfter(x.request.Team), "the attempt was barred before it started: %s", core.DetailOf(cause))
}

// broken is the error of an attempt that may have run.
func (x *exchange) broken(ctx, call context.Context, cause error) error {
	switch {
	case ctx.Err() != nil && !x.request.outlivesCaller():
		return core.Wrap(cause, core.CodeCancelled, core.ExecutionUnknown, "the caller cancelled")
	case errors.Is(call.Err(), context.DeadlineExceeded):
		return core.Wrap(cause, core.CodeTimeout, core.ExecutionUnknown, "the deadline passed after dispatch")
	default:
		return cause
	}
}
