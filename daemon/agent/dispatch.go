package agent

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/admission"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// handleDispatch admits and runs one attempt and replies with its answer frames.
func (a *Agent) handleDispatch(ctx context.Context, stream *wire.Stream) error {
	var d wire.Dispatch
	if err := stream.Recv(&d); err != nil {
		return err
	}
	received := time.Now()
	defer a.lifecycle.Work.Begin()()
	permit, pool, err := a.admit(d, received)
	if err != nil {
		metrics.GetOrRegisterCounter("requests.refused", a.registry).Inc(1)
		return a.sendEndFrame(stream, newRelay(stream, d, nil).endFrame(err))
	}
	metrics.GetOrRegisterCounter("requests.started", a.registry).Inc(1)
	end, err := a.execute(ctx, stream, d, permit, received, pool)
	if errors.Is(err, errEntryDisconnected) {
		return err
	}
	return a.sendEndFrame(stream, end)
}

func (a *Agent) sendEndFrame(stream *wire.Stream, end *wire.AnswerEnd) error {
	load := a.gate.Load(time.Now())
	end.Running = load.Running
	end.Limit = load.Limit
	end.Weights = a.engineStatus.Load().state.Weights
	return stream.Send(wire.AnswerFrame{End: end})
}

// admit starts the attempt at the admission gate. The conditions are read inside
// the gate's critical section, so that none is stale when the attempt starts.
func (a *Agent) admit(d wire.Dispatch, received time.Time) (*admission.Permit, tables.Pool, error) {
	var pool tables.Pool
	attempt := admission.Attempt{
		ID:          d.AttemptID,
		Incarnation: d.Incarnation,
		Revision:    d.Revision,
		Weights:     d.Weights,
		Tokens:      d.MaxTokens,
		AtMostOnce:  d.AtMostOnce,
		Received:    received,
		Remaining:   time.Duration(d.DeadlineMillis) * time.Millisecond,
	}
	permit, err := a.gate.StartWith(func() (time.Time, admission.Conditions) {
		now := time.Now()
		var conditions admission.Conditions
		conditions, pool = a.admissionConditions(now, d)
		return now, conditions
	}, attempt)
	return permit, pool, err
}

// admissionConditions returns the state that decides whether an attempt may
// start, and the agent's pool.
func (a *Agent) admissionConditions(now time.Time, d wire.Dispatch) (admission.Conditions, tables.Pool) {
	engine := a.engineStatus.Load()
	conditions := admission.Conditions{
		EngineWeights: engine.state.Weights,
		EngineServing: engine.serving,
		EngineCold:    !engine.state.Warm || a.pendingActivations.Load() > 0,
		Draining:      a.lifecycle.Draining(),
		ConfigErr:     a.spread.CheckFresh(now),
	}
	current := a.spread.Current()
	if current == nil {
		return conditions, tables.Pool{}
	}
	conditions.Revision = current.Revision()
	conditions.DataCentreOut = current.IsOut(a.config.DataCentre)
	pool, ok := current.PoolOf(a.config.Group)
	if !ok || pool.Name != d.Pool {
		conditions.ConfigErr = core.NewRefusal(core.CodeNoBackend, 0, "agent group %q is not in pool %q", a.config.Group, d.Pool)
		return conditions, pool
	}
	conditions.PinnedWeights = pool.Weights
	if pool.Kind == tables.PoolEngine && a.recentWeights.contains(d.Weights) {
		conditions.AcceptWeights = d.Weights
	}
	return conditions, pool
}

// execute runs the admitted attempt at the backend server.
func (a *Agent) execute(ctx context.Context, stream *wire.Stream, d wire.Dispatch, permit *admission.Permit, received time.Time, pool tables.Pool) (*wire.AnswerEnd, error) {
	deadline := received.Add(time.Duration(d.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := newRelay(stream, d, func() { permit.FirstByte(time.Now()) })
	if err := r.sendAdmitted(); err != nil {
		permit.Done(time.Now(), admission.NotSent)
		return nil, err
	}
	answer, err := a.backend.sendAttempt(ctx, d)
	if err == nil {
		invariant.Check(invariant.WholeWeights, answer.weights == d.Weights,
			"answer from weights %s to a request for %s", answer.weights.Short(), d.Weights.Short())
		err = r.copyAnswer(answer)
		_ = answer.body.Close()
	}
	permit.Done(time.Now(), outcomeOf(ctx, err))
	if err != nil && !errors.Is(err, errEntryDisconnected) {
		a.log.request.WithError(err).WithField("attempt", d.AttemptID).WithField("pool", pool.Name).Info("Attempt failed.")
	}
	return r.endFrame(err), err
}

func outcomeOf(ctx context.Context, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Succeeded
	case core.ExecutionOf(err) == core.ExecutionNotRun:
		return admission.NotSent
	case errors.Is(err, errEntryDisconnected) || errors.Is(ctx.Err(), context.Canceled):
		return admission.Cancelled
	default:
		return admission.Failed
	}
}

// handleTombstone prevents an attempt from starting and replies whether it ran.
func (a *Agent) handleTombstone(_ context.Context, stream *wire.Stream) error {
	var request wire.Tombstone
	if err := stream.Recv(&request); err != nil {
		return err
	}
	execution := a.gate.Tombstone(time.Now(), request.AttemptID, request.Incarnation)
	return stream.Send(wire.TombstoneReply{Execution: execution})
}
