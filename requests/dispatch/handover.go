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

// handOver picks another server to continue a stream whose server pauses. A server
// that pauses loads its weights only after its running streams have ended, so the
// stream would prolong the pause. handOver reports whether it picked a server. A
// handover takes one retry from the retry budget. It must be called only between
// complete events.
func (x *execution) handOver(ctx context.Context, placer *placement.Placer, from core.InstanceID) bool {
	if x.request.PauseStart == nil || !x.output.canResume() || !x.hasAttemptsLeft() {
		return false
	}
	now := x.config.Now()
	pauseStart := x.request.PauseStart(from)
	if pauseStart.IsZero() || now.Before(pauseStart) {
		return false
	}
	next, err := x.pickHandoverTarget(ctx, placer, from, now.Add(minTimeToPause))
	if err != nil {
		return false
	}
	if !placer.WithdrawRetry() {
		placer.Finish(now, next.ID, placement.Inconclusive, 0, 0)
		return false
	}
	x.handoverTarget = &next
	x.request.Trace.HandedOver(from, next.ID)
	return true
}

// handoverCheck returns a function to call after each data frame. It reports
// whether the stream must be handed over. On the first call it also records the
// time to the first data of a stream.
func (x *execution) handoverCheck(ctx context.Context, placer *placement.Placer, server core.InstanceID, sent time.Time) func() bool {
	first := true
	return func() bool {
		if first && x.request.Stream {
			now := x.config.Now()
			placer.ObserveFirstEvent(now, server, now.Sub(sent))
		}
		first = false
		return x.handOver(ctx, placer, server)
	}
}

// pickHandoverTarget picks a server other than from that does not pause before
// until.
func (x *execution) pickHandoverTarget(ctx context.Context, placer *placement.Placer, from core.InstanceID, until time.Time) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, ctx.Err()
	}
	var targets []placement.Candidate
	for _, c := range x.candidates() {
		if c.ID != from && !x.triedAgents[c.ID] && (c.PauseStart.IsZero() || c.PauseStart.After(until)) {
			targets = append(targets, c)
		}
	}
	x.candidateCount = len(targets)
	placementRequest := placement.Request{Weights: x.request.Weights, ExpectedDuration: minTimeToPause}
	return placer.Pick(x.config.Now(), placementRequest, targets)
}

// takeHandoverTarget returns and clears the server picked by a handover, if
// there is one.
func (x *execution) takeHandoverTarget() (placement.Candidate, bool) {
	if x.handoverTarget == nil {
		return placement.Candidate{}, false
	}
	next := *x.handoverTarget
	x.handoverTarget = nil
	return next, true
}
