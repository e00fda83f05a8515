package roster

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

// lateStore is a store that does not answer some writes and performs them when they are
// released.
type lateStore struct {
	client *rowstore.Client
	log    *logrus.Entry
	// holdsNext is whether the store holds the next write.
	holdsNext atomic.Bool
	// held, release and performed are closed once the store has the write, may perform it,
	// and has performed it.
	held, release, performed chan struct{}
}

func newLateStore(t *testing.T) *lateStore {
	s := &lateStore{held: make(chan struct{}), release: make(chan struct{}), performed: make(chan struct{})}
	store := standin.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !s.holdsNext.CompareAndSwap(true, false) {
			store.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		close(s.held)
		<-s.release
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		store.ServeHTTP(httptest.NewRecorder(), late)
		close(s.performed)
	}))
	t.Cleanup(server.Close)
	s.client = rowstore.New(strings.TrimPrefix(server.URL, "http://"))
	log := logrus.New()
	log.SetOutput(t.Output())
	s.log = logrus.NewEntry(log)
	return s
}

func (s *lateStore) newRoster() *Roster[string] { return New[string](s.client, AgentsTable, s.log) }

// writeUnanswered writes a row and gives up while the store holds the write.
func (s *lateStore) writeUnanswered(t *testing.T, r *Roster[string], id string) {
	t.Helper()
	s.holdsNext.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-s.held
		cancel()
	}()
	require.NoError(t, r.WriteWithRetry(ctx, id, "x"))
}

func (s *lateStore) performHeldWrite() {
	close(s.release)
	<-s.performed
}

func (s *lateStore) requireRows(t *testing.T, keys ...string) {
	t.Helper()
	page, err := s.client.ReadAll(t.Context(), AgentsTable)
	require.NoError(t, err)
	var present []string
	for _, row := range page.Rows {
		present = append(present, row.Key)
	}
	require.Equal(t, keys, present)
}

// The write has no answer, and the store performs it after the daemon has removed its row and left.
func TestLateWriteDoesNotBringBackTheRowOfADaemonThatLeft(t *testing.T) {
	s := newLateStore(t)
	r := s.newRoster()
	s.writeUnanswered(t, r, "a")
	require.NoError(t, r.Remove(t.Context(), "a"))
	s.performHeldWrite()
	s.requireRows(t)
}

func TestLateWriteDoesNotBringBackARowThatALaterWriteCreated(t *testing.T) {
	s := newLateStore(t)
	r := s.newRoster()
	s.writeUnanswered(t, r, "a")
	require.NoError(t, r.WriteWithRetry(t.Context(), "a", "x"))
	s.requireRows(t, "a")
	require.NoError(t, r.Remove(t.Context(), "a"))
	s.performHeldWrite()
	s.requireRows(t)
}

func TestLateWriteOfAnExistingRowDoesNotBringItBack(t *testing.T) {
	s := newLateStore(t)
	r := s.newRoster()
	require.NoError(t, r.WriteWithRetry(t.Context(), "a", "x"))
	s.writeUnanswered(t, r, "a")
	require.NoError(t, r.Remove(t.Context(), "a"))
	s.performHeldWrite()
	s.requireRows(t)
}

func TestRemovalFindsTheRowOfAnUnansweredWrite(t *testing.T) {
	s := newLateStore(t)
	r := s.newRoster()
	s.writeUnanswered(t, r, "a")
	s.performHeldWrite()
	s.requireRows(t, "a")
	require.NoError(t, r.Remove(t.Context(), "a"))
	s.requireRows(t)
}

func TestDaemonsJoinAfterTheDepartureOfAnotherOne(t *testing.T) {
	s := newLateStore(t)
	leaving, before, after := s.newRoster(), s.newRoster(), s.newRoster()
	require.NoError(t, before.WriteWithRetry(t.Context(), "b", "x"))
	s.writeUnanswered(t, leaving, "a")
	require.NoError(t, leaving.Remove(t.Context(), "a"))
	s.performHeldWrite()
	require.NoError(t, after.WriteWithRetry(t.Context(), "c", "x"))
	require.NoError(t, before.WriteWithRetry(t.Context(), "b", "y"))
	s.requireRows(t, "b", "c")
	require.NoError(t, before.Remove(t.Context(), "b"))
	require.NoError(t, s.newRoster().Remove(t.Context(), "c"), "by a process that did not write it")
	s.requireRows(t)
}
