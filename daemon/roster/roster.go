// Package roster stores rows in the platform's store through which the daemons of a
// deployment discover each other. There is a table for each role, with a row for
// each daemon.
package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/pause"
	"currantusher.dev/platform/rowstore"
)

// Names of the tables.
const (
	EntriesTable = "entries"
	AgentsTable  = "agents"
)

// minRetryDelay and maxRetryDelay bound the delay after a failed store call, which
// doubles with each failure. Together with the jitter this spares a store that is down
// while a whole fleet starts.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Reader reads whole tables.
type Reader interface {
	ReadAll(ctx context.Context, table string) (rowstore.Page, error)
}

// Validator is implemented by descriptions of daemons that may be invalid although they
// can be decoded.
type Validator interface {
	// Validate returns an error unless it describes the daemon with an id, which others can
	// reach.
	Validate(id string) error
}

// keepPollPeriod is how often a daemon checks whether the store has lost rows.
const keepPollPeriod = 200 * time.Millisecond

// Roster reads and writes the rows of one role. It is safe for concurrent use.
type Roster[T any] struct {
	store  *rowstore.Client
	reader Reader
	table  string
	log    *logrus.Entry

	// writeMu is held during a write, so that the last write of this daemon's row is the
	// last one in the store.
	writeMu sync.Mutex

	mu sync.Mutex
	// own is this daemon's row as it is to be in the store, deleted after Remove.
	own    rowstore.Row
	keeper keeper
	// lost holds rows that the store has lost.
	lost lostRows
	// ignored holds the revisions of the ignored rows of the last read, by key.
	ignored map[string]uint64

	rewrites atomic.Int64
}

// New returns the roster with the rows of a table, which it reads from the store.
func New[T any](store *rowstore.Client, table string, log *logrus.Entry) *Roster[T] {
	return &Roster[T]{store: store, reader: store, table: table, log: log.WithField("table", table)}
}

// ReadFrom makes the roster read the rows elsewhere.
func (r *Roster[T]) ReadFrom(reader Reader) { r.reader = reader }

// WriteWithRetry writes a daemon's row and retries until it succeeds or ctx ends. It
// returns an error only if the row cannot be encoded.
func (r *Roster[T]) WriteWithRetry(ctx context.Context, id string, daemon T) error {
	value, err := cbor.Marshal(daemon)
	if err != nil {
		return fmt.Errorf("encode row of this daemon: %w", err)
	}
	if !r.setOwn(rowstore.Row{Table: r.table, Key: id, Value: value}) {
		return nil
	}
	r.retry(ctx, "write row", func() error { return r.writeOwn(ctx) })
	return nil
}

// Remove deletes this daemon's row, which is then not written any more.
func (r *Roster[T]) Remove(ctx context.Context, id string) error {
	r.setOwn(rowstore.Row{Table: r.table, Key: id, Deleted: true})
	return r.writeOwn(ctx)
}

// RemoveWithRetry deletes this daemon's row like Remove and retries until it succeeds or
// ctx ends. It returns false if ctx ended first.
func (r *Roster[T]) RemoveWithRetry(ctx context.Context, id string) bool {
	r.setOwn(rowstore.Row{Table: r.table, Key: id, Deleted: true})
	return r.retry(ctx, "remove row", func() error { return r.writeOwn(ctx) })
}

// Keep writes this daemon's row, or its removal, again after each loss of the store,
// until ctx ends. era returns the store's latest known era.
func (r *Roster[T]) Keep(ctx context.Context, era func() uint64) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := time.Now()
		r.keeper.see(now, era(), rand.N(rewriteSpread))
		isDue := r.keeper.isDue(now)
		r.mu.Unlock()
		if isDue {
			r.rewriteOwn(ctx)
		}
		pause.For(ctx, keepPollPeriod)
	}
	return nil
}

// Rewrites returns how often this daemon's row was written again after a loss.
func (r *Roster[T]) Rewrites() int64 { return r.rewrites.Load() }

func (r *Roster[T]) rewriteOwn(ctx context.Context) {
	if err := r.writeOwn(ctx); err != nil {
		r.mu.Lock()
		r.keeper.failed(time.Now(), rewriteSpread/2+rand.N(rewriteSpread))
		r.mu.Unlock()
		r.log.WithError(err).Warn("Could not write this daemon's row again after a loss of the store; retrying.")
		return
	}
	r.rewrites.Add(1)
	r.mu.Lock()
	era := r.keeper.writtenIn
	r.mu.Unlock()
	r.log.WithField("era", era).Info("Wrote this daemon's row again after a loss of the store.")
}

// setOwn sets this daemon's row as it is to be in the store. It returns false if the row
// was removed before.
func (r *Roster[T]) setOwn(row rowstore.Row) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.Deleted {
		return false
	}
	r.own = row
	return true
}

// writeOwn writes this daemon's row as it is to be in the store.
func (r *Roster[T]) writeOwn(ctx context.Context) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	row, knownBefore := r.own, r.keeper.seen
	r.mu.Unlock()
	var era uint64
	var err error
	if row.Deleted {
		era, err = r.store.Remove(ctx, rowstore.Row{Table: row.Table, Key: row.Key})
	} else {
		era, err = r.store.Put(ctx, row)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.keeper.accepted(era, knownBefore)
	r.mu.Unlock()
	return nil
}

// Read returns the daemons with a row, including rows that the store has lost and that
// their daemons are about to write again. It logs and ignores rows that cannot be
// decoded or are invalid.
func (r *Roster[T]) Read(ctx context.Context) ([]T, error) {
	page, err := r.reader.ReadAll(ctx, r.table)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	rows := r.lost.merge(time.Now(), page)
	r.mu.Unlock()
	daemons := make([]T, 0, len(rows))
	invalid := map[string]invalidRow{}
	for _, row := range rows {
		daemon, err := decode[T](row)
		if err != nil {
			invalid[row.Key] = invalidRow{revision: row.Revision, reason: err}
			continue
		}
		daemons = append(daemons, daemon)
	}
	r.logInvalid(invalid)
	return daemons, nil
}

// invalidRow is a row that does not describe a daemon.
type invalidRow struct {
	revision uint64
	reason   error
}

func decode[T any](row rowstore.Row) (T, error) {
	var daemon T
	if err := cbor.Unmarshal(row.Value, &daemon); err != nil {
		return daemon, err
	}
	if v, ok := any(daemon).(Validator); ok {
		return daemon, v.Validate(row.Key)
	}
	return daemon, nil
}

// logInvalid logs the ignored rows of a read that are not those of the last one.
func (r *Roster[T]) logInvalid(rows map[string]invalidRow) {
	r.mu.Lock()
	last := r.ignored
	r.ignored = make(map[string]uint64, len(rows))
	for key, row := range rows {
		r.ignored[key] = row.revision
	}
	r.mu.Unlock()
	for key, row := range rows {
		if revision, ok := last[key]; !ok || revision != row.revision {
			r.log.WithError(row.reason).WithField("key", key).Warn("Ignoring an invalid row of a daemon.")
		}
	}
}

// ReadWithRetry reads the daemons and retries until it succeeds. It returns false if
// ctx ended first.
func (r *Roster[T]) ReadWithRetry(ctx context.Context) ([]T, bool) {
	var daemons []T
	ok := r.retry(ctx, "read rows", func() (err error) {
		daemons, err = r.Read(ctx)
		return err
	})
	return daemons, ok
}

func (r *Roster[T]) retry(ctx context.Context, operation string, call func() error) bool {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		r.log.WithError(err).WithField("call", operation).Warn("Store call failed; retrying.")
		pause.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return false
}
