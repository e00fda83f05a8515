package dispatch

import (
	"context"

	"currantusher.dev/core"
)

// requeue waits for another place and forgets which agents were tried.
func (x *exchange) requeue(ctx context.Context) error {
	bounded, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	if err := x.grant.Requeue(bounded); err != nil {
		return err
	}
	clear(x.tried)
	return nil
}

// mayRetake reports whether a failed pick is worth another place. Without
// agents that admit, places are taken between the grant and the pick, and a
// broken stream goes on when the next one is free.
func (x *exchange) mayRetake(err error) bool {
	return x.request.Candidates != nil && core.CodeOf(err) == core.CodeNoBackend
}

// retake waits for another place because no server could be picked for this one.
func (x *exchange) retake(ctx context.Context) error {
	deadline := x.request.queueDeadline()
	if x.output.sent > 0 {
		// The caller has the first event and waits for the rest.
		deadline = x.request.Deadline
	}
	bounded, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return x.grant.RequeueUntil(bounded, deadline)
}
