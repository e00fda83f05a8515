package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// exchange is the state of one request between its grant and its final answer.
type exchange struct {
	*Dispatcher
	request Request
	grant   *fair.Grant
	output  *output

	claim   *ledger.Claim
	firstID string
	tried   map[core.InstanceID]bool
	count   int
	// full counts attempts that were refused by agents that may take the
	// request soon.
	full int
	// used says that an agent did some of the work.
	used bool
	// unproven counts attempts that may have run.
	unproven int
	// among is how many servers the last pick chose from.
	among int
	// next is the server that a handover picked.
	next *placement.Candidate
	// whole says that the checked answer is out.
	whole bool
}

func newExchange(d *Dispatcher, request Request, sink Sink, grant *fair.Grant) *exchange {
	return &exchange{
		Dispatcher: d,
		request:    request,
		grant:      grant,
		output:     newOutput(request, sink, d.config.MaxAnswerBytes),
		firstID:    d.config.Attempts.Next(),
		tried:      map[core.InstanceID]bool{},
	}
}

func (x *exchange) run(ctx context.Context) error {
	if !x.request.isClaimed() {
		return x.attempts(ctx)
	}
	key := ledger.Key{Team: x.request.Team, Route: x.request.Route, Key: x.request.Key}
	bounded, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	claim, err := x.config.Ledger.Claim(bounded, key, core.DigestOf(x.request.Body), x.firstID)
	if err != nil {
		return err
	}
	if claim.Stored != nil {
		return x.replay(*claim.Stored)
	}
	x.claim = &claim
	err = x.attempts(ctx)
	x.settle(ctx, err)
	return err
}

// settle records how the claimed request ended.
func (x *exchange) settle(ctx context.Context, err error) {
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.config.ReleaseTimeout)
		defer cancel()
		_ = x.config.Ledger.Release(bounded, *x.claim)
		return
	}
	_ = x.config.Ledger.Finish(*x.claim, x.result(err))
}

func (x *exchange) result(err error) ledger.Result {
	result := ledger.Result{Code: core.CodeOf(err), Work: core.ExecutionOf(err), Detail: core.DetailOf(err)}
	if err != nil {
		return result
	}
	result.ContentType = x.output.begin.ContentType
	result.Weights = x.output.begin.Weights
	result.Body = x.output.held
	return result
}

func (x *exchange) replay(stored ledger.Result) error {
	if stored.Code != core.CodeOK {
		return core.NewFailure(stored.Code, stored.Work, "first request with this Idempotency-Key: %s", stored.Detail)
	}
	if stored.BodyOmitted {
		return core.NewFailure(core.CodeOutcomeUnknown, core.ExecutionRan, "the request ran and its answer was too large to keep")
	}
	x.whole = true
	return x.output.replay(stored)
}

// attempts dispatches until the request has a final answer.
func (x *exchange) attempts(ctx context.Context) error {
	placer := x.config.Placer(x.request.Pool)
	placer.DepositRetry()
	var last error
	for {
		agent, handedOver := x.takeNext()
		var err error
		if !handedOver {
			agent, err = x.pick(ctx, placer)
		}
		if err != nil && canWait(last) {
			// Every agent was tried and may take the request soon.
			if err = x.requeue(ctx); err == nil {
				continue
			}
		}
		if err != nil && x.mayRetake(err) {
			if err = x.retake(ctx); err == nil {
				continue
			}
		}
		if err != nil {
			return x.final(last, err)
		}
		last = x.attempt(ctx, placer, agent)
		if last == nil {
			return nil
		}
		// An agent that moved to another version may serve a request that
		// follows it there.
		x.tried[agent.ID] = x.request.ChooseWeights == nil || core.CodeOf(last) != core.CodeDigestMismatch
		if x.next != nil {
			continue
		}
		err = x.afterFailure(ctx, placer, last)
		x.request.Trace.Failed(x.count, agent.ID, last, err == nil)
		if err != nil {
			return x.final(last, err)
		}
	}
}

// afterFailure prepares another attempt after one that failed, or returns why
// there is none.
func (x *exchange) afterFailure(ctx context.Context, placer *placement.Placer, last error) error {
	if canWait(last) {
		x.full++
	}
	if !x.mayRetry(ctx, last) {
		return last
	}
	return x.prepareRetry(ctx, placer, last)
}

func (x *exchange) pick(ctx context.Context, placer *placement.Placer) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "cancelled before dispatch")
	}
	now := x.config.Now()
	if !now.Before(x.request.Deadline) {
		return placement.Candidate{}, x.late()
	}
	x.chooseVersion()
	wanted := placement.Request{Prefix: x.request.Prefix, Weights: x.request.Weights, ExpectedDuration: x.request.ExpectedDuration, Tried: x.tried}
	candidates := x.candidates()
	x.among = len(candidates)
	return placer.Pick(now, wanted, candidates)
}

func (x *exchange) candidates() []placement.Candidate {
	if x.request.Candidates != nil {
		return x.request.Candidates()
	}
	return x.config.Candidates(x.request.Pool)
}

func (x *exchange) sender() Sender {
	if x.request.Sender != nil {
		return x.request.Sender
	}
	return x.config.Sender
}

func (x *exchange) maxAttempts() int {
	if x.request.MaxAttempts > 0 {
		return x.request.MaxAttempts
	}
	return x.config.MaxAttempts
}

func (x *exchange) startTimeout() time.Duration {
	if x.request.StartTimeout > 0 {
		return x.request.StartTimeout
	}
	return x.config.StartTimeout
}

// chooseVersion sets the weights of the next attempt. Once bytes are out the
// version stays.
func (x *exchange) chooseVersion() {
	if x.request.ChooseWeights == nil || x.output.sent > 0 {
		return
	}
	x.request.Weights = x.request.ChooseWeights()
	x.output.request.Weights = x.request.Weights
}

func (x *exchange) late() error {
	return core.NewRefusal(core.CodeDeadlineShort, x.queue(x.request).RetryAfter(x.request.Team), "the deadline passed before dispatch")
}

// mayRetry reports whether another dispatch is permitted after err.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.count-x.full >= x.maxAttempts() || x.output.failed != nil {
		return false
	}
	if !x.config.Now().Before(x.request.Deadline.Add(-x.reserve())) {
		return false
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return isElsewhere(core.CodeOf(err))
	}
	if x.request.AtMostOnce && x.skip != guardClaim {
		return false
	}
	return isTransient(core.CodeOf(err))
}

// isElsewhere reports whether another agent may start what one refused.
func isElsewhere(code core.Code) bool {
	switch code {
	case core.CodeInvalidField, core.CodeCancelled, core.CodeDeadlineShort, core.CodeBodyTooLarge:
		return false
	default:
		return true
	}
}

// isTransient reports whether a repeatable request may be run again.
func isTransient(code core.Code) bool {
	switch code {
	case core.CodeIncomplete, core.CodeCrossedAnswer, core.CodeChecksumMismatch,
		core.CodeAgentUnreachable, core.CodeAlreadyDispatched, core.CodeTimeout, core.CodeEngineFailed, core.CodeDigestMismatch:
		return true
	default:
		return false
	}
}

// prepareRetry takes a retry out of the budget, or returns to the queue when
// the agents are full.
func (x *exchange) prepareRetry(ctx context.Context, placer *placement.Placer, last error) error {
	if x.output.sent > 0 && !x.output.canResume() {
		return core.NewFailure(core.CodeStreamBroken, core.ExecutionUnknown, "the stream broke after %d bytes: %s", x.output.sent, core.DetailOf(last))
	}
	if placer.WithdrawRetry() {
		return nil
	}
	if !canWait(last) {
		return core.NewRefusal(core.CodeRetryBudget, x.queue(x.request).RetryAfter(x.request.Team), "the retry budget is spent: %s", core.DetailOf(last))
	}
	return x.requeue(ctx)
}

// canWait reports whether an agent that refused may take the request soon: it
// was full, or the entry and it learn of a change at different times.
func canWait(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeLimitReached, core.CodeRevisionTooLow, core.CodeStaleIncarnation:
		return true
	default:
		return false
	}
}

// final returns the error for the caller. It says not-run only when every
// attempt provably did not run.
func (x *exchange) final(last, err error) error {
	if x.unproven == 0 || x.skip == guardRefusal {
		return err
	}
	if x.output.sent > 0 {
		return core.Wrap(err, core.CodeStreamBroken, core.ExecutionUnknown, "the stream broke after %d bytes", x.output.sent)
	}
	if last != nil && core.ExecutionOf(last) != core.ExecutionNotRun {
		err = last
	}
	if x.request.AtMostOnce && core.ExecutionOf(err) == core.ExecutionUnknown && core.CodeOf(err) != core.CodeTimeout {
		return core.Wrap(err, core.CodeOutcomeUnknown, core.ExecutionUnknown, "%s", core.DetailOf(err))
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return core.Wrap(err, core.CodeOf(err), core.ExecutionUnknown, "an earlier attempt may have run: %s", core.DetailOf(err))
	}
	return err
}

// checked asserts the promises about the final answer.
func (x *exchange) checked(err error) error {
	if err == nil {
		invariant.Check(invariant.WholeAnswer, x.whole, "request %s is answered without a checked end", x.request.ID)
		return nil
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		proven := x.unproven == 0 && x.output.sent == 0
		if !invariant.Check(invariant.TrueRefusal, proven, "request %s is refused as not run after %d unproven attempts", x.request.ID, x.unproven) {
			return core.Wrap(err, core.CodeOf(err), core.ExecutionUnknown, "%s", core.DetailOf(err))
		}
	}
	return x.withRetryAfter(err)
}

// withRetryAfter adds to a refusal when to come back, unless another try of
// the same request is pointless.
func (x *exchange) withRetryAfter(err error) error {
	code := core.CodeOf(err)
	if core.ExecutionOf(err) != core.ExecutionNotRun || core.RetryAfterOf(err) > 0 {
		return err
	}
	if code.Info().HTTPStatus < http.StatusTooManyRequests || code == core.CodeCancelled {
		return err
	}
	return core.NewRefusal(code, x.queue(x.request).RetryAfter(x.request.Team), "%s", core.DetailOf(err))
}

// reserve is the time kept before the deadline for a tombstone.
func (x *exchange) reserve() time.Duration {
	left := x.request.Deadline.Sub(x.config.Now())
	return min(x.config.TombstoneTimeout, max(left, 0)/reserveDivisor)
}

// nextID returns the id of the next dispatch. The first is the claim's.
func (x *exchange) nextID() string {
	x.count++
	if x.count == 1 {
		return x.firstID
	}
	return x.config.Attempts.Next()
}

func (x *exchange) message(id string, agent placement.Candidate) wire.Dispatch {
	left := x.request.Deadline.Add(-x.reserve()).Sub(x.config.Now())
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
		DeadlineMillis: max(left.Milliseconds(), 1),
		MaxTokens:      x.request.MaxTokens,
		AtMostOnce:     x.request.AtMostOnce,
		Stream:         x.request.Stream,
		Path:           x.request.Path,
		Body:           x.request.Body,
		ResumeOffset:   x.output.sent,
		IdempotencyKey: x.request.Key,
	}
}

// mayDispatch asserts that an at-most-once request is claimed and that no
// earlier attempt may have run.
func (x *exchange) mayDispatch(id string) bool {
	if !x.request.AtMostOnce {
		return true
	}
	claimed := x.claim != nil || x.request.Unclaimed
	return invariant.Check(invariant.AtMostOnce, claimed && x.unproven == 0,
		"attempt %s of request %s: claimed %t, %d unproven attempts", id, x.request.ID, claimed, x.unproven)
}

func isNotConnected(err error) bool { return errors.Is(err, wire.ErrNotConnected) }
