// Package relay distributes the rows of the platform's store from a few daemons
// of a data centre, the relays, to all others there. The store's load and the
// traffic between regions are then proportional to the number of data centres,
// not of daemons. Cache keeps the rows that a relay reads from the store, Handler
// serves them, and Store reads from a relay, or from the store if the relay does
// not respond.
package relay

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core/clock"
	"currantusher.dev/platform/rowstore"
)

const (
	// maxCachedChanges bounds the changes kept for each table. A daemon that is
	// further behind reads all rows.
	maxCachedChanges = 512
	// maxReplyAge is the time after the store's last reply for which rows are
	// served. It is longer than a relay's call that waits for changes.
	maxReplyAge = relayPollTimeout + rowstore.CallTimeout + 500*time.Millisecond
)

// Source is the platform's store.
type Source interface {
	ReadAll(ctx context.Context, table string) (rowstore.Page, error)
	Changes(ctx context.Context, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error)
}

// Cache reads from the store and keeps the rows it has read. It is safe for
// concurrent use.
type Cache struct {
	source Source
	now    func() time.Time

	mu     sync.Mutex
	tables map[string]*cachedTable
}

// cachedTable holds the rows of a table as last read.
type cachedTable struct {
	rows map[string]rowstore.Row
	// changes holds the changes after the revision changesAfter, in order.
	changes      []rowstore.Row
	changesAfter uint64
	// cursor is the position up to which the table was read.
	cursor rowstore.Position
	// lastReplyAt is the time of the store's last reply, or zero after a failed
	// call.
	lastReplyAt time.Time
	// readAt is when the last call began from which the rows are.
	readAt time.Time
	// updated is closed and replaced when the cursor advances or a call to the
	// store fails.
	updated chan struct{}
}

// NewCache returns an empty Cache of a store. now is the clock, which must count
// suspensions of the machine: readers rely on the age of rows. nil means that of clock.New.
func NewCache(source Source, now func() time.Time) *Cache {
	if now == nil {
		now = clock.New().Now
	}
	return &Cache{source: source, now: now, tables: map[string]*cachedTable{}}
}

// ReadAll reads all rows of a table from the store, and caches them.
func (c *Cache) ReadAll(ctx context.Context, table string) (rowstore.Page, error) {
	calledAt := c.now()
	page, err := c.source.ReadAll(ctx, table)
	if err != nil {
		c.markUnavailable(table)
		return page, err
	}
	c.adoptAll(table, page, calledAt)
	return page, nil
}

// adoptAll caches all rows of a table, which were read from the store or a relay by a call
// that began at calledAt.
func (c *Cache) adoptAll(table string, page rowstore.Page, calledAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(table)
	if page.Era < t.cursor.Era {
		return
	}
	t.rows = make(map[string]rowstore.Row, len(page.Rows))
	for _, row := range page.Rows {
		t.rows[row.Key] = row
	}
	// The order of the changes since the last read is unknown.
	t.changes = nil
	t.changesAfter = page.Revision
	t.readAt = calledAt.Add(-page.Age)
	t.advance(page.Position(), c.now())
}

// Changes reads the changes of a table after a position from the store, and
// caches them. It waits up to wait for the first change.
func (c *Cache) Changes(ctx context.Context, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	calledAt := c.now()
	page, err := c.source.Changes(ctx, table, since, wait)
	if err != nil {
		if !errors.Is(err, rowstore.ErrHistoryGone) {
			c.markUnavailable(table)
		}
		return page, err
	}
	c.adoptChanges(table, since, page, calledAt)
	return page, nil
}

// adoptChanges caches the changes of a table after a position, which were read from the
// store or a relay by a call that began at calledAt.
func (c *Cache) adoptChanges(table string, since rowstore.Position, page rowstore.Page, calledAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(table)
	if since != t.cursor || t.rows == nil {
		// The daemon has read from another source meanwhile, so that some
		// changes are missing here.
		t.rows = nil
		return
	}
	t.appendChanges(page.Rows)
	t.readAt = calledAt.Add(-page.Age)
	t.advance(rowstore.Position{Era: since.Era, Revision: max(page.Revision, since.Revision)}, c.now())
}

// drop removes the rows of a table, when this daemon no longer reads it from the store.
// Daemons that still take this one for a relay would otherwise miss all later changes.
func (c *Cache) drop(table string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table(table); t.rows != nil {
		t.rows = nil
		t.markUnavailable()
	}
}

// markUnavailable records that the store does not reply.
func (c *Cache) markUnavailable(table string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table(table).markUnavailable()
}

// hasAllRowsAt reports whether the cache holds all rows of a table at exactly
// this position.
func (c *Cache) hasAllRowsAt(table string, position rowstore.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(table)
	return t.rows != nil && t.cursor == position
}

func (c *Cache) table(name string) *cachedTable {
	t := c.tables[name]
	if t == nil {
		t = &cachedTable{updated: make(chan struct{})}
		c.tables[name] = t
	}
	return t
}

func (t *cachedTable) appendChanges(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
		t.changes = append(t.changes, row)
	}
	for len(t.changes) > maxCachedChanges {
		t.changesAfter = t.changes[0].Revision
		t.changes = t.changes[1:]
	}
}

func (t *cachedTable) advance(cursor rowstore.Position, now time.Time) {
	t.lastReplyAt = now
	if cursor == t.cursor {
		return
	}
	t.cursor = cursor
	t.notifyWaiters()
}

func (t *cachedTable) markUnavailable() {
	t.lastReplyAt = time.Time{}
	t.notifyWaiters()
}

func (t *cachedTable) notifyWaiters() {
	close(t.updated)
	t.updated = make(chan struct{})
}

// isCurrent reports whether the cache holds all rows and the store has replied
// recently.
func (t *cachedTable) isCurrent(now time.Time) bool {
	return t.rows != nil && !t.lastReplyAt.IsZero() && now.Sub(t.lastReplyAt) < maxReplyAge
}

// Status says whether a Cache can serve a request.
type Status uint8

const (
	// StatusServed means that the page holds the requested rows.
	StatusServed Status = iota
	// StatusNotCurrent means that the daemon does not read from the store, that
	// the store does not reply, or that the cache is in an earlier era than requested.
	StatusNotCurrent
	// StatusTooOld means that the changes since the requested position are no
	// longer kept, or that it belongs to an earlier era.
	StatusTooOld
)

// AllRows returns all rows of a table in an era of at least minEra. It waits for that
// era until ctx ends.
func (c *Cache) AllRows(ctx context.Context, table string, minEra uint64) (rowstore.Page, Status) {
	for {
		page, status, updated := c.allRows(table, minEra)
		if updated == nil {
			return page, status
		}
		select {
		case <-ctx.Done():
			return page, status
		case <-updated:
		}
	}
}

// allRows returns the channel that reports the next update if the cache is in an earlier
// era than minEra.
func (c *Cache) allRows(table string, minEra uint64) (rowstore.Page, Status, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(table)
	switch {
	case !t.isCurrent(c.now()):
		return rowstore.Page{}, StatusNotCurrent, nil
	case t.cursor.Era < minEra:
		return rowstore.Page{}, StatusNotCurrent, t.updated
	}
	byKey := func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) }
	rows := slices.SortedFunc(maps.Values(t.rows), byKey)
	return rowstore.Page{Rows: rows, Revision: t.cursor.Revision, Era: t.cursor.Era, Age: c.now().Sub(t.readAt)}, StatusServed, nil
}

// ChangesSince returns the changes of a table after a position. It waits until
// there are any or ctx ends. If the cache is in an earlier era than the position, it
// waits for that era.
func (c *Cache) ChangesSince(ctx context.Context, table string, since rowstore.Position) (rowstore.Page, Status) {
	for {
		page, status, updated := c.cachedChanges(table, since)
		if updated == nil || page.Revision > since.Revision {
			return page, status
		}
		select {
		case <-ctx.Done():
			return page, status
		case <-updated:
		}
	}
}

// cachedChanges returns the channel that reports the next update if waiting for it may
// give another result.
func (c *Cache) cachedChanges(table string, since rowstore.Position) (rowstore.Page, Status, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(table)
	switch {
	case !t.isCurrent(c.now()):
		return rowstore.Page{}, StatusNotCurrent, nil
	case since.Era > t.cursor.Era:
		return rowstore.Page{}, StatusNotCurrent, t.updated
	case since.Era < t.cursor.Era, since.Revision < t.changesAfter:
		return rowstore.Page{}, StatusTooOld, nil
	}
	page := rowstore.Page{Revision: max(t.cursor.Revision, since.Revision), Era: t.cursor.Era, Age: c.now().Sub(t.readAt)}
	for _, row := range t.changes {
		if row.Revision > since.Revision {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, StatusServed, t.updated
}
