// Package ledger makes requests with an idempotency key run at most once. It
// keeps one row per key in the table service. The row is written as a claim
// before the first dispatch and updated with the result. Writes are batched:
// many claims share one transaction.
package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Defaults of Config.
const (
	DefaultMaxBatchRows          = 256
	DefaultMaxQueuedWrites       = 4096
	DefaultCommitInterval        = 25 * time.Millisecond
	DefaultCommitTimeout         = 500 * time.Millisecond
	DefaultFinishTimeout         = 10 * time.Minute
	DefaultDrainTimeout          = 10 * time.Second
	DefaultBreakerOpenPeriod     = 500 * time.Millisecond
	DefaultRetention             = 24 * time.Hour
	DefaultMaxResultBytes        = 256 << 10
	DefaultMaxPendingResultBytes = 4 << 20
	DefaultMaxRunTime            = 10 * time.Minute
	DefaultWriters               = 2
)

// Config holds the settings of a Ledger.
type Config struct {
	Tables platform.Tables
	// Entry is the name of this entry process, stored in claims.
	Entry string
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// MaxBatchRows bounds the claims, results and releases written by one
	// transaction.
	MaxBatchRows int
	// MaxQueuedWrites bounds the queued writes. When the queue is full, claims
	// are refused.
	MaxQueuedWrites int
	// Writers is the largest number of transactions in flight.
	Writers int
	// CommitInterval is the least time between the starts of transactions, so
	// that many claims share a transaction. The first claim after an idle period
	// is not delayed.
	CommitInterval time.Duration
	// CommitTimeout bounds one call to the table service.
	CommitTimeout time.Duration
	// FinishTimeout bounds the time for which the write of a result, or a
	// background release, is retried.
	FinishTimeout time.Duration
	// DrainTimeout bounds the time to commit queued writes after the context of
	// Run has ended.
	DrainTimeout time.Duration
	// BreakerOpenPeriod is how long claims are refused immediately after the
	// table service failed.
	BreakerOpenPeriod time.Duration
	// Retention is how long a key is kept. It must exceed the time for which any
	// caller retries a request.
	Retention time.Duration
	// MaxResultBytes bounds the body of a stored result. A larger answer is still
	// sent to the caller, but a repeat of the request gets no body.
	MaxResultBytes int
	// MaxPendingResultBytes bounds the results queued for writing. When it is
	// exceeded, results are stored without their bodies.
	MaxPendingResultBytes int
	// MaxRunTime bounds the run time of a claimed request. After that, the
	// outcome of a claim without a result is reported as unknown.
	MaxRunTime time.Duration
}

func (c *Config) applyDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	setDefaultInt(&c.MaxBatchRows, DefaultMaxBatchRows)
	setDefaultInt(&c.MaxQueuedWrites, DefaultMaxQueuedWrites)
	setDefaultInt(&c.Writers, DefaultWriters)
	setDefaultInt(&c.MaxResultBytes, DefaultMaxResultBytes)
	setDefaultDuration(&c.CommitInterval, DefaultCommitInterval)
	setDefaultDuration(&c.CommitTimeout, DefaultCommitTimeout)
	setDefaultDuration(&c.FinishTimeout, DefaultFinishTimeout)
	setDefaultInt(&c.MaxPendingResultBytes, DefaultMaxPendingResultBytes)
	setDefaultDuration(&c.DrainTimeout, DefaultDrainTimeout)
	setDefaultDuration(&c.BreakerOpenPeriod, DefaultBreakerOpenPeriod)
	setDefaultDuration(&c.Retention, DefaultRetention)
	setDefaultDuration(&c.MaxRunTime, DefaultMaxRunTime)
}

func setDefaultInt(value *int, defaultValue int) {
	if *value <= 0 {
		*value = defaultValue
	}
}

func setDefaultDuration(value *time.Duration, defaultValue time.Duration) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Key is a caller's idempotency key within a team and route.
type Key struct {
	Team  core.Team
	Route core.RouteName
	Key   string
}

// Result is the stored result of a finished request. Repeats of the request get
// it as their answer.
type Result struct {
	ContentType string         `cbor:"1,keyasint"`
	Weights     core.Digest    `cbor:"2,keyasint"`
	Body        []byte         `cbor:"3,keyasint"`
	Code        core.Code      `cbor:"4,keyasint"`
	Execution   core.Execution `cbor:"5,keyasint"`
	Detail      string         `cbor:"6,keyasint"`
	// BodyOmitted is set if the body was not stored because of its size or
	// because too many results were pending.
	BodyOmitted bool `cbor:"7,keyasint"`
}

// Claim is the right to start one request, or its stored result.
type Claim struct {
	// Stored is the result of the first request with this key. If it is nil, the
	// caller must run the request.
	Stored *Result

	row     row
	rowKey  platform.RowKey
	version uint64
}

// AttemptID returns the id of the attempt that made the claim.
func (c Claim) AttemptID() string { return c.row.AttemptID }

// Generation counts the claims of the key: 1 for the first claim, and one more
// after each release.
func (c Claim) Generation() int { return c.row.Generation }

// Ledger is safe for concurrent use. Writes are committed only while Run is
// running.
type Ledger struct {
	config  Config
	writes  chan *rowWrite
	breaker *breaker
	pacer   pacer
	orphans chan orphan
	// pendingResultBytes counts the bytes of results queued for writing.
	pendingResultBytes atomic.Int64
}

// New returns a Ledger.
func New(config Config) *Ledger {
	config.applyDefaults()
	return &Ledger{
		config:  config,
		writes:  make(chan *rowWrite, config.MaxQueuedWrites),
		pacer:   pacer{interval: config.CommitInterval},
		breaker: &breaker{period: config.BreakerOpenPeriod},
		orphans: make(chan orphan, config.MaxQueuedWrites),
	}
}

// Ready returns the error with which a claim would be refused immediately
// because the table service failed recently, or nil.
func (l *Ledger) Ready() error {
	if after, open := l.breaker.isOpen(l.config.Now()); open {
		return l.unavailableError(after)
	}
	return nil
}

// Claim inserts the claim row of a key and waits until it is committed. The
// deadline of ctx must be the latest time of the request's final answer. The
// caller may dispatch the request only if the error is nil and Stored is unset.
// Every error means that the claim was refused, or that the first request with
// the key is running or has an unknown outcome.
func (l *Ledger) Claim(ctx context.Context, key Key, bodyDigest core.Digest, attemptID string) (Claim, error) {
	if after, open := l.breaker.shouldRefuse(l.config.Now()); open {
		return Claim{}, l.unavailableError(after)
	}
	claim := Claim{
		rowKey: rowKeyOf(key),
		row: row{
			State:          stateClaimed,
			BodyDigest:     bodyDigest,
			Entry:          l.config.Entry,
			AttemptID:      attemptID,
			Generation:     1,
			ClaimedAt:      l.config.Now().UnixMilli(),
			ResultDeadline: l.resultDeadline(ctx).UnixMilli(),
		},
	}
	for range maxClaimRounds {
		existing, err := l.insert(ctx, claim)
		if err != nil {
			return Claim{}, err
		}
		if existing == nil {
			return claim, nil
		}
		next, decided, err := l.resolveConflict(claim, *existing)
		if decided || err != nil {
			return next, err
		}
		claim = next
	}
	return Claim{}, core.NewRefusal(core.CodeStoreConflict, l.config.BreakerOpenPeriod, "the key is being claimed and released concurrently")
}

// maxClaimRounds bounds how often Claim retries after finding a released claim.
const maxClaimRounds = 4

// resultDeadline returns the latest time of the result of a claim made now.
func (l *Ledger) resultDeadline(ctx context.Context) time.Time {
	latest := l.config.Now().Add(l.config.MaxRunTime)
	deadline, ok := ctx.Deadline()
	if ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// insert commits the row of the claim. It returns nil if the row was written,
// and the existing row if there is a conflict.
func (l *Ledger) insert(ctx context.Context, claim Claim) (*platform.Row, error) {
	w := &rowWrite{
		key:         claim.rowKey,
		value:       claim.row.encode(),
		conditional: true,
		version:     claim.version,
		attemptID:   claim.row.AttemptID,
		indexed:     true,
		done:        make(chan outcome, 1),
	}
	if err := l.submit(w); err != nil {
		return nil, err
	}
	select {
	case o := <-w.done:
		if o.err != nil {
			l.reapLater(claim)
		}
		return o.existing, l.toRefusal(o.err)
	case <-ctx.Done():
		l.reapLater(claim)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, core.NewRefusal(core.CodeDeadlineShort, l.config.BreakerOpenPeriod, "the deadline passed while the claim was being written")
		}
		return nil, core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "cancelled while the claim was being written")
	}
}

func (l *Ledger) submit(w *rowWrite) error {
	w.submitted = l.config.Now()
	select {
	case l.writes <- w:
		return nil
	default:
		return l.unavailableError(l.config.BreakerOpenPeriod)
	}
}

// toRefusal converts an error of the table service into a refusal. Without a
// confirmed claim the request is not dispatched, so the work did not run.
func (l *Ledger) toRefusal(err error) error {
	if err == nil {
		return nil
	}
	if core.CodeOf(err) == core.CodeStoreThrottled {
		return core.NewRefusal(core.CodeStoreThrottled, l.config.BreakerOpenPeriod, "the claim could not be written: %s", core.DetailOf(err))
	}
	return core.NewRefusal(core.CodeStoreUnavailable, l.config.BreakerOpenPeriod, "the claim could not be written: %s", core.DetailOf(err))
}

func (l *Ledger) unavailableError(after time.Duration) error {
	return core.NewRefusal(core.CodeStoreUnavailable, after, "the table service is unavailable or the write queue is full")
}

// resolveConflict handles a claim that conflicts with an existing row. If
// decided is false, the claim must be retried as next.
func (l *Ledger) resolveConflict(claim Claim, existing platform.Row) (next Claim, decided bool, err error) {
	stored, err := decodeRow(existing.Value)
	if err != nil {
		return Claim{}, true, core.Wrap(err, core.CodeOutcomeUnknown, core.ExecutionUnknown, "the existing claim of the key cannot be decoded")
	}
	if stored.AttemptID == claim.row.AttemptID && stored.State == stateClaimed {
		claim.row = stored
		return claim, true, nil
	}
	if stored.BodyDigest != claim.row.BodyDigest {
		return Claim{}, true, core.NewRefusal(core.CodeKeyReused, 0, "the Idempotency-Key was already used with a different body")
	}
	switch stored.State {
	case stateReleased:
		claim.row.Generation = stored.Generation + 1
		claim.version = existing.Version
		return claim, false, nil
	case stateFinished:
		return Claim{Stored: stored.Result, row: stored, rowKey: claim.rowKey}, true, nil
	default:
		return Claim{}, true, l.pendingError(stored)
	}
}

// pendingError returns the error for a key whose claim has no result.
func (l *Ledger) pendingError(stored row) error {
	if l.config.Now().Before(time.UnixMilli(stored.ResultDeadline)) {
		return core.NewFailure(core.CodeInProgress, core.ExecutionUnknown, "the first request with this Idempotency-Key is still running at %s", stored.Entry)
	}
	return core.NewFailure(core.CodeOutcomeUnknown, core.ExecutionUnknown, "the first request with this Idempotency-Key has no result")
}
