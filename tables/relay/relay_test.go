package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform/rowstore"
)

const table = "t"

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// tableReader reads a table and its changes as a daemon does.
type tableReader struct {
	store  Source
	rows   map[string]rowstore.Row
	cursor rowstore.Position
	loaded bool
}

func (r *tableReader) read(ctx context.Context) error {
	if !r.loaded {
		page, err := r.store.ReadAll(ctx, table)
		if err != nil {
			return err
		}
		r.rows = map[string]rowstore.Row{}
		for _, row := range page.Rows {
			r.rows[row.Key] = row
		}
		r.cursor, r.loaded = page.Position(), true
		return nil
	}
	page, err := r.store.Changes(ctx, table, r.cursor, time.Millisecond)
	if errors.Is(err, rowstore.ErrHistoryGone) {
		r.loaded = false
		return r.read(ctx)
	}
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if row.Deleted {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = row
		}
	}
	r.cursor.Revision = max(r.cursor.Revision, page.Revision)
	return nil
}

// Readers must end with the store's rows after random changes, store outages, losses
// of the latest changes and switches between the store and a relay.
func TestReadersConvergeToStoreRows(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newFakeStore()
		relays := []Member{}
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		cache := NewCache(s, nil)
		server := httptest.NewServer(Handler(cache, NewSnapshots(cache, nil), discardLogger()))
		self := Member{ID: "relay", Addr: server.Listener.Addr().String()}
		relayReader := &tableReader{store: NewStore(Config{Self: self.ID, Cache: cache, Log: discardLogger(),
			Relays: func(context.Context) []Member { return []Member{self} }})}
		follower := &tableReader{store: NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: discardLogger(), Now: clock,
			Relays: func(context.Context) []Member { return relays }})}
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			switch random.IntN(9) {
			case 0:
				s.put(fmt.Sprint(random.IntN(6)), true)
			case 1, 2, 3:
				s.put(fmt.Sprint(random.IntN(6)), false)
			case 4:
				s.setDown(random.IntN(2) == 0)
			case 5:
				if relays = []Member{self}; random.IntN(2) == 0 {
					relays = nil
				}
			case 6:
				s.lose(random.IntN(4))
			default:
				_ = relayReader.read(t.Context())
				_ = follower.read(t.Context())
			}
		}
		s.setDown(false)
		relays = []Member{self}
		now = now.Add(2 * maxDirectDelay)
		for range 3 {
			require.NoError(t, relayReader.read(t.Context()))
			require.NoError(t, follower.read(t.Context()))
		}
		require.Equal(t, s.rows, relayReader.rows, "seed %d", seed)
		require.Equal(t, s.rows, follower.rows, "seed %d", seed)
		server.Close()
	}
}

func TestFollowersReadFromRelayOnly(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	cache := NewCache(s, nil)
	server := httptest.NewServer(Handler(cache, NewSnapshots(cache, nil), discardLogger()))
	defer server.Close()
	relayReader := &tableReader{store: cache}
	require.NoError(t, relayReader.read(t.Context()))
	member := Member{ID: "relay", Addr: server.Listener.Addr().String()}
	follower := &tableReader{store: NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: discardLogger(),
		Relays: func(context.Context) []Member { return []Member{member} }})}
	calls := s.calls
	for range 10 {
		require.NoError(t, follower.read(t.Context()))
	}
	require.Equal(t, calls, s.calls)
	server.Close()
	require.NoError(t, follower.read(t.Context()), "the store is read if the relay is gone")
	require.Greater(t, s.calls, calls)
}

// A relay that cannot read from the store must not serve its old rows as
// current.
func TestRelayWithoutStoreDoesNotServe(t *testing.T) {
	s := newFakeStore()
	now := time.Unix(1000, 0)
	cache := NewCache(s, func() time.Time { return now })
	_, status := cache.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusNotCurrent, status)
	_, err := cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	_, status = cache.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusServed, status)
	now = now.Add(maxReplyAge)
	_, status = cache.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusNotCurrent, status, "the process may have been suspended")
	_, err = cache.Changes(t.Context(), table, rowstore.Position{}, 0)
	require.NoError(t, err)
	s.setDown(true)
	_, err = cache.Changes(t.Context(), table, rowstore.Position{}, 0)
	require.Error(t, err)
	_, status = cache.ChangesSince(t.Context(), table, rowstore.Position{})
	require.Equal(t, StatusNotCurrent, status)
}

func TestOutdatedFollowersReadAllRows(t *testing.T) {
	s := newFakeStore()
	cache := NewCache(s, nil)
	relayReader := &tableReader{store: cache}
	require.NoError(t, relayReader.read(t.Context()))
	for i := range maxCachedChanges + 10 {
		s.put(fmt.Sprint(i%7), false)
	}
	require.NoError(t, relayReader.read(t.Context()))
	_, status := cache.ChangesSince(t.Context(), table, rowstore.Position{Revision: 1})
	require.Equal(t, StatusTooOld, status)
	page, status := cache.ChangesSince(t.Context(), table, rowstore.Position{Revision: maxCachedChanges})
	require.Equal(t, StatusServed, status)
	require.Len(t, page.Rows, 10)
}

func TestRelaysAreChosenPerDataCentre(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{ID: core.InstanceID(fmt.Sprintf("e-%d", i)), DataCentre: core.DataCentre([]string{"a", "b"}[i%2])})
	}
	chosen := Relays(members, "a")
	require.Len(t, chosen, relaysPerDataCentre)
	for _, m := range chosen {
		require.EqualValues(t, "a", m.DataCentre)
	}
	require.Nil(t, Relays(members[:6], "a"))
	require.Nil(t, Relays(members, "c"))
}

// A relay sends configurations of hundreds of kilobytes to a dozen daemons at
// the same time, so they must be compressed.
func TestLargeResponsesAreCompressed(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	cache := NewCache(s, nil)
	relayReader := &tableReader{store: cache}
	require.NoError(t, relayReader.read(t.Context()))
	text := strings.Repeat("the same route again, ", 20000)
	s.mu.Lock()
	s.revision++
	row := rowstore.Row{Table: table, Key: "large", Value: []byte(text), Revision: s.revision}
	s.rows["large"] = row
	s.changes = append(s.changes, row)
	s.mu.Unlock()
	require.NoError(t, relayReader.read(t.Context()))
	handler := Handler(cache, NewSnapshots(cache, nil), discardLogger())
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, Path+table+"?since=1&wait=1ms", nil))
	require.Less(t, response.Body.Len(), len(text)/20)
	server := httptest.NewServer(handler)
	defer server.Close()
	for range 3 {
		page, err := newClient(nil).readChanges(t.Context(), server.Listener.Addr().String(), table, rowstore.Position{Revision: 1}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []rowstore.Row{row}, page.Rows)
	}
}

// All agents read the lists of daemons when a version of weights is configured. The
// relay must read them from the store once, and again only after a while.
func TestSnapshotsAreReadOnceForAllDaemons(t *testing.T) {
	source := newFakeStore()
	source.put("a-1", false)
	now := time.Unix(1000, 0)
	snapshots := NewSnapshots(source, func() time.Time { return now }, table)
	server := httptest.NewServer(Handler(NewCache(source, nil), snapshots, discardLogger()))
	defer server.Close()
	read := func() int {
		page, err := newClient(nil).readAll(context.Background(), strings.TrimPrefix(server.URL, "http://"), table, 0)
		require.NoError(t, err)
		return len(page.Rows)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { read() })
	}
	group.Wait()
	require.Equal(t, 1, source.calls)
	source.put("a-2", false)
	require.Equal(t, 1, read())
	now = now.Add(snapshotAge)
	require.Equal(t, 2, read())
	require.Equal(t, 2, source.calls)

	now = now.Add(snapshotAge)
	source.setDown(true)
	_, err := newClient(nil).readAll(context.Background(), strings.TrimPrefix(server.URL, "http://"), table, 0)
	require.Error(t, err, "the daemon reads from the store itself")
}

// While the store was down, every daemon of a large fleet called it several times a
// second.
func TestDaemonsWithRelaysSpareAStoreThatIsDown(t *testing.T) {
	s := newFakeStore()
	s.setDown(true)
	now := time.Unix(1000, 0)
	cache := NewCache(s, nil)
	server := httptest.NewServer(Handler(cache, NewSnapshots(s, nil), discardLogger()))
	defer server.Close()
	member := Member{ID: "relay", Addr: server.Listener.Addr().String()}
	follower := &tableReader{store: NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: discardLogger(), Now: func() time.Time { return now },
		Relays: func(context.Context) []Member { return []Member{member} }})}
	for range 40 {
		require.Error(t, follower.read(t.Context()))
		now = now.Add(250 * time.Millisecond)
	}
	require.LessOrEqual(t, s.calls, 8, "in 10 s")
	s.setDown(false)
	_, err := cache.ReadAll(t.Context(), table)
	require.NoError(t, err)
	now = now.Add(outdatedRelayDelay)
	require.NoError(t, follower.read(t.Context()), "the relay serves the rows at once")
}

// The second relay of a data centre reads from the first, and serves its rows.
func TestSecondRelayReadsFromTheFirst(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	caches := []*Cache{NewCache(s, nil), NewCache(s, nil)}
	var members []Member
	for i, cache := range caches {
		server := httptest.NewServer(Handler(cache, NewSnapshots(s, nil), discardLogger()))
		defer server.Close()
		members = append(members, Member{ID: core.InstanceID(fmt.Sprint("relay-", i)), Addr: server.Listener.Addr().String()})
	}
	readers := make([]*tableReader, len(caches))
	for i, cache := range caches {
		readers[i] = &tableReader{store: NewStore(Config{Self: members[i].ID, Cache: cache, Log: discardLogger(),
			Relays: func(context.Context) []Member { return members }})}
		require.NoError(t, readers[i].read(t.Context()))
	}
	calls := s.calls
	for range 5 {
		require.NoError(t, readers[1].read(t.Context()))
	}
	require.Equal(t, calls, s.calls)
	s.put("b", false)
	require.NoError(t, readers[0].read(t.Context()))
	require.NoError(t, readers[1].read(t.Context()))
	page, status := caches[1].AllRows(t.Context(), table, 0)
	require.Equal(t, StatusServed, status)
	require.Len(t, page.Rows, 2)
}

// A daemon that is no longer a relay has rows that do not change any more. Daemons that
// still asked it missed all changes for seconds.
func TestFormerRelayDoesNotServe(t *testing.T) {
	s := newFakeStore()
	s.put("a", false)
	former, current := NewCache(s, nil), NewCache(s, nil)
	server := httptest.NewServer(Handler(current, NewSnapshots(s, nil), discardLogger()))
	defer server.Close()
	relays := []Member{{ID: "former"}}
	store := NewStore(Config{Self: "former", Cache: former, Log: discardLogger(), Relays: func(context.Context) []Member { return relays }})
	reader := &tableReader{store: store}
	require.NoError(t, reader.read(t.Context()))
	_, status := former.AllRows(t.Context(), table, 0)
	require.Equal(t, StatusServed, status)
	_, err := current.ReadAll(t.Context(), table)
	require.NoError(t, err)
	relays = []Member{{ID: "current", Addr: server.Listener.Addr().String()}}
	require.NoError(t, reader.read(t.Context()))
	_, status = former.ChangesSince(t.Context(), table, rowstore.Position{Revision: 1})
	require.Equal(t, StatusNotCurrent, status)
}
