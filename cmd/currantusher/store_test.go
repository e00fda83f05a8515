package main

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// startStore serves a store with a configuration, two engines of which one has an
// outdated version, a data centre that is out and an unreadable row.
func startStore(t *testing.T) string {
	t.Helper()
	store := standin.NewStore()
	store.PutConfig(fleet.Configuration{
		Version: 7,
		Routes:  []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Kind: fleet.RouteSafe}},
		Services: []fleet.Service{
			{Name: "llm", Engine: &fleet.Engine{Slots: 4, Models: []fleet.Model{"m"}, Pieces: 1, PieceBytes: 1}},
		},
	})
	for i, id := range []string{"s-0", "s-1"} {
		backend := &standin.Backend{ID: id, Service: "llm", Zone: "a", Addr: "10.0.0.1:800" + id[2:], Model: "m", Store: store, Origin: standin.NewOrigin(1, 1)}
		backend.Start(1 + i)
	}
	store.PutVersion("m", 2)
	store.Evacuate("b")
	store.Put(watch.ServersTable, "broken", []byte("?"))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestStatusFromTheStore(t *testing.T) {
	s, err := readStore(t.Context(), startStore(t))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, writeStoreStatus(&out, s))
	text := out.String()
	for _, want := range []string{"configuration 7", "era 1 of the store", "data centres out: b", "row ignored: broken", "s-0", "m:1", "m:2", storeStatusNote} {
		require.Contains(t, text, want)
	}
	out.Reset()
	require.NoError(t, writeStoreWeights(&out, s))
	require.Contains(t, out.String(), "version 2 named; 1 servers have 1, 1 servers have 2")
	require.Contains(t, out.String(), "behind: s-0")
}

func TestStoreFlag(t *testing.T) {
	addr := startStore(t)
	require.Equal(t, exitOK, run([]string{"status", "--store", addr}))
	require.Equal(t, exitOK, run([]string{"weights", "status", "--store", addr}))
	require.Equal(t, exitUsage, run([]string{"status", "--store", "nowhere"}))
	require.Equal(t, exitFailed, run([]string{"status", "--store", "127.0.0.1:1"}))
}
