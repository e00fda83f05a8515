package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/service"
	"currantusher.dev/tables"
)

func twoServices(t *testing.T) *Backends {
	t.Helper()
	b := &Backends{Client: http.DefaultClient}
	for i, dc := range []core.DataCentre{"bern-west", "lugano-sud"} {
		server := httptest.NewServer(service.New(service.Config{}))
		t.Cleanup(server.Close)
		b.All = append(b.All, Backend{ID: core.InstanceID(fmt.Sprintf("s-%d", i)), DataCentre: dc, Kind: tables.PoolService, URL: server.URL})
	}
	return b
}

func run(t *testing.T, one Backend, key string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, one.URL+"/lots", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set(backend.HeaderTeam, "dawn")
	request.Header.Set(backend.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestRunsAddUpOverServers(t *testing.T) {
	b := twoServices(t)
	run(t, b.All[0], "a")
	run(t, b.All[0], "b")
	require.Equal(t, 1, b.Totals(t.Context()).MaxRuns)
	run(t, b.All[1], "a")
	require.Equal(t, 2, b.Totals(t.Context()).MaxRuns)
	runs, err := b.Runs(t.Context(), backend.IdempotencyRunKey("dawn", "a"))
	require.NoError(t, err)
	require.Equal(t, 2, runs)
}

func TestStartsAfterOutAreCountedWhereItIsOut(t *testing.T) {
	b := twoServices(t)
	require.NoError(t, b.MarkOut(t.Context(), "lugano-sud", time.Now().Add(-time.Minute)))
	run(t, b.All[0], "a")
	require.Zero(t, b.Totals(t.Context()).StartsAfterOut)
	run(t, b.All[1], "b")
	totals := b.Totals(t.Context())
	require.Equal(t, 1, totals.StartsAfterOut)
	require.GreaterOrEqual(t, totals.LastStartAfterOutSeconds, 60.0)
	require.NoError(t, b.MarkOut(t.Context(), "lugano-sud", time.Time{}))
	run(t, b.All[1], "c")
	require.Equal(t, 1, b.Totals(t.Context()).StartsAfterOut)
}

func TestSilentStandInsAreUnread(t *testing.T) {
	b := twoServices(t)
	b.All[0].URL = "http://127.0.0.1:1"
	require.Equal(t, 1, b.Totals(t.Context()).Unread)
	_, err := b.Runs(t.Context(), "x")
	require.Error(t, err)
}

func TestEnginesOnCountsEnginesOnly(t *testing.T) {
	b := twoServices(t)
	server := httptest.NewServer(engine.New(engine.Config{}))
	defer server.Close()
	b.All = append(b.All, Backend{ID: "e", Kind: tables.PoolEngine, URL: server.URL})
	carrying, engines := b.EnginesOn(t.Context(), core.DigestOf(nil))
	require.Equal(t, []int{0, 1}, []int{carrying, engines})
}

// forgetful is an entry that knows a route from the nth probe on, and forgets
// it at the probe after when told to.
func forgetful(t *testing.T, knowsFrom int64, forgets bool) string {
	t.Helper()
	var probes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := probes.Add(1)
		if n < knowsFrom || (forgets && n > knowsFrom) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprintf(w, `{"code":%d,"name":"unknown-route","work":"not-run","detail":"d"}`, core.CodeUnknownRoute)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestWatchWaitsForAllEntriesAndSeesReverts(t *testing.T) {
	prober := &Prober{Client: http.DefaultClient, Team: "dawn"}
	start := time.Now()
	steady := forgetful(t, 3, false)
	took, reverts, err := prober.Watch(t.Context(), []string{forgetful(t, 1, false), steady}, "probe", start)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 2*probeInterval)
	require.Zero(t, reverts)
	_, reverts, err = prober.Watch(t.Context(), []string{forgetful(t, 1, true)}, "probe", start)
	require.NoError(t, err)
	require.Equal(t, 1, reverts)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = prober.Watch(ended, []string{forgetful(t, 1, false)}, "probe", start)
	require.ErrorIs(t, err, context.Canceled)
}
