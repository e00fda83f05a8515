package watch

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/relay"
)

// pageStore is a store that returns one page.
type pageStore struct{ page rowstore.Page }

func (s *pageStore) ReadAll(context.Context, string) (rowstore.Page, error) { return s.page, nil }

func (s *pageStore) Changes(context.Context, string, rowstore.Position, time.Duration) (rowstore.Page, error) {
	return s.page, nil
}

func TestRowsThatARelayReadBeforeAStandstillDoNotEndIt(t *testing.T) {
	f, now := newTestFollower(t)
	store := &pageStore{page: rowstore.Page{Rows: []rowstore.Row{versionRow(1, 5)}, Revision: 5}}
	cache := relay.NewCache(store, func() time.Time { return *now })
	_, err := cache.ReadAll(t.Context(), OperatorTable)
	require.NoError(t, err)
	server := httptest.NewServer(relay.Handler(cache, relay.NewSnapshots(store, nil), f.config.Log))
	t.Cleanup(server.Close)
	members := []relay.Member{{ID: "relay", Addr: strings.TrimPrefix(server.URL, "http://")}}
	f.config.Store = relay.NewStore(relay.Config{
		Self: "entry", Cache: relay.NewCache(store, nil), Log: f.config.Log,
		Relays: func(context.Context) []relay.Member { return members },
	})
	require.NoError(t, f.readAll(t.Context(), OperatorTable))

	// Both stand still while version 2 is accepted.
	advance(f, now, 200*time.Millisecond)
	stopped := *now
	*now = now.Add(3 * time.Second)
	require.NoError(t, f.readAll(t.Context(), OperatorTable))
	store.page = rowstore.Page{Rows: []rowstore.Row{versionRow(2, 6)}, Revision: 6}
	_, err = cache.ReadAll(t.Context(), OperatorTable)
	require.NoError(t, err)
	require.NoError(t, f.readAll(t.Context(), OperatorTable))
	target := f.View().NewestTarget("m")
	require.EqualValues(t, 2, target.Version)
	require.True(t, target.IsEstimate)
	require.False(t, target.Since.After(stopped))
}

func TestPageThatIsRefusedDoesNotEndAStandstill(t *testing.T) {
	for name, read := range map[string]func(*Follower, context.Context, string) error{"all": (*Follower).readAll, "changes": (*Follower).readChanges} {
		t.Run(name, func(t *testing.T) {
			f, now := newTestFollower(t)
			store := &pageStore{}
			f.config.Store = store
			stopped := *now
			*now = now.Add(3 * time.Second)
			f.update(func(time.Time) {})
			store.page = rowstore.Page{Revision: 4}
			if name == "changes" {
				store.page = rowstore.Page{Rows: []rowstore.Row{versionRow(2, 3)}, Revision: 3, Era: 1}
			}
			require.Error(t, read(f, t.Context(), OperatorTable))
			advance(f, now, 500*time.Millisecond)
			store.page = rowstore.Page{Rows: []rowstore.Row{versionRow(2, 6)}, Revision: 6}
			require.NoError(t, f.readAll(t.Context(), OperatorTable))
			target := f.View().NewestTarget("m")
			require.EqualValues(t, 2, target.Version)
			require.False(t, target.Since.After(stopped), "version 2 may have been accepted when the process stopped")
		})
	}
}
