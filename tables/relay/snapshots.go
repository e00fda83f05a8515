package relay

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core/clock"
	"currantusher.dev/platform/rowstore"
)

// snapshotAge is how long the rows of a table that a relay does not follow are served
// after they were read. All daemons of a data centre read the lists of daemons within
// a second when a version of weights is configured.
const snapshotAge = 2 * time.Second

// Snapshots reads whole tables from the store for other daemons, and keeps each for
// snapshotAge. It is for tables that few daemons read at a time. It is safe for
// concurrent use.
type Snapshots struct {
	source Source
	tables map[string]*snapshot
	now    func() time.Time
}

// snapshot is a table as last read.
type snapshot struct {
	// mu is held during a call to the store, so that all requests meanwhile get its
	// result.
	mu     sync.Mutex
	page   rowstore.Page
	readAt time.Time
}

// NewSnapshots returns Snapshots of some tables of a store. now is the clock; nil means
// that of clock.New.
func NewSnapshots(source Source, now func() time.Time, tables ...string) *Snapshots {
	if now == nil {
		now = clock.New().Now
	}
	s := &Snapshots{source: source, tables: map[string]*snapshot{}, now: now}
	for _, table := range tables {
		s.tables[table] = &snapshot{}
	}
	return s
}

// read returns the rows of a table in an era of at least minEra. The second result is
// false if the table is not one of those that are served, or if the store does not reply.
func (s *Snapshots) read(ctx context.Context, table string, minEra uint64) (rowstore.Page, bool) {
	t := s.tables[table]
	if t == nil {
		return rowstore.Page{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.readAt.IsZero() && s.now().Sub(t.readAt) < snapshotAge && t.page.Era >= minEra {
		return t.page, true
	}
	page, err := s.source.ReadAll(ctx, table)
	if err != nil || page.Era < max(minEra, t.page.Era) {
		return rowstore.Page{}, false
	}
	t.page, t.readAt = page, s.now()
	return page, true
}
