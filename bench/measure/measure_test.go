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

func newTwoServices(t *testing.T) *Backends {
	t.Helper()
	b := &Backends{Client: http.DefaultClient}
	for i, dc := range []core.DataCentre{"bern-west", "lugano-sud"} {
		server := httptest.NewServer(service.New(service.Config{}))
		t.Cleanup(server.Close)
		b.All = append(b.All, Backend{ID: core.InstanceID(fmt.Sprintf("s-%d", i)), DataCentre: dc, Kind: tables.PoolService, URL: server.URL})
	}
	return b
}

func sendKeyedRequest(t *testing.T, target Backend, key string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, target.URL+"/lots", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set(backend.HeaderTeam, "dawn")
	request.Header.Set(backend.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestRunsAreSummedOverStandIns(t *testing.T) {
	b := newTwoServices(t)
	sendKeyedRequest(t, b.All[0], "a")
	sendKeyedRequest(t, b.All[0], "b")
	require.Equal(t, 1, b.Totals(t.Context()).MaxRuns)
	sendKeyedRequest(t, b.All[1], "a")
	require.Equal(t, 2, b.Totals(t.Context()).MaxRuns)
	runs, err := b.CountRuns(t.Context(), backend.IdempotencyRunKey("dawn", "a"))
	require.NoError(t, err)
	require.Equal(t, 2, runs)
}

func TestStartsAfterOutAreCountedInThatDataCentreOnly(t *testing.T) {
	b := newTwoServices(t)
	require.NoError(t, b.MarkDataCentreOut(t.Context(), "lugano-sud", time.Now().Add(-time.Minute)))
	sendKeyedRequest(t, b.All[0], "a")
	require.Zero(t, b.Totals(t.Context()).StartsAfterOut)
	sendKeyedRequest(t, b.All[1], "b")
	totals := b.Totals(t.Context())
	require.Equal(t, 1, totals.StartsAfterOut)
	require.GreaterOrEqual(t, totals.LastStartAfterOutSeconds, 60.0)
	require.NoError(t, b.MarkDataCentreOut(t.Context(), "lugano-sud", time.Time{}))
	sendKeyedRequest(t, b.All[1], "c")
	require.Equal(t, 1, b.Totals(t.Context()).StartsAfterOut)
}

func TestUnreachableStandInsAreCounted(t *testing.T) {
	b := newTwoServices(t)
	b.All[0].URL = "http://127.0.0.1:1"
	require.Equal(t, 1, b.Totals(t.Context()).Unreachable)
	_, err := b.CountRuns(t.Context(), "x")
	require.Error(t, err)
}

func TestEnginesWithVersionCountsEnginesOnly(t *testing.T) {
	b := newTwoServices(t)
	server := httptest.NewServer(engine.New(engine.Config{}))
	defer server.Close()
	b.All = append(b.All, Backend{ID: "e", Kind: tables.PoolEngine, URL: server.URL})
	matching, engines := b.EnginesWithVersion(t.Context(), core.DigestOf(nil))
	require.Equal(t, []int{0, 1}, []int{matching, engines})
}

// newProbedEntry starts an entry that has a route from the probe with number
// firstKnownProbe on. With reverts it loses the route at the probe after that.
func newProbedEntry(t *testing.T, firstKnownProbe int64, reverts bool) string {
	t.Helper()
	var probes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := probes.Add(1)
		if n < firstKnownProbe || (reverts && n > firstKnownProbe) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprintf(w, `{"code":%d,"name":"unknown-route","work":"not-run","detail":"d"}`, core.CodeUnknownRoute)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestWaitForRouteCoversAllEntriesAndCountsReverts(t *testing.T) {
	prober := &Prober{Client: http.DefaultClient, Team: "dawn"}
	start := time.Now()
	slowEntry := newProbedEntry(t, 3, false)
	elapsed, reverts, err := prober.WaitForRoute(t.Context(), []string{newProbedEntry(t, 1, false), slowEntry}, "probe", start)
	require.NoError(t, err)
	require.GreaterOrEqual(t, elapsed, 2*probeInterval)
	require.Zero(t, reverts)
	_, reverts, err = prober.WaitForRoute(t.Context(), []string{newProbedEntry(t, 1, true)}, "probe", start)
	require.NoError(t, err)
	require.Equal(t, 1, reverts)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = prober.WaitForRoute(cancelled, []string{newProbedEntry(t, 1, false)}, "probe", start)
	require.ErrorIs(t, err, context.Canceled)
}
