// Package dispatch runs a request at an entry, from the queue to the final
// answer. It claims at-most-once requests, picks an agent, verifies that the
// answer is complete, retries attempts that are safe to repeat, resumes broken
// streams, and reports whether the work ran, did not run, or may have run.
package dispatch

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/membudget"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// Defaults of Config.
const (
	DefaultTombstoneTimeout = 200 * time.Millisecond
	DefaultReleaseTimeout   = 200 * time.Millisecond
	DefaultMaxAnswerBytes   = 16 << 20
	DefaultMaxAttempts      = 4
)

// DefaultHandoverTimeout is the default of Request.HandoverTimeout.
const DefaultHandoverTimeout = 200 * time.Millisecond

// tombstoneReserveDivisor limits the time reserved for a tombstone to this
// fraction (1/n) of the time left before the deadline.
const tombstoneReserveDivisor = 5

// ErrRecalled is wrapped by the error of Recv when the entry has closed the connection
// because the server must not begin the request any more.
var ErrRecalled = errors.New("the request was recalled from the server")

// ReplyStream receives the frames of one attempt. Recv returns an error when
// the context passed to Send ends.
//
// Several attempts of a request may be open at a time, each with one Recv in progress.
// Calls of Select never overlap, and none overlaps a Recv of the same stream.
type ReplyStream interface {
	Recv() (wire.AnswerFrame, error)
	// Cancel aborts the call immediately and closes the stream to the agent.
	Cancel()
	// Select is called before what Recv returned is passed on to the caller. An attempt
	// that is sent later resumes the stream after the last frame that was selected.
	Select()
	// Suspend is called when the stream is not read for a while.
	Suspend()
	// Stalled receives a value when the agent is found to have stopped sending. A nil
	// channel means that nothing observes the agent.
	Stalled() <-chan struct{}
}

// Unobserved implements the methods of ReplyStream for streams whose agent nothing
// observes.
type Unobserved struct{}

// Select implements ReplyStream.
func (Unobserved) Select() {}

// Suspend implements ReplyStream.
func (Unobserved) Suspend() {}

// Stalled implements ReplyStream.
func (Unobserved) Stalled() <-chan struct{} { return nil }

// Sender sends messages to agents. An error of Send that wraps
// wire.ErrNotConnected means that nothing was sent. One that carries
// core.ExecutionNotRun means that nothing was sent because the agent has been closed
// since it was picked; another one is then picked.
type Sender interface {
	Send(ctx context.Context, agent placement.Candidate, message wire.Dispatch) (ReplyStream, error)
	Tombstone(ctx context.Context, agent placement.Candidate, message wire.Tombstone) (wire.TombstoneReply, error)
}

// Sink writes the answer to the caller.
type Sink interface {
	// Begin is called once, before the first Write.
	Begin(contentType string, weights core.Digest) error
	// Write sends the next bytes of the answer to the caller.
	Write(p []byte) (int, error)
}

// Ledger stores the claims and results of at-most-once requests.
type Ledger interface {
	// Ready returns the error with which a claim would be refused immediately, or
	// nil.
	Ready() error
	Claim(ctx context.Context, key ledger.Key, bodyDigest core.Digest, attemptID string) (ledger.Claim, error)
	Finish(claim ledger.Claim, result ledger.Result) error
	Release(ctx context.Context, claim ledger.Claim) error
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	// Attempts generates attempt ids.
	Attempts *attempt.Generator
	// Queue returns the queue of a pool.
	Queue func(core.PoolName) *fair.Queue
	// Placer returns the placer of a pool.
	Placer func(core.PoolName) *placement.Placer
	// Candidates returns the entry's current view of the agents of a pool.
	Candidates func(core.PoolName) []placement.Candidate
	Ledger     Ledger
	Sender     Sender
	// TombstoneTimeout bounds the wait for the reply to a tombstone. Up to the
	// same time is reserved for it before a request's deadline.
	TombstoneTimeout time.Duration
	// ReleaseTimeout bounds the wait for the release of a claim.
	ReleaseTimeout time.Duration
	// StartTimeout is the time without the first frame of an attempt of a repeatable
	// request after which another agent is asked as well; 0 means never.
	// Request.StartTimeout overrides it.
	StartTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is buffered until it is verified.
	MaxAnswerBytes int
	// Memory is charged for buffered answers; nil means an own budget.
	Memory *membudget.Budget
	// MaxAttempts bounds the agents at which one request may have run. Dispatches that
	// provably did not run do not count, and neither does one to an agent whose earlier
	// attempt was abandoned.
	MaxAttempts int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.TombstoneTimeout <= 0 {
		c.TombstoneTimeout = DefaultTombstoneTimeout
	}
	if c.ReleaseTimeout <= 0 {
		c.ReleaseTimeout = DefaultReleaseTimeout
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.Memory == nil {
		c.Memory = membudget.New(maxBufferedTotalBytes)
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Request is one caller's request.
type Request struct {
	ID string
	// CloseCaller, if set, ends a write of the answer to a caller that does not read, for
	// lack of memory. It must not block.
	CloseCaller func()
	Team        core.Team
	Route       core.RouteName
	Pool        core.PoolName
	Weights     core.Digest
	// ChooseWeights, if set, replaces Weights before each attempt until the first
	// byte of the answer is sent to the caller, so that a queued request uses the
	// pool's new version after a rollout.
	ChooseWeights func() core.Digest
	Revision      core.Revision
	Priority      int
	// Deadline is the time by which the caller must have the final answer.
	Deadline time.Time
	// MaxTokens bounds the tokens to generate; 0 for services without a model.
	MaxTokens int
	// Prefix is a hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// AtMostOnce means that the request must not run twice. Such requests carry
	// the caller's idempotency Key unless they are Unclaimed.
	AtMostOnce bool
	Key        string
	Stream     bool
	Path       string
	Body       []byte

	// StartBy is the latest time at which the request can leave the queue and
	// still meet its latency objective; zero means no objective.
	// ObjectiveMissed means that the objective was missed before the request
	// reached the queue.
	StartBy         time.Time
	ObjectiveMissed bool
	// Cost is the amount charged to the team for a slot; see fair.Request.
	Cost int
	// ExpectedDuration is the expected time to answer the request; 0 means
	// unknown.
	ExpectedDuration time.Duration
	// FirstByteDeadline is the time by which the caller expects the first byte;
	// zero means Deadline.
	FirstByteDeadline time.Time

	// Unclaimed marks an at-most-once request without a Key and a claim: each
	// retry by the caller counts as a separate request. An unclaimed stream is
	// cancelled when the caller disconnects.
	Unclaimed bool
	// CanResume, if set, reports whether the sender can continue the stream after the data
	// that was passed on.
	CanResume func() bool
	// PauseStart returns when a server stops accepting requests for a short time,
	// or the zero time when no pause is announced. Resumable streams are then
	// handed over to another server; if PauseStart is nil, they finish at the
	// server that pauses.
	PauseStart func(core.InstanceID) time.Time
	// HandoverTimeout bounds the time for which a handover holds up the stream until
	// the target sends its first data; 0 means DefaultHandoverTimeout.
	HandoverTimeout time.Duration
	// Trace receives the decisions on the request; nil means no tracing.
	Trace Trace
	// Sender, if set, overrides Config.Sender for this request.
	Sender Sender
	// Candidates, if set, overrides Config.Candidates for this request.
	Candidates func() []placement.Candidate
	// Closure, if set, returns the closure of all servers that could serve the request,
	// or nil. The request is then refused immediately.
	Closure func() *fair.Closure
	// Barred, if set, returns why no server may get the request any more, or nil.
	Barred func() error
	// MaxAttempts overrides Config.MaxAttempts when above 0.
	MaxAttempts int
	// StartTimeout overrides Config.StartTimeout when above 0.
	StartTimeout time.Duration
	// StallTimeout is the time without data of a stream at a stalled agent after which
	// another agent is asked to continue it, and IdleTimeout the one at any agent; 0
	// means that the stall alone decides, or that there is no such timeout.
	StallTimeout, IdleTimeout time.Duration
	// GiveUpAt is the time, shortly before the caller leaves, from which a repeatable
	// stream without data ends if all servers that have it are silent, one of them for
	// GiveUpSilence. Silence returns for how long a server has sent nothing on any request,
	// or 0 if that is not unusual; nil means that the stream does not end sooner.
	GiveUpAt      time.Time
	GiveUpSilence time.Duration
	Silence       func(core.InstanceID) time.Duration
}

// queueDeadline returns the time until which the request may wait in the queue.
func (r *Request) queueDeadline() time.Time {
	if !r.FirstByteDeadline.IsZero() && r.FirstByteDeadline.Before(r.Deadline) {
		return r.FirstByteDeadline
	}
	return r.Deadline
}

func (r *Request) handoverTimeout() time.Duration {
	if r.HandoverTimeout > 0 {
		return r.HandoverTimeout
	}
	return DefaultHandoverTimeout
}

// needsClaim reports whether the request must be claimed in the ledger before
// it is dispatched.
func (r *Request) needsClaim() bool { return r.AtMostOnce && !r.Unclaimed }

// outlivesCaller reports whether the work continues after the caller
// disconnects.
func (r *Request) outlivesCaller() bool { return r.AtMostOnce && !(r.Unclaimed && r.Stream) }

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	config Config
	// disabledGuard names the guard to disable. Tests set it to show that the
	// matching invariant check detects the fault.
	disabledGuard guard
}

// guard names a safety check of the dispatcher.
type guard uint8

const (
	guardNone guard = iota
	guardAnswer
	guardRefusal
	guardClaim
)

// New returns a Dispatcher.
func New(config Config) *Dispatcher {
	config.applyDefaults()
	return &Dispatcher{config: config}
}

// Do runs one request and writes its answer to sink. A nil error means that
// the complete answer was written. Any other error carries a result code,
// whether the work ran and, for refusals, the time after which to retry.
func (d *Dispatcher) Do(ctx context.Context, request Request, sink Sink) error {
	if request.Trace == nil {
		request.Trace = noTrace{}
	}
	if !d.config.Now().Before(request.Deadline) {
		return core.NewRefusal(core.CodeDeadlineShort, d.queue(request).RetryAfter(request.Team), "the deadline has passed")
	}
	if request.needsClaim() {
		if err := d.config.Ledger.Ready(); err != nil {
			return err
		}
	}
	if err := d.refuseClosed(request); err != nil {
		return err
	}
	grant, err := d.queue(request).Acquire(ctx, request.queueRequest())
	if err != nil {
		return err
	}
	x := newExecution(d, request, sink, grant)
	err = x.run(ctx)
	x.output.releaseBuffer()
	grant.Release(x.mayHaveRun)
	return x.verifyInvariants(err)
}

func (d *Dispatcher) queue(request Request) *fair.Queue {
	return d.config.Queue(request.Pool)
}
