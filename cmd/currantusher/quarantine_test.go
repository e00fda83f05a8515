package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/quarantinerows"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/requests/quarantine"
)

func TestOperatorSeesAndLiftsAQuarantine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := standin.NewStoreWithClock(func() time.Time { return now })
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	record := quarantine.Record{Trait: fleet.Trait{ID: "f1"}, Generation: 1, DecidedMs: now.UnixMilli() - 60_000, Crashes: 3}
	value, err := record.Encode()
	require.NoError(t, err)
	store.Put(quarantinerows.Table, quarantine.RecordKey(record.Trait), value)
	list := func() string {
		stored, err := quarantinerows.Read(t.Context(), rowstore.New(addr))
		require.NoError(t, err)
		var out strings.Builder
		require.NoError(t, writeQuarantines(&out, stored))
		return out.String()
	}
	require.Regexp(t, `request +f1 +refused +4m0s +3 +1 +-`, list())
	require.Equal(t, exitOK, run([]string{"quarantine", "list", "--store", addr}))
	require.Equal(t, exitOK, run([]string{"quarantine", "lift", "f1", "--store", addr}))
	require.Regexp(t, `request +f1 +lifted +- `, list())
	require.Equal(t, exitFailed, run([]string{"quarantine", "lift", "f1", "--store", addr}))
	require.Equal(t, exitUsage, run([]string{"quarantine", "list", "--store", "nowhere"}))
	require.Equal(t, exitFailed, run([]string{"quarantine", "list", "--store", "127.0.0.1:1"}))
}
