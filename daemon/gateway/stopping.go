package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

var (
	// errStopping ends requests that are in progress when this entry is about to stop.
	errStopping = errors.New("this entry stops")
	// errTooLate ends requests that no server has when it is too late to send them.
	errTooLate = errors.New("this entry stops before the request could be answered")
)

// stoppable is a request that ends before this entry stops. It passes on the attempts and
// the answer of an exchange.
type stoppable struct {
	*direct.Exchange
	gateway  *Gateway
	call     *call
	isStream bool
	writer   http.ResponseWriter

	// ctx is the context of the request. Its cause is errStopping or errTooLate if it was
	// stopped.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// keep reports whether the request was not stopped before its answer began. It is
	// not stopped afterwards until streams end.
	keep     func() bool
	releases []func() bool

	mu sync.Mutex
	// openAttempts counts the attempts whose servers may still answer.
	openAttempts int
	isLate       bool
	hasBegun     bool
}

// newStoppable returns the request of a call. release must be called when it has ended.
func (g *Gateway) newStoppable(ctx context.Context, c *call, exchange *direct.Exchange, w http.ResponseWriter) *stoppable {
	s := &stoppable{Exchange: exchange, gateway: g, call: c, isStream: c.route.Kind == fleet.RouteStreaming, writer: w}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	end := func() { s.cancel(errStopping) }
	s.keep = context.AfterFunc(g.waitsEnd, end)
	stopStreamEnd := context.AfterFunc(g.streamsEnd, end)
	s.releases = []func() bool{g.atLastStart(c, s.setLate), s.keep, stopStreamEnd}
	return s
}

func (s *stoppable) release() {
	for _, release := range s.releases {
		release()
	}
	s.cancel(nil)
}

// stopCause returns why the request was stopped, or nil.
func (s *stoppable) stopCause() error {
	if cause := context.Cause(s.ctx); cause == errStopping || cause == errTooLate {
		return cause
	}
	return nil
}

// setLate ends the request unless a server has it.
func (s *stoppable) setLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLate = true
	s.endIfIdle()
}

// endIfIdle ends a late request that no server has. The caller holds the lock.
func (s *stoppable) endIfIdle() {
	if s.isLate && s.openAttempts == 0 && !s.hasBegun {
		s.cancel(errTooLate)
	}
}

// Begin implements dispatch.Sink. Only streams can still be refused: other answers are
// whole when they begin.
func (s *stoppable) Begin(contentType string, weights core.Digest) error {
	if !s.keep() && s.isStream {
		// The function that does this may not have run yet.
		s.cancel(errStopping)
		return errStopping
	}
	s.mu.Lock()
	s.hasBegun = true
	s.mu.Unlock()
	s.gateway.closeIfLeaving(s.writer)
	return s.Exchange.Begin(contentType, weights)
}

// Send implements dispatch.Sender. The attempt ends when the request is stopped: dispatch
// alone does not end it if the request outlives its caller.
func (s *stoppable) Send(ctx context.Context, server placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	if err := s.startAttempt(); err != nil {
		return nil, err
	}
	if schedule := s.gateway.schedule.Load(); schedule != nil {
		left := time.Until(schedule.End(s.isStream))
		message.DeadlineMillis = max(min(message.DeadlineMillis, left.Milliseconds()), 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(s.ctx, func() {
		if s.stopCause() != nil {
			cancel()
		}
	})
	stream, err := s.Exchange.Send(ctx, server, message)
	if err != nil {
		cancel()
		s.endAttempt()
		return nil, err
	}
	return &stoppableStream{ReplyStream: stream, request: s}, nil
}

// startAttempt counts an attempt as open, or returns a refusal if it is too late for the
// first one that is open.
func (s *stoppable) startAttempt() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLate = s.isLate || s.gateway.isTooLate(s.call)
	s.endIfIdle()
	if s.ctx.Err() != nil {
		return core.NewRefusal(core.CodeDraining, 0, "%v", context.Cause(s.ctx))
	}
	s.openAttempts++
	return nil
}

func (s *stoppable) endAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openAttempts--
	s.endIfIdle()
}

// stoppableStream tells its request when the server will not answer any more.
type stoppableStream struct {
	dispatch.ReplyStream
	request *stoppable
	ended   sync.Once
}

// Recv implements dispatch.ReplyStream.
func (s *stoppableStream) Recv() (wire.AnswerFrame, error) {
	frame, err := s.ReplyStream.Recv()
	switch {
	case err != nil, frame.End != nil && frame.End.Code != core.CodeOK:
		s.ended.Do(s.request.endAttempt)
	case frame.End != nil:
		// The attempt stays open until its answer has begun.
		s.ended.Do(func() {})
	}
	return frame, err
}

// Cancel implements dispatch.ReplyStream.
func (s *stoppableStream) Cancel() {
	s.ReplyStream.Cancel()
	s.ended.Do(s.request.endAttempt)
}

// stoppedError returns the error for the caller of a request that was stopped because of
// cause before its answer began. An answer of the server with an error remains.
func stoppedError(err, cause error) error {
	switch {
	case core.CodeOf(err) == core.CodeEngineFailed:
		return err
	case core.ExecutionOf(err) == core.ExecutionNotRun:
		return core.NewRefusal(core.CodeDraining, 0, "%v", cause)
	default:
		return core.Wrap(err, core.CodeTimeout, core.ExecutionUnknown, "%v", cause)
	}
}
