// Package relay hands the rows of the platform's store on from a few daemons of
// a data centre to the others, so that the store's load and the bytes between
// regions grow with the data centres and not with the daemons. Recorder keeps
// what one daemon reads, Handler serves it, and Store reads from another daemon
// as from the store, and from the store itself when that one does not answer.
package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"currantusher.dev/platform/rowstore"
)

const (
	// maxChanges bounds the changes that are kept for daemons that are behind;
	// one that is further behind reads all rows.
	maxChanges = 512
	// currentFor is how long after the last answer of the store the rows are
	// handed on: a call waits 5 s for changes.
	currentFor = 7 * time.Second
)

// Source is the platform's store.
type Source interface {
	ReadAll(ctx context.Context, table string) (rowstore.Page, error)
	Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rowstore.Page, error)
}

// Cache reads from the store and keeps what it read. It is safe for
// concurrent use.
type Cache struct {
	source Source
	now    func() time.Time

	mu     sync.Mutex
	tables map[string]*recorded
}

// recorded is one table as last read.
type recorded struct {
	rows map[string]rowstore.Row
	// changes are those after the revision start, in their order.
	changes []rowstore.Row
	start   uint64
	cursor  uint64
	// answered is when the store last answered, zero after a failed call.
	answered time.Time
	// moved is closed and replaced when the cursor moves or the store is lost.
	moved chan struct{}
}

// NewCache returns a Recorder of a store. now is the clock; nil means
// time.Now.
func NewCache(source Source, now func() time.Time) *Cache {
	if now == nil {
		now = time.Now
	}
	return &Cache{source: source, now: now, tables: map[string]*recorded{}}
}

// ReadAll reads all rows of a table from the store.
func (r *Cache) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	page, err := r.source.ReadAll(ctx, table)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(table)
	if err != nil {
		t.lost()
		return page, err
	}
	t.rows = make(map[string]rowstore.Row, len(page.Rows))
	for _, row := range page.Rows {
		t.rows[row.Key] = row
	}
	// Which rows went since the last reading is not known in their order.
	t.changes = nil
	t.start = page.Revision
	t.move(page.Revision, r.now())
	return page, nil
}

// Changes reads changes of a table from the store.
func (r *Cache) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := r.source.Changes(ctx, table, since, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(table)
	if err != nil {
		t.lost()
		return page, err
	}
	if since != t.cursor || t.rows == nil {
		// The daemon read elsewhere meanwhile; what is kept has a gap.
		t.rows = nil
		return page, nil
	}
	t.append(page.Rows)
	t.move(max(page.Revision, since), r.now())
	return page, nil
}

// holds reports whether all rows up to a revision are kept.
func (r *Cache) holds(table string, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(table)
	return t.rows != nil && t.cursor == revision
}

func (r *Cache) table(name string) *recorded {
	t := r.tables[name]
	if t == nil {
		t = &recorded{moved: make(chan struct{})}
		r.tables[name] = t
	}
	return t
}

func (t *recorded) append(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
		t.changes = append(t.changes, row)
	}
	for len(t.changes) > maxChanges {
		t.start = t.changes[0].Revision
		t.changes = t.changes[1:]
	}
}

func (t *recorded) move(cursor uint64, now time.Time) {
	t.answered = now
	if cursor == t.cursor {
		return
	}
	t.cursor = cursor
	t.wake()
}

func (t *recorded) lost() {
	t.answered = time.Time{}
	t.wake()
}

func (t *recorded) wake() {
	close(t.moved)
	t.moved = make(chan struct{})
}

// isCurrent reports whether the rows are what the store holds.
func (t *recorded) isCurrent(now time.Time) bool {
	return t.rows != nil && !t.answered.IsZero() && now.Sub(t.answered) < currentFor
}

// Status says whether a Recorder can serve.
type Status uint8

const (
	// Served means that the page holds what was asked for.
	Served Status = iota
	// NotCurrent means that the daemon does not read from the store, or that the
	// store does not answer it.
	NotCurrent
	// TooOld means that the changes since the revision are not kept.
	TooOld
)

// All returns all rows of a table.
func (r *Cache) All(table string) (rowstore.Page, Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(table)
	if !t.isCurrent(r.now()) {
		return rowstore.Page{}, NotCurrent
	}
	byKey := func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) }
	return rowstore.Page{Rows: slices.SortedFunc(maps.Values(t.rows), byKey), Revision: t.cursor}, Served
}

// Since returns the changes of a table after a revision. It waits until there
// are some or ctx ends.
func (r *Cache) Since(ctx context.Context, table string, since uint64) (rowstore.Page, Status) {
	for {
		page, status, moved := r.since(table, since)
		if status != Served || page.Revision > since {
			return page, status
		}
		select {
		case <-ctx.Done():
			return page, Served
		case <-moved:
		}
	}
}

func (r *Cache) since(table string, since uint64) (rowstore.Page, Status, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(table)
	switch {
	case !t.isCurrent(r.now()):
		return rowstore.Page{}, NotCurrent, nil
	case since < t.start:
		return rowstore.Page{}, TooOld, nil
	}
	page := rowstore.Page{Revision: max(t.cursor, since)}
	for _, row := range t.changes {
		if row.Revision > since {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, Served, t.moved
}
