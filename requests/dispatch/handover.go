package dispatch

import (
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
)

// minStay is how long a server must go on taking requests to be worth a
// handover: most of the rest of a stream fits into it.
const minStay = time.Second

// handOver picks the server at which a stream goes on when the one that makes
// it closes, which would wait for the stream's end, and reports whether there is
// one. The retry budget pays for it. It is asked after whole events only.
func (x *exchange) handOver(ctx context.Context, placer *placement.Placer, from core.InstanceID) bool {
	if x.request.ClosesAt == nil || !x.output.canResume() || x.count >= x.maxAttempts() {
		return false
	}
	now := x.config.Now()
	closes := x.request.ClosesAt(from)
	if closes.IsZero() || now.Before(closes) {
		return false
	}
	next, err := x.pickLasting(ctx, placer, from, now.Add(minStay))
	if err != nil {
		return false
	}
	if !placer.WithdrawRetry() {
		placer.Finish(now, next.ID, placement.Inconclusive, 0, 0)
		return false
	}
	x.next = &next
	x.request.Trace.Moved(from, next.ID)
	return true
}

// leaver returns what is asked after each part of an answer: it notes when the
// first one came, and says whether the answer goes on elsewhere.
func (x *exchange) leaver(ctx context.Context, placer *placement.Placer, server core.InstanceID, sent time.Time) func() bool {
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

// pickLasting picks another server that takes requests until a time.
func (x *exchange) pickLasting(ctx context.Context, placer *placement.Placer, from core.InstanceID, until time.Time) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, ctx.Err()
	}
	var lasting []placement.Candidate
	for _, c := range x.candidates() {
		if c.ID != from && !x.tried[c.ID] && (c.PauseStart.IsZero() || c.PauseStart.After(until)) {
			lasting = append(lasting, c)
		}
	}
	x.among = len(lasting)
	wanted := placement.Request{Weights: x.request.Weights, ExpectedDuration: minStay}
	return placer.Pick(x.config.Now(), wanted, lasting)
}

// takeNext returns the server that a handover picked, if one did.
func (x *exchange) takeNext() (placement.Candidate, bool) {
	if x.next == nil {
		return placement.Candidate{}, false
	}
	next := *x.next
	x.next = nil
	return next, true
}
