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

// handleDispatch runs one attempt and answers with its frames.
func (a *Agent) handleDispatch(ctx context.Context, stream *wire.Stream) error {
	var d wire.Dispatch
	if err := stream.Recv(&d); err != nil {
		return err
	}
	received := time.Now()
	defer a.life.Work.Begin()()
	permit, pinned, err := a.start(d, received)
	if err != nil {
		metrics.GetOrRegisterCounter("requests.refused", a.registry).Inc(1)
		return a.sendEnd(stream, newRelay(stream, d, nil).end(err))
	}
	metrics.GetOrRegisterCounter("requests.started", a.registry).Inc(1)
	end, err := a.execute(ctx, stream, d, permit, received, pinned)
	if errors.Is(err, errEntryGone) {
		return err
	}
	return a.sendEnd(stream, end)
}

func (a *Agent) sendEnd(stream *wire.Stream, end *wire.AnswerEnd) error {
	load := a.gate.Load(time.Now())
	end.Running = load.Running
	end.Limit = load.Limit
	end.Weights = a.engine.Load().state.Weights
	return stream.Send(wire.AnswerFrame{End: end})
}

// start asks the gate; the conditions are read within its critical section.
func (a *Agent) start(d wire.Dispatch, received time.Time) (*admission.Permit, tables.Pool, error) {
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
		conditions, pool = a.conditions(now, d)
		return now, conditions
	}, attempt)
	return permit, pool, err
}

// conditions reads what decides whether an attempt may start.
func (a *Agent) conditions(now time.Time, d wire.Dispatch) (admission.Conditions, tables.Pool) {
	view := a.engine.Load()
	conditions := admission.Conditions{
		EngineWeights: view.state.Weights,
		EngineServing: view.serving,
		EngineCold:    !view.state.Warm || a.activating.Load() > 0,
		Draining:      a.life.Draining(),
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
		conditions.ConfigErr = core.NewRefusal(core.CodeNoBackend, 0, "group %q is not in pool %q", a.config.Group, d.Pool)
		return conditions, pool
	}
	conditions.PinnedWeights = pool.Weights
	if pool.Kind == tables.PoolEngine && a.seen.has(d.Weights) {
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
	if err := r.start(); err != nil {
		permit.Done(time.Now(), admission.NotSent)
		return nil, err
	}
	reply, err := a.backend.run(ctx, d)
	if err == nil {
		invariant.Check(invariant.WholeWeights, reply.weights == d.Weights,
			"answer of weights %s for request of %s", reply.weights.Short(), d.Weights.Short())
		err = r.copy(reply)
		_ = reply.body.Close()
	}
	permit.Done(time.Now(), outcomeOf(ctx, err))
	if err != nil && !errors.Is(err, errEntryGone) {
		a.log.request.WithError(err).WithField("attempt", d.AttemptID).WithField("pool", pool.Name).Info("Attempt failed.")
	}
	return r.end(err), err
}

func outcomeOf(ctx context.Context, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Succeeded
	case core.ExecutionOf(err) == core.ExecutionNotRun:
		return admission.NotSent
	case errors.Is(err, errEntryGone) || errors.Is(ctx.Err(), context.Canceled):
		return admission.Cancelled
	default:
		return admission.Failed
	}
}

// handleTombstone bars an attempt from starting.
func (a *Agent) handleTombstone(_ context.Context, stream *wire.Stream) error {
	var request wire.Tombstone
	if err := stream.Recv(&request); err != nil {
		return err
	}
	work := a.gate.Tombstone(time.Now(), request.AttemptID, request.Incarnation)
	return stream.Send(wire.TombstoneReply{Execution: work})
}
