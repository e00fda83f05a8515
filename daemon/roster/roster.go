// Package roster holds the rows of the platform's store by which the daemons of
// a deployment find each other: a table for each role, a row for each daemon.
package roster

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/pause"
	"currantusher.dev/platform/rowstore"
)

// Tables of the roles.
const (
	EntriesTable = "entries"
	AgentsTable  = "agents"
)

// retryPause is the pause after a store call that failed.
const retryPause = 500 * time.Millisecond

// Roster reads and writes the rows of one role.
type Roster[T any] struct {
	store *rowstore.Client
	table string
	log   *logrus.Entry
}

// New returns the roster of a role.
func New[T any](store *rowstore.Client, table string, log *logrus.Entry) *Roster[T] {
	return &Roster[T]{store: store, table: table, log: log.WithField("table", table)}
}

// WriteWithRetry writes a daemon's row, and tries again until it succeeds or ctx ends.
func (r *Roster[T]) WriteWithRetry(ctx context.Context, id string, daemon T) error {
	value, err := cbor.Marshal(daemon)
	if err != nil {
		return fmt.Errorf("encode own row: %w", err)
	}
	row := rowstore.Row{Table: r.table, Key: id, Value: value}
	r.until(ctx, "row written", func() error { return r.store.Put(ctx, row) })
	return nil
}

// Remove removes a daemon's row.
func (r *Roster[T]) Remove(ctx context.Context, id string) error {
	return r.store.Remove(ctx, rowstore.Row{Table: r.table, Key: id})
}

// Read returns the daemons. Rows that do not decode are logged and left out.
func (r *Roster[T]) Read(ctx context.Context) ([]T, error) {
	page, err := r.store.ReadAll(ctx, r.table)
	if err != nil {
		return nil, err
	}
	daemons := make([]T, 0, len(page.Rows))
	for _, row := range page.Rows {
		var daemon T
		if err := cbor.Unmarshal(row.Value, &daemon); err != nil {
			r.log.WithError(err).WithField("key", row.Key).Warn("Row of a daemon ignored.")
			continue
		}
		daemons = append(daemons, daemon)
	}
	return daemons, nil
}

// ReadWithRetry reads the daemons, and tries again until it succeeds. It returns
// false when ctx ended first.
func (r *Roster[T]) ReadWithRetry(ctx context.Context) ([]T, bool) {
	var daemons []T
	ok := r.until(ctx, "rows read", func() (err error) {
		daemons, err = r.Read(ctx)
		return err
	})
	return daemons, ok
}

func (r *Roster[T]) until(ctx context.Context, what string, call func() error) bool {
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		r.log.WithError(err).WithField("call", what).Warn("Not joined yet.")
		pause.For(ctx, retryPause)
	}
	return false
}
