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

// source is a store with one table.
type source struct {
	mu       sync.Mutex
	rows     map[string]rowstore.Row
	changes  []rowstore.Row
	revision uint64
	down     bool
	calls    int
}

func newSource() *source { return &source{rows: map[string]rowstore.Row{}} }

func (s *source) put(key string, deleted bool) {
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

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *source) ReadAll(context.Context, string) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.Page{}, errors.New("down")
	}
	page := rowstore.Page{Revision: s.revision}
	for _, row := range s.rows {
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

func (s *source) Changes(_ context.Context, _ string, since uint64, _ time.Duration) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.Page{}, errors.New("down")
	}
	page := rowstore.Page{Revision: s.revision}
	for _, row := range s.changes {
		if row.Revision > since {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// reader follows a table as a daemon does.
type reader struct {
	store  Source
	rows   map[string]rowstore.Row
	cursor uint64
	whole  bool
}

func (r *reader) read(ctx context.Context) error {
	if !r.whole {
		page, err := r.store.ReadAll(ctx, table)
		if err != nil {
			return err
		}
		r.rows = map[string]rowstore.Row{}
		for _, row := range page.Rows {
			r.rows[row.Key] = row
		}
		r.cursor, r.whole = page.Revision, true
		return nil
	}
	page, err := r.store.Changes(ctx, table, r.cursor, time.Millisecond)
	if errors.Is(err, rowstore.ErrHistoryGone) {
		r.whole = false
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
	r.cursor = max(r.cursor, page.Revision)
	return nil
}

// Whatever changes, and whoever a daemon reads from meanwhile, it ends with the
// store's rows.
func TestReadersEndWithTheStoresRows(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSource()
		relays := []Member{}
		recorder := NewCache(s, nil)
		server := httptest.NewServer(Handler(recorder, quiet()))
		self := Member{ID: "relay", Addr: server.Listener.Addr().String()}
		relayReader := &reader{store: NewStore(Config{Self: self.ID, Cache: recorder, Log: quiet(),
			Relays: func(context.Context) []Member { return []Member{self} }})}
		listener := &reader{store: NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: quiet(),
			Relays: func(context.Context) []Member { return relays }})}
		for range 60 {
			switch random.IntN(8) {
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
			default:
				_ = relayReader.read(t.Context())
				_ = listener.read(t.Context())
			}
		}
		s.setDown(false)
		relays = []Member{self}
		for range 3 {
			require.NoError(t, relayReader.read(t.Context()))
			require.NoError(t, listener.read(t.Context()))
		}
		require.Equal(t, s.rows, relayReader.rows, "seed %d", seed)
		require.Equal(t, s.rows, listener.rows, "seed %d", seed)
		server.Close()
	}
}

func TestListenersDoNotCallTheStore(t *testing.T) {
	s := newSource()
	s.put("a", false)
	recorder := NewCache(s, nil)
	server := httptest.NewServer(Handler(recorder, quiet()))
	defer server.Close()
	relayReader := &reader{store: recorder}
	require.NoError(t, relayReader.read(t.Context()))
	member := Member{ID: "relay", Addr: server.Listener.Addr().String()}
	listener := &reader{store: NewStore(Config{Self: "listener", Cache: NewCache(s, nil), Log: quiet(),
		Relays: func(context.Context) []Member { return []Member{member} }})}
	calls := s.calls
	for range 10 {
		require.NoError(t, listener.read(t.Context()))
	}
	require.Equal(t, calls, s.calls)
	server.Close()
	require.NoError(t, listener.read(t.Context()), "the store is asked when the relay is gone")
	require.Greater(t, s.calls, calls)
}

// A relay that the store turned away must not pass for one that knows all.
func TestRelayWithoutTheStoreDoesNotServe(t *testing.T) {
	s := newSource()
	now := time.Unix(1000, 0)
	recorder := NewCache(s, func() time.Time { return now })
	_, status := recorder.All(table)
	require.Equal(t, NotCurrent, status)
	_, err := recorder.ReadAll(t.Context(), table)
	require.NoError(t, err)
	_, status = recorder.All(table)
	require.Equal(t, Served, status)
	now = now.Add(currentFor)
	_, status = recorder.All(table)
	require.Equal(t, NotCurrent, status, "it may have been frozen")
	_, err = recorder.Changes(t.Context(), table, 0, 0)
	require.NoError(t, err)
	s.setDown(true)
	_, err = recorder.Changes(t.Context(), table, 0, 0)
	require.Error(t, err)
	_, status = recorder.Since(t.Context(), table, 0)
	require.Equal(t, NotCurrent, status)
}

func TestFarBehindListenersReadAllRows(t *testing.T) {
	s := newSource()
	recorder := NewCache(s, nil)
	relayReader := &reader{store: recorder}
	require.NoError(t, relayReader.read(t.Context()))
	for i := range maxChanges + 10 {
		s.put(fmt.Sprint(i%7), false)
	}
	require.NoError(t, relayReader.read(t.Context()))
	_, status := recorder.Since(t.Context(), table, 1)
	require.Equal(t, TooOld, status)
	page, status := recorder.Since(t.Context(), table, uint64(maxChanges))
	require.Equal(t, Served, status)
	require.Len(t, page.Rows, 10)
}

func TestFewEntriesReadForThemselves(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{ID: core.InstanceID(fmt.Sprintf("e-%d", i)), DataCentre: core.DataCentre([]string{"a", "b"}[i%2])})
	}
	chosen := Relays(members, "a")
	require.Len(t, chosen, relays)
	for _, m := range chosen {
		require.EqualValues(t, "a", m.DataCentre)
	}
	require.Nil(t, Relays(members[:6], "a"))
	require.Nil(t, Relays(members, "c"))
}

// A configuration of hundreds of kilobytes goes to a dozen daemons at once.
func TestLargeRowsAreSentSmall(t *testing.T) {
	s := newSource()
	s.put("a", false)
	recorder := NewCache(s, nil)
	first := &reader{store: recorder}
	require.NoError(t, first.read(t.Context()))
	text := strings.Repeat("the same route again, ", 20000)
	s.mu.Lock()
	s.revision++
	row := rowstore.Row{Table: table, Key: "large", Value: []byte(text), Revision: s.revision}
	s.rows["large"] = row
	s.changes = append(s.changes, row)
	s.mu.Unlock()
	require.NoError(t, first.read(t.Context()))
	handler := Handler(recorder, quiet())
	recorded := httptest.NewRecorder()
	handler.ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, Path+table+"?since=1&wait=1ms", nil))
	require.Less(t, recorded.Body.Len(), len(text)/20)
	server := httptest.NewServer(handler)
	defer server.Close()
	for range 3 {
		page, err := newClient().since(t.Context(), server.Listener.Addr().String(), table, 1, time.Second)
		require.NoError(t, err)
		require.Equal(t, []rowstore.Row{row}, page.Rows)
	}
}
