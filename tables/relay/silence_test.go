package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
)

// silentStore replies to the first read only. Then it is silent until a call's timeout,
// which platform/rowstore adds to the wait for changes.
type silentStore struct{ *fakeStore }

func (s silentStore) Changes(ctx context.Context, _ string, _ rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+rowstore.CallTimeout)
	defer cancel()
	<-ctx.Done()
	return rowstore.Page{}, ctx.Err()
}

// A relay served old rows as current for seven seconds after its connection to the store
// had fallen silent.
func TestRelayWithASilentStoreStopsServing(t *testing.T) {
	const maxSilence = 3500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		source := silentStore{newFakeStore()}
		source.put("a", false)
		cache := NewCache(source, time.Now)
		self := Member{ID: "e-1", DataCentre: "a"}
		store := NewStore(Config{Self: self.ID, Cache: cache, Relays: func(context.Context) []Member { return []Member{self} }, Log: discardLogger()})
		page, err := store.ReadAll(t.Context(), table)
		require.NoError(t, err)
		silentSince := time.Now()
		_, err = store.Changes(t.Context(), table, page.Position(), 5*time.Second)
		require.Error(t, err)
		require.LessOrEqual(t, time.Since(silentSince), maxSilence)
		_, status := cache.AllRows(t.Context(), table, 0)
		require.Equal(t, StatusNotCurrent, status)
	})
}
