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

// Handover lets a stream leave a server that is about to take no requests, so
// that the server does not wait for the stream's end.
type Handover struct {
	// ClosesAt returns when a server takes no more requests, or the zero time.
	ClosesAt func(core.InstanceID) time.Time
	// Moved reports a stream that goes on at another server.
	Moved func(from, to core.InstanceID)
}

// handOver picks the server at which a stream goes on when the one that makes
// it closes, and reports whether there is one. The retry budget pays for it. It
// is asked after whole events only.
func (x *exchange) handOver(ctx context.Context, placer *placement.Placer, from core.InstanceID) bool {
	if x.request.Handover == nil || !x.output.canResume() || x.count >= x.maxAttempts() {
		return false
	}
	now := x.config.Now()
	closes := x.request.Handover.ClosesAt(from)
	if closes.IsZero() || now.Before(closes) {
		return false
	}
	next, err := x.pickLasting(ctx, placer, from, now.Add(minStay))
	if err != nil {
		return false
	}
	if !placer.Retry() {
		placer.Finish(now, next.ID, placement.Abandoned, 0, 0)
		return false
	}
	x.next = &next
	x.request.Handover.Moved(from, next.ID)
	return true
}

// pickLasting picks another server that takes requests until a time.
func (x *exchange) pickLasting(ctx context.Context, placer *placement.Placer, from core.InstanceID, until time.Time) (placement.Candidate, error) {
	if ctx.Err() != nil {
		return placement.Candidate{}, ctx.Err()
	}
	var lasting []placement.Candidate
	for _, c := range x.candidates() {
		if c.ID != from && !x.tried[c.ID] && (c.ClosesAt.IsZero() || c.ClosesAt.After(until)) {
			lasting = append(lasting, c)
		}
	}
	wanted := placement.Request{Weights: x.request.Weights, Expected: minStay}
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
