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
	// marginShare is the part of the TTL kept for clock drift and for orders
	// under way.
	marginShare    = 10
	renewalsPerTTL = 3
	retryFirst     = 50 * time.Millisecond
	retryMax       = 2 * time.Second
)

// Config configures a Lease. Zero values take defaults.
type Config struct {
	Tables platform.Tables
	// Key names the lease's row.
	Key platform.RowKey
	// Holder must differ between processes, also of the same instance.
	Holder string
	// TTL is the term of the lease.
	TTL time.Duration
	// Margin is taken off the own term and added to that of others.
	Margin time.Duration
	// Now is a monotonic clock; time.Now by default.
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
		c.Margin = c.TTL / marginShare
	}
	if c.Margin >= c.TTL {
		return errors.New("lease: Margin must be shorter than TTL")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Lease is one process's claim to a row. It takes the lease only when orders
// are to be given, so an idle holder costs no writes. It is safe for
// concurrent use.
type Lease struct {
	config Config

	// calls lets one transaction run at a time.
	calls sync.Mutex
	mu    sync.Mutex
	state machine
}

// New returns a lease that is not held yet.
func New(config Config) (*Lease, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Lease{
		config: config,
		state:  machine{holder: config.Holder, ttl: config.TTL, margin: config.Margin},
	}, nil
}

// Check returns an error with CodeFenced unless the holder may act at now.
// Call it after any wait, immediately before an order.
func (l *Lease) Check(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.check(now)
}

// FencingToken returns the fencing token of the last term held, or 0.
func (l *Lease) FencingToken() core.FencingToken {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.fence
}

// Acquire takes the lease, from another holder too, or renews it when less
// than half of the term is left. It retries until ctx ends.
func (l *Lease) Acquire(ctx context.Context) (core.FencingToken, error) {
	l.calls.Lock()
	defer l.calls.Unlock()
	if !l.due() {
		return l.FencingToken(), nil
	}
	if err := l.retry(ctx, l.take); err != nil {
		return 0, err
	}
	return l.FencingToken(), nil
}

func (l *Lease) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.renewable(l.config.Now())
}

// WaitOut waits until every earlier holder surely stopped acting, for servers
// that ignore fencing tokens. It keeps the lease meanwhile.
func (l *Lease) WaitOut(ctx context.Context) error {
	for {
		l.mu.Lock()
		wait := l.state.waitOut(l.config.Now())
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

// Do acquires the lease, waits out earlier holders when the server ignores
// fencing tokens, and runs order. The lease is renewed while order runs; the
// context of order ends when the lease does.
func (l *Lease) Do(ctx context.Context, ignoresFence bool, order func(ctx context.Context, fence core.FencingToken) error) error {
	fence, err := l.Acquire(ctx)
	if err != nil {
		return err
	}
	if ignoresFence {
		if err := l.WaitOut(ctx); err != nil {
			return err
		}
	}
	if err := l.Check(l.config.Now()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var keeper sync.WaitGroup
	keeper.Go(func() { l.keep(ctx, cancel) })
	err = order(ctx, fence)
	cancel(nil)
	keeper.Wait()
	return err
}

// keep renews the lease until ctx ends, and cancels when the lease is lost.
func (l *Lease) keep(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(l.config.TTL / renewalsPerTTL)
	defer ticker.Stop()
	expiry := time.NewTimer(l.remaining())
	defer expiry.Stop()
	renewed := make(chan error, 1)
	busy := false
	for {
		select {
		case <-ctx.Done():
			if busy {
				<-renewed
			}
			return
		case <-ticker.C:
			if !busy {
				busy = true
				go func() { renewed <- l.renew(ctx) }()
			}
		case err := <-renewed:
			busy = false
			if core.CodeOf(err) == core.CodeFenced {
				cancel(err)
			}
			expiry.Reset(l.remaining())
		case <-expiry.C:
			if err := l.Check(l.config.Now()); err != nil {
				cancel(err)
			}
		}
	}
}

func (l *Lease) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.state.validUntil.Sub(l.config.Now()), 0)
}

// renew extends the term when it is due. It does not take the lease back from
// another holder: that gives CodeFenced.
func (l *Lease) renew(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	if !l.due() {
		return nil
	}
	return l.retry(ctx, l.extend)
}

// Release gives the lease up. The next holder need not wait when this one had
// waited out the earlier ones.
func (l *Lease) Release(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	l.mu.Lock()
	held := l.state.held
	clear := l.state.waitOut(l.config.Now()) == 0
	fence := l.state.fence
	l.state.lost()
	l.mu.Unlock()
	if !held || !clear {
		return nil
	}
	return l.retry(ctx, func(ctx context.Context) error { return l.writeReleased(ctx, fence) })
}

func (l *Lease) writeReleased(ctx context.Context, fence core.FencingToken) error {
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	if current.Holder != l.config.Holder || current.Fence != fence || current.Released {
		return nil
	}
	next := current.row
	next.Write = rand.Uint64()
	next.Released = true
	return l.commit(ctx, current.version, next)
}

// retry repeats attempt with growing pauses while the store is at fault.
func (l *Lease) retry(ctx context.Context, attempt func(context.Context) error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	pause.MaxInterval = retryMax
	for {
		err := attempt(ctx)
		if err == nil || !retryable(err) {
			return err
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

func retryable(err error) bool {
	switch core.CodeOf(err) {
	case core.CodeStoreConflict, core.CodeStoreUnavailable, core.CodeStoreThrottled, core.CodeStoreOutcomeLost:
		return true
	default:
		return false
	}
}

func (l *Lease) take(ctx context.Context) error {
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	return l.write(ctx, current)
}

func (l *Lease) extend(ctx context.Context) error {
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	replaced := current.Holder != l.config.Holder || current.Fence != l.state.fence || current.Released
	if replaced {
		l.state.lost()
	}
	l.mu.Unlock()
	if replaced {
		return core.NewRefusal(core.CodeFenced, 0, "lease %q went to %q", l.config.Key.Key, current.Holder)
	}
	return l.write(ctx, current)
}

func (l *Lease) read(ctx context.Context) (stored, error) {
	rows, err := l.config.Tables.Get(ctx, l.config.Key)
	if err != nil {
		return stored{}, err
	}
	return decode(rows, l.config.Key)
}

// write commits this holder's claim over current. A lost answer is settled by
// the read of the next attempt, which finds the own write.
func (l *Lease) write(ctx context.Context, current stored) error {
	l.mu.Lock()
	next := l.state.propose(current, rand.Uint64())
	l.mu.Unlock()
	sentAt := l.config.Now()
	err := l.commit(ctx, current.version, next)
	if core.CodeOf(err) == core.CodeStoreOutcomeLost {
		return l.settle(ctx, sentAt, current, next, err)
	}
	if err != nil {
		return err
	}
	l.adopt(sentAt, current, next)
	return nil
}

// settle finds out whether a write whose answer was lost took effect.
func (l *Lease) settle(ctx context.Context, sentAt time.Time, current stored, next row, lost error) error {
	var found stored
	err := l.retry(ctx, func(ctx context.Context) error {
		read, err := l.read(ctx)
		found = read
		return err
	})
	if err != nil {
		return err
	}
	if found.Write == next.Write {
		l.adopt(sentAt, current, next)
		return nil
	}
	return core.Wrap(lost, core.CodeStoreConflict, core.ExecutionNotRun, "lease %q was not written", l.config.Key.Key)
}

func (l *Lease) adopt(sentAt time.Time, previous stored, next row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.acquired(sentAt, l.config.Now(), previous, next)
}

func (l *Lease) commit(ctx context.Context, version uint64, next row) error {
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	return l.config.Tables.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: l.config.Key, Version: version}},
		Puts:          []platform.Put{{RowKey: l.config.Key, Value: value}},
	})
}
