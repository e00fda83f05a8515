// Package dispatch carries one request at an entry from the queue to its final
// answer: it claims at-most-once requests, picks an agent, checks that the
// answer is whole, retries what provably did not run, resumes broken streams
// and says truthfully what happened to the work.
package dispatch

import (
	"context"
	"time"

	"currantusher.dev/core"
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

// reserveDivisor bounds the part of a deadline that is kept for a tombstone.
const reserveDivisor = 5

// ReplyStream receives the frames of one attempt. Recv ends with an error when
// the context given to Send ends.
type ReplyStream interface {
	Recv() (wire.AnswerFrame, error)
	// Cancel ends the call at once; the agent sees its stream end.
	Cancel()
}

// Sender reaches agents. Errors of Send that wrap wire.ErrNotConnected mean
// that nothing was sent.
type Sender interface {
	Send(ctx context.Context, agent placement.Candidate, message wire.Dispatch) (ReplyStream, error)
	Tombstone(ctx context.Context, agent placement.Candidate, message wire.Tombstone) (wire.TombstoneReply, error)
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin comes once, before the first Write.
	Begin(contentType string, weights core.Digest) error
	// Write sends the next bytes of the answer.
	Write(p []byte) (int, error)
}

// Ledger keeps the claims of at-most-once requests.
type Ledger interface {
	// Ready returns the refusal that a claim would get at once, or nil.
	Ready() error
	Claim(ctx context.Context, key ledger.Key, body core.Digest, attemptID string) (ledger.Claim, error)
	Finish(claim ledger.Claim, result ledger.Result) error
	Release(ctx context.Context, claim ledger.Claim) error
}

// Config holds the parts and settings of a Dispatcher.
type Config struct {
	// Attempts makes attempt ids.
	Attempts *attempt.Generator
	// Queue returns the queue of a pool.
	Queue func(core.PoolName) *fair.Queue
	// Placer returns the placer of a pool.
	Placer func(core.PoolName) *placement.Placer
	// Candidates returns the agents of a pool as the entry knows them now.
	Candidates func(core.PoolName) []placement.Candidate
	Ledger     Ledger
	Sender     Sender
	// TombstoneTimeout bounds the wait for a tombstone's answer. The same time
	// is kept free before a request's deadline.
	TombstoneTimeout time.Duration
	// ReleaseTimeout bounds the wait for the release of a claim.
	ReleaseTimeout time.Duration
	// StartTimeout abandons an attempt of a repeatable request whose
	// start the agent has not confirmed; 0 means only the deadline does. A
	// request's own StartTimeout goes before it.
	StartTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is held until it was checked.
	MaxAnswerBytes int
	// MaxAttempts bounds the dispatches of one request, without those that a
	// full agent refused.
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
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Request is one caller's request.
type Request struct {
	ID      string
	Team    core.Team
	Route   core.RouteName
	Pool    core.PoolName
	Weights core.Digest
	// ChooseWeights, when set, chooses Weights anew for each attempt as long as the
	// caller has no byte of the answer, so that a request that waited follows a
	// pool to its next version.
	ChooseWeights func() core.Digest
	Revision      core.Revision
	Priority      int
	// Deadline is when the caller must have the final answer.
	Deadline time.Time
	// MaxTokens bounds the tokens to generate; 0 for plain services.
	MaxTokens int
	// Prefix is a hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// AtMostOnce requests carry the caller's Key.
	AtMostOnce bool
	Key        string
	Stream     bool
	Path       string
	Body       []byte

	// StartBy is until when the request must get a place to be answered on
	// time, zero for none. Late requests have missed it before they came.
	StartBy         time.Time
	ObjectiveMissed bool
	// ExpectedDuration is how long the answer is expected to take, 0 when unknown.
	ExpectedDuration time.Duration
	// FirstByteDeadline is until when the caller waits for the first byte, zero when
	// until Deadline.
	FirstByteDeadline time.Time

	// Unclaimed at-most-once requests have no Key and no claim: each of the
	// caller's attempts counts as a request of its own. Streams among them
	// end when the caller leaves.
	Unclaimed bool
	// ClosesAt returns when a server takes no more requests for a moment, or the
	// zero time. Resumable streams leave it then; nil lets them end there.
	ClosesAt func(core.InstanceID) time.Time
	// Trace is told of the decisions; nil when nobody follows them.
	Trace Trace
	// Sender replaces the dispatcher's for this request.
	Sender Sender
	// Candidates replaces the dispatcher's for this request.
	Candidates func() []placement.Candidate
	// MaxAttempts replaces the dispatcher's when above 0.
	MaxAttempts int
	// StartTimeout replaces the dispatcher's when above 0.
	StartTimeout time.Duration
}

// queueDeadline is until when the request is worth a place.
func (r *Request) queueDeadline() time.Time {
	if !r.FirstByteDeadline.IsZero() && r.FirstByteDeadline.Before(r.Deadline) {
		return r.FirstByteDeadline
	}
	return r.Deadline
}

// isClaimed reports whether the request needs a claim before it is dispatched.
func (r *Request) isClaimed() bool { return r.AtMostOnce && !r.Unclaimed }

// outlivesCaller reports whether the work goes on when the caller leaves.
func (r *Request) outlivesCaller() bool { return r.AtMostOnce && !(r.Unclaimed && r.Stream) }

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	config Config
	// skip leaves out a guard. Tests set it to show that the invariant behind
	// the guard can fail.
	skip guard
}

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
// the whole answer was written. Any other error carries a result code, what
// happened to the work and, for refusals, when to come back.
func (d *Dispatcher) Do(ctx context.Context, request Request, sink Sink) error {
	if request.Trace == nil {
		request.Trace = noTrace{}
	}
	if !d.config.Now().Before(request.Deadline) {
		return core.NewRefusal(core.CodeDeadlineShort, d.queue(request).RetryAfter(request.Team), "the deadline has passed")
	}
	if request.isClaimed() {
		if err := d.config.Ledger.Ready(); err != nil {
			return err
		}
	}
	grant, err := d.queue(request).Acquire(ctx, fair.Request{
		Team:      request.Team,
		Priority:  request.Priority,
		Deadline:  request.queueDeadline(),
		Objective: request.StartBy,
		Late:      request.ObjectiveMissed,
	})
	if err != nil {
		return err
	}
	x := newExchange(d, request, sink, grant)
	err = x.run(ctx)
	grant.Release(x.used)
	return x.checked(err)
}

func (d *Dispatcher) queue(request Request) *fair.Queue {
	return d.config.Queue(request.Pool)
}
