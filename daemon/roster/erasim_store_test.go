package roster

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"currantusher.dev/platform/rowstore"
)

var errDown = errors.New("the store does not reply")

// simStore is a store without network, with the answers of a rowstore.Client.
type simStore struct {
	now      func() time.Time
	era      uint64
	revision uint64
	rows     map[string]rowstore.Row
	// log holds all changes of the current past with their times.
	log  []simChange
	down bool
	// ownWrites holds the times of the calls with which daemons wrote their rows.
	ownWrites []time.Time
}

type simChange struct {
	at  time.Time
	row rowstore.Row
}

func rowName(row rowstore.Row) string { return row.Table + "/" + row.Key }

func (s *simStore) write(row rowstore.Row) {
	s.revision++
	row.Revision = s.revision
	s.log = append(s.log, simChange{s.now(), row})
	s.apply(row)
}

func (s *simStore) apply(row rowstore.Row) {
	if row.Deleted {
		delete(s.rows, rowName(row))
	} else {
		s.rows[rowName(row)] = row
	}
}

// lose begins a new era without the changes of the last duration.
func (s *simStore) lose(duration time.Duration) {
	s.era++
	kept := slices.IndexFunc(s.log, func(c simChange) bool { return c.at.After(s.now().Add(-duration)) })
	if kept < 0 {
		return
	}
	s.log = s.log[:kept]
	s.rows, s.revision = map[string]rowstore.Row{}, 0
	for _, change := range s.log {
		s.revision = change.row.Revision
		s.apply(change.row)
	}
}

// table returns the rows of a table by key.
func (s *simStore) table(name string) map[string]rowstore.Row {
	rows := map[string]rowstore.Row{}
	for _, row := range s.rows {
		if row.Table == name {
			rows[row.Key] = row
		}
	}
	return rows
}

func (s *simStore) readAll(table string) (rowstore.Page, error) {
	if s.down {
		return rowstore.Page{}, errDown
	}
	return rowstore.Page{Rows: slices.Collect(maps.Values(s.table(table))), Revision: s.revision, Era: s.era}, nil
}

func (s *simStore) changes(table string, since rowstore.Position) (rowstore.Page, error) {
	switch {
	case s.down:
		return rowstore.Page{}, errDown
	case s.era > since.Era, since.Revision > s.revision:
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	page := rowstore.Page{Revision: s.revision, Era: s.era}
	first, _ := slices.BinarySearchFunc(s.log, since.Revision+1, func(c simChange, revision uint64) int { return int(c.row.Revision) - int(revision) })
	for _, change := range s.log[first:] {
		if change.row.Table == table {
			page.Rows = append(page.Rows, change.row)
		}
	}
	return page, nil
}

// simAnswer is the source of a relay's cache: the answer that has just arrived.
type simAnswer struct {
	page rowstore.Page
	err  error
}

func (a *simAnswer) ReadAll(context.Context, string) (rowstore.Page, error) { return a.page, a.err }

func (a *simAnswer) Changes(context.Context, string, rowstore.Position, time.Duration) (rowstore.Page, error) {
	return a.page, a.err
}

// simWriter writes rows, and writes lost ones again like operators and backend servers.
type simWriter struct {
	// intended holds the last accepted write of each row.
	intended map[string]rowstore.Row
	// era is that in which all intended rows were last written, and rewriteAt when those
	// that a later era lost are written again; zero if it is not due.
	era       uint64
	rewriteAt time.Time
}

// write writes a row, unless the store is down.
func (w *simWriter) write(s *simStore, row rowstore.Row) {
	if s.down {
		return
	}
	s.write(row)
	w.intended[rowName(row)] = row
}

// restore writes lost rows again after delay.
func (w *simWriter) restore(s *simStore, delay time.Duration) {
	if s.down {
		w.rewriteAt = time.Time{}
		return
	}
	if w.era < s.era && w.rewriteAt.IsZero() {
		w.rewriteAt = s.now().Add(delay)
	}
	if w.rewriteAt.IsZero() || s.now().Before(w.rewriteAt) {
		return
	}
	w.era, w.rewriteAt = s.era, time.Time{}
	for _, name := range slices.Sorted(maps.Keys(w.intended)) {
		row := w.intended[name]
		stored, ok := s.rows[name]
		if ok == row.Deleted || ok && string(stored.Value) != string(row.Value) {
			s.write(row)
		}
	}
}
