package gateway

import (
	"context"
	"errors"

	"currantusher.dev/core"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// errStopping ends requests whose answer has not begun when this entry is about to stop.
var errStopping = errors.New("this entry stops")

// unlessStopped returns a context for a request that ends shortly before this entry stops,
// unless the answer has begun. The request must use the returned sink. release must be
// called when the request has ended.
func (g *Gateway) unlessStopped(ctx context.Context, sink dispatch.Sink, isStream bool) (stoppable context.Context, guarded dispatch.Sink, release func()) {
	stoppable, cancel := context.WithCancelCause(ctx)
	keep := context.AfterFunc(g.waitsEnd, func() { cancel(errStopping) })
	release = func() {
		keep()
		cancel(nil)
	}
	return stoppable, stoppableSink{Sink: sink, isStream: isStream, keep: keep}, release
}

// stoppableSink is the sink of a request that may be stopped until its answer begins.
type stoppableSink struct {
	dispatch.Sink
	isStream bool
	// keep reports whether the request is not stopped. It is not stopped afterwards.
	keep func() bool
}

// Begin implements dispatch.Sink. Only streams can still be refused: other answers are
// whole when they begin.
func (s stoppableSink) Begin(contentType string, weights core.Digest) error {
	if !s.keep() && s.isStream {
		return errStopping
	}
	return s.Sink.Begin(contentType, weights)
}

// stoppableSender ends the attempts of a request that is stopped. Dispatch alone does not
// end them if the request outlives its caller.
type stoppableSender struct {
	dispatch.Sender
	// stoppable is the context of the request.
	stoppable context.Context
}

// Send implements dispatch.Sender.
func (s stoppableSender) Send(ctx context.Context, server placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(s.stoppable, func() {
		if context.Cause(s.stoppable) == errStopping {
			cancel()
		}
	})
	stream, err := s.Sender.Send(ctx, server, message)
	if err != nil {
		cancel()
	}
	return stream, err
}

// stoppedError returns the error for the caller of a request that was stopped.
func stoppedError(err error) error {
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		return core.NewRefusal(core.CodeDraining, 0, "%v", errStopping)
	}
	return core.Wrap(err, core.CodeTimeout, core.ExecutionUnknown, "%v", errStopping)
}
