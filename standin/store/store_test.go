package store_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
)

func TestListLagsAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	memory := store.NewMemory(store.Config{
		ListLag:       5 * time.Second,
		ListRetention: 20 * time.Second,
		Now:           func() time.Time { return now },
	})
	states := func() []platform.InstanceState {
		instances, err := memory.Instances(t.Context())
		require.NoError(t, err)
		found := []platform.InstanceState{}
		for _, instance := range instances {
			found = append(found, instance.State)
		}
		return found
	}
	announce := func(state platform.InstanceState) {
		require.NoError(t, memory.Announce(t.Context(), platform.Instance{ID: "a", State: state}))
	}
	announce(platform.InstanceLive)
	require.Empty(t, states())
	now = now.Add(6 * time.Second)
	announce(platform.InstanceLeaving)
	require.Equal(t, []platform.InstanceState{platform.InstanceLive}, states())
	now = now.Add(6 * time.Second)
	require.Equal(t, []platform.InstanceState{platform.InstanceLeaving}, states())
	now = now.Add(30 * time.Second)
	require.Empty(t, states())
}

func TestVersionsIncreaseAfterDelete(t *testing.T) {
	memory := store.NewMemory(store.Config{})
	key := platform.RowKey{Table: "t", Key: "k"}
	write := platform.Transaction{Puts: []platform.Put{{RowKey: key}}}
	require.NoError(t, memory.Commit(t.Context(), write))
	first, err := memory.Get(t.Context(), key)
	require.NoError(t, err)
	require.NoError(t, memory.Commit(t.Context(), platform.Transaction{Deletes: []platform.RowKey{key}}))
	require.NoError(t, memory.Commit(t.Context(), write))
	second, err := memory.Get(t.Context(), key)
	require.NoError(t, err)
	require.Greater(t, second[0].Version, first[0].Version)
	err = memory.Commit(t.Context(), platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: key, Version: first[0].Version}},
		Deletes:       []platform.RowKey{key},
	})
	require.Equal(t, core.CodeStoreConflict, core.CodeOf(err))
}

func TestRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	memory := store.NewMemory(store.Config{ReadsPerSecond: 3, Now: func() time.Time { return now }})
	codes := map[core.Code]int{}
	for range 5 {
		_, err := memory.Scan(t.Context(), "t")
		codes[core.CodeOf(err)]++
	}
	require.Equal(t, map[core.Code]int{core.CodeOK: 3, core.CodeStoreThrottled: 2}, codes)
	require.Equal(t, int64(5), memory.Stats().Reads)
}
