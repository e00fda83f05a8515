package dispatch

import (
	"context"
	"net/http"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
	"currantusher.dev/requests/fair"
)

// queueRequest returns the request as the queue sees it.
func (r *Request) queueRequest() fair.Request {
	return fair.Request{
		Team:           r.Team,
		Priority:       r.Priority,
		Deadline:       r.queueDeadline(),
		CallerDeadline: r.Deadline,
		StartBy:        r.StartBy,
		Late:           r.ObjectiveMissed,
		Cost:           r.Cost,
	}
}

// refuseClosed returns a refusal if all servers that could serve the request have
// announced that they accept none.
func (d *Dispatcher) refuseClosed(request Request) error {
	if request.Closure == nil {
		return nil
	}
	if closure := request.Closure(); closure != nil {
		return d.queue(request).Refuse(*closure, request.queueRequest())
	}
	return nil
}

// waitForOpening waits until the first server opens if all are closed and a broken
// stream can then continue, also at a server that was tried before. It reports whether
// it waited. Other requests are refused instead, so that their callers decide whether
// to wait.
func (x *execution) waitForOpening(ctx context.Context) bool {
	if x.request.Closure == nil || x.output.sentBytes == 0 {
		return false
	}
	closure := x.request.Closure()
	if closure == nil || closure.OpensAt.IsZero() || !closure.OpensAt.Before(x.request.Deadline) {
		return false
	}
	clear(x.triedAgents)
	pause.For(ctx, closure.OpensAt.Sub(x.config.Now()))
	return ctx.Err() == nil
}

// withRetryAfter adds the retry delay to a refusal, unless retrying the same
// request cannot succeed. While all servers are closed, no refusal names a time before
// the first one opens.
func (x *execution) withRetryAfter(err error) error {
	code := core.CodeOf(err)
	if core.ExecutionOf(err) != core.ExecutionNotRun || code.Info().HTTPStatus < http.StatusTooManyRequests || code == core.CodeCancelled {
		return err
	}
	if core.RetryAfterOf(err) > 0 && (code == core.CodeServerClosed || code == core.CodeServerLimited) {
		return err
	}
	if closedErr := x.refuseClosed(x.request); closedErr != nil {
		return core.NewRefusal(code, core.RetryAfterOf(closedErr), "%s", core.DetailOf(err))
	}
	if core.RetryAfterOf(err) > 0 {
		return err
	}
	return core.NewRefusal(code, x.queue(x.request).RetryAfter(x.request.Team), "%s", core.DetailOf(err))
}
