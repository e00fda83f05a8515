package direct

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/eventstream"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/wire"
)

const (
	readBufferBytes = 8 << 10
	// maxFailureBytes bounds the body of an error answer that is kept for the
	// caller.
	maxFailureBytes = 64 << 10
)

// ErrBodyTooLarge means that the body of an error answer exceeded maxFailureBytes.
var ErrBodyTooLarge = errors.New("the body of the error answer is too large")

func newHasher() *blake3.Hasher { return blake3.New() }

// replyStream converts the HTTP answer of one attempt into frames. It implements
// dispatch.ReplyStream.
type replyStream struct {
	exchange *Exchange
	conn     *upstream.Conn
	server   core.InstanceID
	addr     string
	// lifetime is the server's process as listed when the request was sent.
	lifetime notices.Lifetime
	// stopCloseOnDone stops closing the connection when the context ends. It
	// returns false if the connection is already being closed.
	stopCloseOnDone func() bool
	attemptObserver AttemptObserver
	// lastEventID is the id of the last complete event that Recv returned, or of the one
	// after which the stream was resumed.
	lastEventID string
	// begunHead is the head that the caller had received when the attempt was sent, or nil.
	begunHead *http.Response
	// stalled holds a value after reportStalled.
	stalled chan struct{}
	// failure is the answer if it is a server error, or nil.
	failure *Failure
	// isHandover is set if another attempt was open when this one was sent.
	isHandover bool
	// isAborted is set by abort.
	isAborted bool
	// hasData is set once a part of the body was read before abort was called.
	hasData bool
	// isClosed is set once the connection is not in use any more.
	isClosed bool

	response *http.Response
	splitter eventstream.Splitter
	// hasEvent is set once Recv has returned an event.
	hasEvent bool
	// continuation is set if the answer continues a stream after an event.
	continuation *eventstream.Continuation
	buffer       []byte
	// sentAt is when the request was written.
	sentAt       time.Time
	nextSequence uint64
	length       int64
	hasher       *blake3.Hasher
	scanner      secondAnswerScanner
	// begun is set by reportBegun.
	begun bool
	// bodyComplete is set when the body was read to its end.
	bodyComplete bool
}

// Recv implements dispatch.ReplyStream.
func (s *replyStream) Recv() (wire.AnswerFrame, error) {
	frame, err := s.receive()
	switch {
	case err != nil && !s.begun && isEndedByServer(err):
		s.exchange.observer.ConnectionEnded(s.lifetime, s.addr)
	case frame.Data != nil && s.isEventStream():
		s.reportBegun()
	}
	if err != nil && s.wasAborted() {
		err = fmt.Errorf("%w: %w", dispatch.ErrRecalled, err)
	}
	return frame, err
}

// Select implements dispatch.ReplyStream.
func (s *replyStream) Select() {
	e := s.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstByteAt.IsZero() {
		e.answerHead = s.response
	}
	if s.failure != nil {
		e.lastFailure = s.failure
	}
	e.lastEventID = s.lastEventID
	e.hasEvent = e.hasEvent || s.hasEvent
	e.answerLength = s.length
	e.lastServer = s.server
}

// Suspend implements dispatch.ReplyStream.
func (s *replyStream) Suspend() { s.attemptObserver.Suspended() }

// Stalled implements dispatch.ReplyStream.
func (s *replyStream) Stalled() <-chan struct{} { return s.stalled }

// reportStalled reports that the server sends nothing.
func (s *replyStream) reportStalled() {
	select {
	case s.stalled <- struct{}{}:
	default:
	}
}

func (s *replyStream) receive() (wire.AnswerFrame, error) {
	if s.response == nil {
		return s.readHead()
	}
	for !s.bodyComplete {
		part, err := s.readPart()
		if err != nil {
			return wire.AnswerFrame{}, err
		}
		if len(part) > 0 {
			return s.dataFrame(part), nil
		}
	}
	return s.endFrame()
}

// Cancel implements dispatch.ReplyStream. After the end frame it does nothing: another
// request may use the connection.
func (s *replyStream) Cancel() {
	if !s.markClosed() {
		return
	}
	s.attemptObserver.Close()
	s.stopCloseOnDone()
	s.conn.Close()
}

// open counts the attempt as open.
func (s *replyStream) open() {
	e := s.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	s.isHandover = e.openAttempts > 0
	e.openAttempts++
}

// markClosed reports false if the connection was not in use any more.
func (s *replyStream) markClosed() bool {
	e := s.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.isClosed = true
	if !s.isAborted {
		e.openAttempts--
	}
	return true
}

// readHead reads the status and headers of the answer. It returns the header
// frame, or the end frame of a refusal or a server error.
func (s *replyStream) readHead() (wire.AnswerFrame, error) {
	response, err := s.receiveAnswer()
	if err != nil {
		return wire.AnswerFrame{}, err
	}
	s.attemptObserver.DataReceived()
	s.response = response
	if err := s.checkRequestID(); err != nil {
		return wire.AnswerFrame{}, err
	}
	s.reportAnswer()
	notice := s.readNotice()
	switch {
	case s.isNotRun():
		return s.endRefused(notice)
	case response.StatusCode >= http.StatusInternalServerError:
		return s.endFailed()
	}
	if err := s.checkAnswerHeader(); err != nil {
		return wire.AnswerFrame{}, err
	}
	if err := s.checkContinuation(); err != nil {
		return wire.AnswerFrame{}, err
	}
	return wire.AnswerFrame{Header: &wire.AnswerHeader{
		RequestID:   s.exchange.request.ID,
		ContentType: response.Header.Get("Content-Type"),
	}}, nil
}

// checkRequestID rejects an answer that may belong to another request. A refusal may omit
// the request id if the connection has carried no other request.
func (s *replyStream) checkRequestID() error {
	got := s.response.Header.Get(s.exchange.headerNames.RequestID)
	if got == s.exchange.request.ID || got == "" && s.isNotRun() && s.conn.IsFirstRequest() {
		return nil
	}
	return fmt.Errorf("%s answered request %q on the connection of %q", s.server, got, s.exchange.request.ID)
}

func (s *replyStream) isNotRun() bool {
	return s.response.StatusCode == http.StatusMisdirectedRequest || s.response.Header.Get(s.exchange.headerNames.NotExecuted) != ""
}

// endRefused returns the end frame of an attempt that the backend server did not
// run.
func (s *replyStream) endRefused(notice notices.Notice) (wire.AnswerFrame, error) {
	s.exchange.countRefusal()
	// A copy of the refusal that arrives later could not be told from the answer to the same
	// request if that were sent again on this connection.
	s.Cancel()
	// The entry never exceeds a server's slots. A refusal therefore means that the
	// server is loading weights, is leaving, or is not the server that the request was
	// meant for, unless it says that it wants a pause.
	code, detail := core.CodeEngineNotServing, fmt.Sprintf("%s answered %d", s.server, s.response.StatusCode)
	if notice.Pause > 0 {
		code = core.CodeServerClosed
		detail += fmt.Sprintf(" and wants no requests for %v", notice.Pause)
	}
	return wire.AnswerFrame{End: &wire.AnswerEnd{
		RequestID: s.exchange.request.ID,
		Code:      code,
		Execution: core.ExecutionNotRun,
		Detail:    detail,
	}}, nil
}

// endFailed returns the end frame of an attempt that the backend server ran and
// answered with a server error.
func (s *replyStream) endFailed() (wire.AnswerFrame, error) {
	body, err := io.ReadAll(io.LimitReader(s.response.Body, maxFailureBytes+1))
	if err != nil || len(body) > maxFailureBytes {
		return wire.AnswerFrame{}, fmt.Errorf("%s answered %d with an incomplete or too large body", s.server, s.response.StatusCode)
	}
	s.reportOtherAnswer()
	s.releaseConn()
	s.failure = &Failure{Status: s.response.StatusCode, Header: s.response.Header, Body: body}
	return wire.AnswerFrame{End: &wire.AnswerEnd{
		RequestID: s.exchange.request.ID,
		Code:      core.CodeEngineFailed,
		Execution: core.ExecutionRan,
		Detail:    fmt.Sprintf("%s answered %d", s.server, s.response.StatusCode),
	}}, nil
}

// checkAnswerHeader rejects answers that do not come from the backend server
// itself: they have a content encoding, or lack the signature.
func (s *replyStream) checkAnswerHeader() error {
	header := s.response.Header
	if encoding := strings.Join(header.Values("Content-Encoding"), ""); encoding != "" {
		return fmt.Errorf("%s answered with content encoding %q, want none", s.server, encoding)
	}
	if isSuccess(s.response) && header.Get(s.exchange.headerNames.Signature) == "" {
		return fmt.Errorf("%s answered %d without the signature header", s.server, s.response.StatusCode)
	}
	return nil
}

// readPart returns the next bytes to forward. An empty result means that more
// must be read, or that the body is complete.
func (s *replyStream) readPart() ([]byte, error) {
	if s.buffer == nil {
		s.buffer = make([]byte, readBufferBytes)
	}
	n, err := s.response.Body.Read(s.buffer)
	s.bodyComplete = errors.Is(err, io.EOF)
	if err != nil && !s.bodyComplete {
		return nil, fmt.Errorf("reading the answer of %s failed: %w", s.server, err)
	}
	if n > 0 && !s.markData() {
		return nil, fmt.Errorf("the answer of %s began after the recall", s.server)
	}
	s.attemptObserver.DataReceived()
	if !s.isEventStream() {
		s.scanner.scan(s.buffer[:n])
		return s.buffer[:n], s.checkLength(n)
	}
	events, err := s.acceptEvents(s.buffer[:n])
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", s.server, err)
	}
	if !s.exchange.request.Resumable {
		return events, nil
	}
	id, err := eventstream.LastID(events)
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", s.server, err)
	}
	if id != "" {
		s.lastEventID = id
	}
	return events, nil
}

// checkLength bounds the body of a client error on a streaming route. Other answers that
// are no event streams are buffered by the dispatcher, which bounds them.
func (s *replyStream) checkLength(next int) error {
	if s.exchange.request.Kind == fleet.RouteStreaming && s.length+int64(next) > maxFailureBytes {
		return fmt.Errorf("answer %d of %s: %w", s.response.StatusCode, s.server, ErrBodyTooLarge)
	}
	return nil
}

// isEventStream reports whether the body is a series of events.
func (s *replyStream) isEventStream() bool {
	return s.exchange.request.Kind == fleet.RouteStreaming && isSuccess(s.response)
}

func isSuccess(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}

func (s *replyStream) dataFrame(part []byte) wire.AnswerFrame {
	s.length += int64(len(part))
	_, _ = s.hasher.Write(part)
	frame := &wire.AnswerData{Sequence: s.nextSequence, Bytes: part, EndOffset: s.length}
	s.nextSequence++
	return wire.AnswerFrame{Data: frame}
}

// endFrame returns the end frame of an answer that was read completely.
func (s *replyStream) endFrame() (wire.AnswerFrame, error) {
	if s.splitter.PendingBytes() > 0 {
		return wire.AnswerFrame{}, fmt.Errorf("answer of %s ended within an event: %w", s.server, io.ErrUnexpectedEOF)
	}
	if s.isEventStream() && !s.hasEvent && upstream.EndsWithConnection(s.response) {
		return wire.AnswerFrame{}, fmt.Errorf("answer of %s ended before its first event: %w", s.server, io.ErrUnexpectedEOF)
	}
	if err := s.checkSecondAnswer(); err != nil {
		return wire.AnswerFrame{}, err
	}
	if isSuccess(s.response) && s.length > 0 {
		s.reportBegun()
	}
	s.reportOtherAnswer()
	s.attemptObserver.Completed()
	s.releaseConn()
	end := &wire.AnswerEnd{RequestID: s.exchange.request.ID, Code: core.CodeOK, Execution: core.ExecutionRan, Length: s.length}
	copy(end.Checksum[:], s.hasher.Sum(nil))
	return wire.AnswerFrame{End: end}, nil
}

// releaseConn returns the connection to the pool, or closes it if the attempt's
// context has ended.
func (s *replyStream) releaseConn() {
	s.markClosed()
	s.attemptObserver.Close()
	if s.stopCloseOnDone() {
		s.conn.Release(s.response)
		return
	}
	s.conn.Close()
}
