package roster

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

var start = time.Unix(1000, 0)

func TestKeeperWritesOnlyAfterALoss(t *testing.T) {
	var k keeper
	k.see(start, 3, 0)
	require.False(t, k.isDue(start.Add(time.Hour)), "the row has not been written yet")
	k.accepted(3, 3)
	k.see(start, 3, 0)
	require.False(t, k.isDue(start.Add(time.Hour)))
	k.see(start, 4, time.Second)
	k.see(start.Add(time.Second/2), 5, time.Second)
	require.False(t, k.isDue(start.Add(time.Second-1)))
	require.True(t, k.isDue(start.Add(time.Second)), "a second loss does not postpone the write")
	k.accepted(5, 5)
	k.see(start, 5, 0)
	require.False(t, k.isDue(start.Add(time.Hour)))
}

// A write may be accepted just before the loss, and its response arrive after it.
func TestKeeperWritesAgainIfTheResponseIsOfAnEarlierEra(t *testing.T) {
	var k keeper
	k.accepted(1, 0)
	k.see(start, 2, 0)
	require.True(t, k.isDue(start))
	k.see(start, 3, 0)
	k.accepted(2, 2)
	k.see(start, 3, time.Second)
	require.False(t, k.isDue(start))
	require.True(t, k.isDue(start.Add(time.Second)))
}

// A store that names its era in pages but not in responses to writes must not be written
// to for ever.
func TestKeeperCountsResponsesWithoutAnEra(t *testing.T) {
	var k keeper
	k.accepted(0, 0)
	k.see(start, 2, 0)
	require.True(t, k.isDue(start))
	k.accepted(0, 2)
	k.see(start, 2, 0)
	require.False(t, k.isDue(start.Add(time.Hour)))
}

func TestLostRowsCountForAWhile(t *testing.T) {
	var l lostRows
	page := func(era uint64, keys ...string) (page rowstore.Page) {
		page.Era = era
		for _, key := range keys {
			page.Rows = append(page.Rows, rowstore.Row{Key: key, Value: []byte(fmt.Sprint(era))})
		}
		return page
	}
	merge := func(after time.Duration, page rowstore.Page) (text string) {
		for _, row := range l.merge(start.Add(after), page) {
			text += fmt.Sprintf("%s%s ", row.Key, row.Value)
		}
		return strings.TrimSpace(text)
	}
	require.Equal(t, "a1 b1", merge(0, page(1, "a", "b")))
	require.Equal(t, "a1", merge(0, page(1, "a")), "without a loss a row that is gone counts no more")
	require.Equal(t, "a1 b1 c1", merge(0, page(1, "a", "b", "c")))
	require.Equal(t, "a2 b1 c1", merge(time.Second, page(2, "a")))
	require.Equal(t, "a2 b1 c1", merge(time.Second, page(1, "a", "b", "c", "d")), "a page from before the loss")
	require.Equal(t, "a3 b1 c1 d3", merge(2*time.Second, page(3, "a", "d")), "a second loss")
	require.Equal(t, "a3 d3", merge(2*time.Second+lostRowGrace, page(3, "a", "d")))
}

// testStore is a stand-in store with a roster that is kept in it.
type testStore struct {
	store  *standin.Store
	client *rowstore.Client
	roster *Roster[string]
	era    atomic.Uint64
	// seconds is the store's clock.
	seconds atomic.Int64
}

func newTestStore(t *testing.T) *testStore {
	s := &testStore{}
	s.era.Store(1)
	s.store = standin.NewStoreWithClock(func() time.Time { return time.Unix(s.seconds.Load(), 0) })
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.client = rowstore.New(strings.TrimPrefix(server.URL, "http://"))
	log := logrus.New()
	log.SetOutput(t.Output())
	s.roster = New[string](s.client, AgentsTable, logrus.NewEntry(log))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.roster.Keep(ctx, s.era.Load)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func (s *testStore) countRows(t *testing.T) int {
	t.Helper()
	page, err := s.client.ReadAll(t.Context(), AgentsTable)
	require.NoError(t, err)
	return len(page.Rows)
}

// awaitRows waits for the roster's next write, for which there is no bound on a busy
// machine.
func (s *testStore) awaitRows(t *testing.T, count int) {
	t.Helper()
	for s.countRows(t) != count {
		time.Sleep(10 * time.Millisecond)
	}
}

func TestLostRowIsWrittenAgain(t *testing.T) {
	s := newTestStore(t)
	require.NoError(t, s.roster.WriteWithRetry(t.Context(), "a", "x"))
	require.Equal(t, 1, s.countRows(t))
	s.seconds.Add(1)
	s.store.Lose(time.Minute)
	require.Equal(t, 0, s.countRows(t))
	s.era.Add(1)
	s.awaitRows(t, 1)
}

// The row of a daemon that left came back with the store's copy and stayed.
func TestLostRemovalIsRepeated(t *testing.T) {
	s := newTestStore(t)
	require.NoError(t, s.roster.WriteWithRetry(t.Context(), "a", "x"))
	s.seconds.Add(2)
	require.NoError(t, s.roster.Remove(t.Context(), "a"))
	require.Equal(t, 0, s.countRows(t))
	s.store.Lose(time.Second)
	require.Equal(t, 1, s.countRows(t))
	s.era.Add(1)
	s.awaitRows(t, 0)
	require.NoError(t, s.roster.WriteWithRetry(t.Context(), "a", "x"))
	require.Equal(t, 0, s.countRows(t), "a daemon that leaves does not write its row any more")
}
