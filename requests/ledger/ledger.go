// Package ledger keeps the claims of at-most-once requests in the table
// service: one row for each caller's key, written before the first dispatch
// and completed with the result. Many claims share one transaction.
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
	// Entry names this entry process in claims.
	Entry string
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// MaxBatchRows bounds the rows that one transaction writes for claims, results
	// and releases.
	MaxBatchRows int
	// MaxQueuedWrites bounds the writes that wait.
	MaxQueuedWrites int
	// Writers is the number of transactions in flight.
	Writers int
	// CommitInterval is the least time between the starts of transactions, so
	// that many claims share one. A claim after an idle time does not wait.
	CommitInterval time.Duration
	// CommitTimeout bounds one call to the table service.
	CommitTimeout time.Duration
	// FinishTimeout bounds the attempts to write one result.
	FinishTimeout time.Duration
	// DrainTimeout bounds the writes after Run's context has ended.
	DrainTimeout time.Duration
	// BreakerOpenPeriod is how long claims are refused at once after the table
	// service failed.
	BreakerOpenPeriod time.Duration
	// Retention is how long a key is remembered. It must be longer than any
	// caller repeats a request.
	Retention time.Duration
	// MaxResultBytes bounds a stored result. Larger ones are answered, but a
	// repeat gets only their code.
	MaxResultBytes int
	// MaxPendingResultBytes bounds the results that wait to be written. Beyond it
	// results are written without their bodies.
	MaxPendingResultBytes int
	// MaxRunTime is the longest that a claimed request may run. Later a claim
	// without a result is answered as unknown.
	MaxRunTime time.Duration
}

func (c *Config) applyDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	setInt(&c.MaxBatchRows, DefaultMaxBatchRows)
	setInt(&c.MaxQueuedWrites, DefaultMaxQueuedWrites)
	setInt(&c.Writers, DefaultWriters)
	setInt(&c.MaxResultBytes, DefaultMaxResultBytes)
	setDuration(&c.CommitInterval, DefaultCommitInterval)
	setDuration(&c.CommitTimeout, DefaultCommitTimeout)
	setDuration(&c.FinishTimeout, DefaultFinishTimeout)
	setInt(&c.MaxPendingResultBytes, DefaultMaxPendingResultBytes)
	setDuration(&c.DrainTimeout, DefaultDrainTimeout)
	setDuration(&c.BreakerOpenPeriod, DefaultBreakerOpenPeriod)
	setDuration(&c.Retention, DefaultRetention)
	setDuration(&c.MaxRunTime, DefaultMaxRunTime)
}

func setInt(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

func setDuration(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}

// Key is a caller's idempotency key within a team and route.
type Key struct {
	Team  core.Team
	Route core.RouteName
	Key   string
}

// Result is what a repeat of a finished request gets.
type Result struct {
	ContentType string         `cbor:"1,keyasint"`
	Weights     core.Digest    `cbor:"2,keyasint"`
	Body        []byte         `cbor:"3,keyasint"`
	Code        core.Code      `cbor:"4,keyasint"`
	Work        core.Execution `cbor:"5,keyasint"`
	Detail      string         `cbor:"6,keyasint"`
	// BodyOmitted says that the body was too large to keep.
	BodyOmitted bool `cbor:"7,keyasint"`
}

// Claim is the right to start one request, or its stored result.
type Claim struct {
	// Stored is the result of the first request with this key, or nil when
	// this claim is the caller's to run.
	Stored *Result

	row     row
	rowKey  platform.RowKey
	version uint64
}

// AttemptID returns the attempt id that the claim was made with.
func (c Claim) AttemptID() string { return c.row.AttemptID }

// Generation counts the claims of the key: 1 for the first, more after releases.
func (c Claim) Generation() int { return c.row.Number }

// Ledger is safe for concurrent use. Run must be running.
type Ledger struct {
	config  Config
	writes  chan *write
	breaker *breaker
	pacer   pacer
	orphans chan orphan
	// held counts the bytes of results that wait to be written.
	held atomic.Int64
}

// New returns a Ledger.
func New(config Config) *Ledger {
	config.applyDefaults()
	return &Ledger{
		config:  config,
		writes:  make(chan *write, config.MaxQueuedWrites),
		pacer:   pacer{interval: config.CommitInterval},
		breaker: &breaker{period: config.BreakerOpenPeriod},
		orphans: make(chan orphan, config.MaxQueuedWrites),
	}
}

// Ready returns the refusal that a claim would get at once because the table
// service failed lately, or nil.
func (l *Ledger) Ready() error {
	if after, open := l.breaker.isOpen(l.config.Now()); open {
		return l.unavailable(after)
	}
	return nil
}

// Claim inserts the claim row of a key and waits until it is committed. The
// deadline of ctx is when the request has its final answer at the latest. A nil
// error with Stored unset is the right to dispatch. All errors are refusals or
// say that the first request with the key is running or has an unknown
// outcome; none of them permits a dispatch.
func (l *Ledger) Claim(ctx context.Context, key Key, body core.Digest, attemptID string) (Claim, error) {
	if after, open := l.breaker.refuses(l.config.Now()); open {
		return Claim{}, l.unavailable(after)
	}
	wanted := Claim{
		rowKey: rowKeyOf(key),
		row: row{
			State:     stateClaimed,
			Body:      body,
			Entry:     l.config.Entry,
			AttemptID: attemptID,
			Number:    1,
			ClaimedAt: l.config.Now().UnixMilli(),
			Until:     l.until(ctx).UnixMilli(),
		},
	}
	for range maxClaimRounds {
		found, err := l.insert(ctx, wanted)
		if err != nil {
			return Claim{}, err
		}
		if found == nil {
			return wanted, nil
		}
		next, decided, err := l.judge(wanted, *found)
		if decided || err != nil {
			return next, err
		}
		wanted = next
	}
	return Claim{}, core.NewRefusal(core.CodeStoreConflict, l.config.BreakerOpenPeriod, "the key is claimed and released at the same time")
}

const maxClaimRounds = 4

// until is when a claim made now has its result at the latest.
func (l *Ledger) until(ctx context.Context) time.Time {
	latest := l.config.Now().Add(l.config.MaxRunTime)
	deadline, ok := ctx.Deadline()
	if ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// insert commits the claim's row. It returns the row that is there instead, or
// nil when the claim holds.
func (l *Ledger) insert(ctx context.Context, wanted Claim) (*platform.Row, error) {
	w := &write{
		key:         wanted.rowKey,
		value:       wanted.row.encode(),
		conditional: true,
		version:     wanted.version,
		attemptID:   wanted.row.AttemptID,
		indexed:     true,
		done:        make(chan outcome, 1),
	}
	if err := l.submit(w); err != nil {
		return nil, err
	}
	select {
	case o := <-w.done:
		if o.err != nil {
			l.reapLater(wanted)
		}
		return o.found, l.refusal(o.err)
	case <-ctx.Done():
		l.reapLater(wanted)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, core.NewRefusal(core.CodeDeadlineShort, l.config.BreakerOpenPeriod, "the deadline passed while the claim was written")
		}
		return nil, core.Wrap(ctx.Err(), core.CodeCancelled, core.ExecutionNotRun, "cancelled while the claim was written")
	}
}

func (l *Ledger) submit(w *write) error {
	w.submitted = l.config.Now()
	select {
	case l.writes <- w:
		return nil
	default:
		return l.unavailable(l.config.BreakerOpenPeriod)
	}
}

// refusal turns an error of the table service into a refusal: without a
// confirmed claim nothing is dispatched, so the work did not run.
func (l *Ledger) refusal(err error) error {
	if err == nil {
		return nil
	}
	if core.CodeOf(err) == core.CodeStoreThrottled {
		return core.NewRefusal(core.CodeStoreThrottled, l.config.BreakerOpenPeriod, "the claim could not be written: %s", core.DetailOf(err))
	}
	return core.NewRefusal(core.CodeStoreUnavailable, l.config.BreakerOpenPeriod, "the claim could not be written: %s", core.DetailOf(err))
}

func (l *Ledger) unavailable(after time.Duration) error {
	return core.NewRefusal(core.CodeStoreUnavailable, after, "the table service takes no claims now")
}

// judge decides on the row found in place of the wanted one. decided is false
// when the claim may be tried again as next.
func (l *Ledger) judge(wanted Claim, found platform.Row) (next Claim, decided bool, err error) {
	held, err := decodeRow(found.Value)
	if err != nil {
		return Claim{}, true, core.Wrap(err, core.CodeOutcomeUnknown, core.ExecutionUnknown, "the claim of the key cannot be read")
	}
	if held.AttemptID == wanted.row.AttemptID && held.State == stateClaimed {
		wanted.row = held
		return wanted, true, nil
	}
	if held.Body != wanted.row.Body {
		return Claim{}, true, core.NewRefusal(core.CodeKeyReused, 0, "the Idempotency-Key was used before with another body")
	}
	switch held.State {
	case stateReleased:
		wanted.row.Number = held.Number + 1
		wanted.version = found.Version
		return wanted, false, nil
	case stateFinished:
		return Claim{Stored: held.Result, row: held, rowKey: wanted.rowKey}, true, nil
	default:
		return Claim{}, true, l.pending(held)
	}
}

func (l *Ledger) pending(held row) error {
	if l.config.Now().Before(time.UnixMilli(held.Until)) {
		return core.NewFailure(core.CodeInProgress, core.ExecutionUnknown, "the first request with this Idempotency-Key is running at %s", held.Entry)
	}
	return core.NewFailure(core.CodeOutcomeUnknown, core.ExecutionUnknown, "the first request with this Idempotency-Key left no result")
}
