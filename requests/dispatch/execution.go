package dispatch

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// execution is the state of one request from the time the queue grants it a
// slot to its final answer.
type execution struct {
	*Dispatcher
	request Request
	grant   *fair.Grant
	output  *output

	claim          *ledger.Claim
	firstAttemptID string
	triedAgents    map[core.InstanceID]bool
	// refusingAgents holds the tried agents whose attempts provably did not run.
	refusingAgents map[core.InstanceID]bool
	// abandonedAgents holds the tried agents whose last attempt ended only because another
	// agent served the request.
	abandonedAgents map[core.InstanceID]bool
	attemptCount    int
	// weightsRefusals counts the attempts refused by agents with other weights that may
	// be picked again.
	weightsRefusals int
	// mayBeAcceptedSoon is set when one of the tried agents may accept the request
	// soon.
	mayBeAcceptedSoon bool
	// mayHaveRun is set when an attempt is not proven not to have run.
	mayHaveRun bool
	// unprovenAttempts counts the attempts that may have run.
	unprovenAttempts int
	// candidateCount is the number of servers that the last pick chose from.
	candidateCount int
	// successor is the attempt that has taken over the stream of the current one, or nil.
	successor *agentAttempt
	// refusedHandovers holds the servers that refused to continue the stream.
	refusedHandovers map[core.InstanceID]bool
	// nextHandoverAt is the earliest time of the next handover after a failed one.
	nextHandoverAt time.Time
	// answerComplete is set when the answer was verified to be complete.
	answerComplete bool
}

func newExecution(d *Dispatcher, request Request, sink Sink, grant *fair.Grant) *execution {
	return &execution{
		Dispatcher:     d,
		request:        request,
		grant:          grant,
		output:         newOutput(request, sink, d.config.MaxAnswerBytes, newAnswerMemory(d.config.Memory, d.config.Now, request.CloseCaller)),
		firstAttemptID: d.config.Attempts.Next(),
		triedAgents:    map[core.InstanceID]bool{},

		refusingAgents:   map[core.InstanceID]bool{},
		abandonedAgents:  map[core.InstanceID]bool{},
		refusedHandovers: map[core.InstanceID]bool{},
	}
}

func (x *execution) run(ctx context.Context) error {
	if !x.request.needsClaim() {
		return x.runAttempts(ctx)
	}
	key := ledger.Key{Team: x.request.Team, Route: x.request.Route, Key: x.request.Key}
	boundedCtx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	claim, err := x.config.Ledger.Claim(boundedCtx, key, core.DigestOf(x.request.Body), x.firstAttemptID)
	if err != nil {
		return err
	}
	if claim.Stored != nil {
		return x.replay(*claim.Stored)
	}
	x.claim = &claim
	err = x.runAttempts(ctx)
	x.recordOutcome(ctx, err)
	return err
}

// recordOutcome stores the result of the claimed request, or releases the claim
// if the request did not run. Errors are ignored because the answer to the
// caller does not depend on the write.
func (x *execution) recordOutcome(ctx context.Context, err error) {
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		boundedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.config.ReleaseTimeout)
		defer cancel()
		_ = x.config.Ledger.Release(boundedCtx, *x.claim)
		return
	}
	_ = x.config.Ledger.Finish(*x.claim, x.ledgerResult(err))
}

func (x *execution) ledgerResult(err error) ledger.Result {
	result := ledger.Result{Code: core.CodeOf(err), Execution: core.ExecutionOf(err), Detail: core.DetailOf(err)}
	if err != nil {
		return result
	}
	result.ContentType = x.output.header.ContentType
	result.Weights = x.output.header.Weights
	result.Body = x.output.buffered
	return result
}

func (x *execution) replay(stored ledger.Result) error {
	if stored.Code != core.CodeOK {
		return core.NewFailure(stored.Code, stored.Execution, "the first request with this Idempotency-Key failed: %s", stored.Detail)
	}
	if stored.BodyOmitted {
		return core.NewFailure(core.CodeOutcomeUnknown, core.ExecutionRan, "the request ran, but its answer was too large to store")
	}
	x.answerComplete = true
	return x.output.replay(stored)
}

// runAttempts dispatches the request until it has a final answer.
func (x *execution) runAttempts(ctx context.Context) error {
	placer := x.config.Placer(x.request.Pool)
	placer.DepositRetry()
	var lastErr error
	for {
		a, err := x.nextAttempt(ctx, placer)
		if err != nil {
			if err = x.waitForAgent(ctx, placer, err); err != nil {
				return x.finalError(lastErr, err)
			}
			continue
		}
		lastErr = x.runAttempt(ctx, placer, a)
		if lastErr == nil {
			return nil
		}
		x.markTried(a.agent.ID, lastErr)
		if x.successor != nil {
			continue
		}
		err = x.afterFailure(ctx, placer, a, lastErr)
		x.request.Trace.Failed(a.number, a.agent.ID, lastErr, err == nil)
		if err != nil {
			return x.finalError(lastErr, err)
		}
	}
}

// waitForAgent waits until another pick may succeed after pickErr, or returns the reason
// why there is none.
func (x *execution) waitForAgent(ctx context.Context, placer *placement.Placer, pickErr error) error {
	if x.waitForOpening(ctx) {
		return nil
	}
	if closedErr := x.refuseClosed(x.request); closedErr != nil {
		return closedErr
	}
	err := pickErr
	if x.mayBeAcceptedSoon {
		// Every agent was tried or is unavailable.
		if err = x.requeue(ctx); err == nil {
			return nil
		}
	} else if x.waitForRefusingAgents(ctx) {
		return nil
	}
	if x.canWaitForSlot(placer, err) {
		return x.waitForSlot(ctx)
	}
	return err
}

// nextAttempt returns the attempt that has taken over the stream, if there is one, or a
// new one at the agent that the placer picks.
func (x *execution) nextAttempt(ctx context.Context, placer *placement.Placer) (*agentAttempt, error) {
	if a := x.successor; a != nil {
		x.successor = nil
		return a, nil
	}
	agent, err := x.pickAgent(ctx, placer)
	if err != nil {
		return nil, err
	}
	return x.newAttempt(agent), nil
}

func (x *execution) pickAgent(ctx context.Context, placer *placement.Placer) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "cancelled before dispatch")
	}
	now := x.config.Now()
	if !now.Before(x.request.Deadline) {
		return placement.Candidate{}, x.deadlinePassedError()
	}
	x.refreshWeights()
	candidates := x.candidates()
	x.candidateCount = len(candidates)
	return placer.Pick(now, x.placementRequest(candidates), candidates)
}

func (x *execution) placementRequest(candidates []placement.Candidate) placement.Request {
	return placement.Request{Prefix: x.request.Prefix, Weights: x.request.Weights, ExpectedDuration: x.request.ExpectedDuration, Tried: x.excludedAgents(candidates)}
}

// excludedAgents returns those of the candidates that do not get the next attempt. Once the
// request may have run at as many agents as permitted, these are all but the abandoned ones.
func (x *execution) excludedAgents(candidates []placement.Candidate) map[core.InstanceID]bool {
	if x.mayTryAnotherAgent() {
		return x.triedAgents
	}
	excluded := map[core.InstanceID]bool{}
	for _, c := range candidates {
		excluded[c.ID] = !x.abandonedAgents[c.ID]
	}
	return excluded
}

func (x *execution) candidates() []placement.Candidate {
	if x.request.Candidates != nil {
		return x.request.Candidates()
	}
	return x.config.Candidates(x.request.Pool)
}

func (x *execution) sender() Sender {
	if x.request.Sender != nil {
		return x.request.Sender
	}
	return x.config.Sender
}

func (x *execution) maxAttempts() int {
	if x.request.MaxAttempts > 0 {
		return x.request.MaxAttempts
	}
	return x.config.MaxAttempts
}

func (x *execution) startTimeout() time.Duration {
	if x.request.StartTimeout > 0 {
		return x.request.StartTimeout
	}
	return x.config.StartTimeout
}

// refreshWeights sets the weights of the next attempt. The weights don't change
// after the first byte of the answer was sent.
func (x *execution) refreshWeights() {
	if x.request.ChooseWeights == nil || x.output.sentBytes > 0 {
		return
	}
	x.request.Weights = x.request.ChooseWeights()
	x.output.request.Weights = x.request.Weights
}

func (x *execution) deadlinePassedError() error {
	return core.NewRefusal(core.CodeDeadlineShort, x.queue(x.request).RetryAfter(x.request.Team), "the deadline passed before dispatch")
}

// finalError returns the error for the caller. It carries core.ExecutionNotRun
// only if every attempt provably did not run.
func (x *execution) finalError(lastErr, err error) error {
	if x.unprovenAttempts == 0 || x.disabledGuard == guardRefusal {
		return err
	}
	if x.output.sentBytes > 0 {
		return core.Wrap(err, core.CodeStreamBroken, core.ExecutionUnknown, "the stream broke after %d bytes", x.output.sentBytes)
	}
	if lastErr != nil && core.ExecutionOf(lastErr) != core.ExecutionNotRun {
		err = lastErr
	}
	if x.request.AtMostOnce && core.ExecutionOf(err) == core.ExecutionUnknown && core.CodeOf(err) != core.CodeTimeout {
		return core.Wrap(err, core.CodeOutcomeUnknown, core.ExecutionUnknown, "%s", core.DetailOf(err))
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return core.Wrap(err, core.CodeOf(err), core.ExecutionUnknown, "an earlier attempt may have run: %s", core.DetailOf(err))
	}
	return err
}

// verifyInvariants checks the invariants of the final answer.
func (x *execution) verifyInvariants(err error) error {
	if err == nil {
		invariant.Check(invariant.WholeAnswer, x.answerComplete, "request %s was answered without a verified end frame", x.request.ID)
		return nil
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		proven := x.unprovenAttempts == 0 && x.output.sentBytes == 0
		if !invariant.Check(invariant.TrueRefusal, proven, "request %s was refused as not run after %d attempts that may have run", x.request.ID, x.unprovenAttempts) {
			return core.Wrap(err, core.CodeOf(err), core.ExecutionUnknown, "%s", core.DetailOf(err))
		}
	}
	return x.withRetryAfter(err)
}

// tombstoneReserve returns the time to reserve before the deadline for a
// tombstone.
func (x *execution) tombstoneReserve() time.Duration {
	remaining := x.request.Deadline.Sub(x.config.Now())
	return min(x.config.TombstoneTimeout, max(remaining, 0)/tombstoneReserveDivisor)
}

// nextAttemptID returns the id of the next attempt. The first attempt uses the
// id stored in the claim.
func (x *execution) nextAttemptID() string {
	x.attemptCount++
	if x.attemptCount == 1 {
		return x.firstAttemptID
	}
	return x.config.Attempts.Next()
}

func (x *execution) dispatchMessage(id string, agent placement.Candidate) wire.Dispatch {
	remaining := x.request.Deadline.Add(-x.tombstoneReserve()).Sub(x.config.Now())
	return wire.Dispatch{
		RequestID:      x.request.ID,
		AttemptID:      id,
		Team:           x.request.Team,
		Route:          x.request.Route,
		Pool:           x.request.Pool,
		Weights:        x.request.Weights,
		Incarnation:    agent.Incarnation,
		Revision:       x.request.Revision,
		Priority:       x.request.Priority,
		DeadlineMillis: max(remaining.Milliseconds(), 1),
		MaxTokens:      x.request.MaxTokens,
		AtMostOnce:     x.request.AtMostOnce,
		Stream:         x.request.Stream,
		Path:           x.request.Path,
		Body:           x.request.Body,
		ResumeOffset:   x.output.sentBytes,
		IdempotencyKey: x.request.Key,
	}
}

// mayDispatch checks the at-most-once invariant: the request is claimed and
// every earlier attempt is proven not to have run.
func (x *execution) mayDispatch(id string) bool {
	if !x.request.AtMostOnce {
		return true
	}
	claimed := x.claim != nil || x.request.Unclaimed
	return invariant.Check(invariant.AtMostOnce, claimed && x.unprovenAttempts == 0,
		"attempt %s of request %s: claimed %t, %d earlier attempts may have run", id, x.request.ID, claimed, x.unprovenAttempts)
}

func isNotConnected(err error) bool { return errors.Is(err, wire.ErrNotConnected) }
