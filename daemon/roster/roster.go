// Package roster stores rows in the platform's store through which the daemons of a
// deployment discover each other. There is a table for each role, with a row for
// each daemon.
package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// Roster reads and writes the rows of one role.
type Roster[T any] struct {
	store  *rowstore.Client
	reader Reader
	table  string
	log    *logrus.Entry
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
	row := rowstore.Row{Table: r.table, Key: id, Value: value}
	r.retry(ctx, "write row", func() error { _, err := r.store.Put(ctx, row); return err })
	return nil
}

// Remove deletes a daemon's row.
func (r *Roster[T]) Remove(ctx context.Context, id string) error {
	_, err := r.store.Remove(ctx, rowstore.Row{Table: r.table, Key: id})
	return err
}

// Read returns the daemons with a row. It logs and ignores rows that cannot be
// decoded.
func (r *Roster[T]) Read(ctx context.Context) ([]T, error) {
	page, err := r.reader.ReadAll(ctx, r.table)
	if err != nil {
		return nil, err
	}
	daemons := make([]T, 0, len(page.Rows))
	for _, row := range page.Rows {
		var daemon T
		if err := cbor.Unmarshal(row.Value, &daemon); err != nil {
			r.log.WithError(err).WithField("key", row.Key).Warn("Ignoring an invalid row of a daemon.")
			continue
		}
		daemons = append(daemons, daemon)
	}
	return daemons, nil
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
