package direct

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/wire"
)

// Ages of the kept connections that a request may use. A server may close an
// idle connection just as a request is written; the outcome is then unknown,
// which only a repeatable request survives.
const (
	maxIdleRepeatable = 10 * time.Second
	maxIdleOnce       = 300 * time.Millisecond
)

// Observer learns what an exchange sees of backend servers.
type Observer interface {
	// BeforeSend is called before a request is written to a server.
	BeforeSend(server core.InstanceID)
	// AnswerReceived reports the version of the weights that a server's answer
	// names, or 0, and how long the server says it stays cold.
	AnswerReceived(server core.InstanceID, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration)
	// StartAttempt notes a request that was sent to a server. cancel gives up the attempt;
	// it is nil for requests that must not be sent again.
	StartAttempt(server core.InstanceID, cancel func()) AttemptObserver
	// InvalidHeader reports a header of an answer that holds no figure.
	InvalidHeader(server core.InstanceID, header string, err error)
}

// AttemptObserver is told what happens to one attempt.
type AttemptObserver interface {
	// DataReceived is called when a part of the answer came.
	DataReceived()
	Close()
}

// Request is what the caller sent, and what the system adds to it.
type Request struct {
	ID     string
	Method string
	// Target is the path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the request had a body, also an empty one.
	HasBody bool
	Kind    fleet.RouteKind
	// Repeatable requests may run more than once.
	Repeatable bool
	// Resumable streams go on at another backend server after the last event.
	Resumable bool
	Model     fleet.Model
	Team      core.Team
	// Priority is 0 to 9; 0 is the most urgent.
	Priority int
	// StreamIdleTimeout bounds the pause before the next event of a resumable stream.
	StreamIdleTimeout time.Duration
	// Version returns the only version of the weights with which a server may
	// serve an attempt, or 0 for any.
	Version func(server core.InstanceID) fleet.WeightsVersion
}

// Exchange is one request's transport. Use it for one call of Dispatcher.Do.
type Exchange struct {
	pool     *upstream.Pool
	names    fleet.HeaderNames
	observer Observer
	request  Request
	writer   http.ResponseWriter

	// answer is the head of the answer in use, and length what was read of its
	// body.
	answer *http.Response
	length int64
	// failure is the last answer by which a server itself failed the request.
	failure *Failure
	// lastEvent is the id of the last event that was handed on.
	lastEvent string
	attempts  int
	sent      time.Time
	began     time.Time
	server    core.InstanceID
}

// Failure is a backend server's own answer that it failed.
type Failure struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns the exchange of one request.
func New(pool *upstream.Pool, names fleet.HeaderNames, observer Observer, request Request, writer http.ResponseWriter) *Exchange {
	return &Exchange{pool: pool, names: names, observer: observer, request: request, writer: writer}
}

// Attempts returns how often the request was written to a backend server.
func (e *Exchange) Attempts() int { return e.attempts }

// FirstSentAt returns when the request was first written to a backend server, or the
// zero time.
func (e *Exchange) FirstSentAt() time.Time { return e.sent }

// LastServer returns the backend server that the last attempt went to.
func (e *Exchange) LastServer() core.InstanceID { return e.server }

// FirstByteAt returns when the caller got the first byte, or the zero time.
func (e *Exchange) FirstByteAt() time.Time { return e.began }

// Failure returns the last failure that a backend server answered, or nil.
func (e *Exchange) Failure() *Failure { return e.failure }

// Send implements dispatch.Sender.
func (e *Exchange) Send(ctx context.Context, server placement.Candidate, message wire.Dispatch) (dispatch.ReplyStream, error) {
	maxIdle := maxIdleOnce
	if e.request.Repeatable {
		maxIdle = maxIdleRepeatable
	}
	conn, err := e.pool.Get(ctx, server.Addr, maxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", wire.ErrNotConnected, err)
	}
	release := context.AfterFunc(ctx, conn.Close)
	if e.attempts == 0 {
		e.sent = time.Now()
	}
	e.attempts++
	e.server = server.ID
	e.observer.BeforeSend(server.ID)
	left := time.Duration(message.DeadlineMillis) * time.Millisecond
	if err := conn.Send(e.encode(server.ID, left)); err != nil {
		release()
		conn.Close()
		return nil, core.Wrap(err, core.CodeIncomplete, core.ExecutionUnknown, "the request may not have reached %s", server.ID)
	}
	var cancel func()
	if e.request.Repeatable {
		cancel = conn.Close
	}
	line := e.observer.StartAttempt(server.ID, cancel)
	return &stream{exchange: e, conn: conn, server: server.ID, release: release, line: line, digest: newDigest()}, nil
}

// Tombstone implements dispatch.Sender. A backend server can't bar a request
// that it was sent, so that its outcome stays unknown.
func (e *Exchange) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: core.ExecutionUnknown}, nil
}

// Begin implements dispatch.Sink.
func (e *Exchange) Begin(string, core.Digest) error {
	e.began = time.Now()
	header := e.writer.Header()
	copyAnswerHeader(header, e.answer.Header)
	if e.request.Kind != fleet.RouteStreaming && e.request.Method != http.MethodHead {
		header.Set("Content-Length", fmt.Sprint(e.length))
	}
	e.writer.WriteHeader(e.answer.StatusCode)
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

// WriteFailure hands on a backend server's own failure.
func (e *Exchange) WriteFailure(f *Failure) error {
	header := e.writer.Header()
	copyAnswerHeader(header, f.Header)
	header.Set("Content-Length", fmt.Sprint(len(f.Body)))
	e.writer.WriteHeader(f.Status)
	_, err := e.writer.Write(f.Body)
	return err
}
