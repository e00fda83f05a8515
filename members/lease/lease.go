package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	defaultTTL = 30 * time.Second
	// marginDivisor is the ratio of the TTL to the default margin, which covers
	// clock drift and commands in flight.
	marginDivisor  = 10
	renewalsPerTTL = 3
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// Config configures a Lease. Zero durations and a nil clock take defaults.
type Config struct {
	Tables platform.Tables
	// Key identifies the row of the lease.
	Key platform.RowKey
	// Holder identifies the process. It must differ between processes,
	// including successive processes of one instance.
	Holder string
	// TTL is the term of the lease.
	TTL time.Duration
	// Margin is subtracted from this holder's own term and added to the terms
	// of earlier holders.
	Margin time.Duration
	// Now is a monotonic clock. The default is time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() error {
	if c.Tables == nil || c.Key.Table == "" || c.Key.Key == "" || c.Holder == "" {
		return errors.New("lease: Tables, Key and Holder are required")
	}
	if c.TTL == 0 {
		c.TTL = defaultTTL
	}
	if c.Margin == 0 {
		c.Margin = c.TTL / marginDivisor
	}
	if c.Margin >= c.TTL {
		return errors.New("lease: Margin must be shorter than TTL")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Lease is one process's claim to the lease. The lease is acquired only when
// there is a command to send, so an idle process causes no writes. It is safe
// for concurrent use.
type Lease struct {
	config Config

	// transactionMu serializes the transactions on the row.
	transactionMu sync.Mutex
	mu            sync.Mutex
	state         holderState
}

// New returns a lease that is not held.
func New(config Config) (*Lease, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Lease{
		config: config,
		state:  holderState{holder: config.Holder, ttl: config.TTL, margin: config.Margin},
	}, nil
}

// Check returns an error with CodeFenced unless this process may send commands
// at now. It must be called after any wait, immediately before sending a
// command.
func (l *Lease) Check(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.checkHeld(now)
}

// FencingToken returns the fencing token of the last term that was held, or 0.
func (l *Lease) FencingToken() core.FencingToken {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.fence
}

// Acquire takes the lease, even from another holder, or renews it if less than
// half of the term is left. It retries until ctx is done.
func (l *Lease) Acquire(ctx context.Context) (core.FencingToken, error) {
	l.transactionMu.Lock()
	defer l.transactionMu.Unlock()
	if !l.needsRenewal() {
		return l.FencingToken(), nil
	}
	if err := l.retry(ctx, l.acquireOnce); err != nil {
		return 0, err
	}
	return l.FencingToken(), nil
}

func (l *Lease) needsRenewal() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.needsRenewal(l.config.Now())
}

// WaitForEarlierHolders waits until the terms of all earlier holders have
// certainly expired. It is needed for servers that ignore fencing tokens. The
// lease is renewed meanwhile.
func (l *Lease) WaitForEarlierHolders(ctx context.Context) error {
	for {
		l.mu.Lock()
		wait := l.state.earlierHolderWait(l.config.Now())
		l.mu.Unlock()
		if wait == 0 {
			return l.renew(ctx)
		}
		timer := time.NewTimer(min(wait, l.config.TTL/renewalsPerTTL))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		if err := l.renew(ctx); err != nil {
			return err
		}
	}
}

// Do acquires the lease, waits for earlier holders if the server ignores
// fencing tokens, and runs command. The lease is renewed while command runs.
// The context of command is cancelled when the lease is lost or expires.
func (l *Lease) Do(ctx context.Context, ignoresFencing bool, command func(ctx context.Context, fence core.FencingToken) error) error {
	fence, err := l.Acquire(ctx)
	if err != nil {
		return err
	}
	if ignoresFencing {
		if err := l.WaitForEarlierHolders(ctx); err != nil {
			return err
		}
	}
	if err := l.Check(l.config.Now()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var renewal sync.WaitGroup
	renewal.Go(func() { l.renewUntilDone(ctx, cancel) })
	err = command(ctx, fence)
	cancel(nil)
	renewal.Wait()
	return err
}

// renewUntilDone renews the lease until ctx is done, and calls cancel when the
// lease is lost or expires.
func (l *Lease) renewUntilDone(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(l.config.TTL / renewalsPerTTL)
	defer ticker.Stop()
	expiry := time.NewTimer(l.remainingTerm())
	defer expiry.Stop()
	renewResult := make(chan error, 1)
	renewing := false
	for {
		select {
		case <-ctx.Done():
			if renewing {
				<-renewResult
			}
			return
		case <-ticker.C:
			if !renewing {
				renewing = true
				go func() { renewResult <- l.renew(ctx) }()
			}
		case err := <-renewResult:
			renewing = false
			if core.CodeOf(err) == core.CodeFenced {
				cancel(err)
			}
			expiry.Reset(l.remainingTerm())
		case <-expiry.C:
			if err := l.Check(l.config.Now()); err != nil {
				cancel(err)
			}
		}
	}
}

func (l *Lease) remainingTerm() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.state.validUntil.Sub(l.config.Now()), 0)
}

// renew extends the term if renewal is due. It does not take the lease back
// from another holder but returns an error with CodeFenced.
func (l *Lease) renew(ctx context.Context) error {
	l.transactionMu.Lock()
	defer l.transactionMu.Unlock()
	if !l.needsRenewal() {
		return nil
	}
	return l.retry(ctx, l.renewOnce)
}

// Release releases the lease. The next holder then does not have to wait,
// unless this holder has not waited for the earlier holders.
func (l *Lease) Release(ctx context.Context) error {
	l.transactionMu.Lock()
	defer l.transactionMu.Unlock()
	l.mu.Lock()
	held := l.state.held
	earlierExpired := l.state.earlierHolderWait(l.config.Now()) == 0
	fence := l.state.fence
	l.state.markLost()
	l.mu.Unlock()
	if !held || !earlierExpired {
		return nil
	}
	return l.retry(ctx, func(ctx context.Context) error { return l.writeReleased(ctx, fence) })
}

func (l *Lease) writeReleased(ctx context.Context, fence core.FencingToken) error {
	current, err := l.readRow(ctx)
	if err != nil {
		return err
	}
	if current.Holder != l.config.Holder || current.Fence != fence || current.Released {
		return nil
	}
	next := current.leaseRow
	next.WriteID = rand.Uint64()
	next.Released = true
	return l.commitRow(ctx, current.version, next)
}

// retry calls attempt with exponential backoff until it succeeds, returns an
// error that is not a store error, or ctx is done.
func (l *Lease) retry(ctx context.Context, attempt func(context.Context) error) error {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = minRetryDelay
	backOff.MaxInterval = maxRetryDelay
	for {
		err := attempt(ctx)
		if err == nil || !isRetryable(err) {
			return err
		}
		timer := time.NewTimer(backOff.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

func isRetryable(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeStoreConflict, core.CodeStoreUnavailable, core.CodeStoreThrottled, core.CodeStoreOutcomeLost:
		return true
	default:
		return false
	}
}

func (l *Lease) acquireOnce(ctx context.Context) error {
	current, err := l.readRow(ctx)
	if err != nil {
		return err
	}
	return l.writeRow(ctx, current)
}

func (l *Lease) renewOnce(ctx context.Context) error {
	current, err := l.readRow(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	replaced := current.Holder != l.config.Holder || current.Fence != l.state.fence || current.Released
	if replaced {
		l.state.markLost()
	}
	l.mu.Unlock()
	if replaced {
		return core.NewRefusal(core.CodeFenced, 0, "lease %q is now held by %q", l.config.Key.Key, current.Holder)
	}
	return l.writeRow(ctx, current)
}

func (l *Lease) readRow(ctx context.Context) (storedRow, error) {
	rows, err := l.config.Tables.Get(ctx, l.config.Key)
	if err != nil {
		return storedRow{}, err
	}
	return decodeRow(rows, l.config.Key)
}

// writeRow commits this holder's claim in place of current. If the reply is
// lost, it reads the row to find out whether the write took effect.
func (l *Lease) writeRow(ctx context.Context, current storedRow) error {
	l.mu.Lock()
	next := l.state.nextRow(current, rand.Uint64())
	l.mu.Unlock()
	sentAt := l.config.Now()
	err := l.commitRow(ctx, current.version, next)
	if core.CodeOf(err) == core.CodeStoreOutcomeLost {
		return l.resolveLostReply(ctx, sentAt, current, next, err)
	}
	if err != nil {
		return err
	}
	l.recordWrite(sentAt, current, next)
	return nil
}

// resolveLostReply determines whether a write whose reply was lost took effect.
func (l *Lease) resolveLostReply(ctx context.Context, sentAt time.Time, current storedRow, next leaseRow, lostErr error) error {
	var found storedRow
	err := l.retry(ctx, func(ctx context.Context) error {
		row, err := l.readRow(ctx)
		found = row
		return err
	})
	if err != nil {
		return err
	}
	if found.WriteID == next.WriteID {
		l.recordWrite(sentAt, current, next)
		return nil
	}
	return core.Wrap(lostErr, core.CodeStoreConflict, core.ExecutionNotRun, "write of lease %q did not take effect", l.config.Key.Key)
}

func (l *Lease) recordWrite(sentAt time.Time, previous storedRow, next leaseRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.recordWrite(sentAt, l.config.Now(), previous, next)
}

func (l *Lease) commitRow(ctx context.Context, version uint64, next leaseRow) error {
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	return l.config.Tables.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: l.config.Key, Version: version}},
		Puts:          []platform.Put{{RowKey: l.config.Key, Value: value}},
	})
}
