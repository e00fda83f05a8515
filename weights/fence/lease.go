// Package fence holds the lease by which one agent process gives orders to the
// engine of its instance. Engines that check fencing tokens refuse a stale
// holder by themselves. For engines that ignore them, a new holder gives no
// order before the old holder's lease is over by any clock.
package fence

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Table is the table that holds one lease for each instance.
const Table = "engine-leases"

const (
	defaultTTL  = 15 * time.Second
	renewParts  = 3
	marginParts = 3
)

// leaseRow is the value of one row.
type leaseRow struct {
	Incarnation core.Incarnation `cbor:"1,keyasint"`
	Fence       core.Fence       `cbor:"2,keyasint"`
	// Renewal grows with each renewal.
	Renewal uint64 `cbor:"3,keyasint"`
}

// Config configures a Lease.
type Config struct {
	Tables      platform.Tables
	Instance    core.InstanceID
	Incarnation core.Incarnation
	// Checked says that the engine refuses stale tokens. Otherwise a new
	// holder waits out the old lease before its first order.
	Checked bool
	// TTL is how long a lease is valid without renewal.
	TTL time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() error {
	if c.Tables == nil || c.Instance == "" || c.Incarnation == 0 {
		return errors.New("fence: Tables, Instance and Incarnation are required")
	}
	if c.TTL < 0 {
		return fmt.Errorf("fence: TTL %v is negative", c.TTL)
	}
	if c.TTL == 0 {
		c.TTL = defaultTTL
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Lease is one agent process's right to give orders. It is safe for concurrent
// use.
type Lease struct {
	config Config

	mu sync.Mutex
	// held is the row as last committed by this process, version its version.
	held    leaseRow
	renewed time.Time
	// readyAt is when the predecessor's lease is over.
	readyAt time.Time
	lost    bool
}

// New returns a lease that is not held yet.
func New(config Config) (*Lease, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Lease{config: config}, nil
}

// Run takes and renews the lease until ctx ends or a later process of the
// instance took it.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(max(l.config.TTL/renewParts, time.Millisecond))
	defer ticker.Stop()
	for {
		err := l.Renew(ctx)
		if core.CodeOf(err) == core.CodeFenced {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Renew takes or renews the lease once. CodeFenced means that a later process
// holds it.
func (l *Lease) Renew(ctx context.Context) error {
	started := l.config.Now()
	key := platform.RowKey{Table: Table, Key: string(l.config.Instance)}
	rows, err := l.config.Tables.Get(ctx, key)
	if err != nil {
		return err
	}
	var row leaseRow
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
		if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
			return core.Wrap(err, core.CodeUnreadableRow, core.WorkNotRun, "row %s", key.Key)
		}
	}
	if row.Incarnation > l.config.Incarnation {
		l.lose()
		return core.Refuse(core.CodeFenced, 0, "a later process of %s holds the lease", l.config.Instance)
	}
	next := leaseRow{Incarnation: l.config.Incarnation, Fence: row.Fence, Renewal: row.Renewal + 1}
	taken := row.Incarnation != l.config.Incarnation
	if taken {
		next.Fence++
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	err = l.config.Tables.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: key, Version: version}},
		Puts:          []platform.Put{{RowKey: key, Value: value}},
	})
	if err != nil {
		return err
	}
	l.keep(next, started)
	return nil
}

// keep records a committed lease. Its validity counts from before the commit,
// and the wait for a predecessor from after it.
func (l *Lease) keep(row leaseRow, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewed.IsZero() && !l.config.Checked && row.Renewal > 1 {
		l.readyAt = l.config.Now().Add(l.config.TTL)
	}
	l.held = row
	l.renewed = started
}

func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// Token returns the token when an order may be given now. The last third of
// the lease is kept back for the order's own time.
func (l *Lease) Token(context.Context) (core.Fence, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	usable := l.config.TTL - l.config.TTL/marginParts
	switch {
	case l.lost || l.renewed.IsZero() || now.Sub(l.renewed) >= usable:
		return 0, core.Refuse(core.CodeFenced, 0, "the lease of %s is not held", l.config.Instance)
	case now.Before(l.readyAt):
		return 0, core.Refuse(core.CodeFenced, l.readyAt.Sub(now), "the lease before is not over")
	default:
		return l.held.Fence, nil
	}
}
