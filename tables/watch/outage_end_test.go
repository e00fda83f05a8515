package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
)

var errStoreDown = errors.New("the store is down")

// outageStore is a store that long-polls, and does not reply during an outage.
type outageStore struct {
	mu      sync.Mutex
	changes map[string][]rowstore.Row
	down    bool
	// hangingTable is the table whose calls during an outage fail long after its end.
	hangingTable string
}

func (s *outageStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *outageStore) add(row rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[row.Table] = append(s.changes[row.Table], row)
}

func (s *outageStore) read(table string, since uint64) (rowstore.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Revision: since}
	for _, row := range s.changes[table] {
		if row.Revision > since {
			page.Rows, page.Revision = append(page.Rows, row), row.Revision
		}
	}
	return page, s.down
}

func (s *outageStore) ReadAll(_ context.Context, table string) (rowstore.Page, error) {
	page, down := s.read(table, 0)
	if down {
		return rowstore.Page{}, errStoreDown
	}
	return page, nil
}

func (s *outageStore) Changes(ctx context.Context, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(wait); ; time.Sleep(step) {
		page, down := s.read(table, since.Revision)
		switch {
		case ctx.Err() != nil:
			return rowstore.Page{}, ctx.Err()
		case down && table == s.hangingTable:
			time.Sleep(wait + 2*time.Second)
			return rowstore.Page{}, errStoreDown
		case down:
			return rowstore.Page{}, errStoreDown
		case len(page.Rows) > 0 || time.Now().After(end):
			return page, nil
		}
	}
}

// runFollower runs a Follower of both tables. The function that it returns ends it.
func runFollower(t *testing.T, store Store) (f *Follower, stop func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	f = NewFollower(Config{Store: store, Tables: []string{OperatorTable, ServersTable}, Log: log.WithField("test", t.Name()), Now: time.Now})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return f, func() {
		cancel()
		<-done
	}
}

// Guards against an entry that takes a row for one that expired in an outage of the
// store, because its calls to the store were quiet since the end of that outage.
func TestRowRemovedLongAfterAnOutageIsThatOfAGoneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &outageStore{changes: map[string][]rowstore.Row{}}
		store.add(configRow(3, 5))
		store.add(serverRow("s-1", 6, nil))
		f, stop := runFollower(t, store)
		defer stop()
		time.Sleep(startTime + time.Second)
		require.Equal(t, []string{"s-1"}, serverIDs(f.View()))
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.setDown(false)
		time.Sleep(2 * lapsedRowGrace)
		store.add(rowstore.Row{Table: ServersTable, Key: "s-1", Revision: 7, Deleted: true})
		time.Sleep(time.Second)
		require.Empty(t, serverIDs(f.View()), "a server whose row is removed so long after an outage has left")
	})
}

// Guards against an entry that takes the late failure of a call that began in an outage
// for another outage.
func TestCallThatFailsAfterAnOutageIsNotAnotherOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &outageStore{changes: map[string][]rowstore.Row{}, hangingTable: OperatorTable}
		store.add(configRow(3, 5))
		store.add(serverRow("s-1", 6, nil))
		f, stop := runFollower(t, store)
		defer stop()
		time.Sleep(startTime + time.Second)
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.setDown(false)
		time.Sleep(time.Second)
		store.add(serverRow("s-2", 7, nil))
		time.Sleep(lapsedRowGrace)
		require.Equal(t, []string{"s-1", "s-2"}, serverIDs(f.View()))
		store.add(rowstore.Row{Table: ServersTable, Key: "s-1", Revision: 8, Deleted: true})
		time.Sleep(time.Second)
		require.Equal(t, []string{"s-2"}, serverIDs(f.View()), "the store has replied since the outage")
	})
}

// Guards against an entry that keeps servers which left during its standstill, because its
// own calls expired meanwhile.
func TestCallThatExpiresInAStandstillIsNoOutage(t *testing.T) {
	f, now := newTestFollower(t)
	require.True(t, f.Import(Snapshot{Table: ServersTable, NewestRevision: 6, Cursor: 6, Rows: []rowstore.Row{serverRow("s-1", 6, nil)}}))
	calledAt := *now
	*now = now.Add(8 * time.Second)
	f.handleFailure(ServersTable, calledAt, errStoreDown)
	f.update(func(now time.Time) {
		f.state.MarkStoreUp(now)
		f.state.Apply(now, ServersTable, newPage(7, rowstore.Row{Table: ServersTable, Key: "s-1", Revision: 7, Deleted: true}))
	})
	require.Empty(t, f.View().Servers)
}
