package relay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
)

// newRelay returns the cache of a relay that has read a store, and its address.
func newRelay(t *testing.T, s *fakeStore) (*Cache, string) {
	t.Helper()
	cache := NewCache(s, nil)
	_, err := cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	server := httptest.NewServer(Handler(cache, NewSnapshots(cache, nil), discardLogger()))
	t.Cleanup(server.Close)
	return cache, server.Listener.Addr().String()
}

func TestRelayOfAnEarlierEraIsOutdated(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	cache, _ := newRelay(t, s)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, status := cache.AllRows(ended, table, 1)
	require.Equal(t, StatusNotCurrent, status)
	_, status = cache.ChangesSince(ended, table, rowstore.Position{Era: 1, Revision: 1})
	require.Equal(t, StatusNotCurrent, status, "the position is not comparable with the cache's")
}

// A relay reads the rows of a later era within a fraction of a second. Daemons that know
// of the era and do not wait for that would all call the store.
func TestReadersWaitForTheRelaysEra(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	cache, addr := newRelay(t, s)
	s.lose(1)
	pages := make(chan rowstore.Page, 1)
	go func() {
		page, err := newClient(nil).readAll(context.WithoutCancel(t.Context()), addr, table, 1)
		for err != nil {
			page, err = newClient(nil).readAll(context.WithoutCancel(t.Context()), addr, table, 1)
		}
		pages <- page
	}()
	_, err := cache.Changes(t.Context(), table, rowstore.Position{Revision: 1}, 0)
	require.ErrorIs(t, err, rowstore.ErrHistoryGone)
	_, err = cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	page := <-pages
	require.Equal(t, rowstore.Position{Era: 1}, page.Position())
	require.Empty(t, page.Rows)
}

// Readers that wait for changes learn of the loss from the relay, and none is sent to the
// store although the relay has to read all rows.
func TestRelayPassesTheEraOn(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	cache, addr := newRelay(t, s)
	errs := make(chan error, 1)
	go func() {
		_, err := newClient(nil).readChanges(context.WithoutCancel(t.Context()), addr, table, rowstore.Position{Revision: 1}, time.Second)
		for err == nil {
			_, err = newClient(nil).readChanges(context.WithoutCancel(t.Context()), addr, table, rowstore.Position{Revision: 1}, time.Second)
		}
		errs <- err
	}()
	s.lose(0)
	_, err := cache.Changes(t.Context(), table, rowstore.Position{Revision: 1}, 0)
	require.ErrorIs(t, err, rowstore.ErrHistoryGone)
	_, status := cache.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusServed, status, "the rows are still those of the store's last reply")
	_, err = cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	require.ErrorIs(t, <-errs, rowstore.ErrHistoryGone)
}

// A compressed response was cached under its revision, which the store gives out again.
func TestCachedResponseOfAnEarlierEraIsNotServed(t *testing.T) {
	s := newFakeStore()
	put := func(text string) {
		s.put("a", false)
		row := rowstore.Row{Table: table, Key: "a", Value: []byte(strings.Repeat(text, minCompressedBytes)), Revision: s.revision}
		s.rows["a"], s.changes[len(s.changes)-1] = row, row
	}
	put("x")
	cache, addr := newRelay(t, s)
	read := func() rowstore.Page {
		page, err := newClient(nil).readAll(t.Context(), addr, table, 0)
		require.NoError(t, err)
		return page
	}
	require.EqualValues(t, 'x', read().Rows[0].Value[0])
	s.lose(1)
	put("y")
	_, err := cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	page := read()
	require.Equal(t, rowstore.Position{Era: 1, Revision: 1}, page.Position())
	require.EqualValues(t, 'y', page.Rows[0].Value[0])
}

func TestCacheIgnoresPagesOfEarlierEras(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	old, err := s.ReadAll(t.Context(), table)
	require.NoError(t, err)
	s.lose(1)
	cache, _ := newRelay(t, s)
	cache.adoptAll(table, old, cache.now())
	page, status := cache.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusServed, status)
	require.Equal(t, rowstore.Position{Era: 1}, page.Position())
}

func TestSnapshotsAreReadAgainInALaterEra(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	snapshots := NewSnapshots(s, func() time.Time { return time.Unix(1000, 0) }, table)
	page, ok := snapshots.read(t.Context(), table, 0)
	require.True(t, ok)
	require.Len(t, page.Rows, 1)
	s.lose(1)
	page, ok = snapshots.read(t.Context(), table, 1)
	require.True(t, ok)
	require.Empty(t, page.Rows)
	_, ok = snapshots.read(t.Context(), table, 2)
	require.False(t, ok, "the store that this daemon reads is behind")
}

// A relay of an earlier era may be the only one that replies, because it is cut off from
// the store and does not know it yet.
func TestStoreRefusesPagesOfEarlierEras(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	_, addr := newRelay(t, s)
	s.lose(1)
	var relays []Member
	store := NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: discardLogger(), Relays: func(context.Context) []Member { return relays }})
	page, err := store.ReadAll(t.Context(), table)
	require.NoError(t, err)
	require.Equal(t, rowstore.Position{Era: 1}, page.Position())
	relays = []Member{{ID: "relay", Addr: addr}}
	page, err = store.ReadAll(t.Context(), table)
	require.NoError(t, err)
	require.Equal(t, rowstore.Position{Era: 1}, page.Position(), "read from the store")
	_, err = store.Changes(t.Context(), table, rowstore.Position{Revision: 1}, 0)
	require.ErrorIs(t, err, rowstore.ErrHistoryGone, "the position is of an earlier era than another table's rows")
}
