package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantusher.dev/platform/rowstore"
)

// fakeStore is a store with one table.
type fakeStore struct {
	mu       sync.Mutex
	rows     map[string]rowstore.Row
	changes  []rowstore.Row
	revision uint64
	era      uint64
	down     bool
	calls    int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]rowstore.Row{}} }

func (s *fakeStore) put(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	row := rowstore.Row{Table: table, Key: key, Value: []byte(fmt.Sprint(s.revision)), Revision: s.revision, Deleted: deleted}
	if deleted {
		row.Value = nil
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.changes = append(s.changes, row)
}

// lose undoes the last changes and begins a new era.
func (s *fakeStore) lose(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.changes = s.changes[:max(0, len(s.changes)-count)]
	s.rows, s.revision = map[string]rowstore.Row{}, 0
	for _, row := range s.changes {
		s.revision = row.Revision
		if s.rows[row.Key] = row; row.Deleted {
			delete(s.rows, row.Key)
		}
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) ReadAll(context.Context, string) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.Page{}, errors.New("down")
	}
	page := rowstore.Page{Revision: s.revision, Era: s.era}
	for _, row := range s.rows {
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

func (s *fakeStore) Changes(_ context.Context, _ string, since rowstore.Position, _ time.Duration) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.Page{}, errors.New("down")
	}
	if since.Era != s.era || since.Revision > s.revision {
		return rowstore.Page{}, rowstore.ErrHistoryGone
	}
	page := rowstore.Page{Revision: s.revision, Era: s.era}
	for _, row := range s.changes {
		if row.Revision > since.Revision {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}
