package direct

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/eventstream"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/placement"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/wire"
)

// Longest idle time of a pooled connection that a request may use. A server may
// close an idle connection while a request is written. The outcome is then
// unknown, and only a repeatable request can be retried.
const (
	maxIdleRepeatable    = 10 * time.Second
	maxIdleNonRepeatable = 300 * time.Millisecond
)

// Observer receives events about requests to backend servers.
type Observer interface {
	// CheckOpen returns a refusal if the server accepts no requests from this entry. It
	// is called after the connection was made and before the request is written, since
	// the server may have closed while the request waited.
	CheckOpen(server notices.Lifetime) error
	// NoticeReceived reports what an answer of the server announces.
	NoticeReceived(server notices.Lifetime, notice notices.Notice)
	// LimitReceived reports what an answer of the server says about its limit.
	LimitReceived(server notices.Lifetime, observation notices.LimitObservation)
	// Reserve reserves a place for a request at a server, or returns a refusal if the
	// limits of the server permit none now.
	Reserve(server notices.Lifetime) (Reservation, error)
	// AnswerReceived reports two header fields of a server's answer: the version
	// of the weights, or 0, and for how much longer the server stays cold.
	AnswerReceived(server notices.Lifetime, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration)
	// StartAttempt is called after a request was written to a server.
	StartAttempt(Attempt) AttemptObserver
	// AnswerBegan is called when the first data of a stream with a success status was
	// received, or all data of another answer with such a status.
	AnswerBegan(server notices.Lifetime)
	// AnsweredOtherwise is called when a server has ended the answer to a request that it
	// ran, without AnswerBegan: one with another status, or without a body.
	AnsweredOtherwise(server notices.Lifetime)
	// ConnectionEnded is called when the server ended the connection before the answer
	// began.
	ConnectionEnded(server notices.Lifetime, addr string)
	// InvalidHeader reports an answer header whose value is ignored.
	InvalidHeader(server core.InstanceID, header string, err error)
}

// Attempt is a request that was written to a server.
type Attempt struct {
	Server notices.Lifetime
	// ExpectedVersion is the version of the weights without which the server refuses the
	// request, or 0 if it accepts it with any.
	ExpectedVersion fleet.WeightsVersion
	// Recall is nil if the request stays at the server in any case.
	Recall Recall
	// ReportStalled says that the server sends nothing, so that another one is asked while
	// the attempt goes on. It is nil if the request must not be sent again, and may be called
	// more than once.
	ReportStalled func()
}

// Reservation is a place for a request that is about to be sent. Exactly one of its
// methods must be called.
type Reservation interface {
	// Sent is called right before the request is written.
	Sent(now time.Time)
	// Cancel is called if nothing is written.
	Cancel()
}

// AttemptObserver receives the events of one attempt.
type AttemptObserver interface {
	// DataReceived is called after each read of a part of the answer.
	DataReceived()
	// Suspended is called when the answer is not read for a while, until DataReceived.
	Suspended()
	// Completed is called when the answer was read to its end, before Close.
	Completed()
	// Close is called when the attempt ends; it may be called more than once.
	Close()
}

// Request is the caller's request with the parameters that the gateway adds.
type Request struct {
	ID     string
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the request had a body, even an empty one.
	HasBody bool
	Kind    fleet.RouteKind
	// Repeatable requests may run more than once, at up to MaxAttempts servers; 0
	// means no bound. Servers that refused the request do not count.
	Repeatable  bool
	MaxAttempts int
	// Resumable streams can continue at another backend server after the last
	// complete event.
	Resumable bool
	Model     fleet.Model
	Team      core.Team
	// Priority is 0 to 9; 0 is the most urgent.
	Priority int
	// Version returns the version of the weights with which a server must serve
	// an attempt, or 0 for any.
	Version func(server core.InstanceID) fleet.WeightsVersion
}

// Exchange sends one request and writes its answer to the caller. Use it for a
// single call of Dispatcher.Do.
type Exchange struct {
	pool        *upstream.Pool
	headerNames fleet.HeaderNames
	observer    Observer
	request     Request
	writer      http.ResponseWriter

	// answerHead is the response whose header is sent to the caller, and
	// answerLength the length of its complete body.
	answerHead   *http.Response
	answerLength int64
	// lastFailure is the last answer with a server error that was selected, or nil.
	lastFailure *Failure
	// lastEventID is the id of the last complete event that was selected, or "".
	lastEventID string
	// hasEvent is set once an event was selected.
	hasEvent    bool
	firstByteAt time.Time

	// mu guards the fields that several attempts use at a time.
	mu          sync.Mutex
	firstSentAt time.Time
	lastServer  core.InstanceID
	attempts    int
	// refusals counts the attempts that the server provably did not run.
	refusals int
	// openAttempts counts the attempts whose connections are in use.
	openAttempts int
}

// Failure is an answer with a 5xx status from a backend server.
type Failure struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns the Exchange of one request.
func New(pool *upstream.Pool, headerNames fleet.HeaderNames, observer Observer, request Request, writer http.ResponseWriter) *Exchange {
	return &Exchange{pool: pool, headerNames: headerNames, observer: observer, request: request, writer: writer}
}

// Attempts returns the number of attempts to write the request to a backend
// server.
func (e *Exchange) Attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts
}

// FirstSentAt returns when the request was first written to a backend server,
// or the zero time.
func (e *Exchange) FirstSentAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.firstSentAt
}

// LastServer returns the backend server whose answer was selected last, or the one of a
// later attempt.
func (e *Exchange) LastServer() core.InstanceID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastServer
}

// FirstByteAt returns when the answer to the caller began, or the zero time.
func (e *Exchange) FirstByteAt() time.Time { return e.firstByteAt }

// Failure returns the last answer with a server error, or nil.
func (e *Exchange) Failure() *Failure { return e.lastFailure }

// Send implements dispatch.Sender.
func (e *Exchange) Send(ctx context.Context, server placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	maxIdle := maxIdleNonRepeatable
	if e.request.Repeatable {
		maxIdle = maxIdleRepeatable
	}
	lifetime := notices.Lifetime{Server: server.ID, Incarnation: server.Incarnation}
	reservation, err := e.observer.Reserve(lifetime)
	if err != nil {
		return nil, err
	}
	conn, err := e.pool.Get(ctx, server.Addr, maxIdle)
	if err != nil {
		reservation.Cancel()
		return nil, fmt.Errorf("%w: %v", wire.ErrNotConnected, err)
	}
	if err := e.observer.CheckOpen(lifetime); err != nil {
		reservation.Cancel()
		conn.Close()
		return nil, err
	}
	stopCloseOnDone := context.AfterFunc(ctx, conn.Close)
	sentAt := time.Now()
	e.countAttempt(server.ID, sentAt)
	reservation.Sent(sentAt)
	timeLeft := time.Duration(message.DeadlineMillis) * time.Millisecond
	if e.request.Method != http.MethodHead {
		conn.NoteRequest(e.request.ID)
	}
	version := e.request.Version(server.ID)
	if err := conn.Send(e.encodeRequest(server.ID, version, timeLeft)); err != nil {
		stopCloseOnDone()
		conn.Close()
		return nil, core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "writing the request to %s failed", server.ID)
	}
	s := &replyStream{
		exchange: e, conn: conn, server: server.ID, addr: server.Addr, lifetime: lifetime, stopCloseOnDone: stopCloseOnDone,
		sentAt: sentAt, hasher: newHasher(), lastEventID: e.lastEventID, stalled: make(chan struct{}, 1),
	}
	if !e.firstByteAt.IsZero() {
		s.begunHead = e.answerHead
	}
	if s.lastEventID != "" {
		s.continuation = eventstream.NewContinuation(s.lastEventID)
	}
	s.open()
	attempt := Attempt{Server: lifetime, ExpectedVersion: version}
	if s.mayAbort() {
		attempt.Recall = s.abort
	}
	if e.request.Repeatable {
		attempt.ReportStalled = s.reportStalled
	}
	s.attemptObserver = e.observer.StartAttempt(attempt)
	return s, nil
}

func (e *Exchange) countAttempt(server core.InstanceID, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == 0 {
		e.firstSentAt = sentAt
	}
	e.attempts++
	e.lastServer = server
}

func (e *Exchange) countRefusal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals++
}

// maySendAgain reports whether another server may get the request after the current
// attempt.
func (e *Exchange) maySendAgain() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasAttemptsLeft()
}

// hasAttemptsLeft is maySendAgain for callers that hold the mutex.
func (e *Exchange) hasAttemptsLeft() bool {
	return e.request.Repeatable && (e.request.MaxAttempts <= 0 || e.attempts-e.refusals < e.request.MaxAttempts)
}

// Tombstone implements dispatch.Sender. A backend server does not support
// tombstones, so the outcome of a request that was sent stays unknown.
func (e *Exchange) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: core.ExecutionUnknown}, nil
}

// Begin implements dispatch.Sink.
func (e *Exchange) Begin(string, core.Digest) error {
	e.firstByteAt = time.Now()
	header := e.writer.Header()
	copyAnswerHeader(header, e.answerHead.Header)
	if e.request.Kind != fleet.RouteStreaming && e.request.Method != http.MethodHead {
		header.Set("Content-Length", fmt.Sprint(e.answerLength))
	}
	e.writer.WriteHeader(e.answerHead.StatusCode)
	return nil
}

// Write implements dispatch.Sink. Streams are flushed after each write.
func (e *Exchange) Write(part []byte) (int, error) {
	if len(part) == 0 {
		return 0, nil
	}
	n, err := e.writer.Write(part)
	if err != nil || e.request.Kind != fleet.RouteStreaming {
		return n, err
	}
	return n, http.NewResponseController(e.writer).Flush()
}

// WriteFailure writes the backend server's error answer to the caller.
func (e *Exchange) WriteFailure(f *Failure) error {
	header := e.writer.Header()
	copyAnswerHeader(header, f.Header)
	// The time is for the entry's requests to this server, not for the caller's.
	header.Del(notices.RetryAfterHeader)
	header.Set("Content-Length", fmt.Sprint(len(f.Body)))
	e.writer.WriteHeader(f.Status)
	_, err := e.writer.Write(f.Body)
	return err
}
