package overhead

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/daemon/agent"
	"currantusher.dev/daemon/entry"
	"currantusher.dev/platform/client"
	"currantusher.dev/standin/service"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
)

const (
	callerCount  = 8
	requestLimit = 64
	routeTimeout = 30 * time.Second
)

// deployment has one entry, one agent and one plain service in this process.
type deployment struct {
	entry   *entry.Entry
	backend *httptest.Server
}

func newDeployment(b *testing.B) *deployment {
	b.Helper()
	platform := httptest.NewServer(store.New(store.Config{}))
	backend := httptest.NewServer(service.New(service.Config{ColdLimit: requestLimit, WarmLimit: requestLimit}))
	b.Cleanup(platform.Close)
	b.Cleanup(backend.Close)
	authority, err := keys.NewAuthority()
	require.NoError(b, err)
	entryDaemon, err := entry.New(entry.Config{
		Instance: "entry-1", DataCentre: "a", Region: "a", HTTPListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PlatformURL: platform.URL, TLS: newTLSConfig(b, authority, "entry-1"), OperatorToken: "bench", QueueLength: 4 * requestLimit,
	})
	require.NoError(b, err)
	agentDaemon, err := agent.New(agent.Config{
		Instance: "agent-1", DataCentre: "a", Region: "a", Group: "pages", PeerListen: "127.0.0.1:0",
		PlatformURL: platform.URL, BackendURL: backend.URL, TLS: newTLSConfig(b, authority, "agent-1"),
	})
	require.NoError(b, err)
	runDaemon(b, entryDaemon)
	runDaemon(b, agentDaemon)
	d := &deployment{entry: entryDaemon, backend: backend}
	d.applyTables(b, platform.URL)
	return d
}

func newTLSConfig(b *testing.B, authority *keys.Authority, id core.InstanceID) *tls.Config {
	keyPair, err := authority.Issue(id)
	require.NoError(b, err)
	config, err := keys.TLSConfig(authority.CertPEM(), keyPair)
	require.NoError(b, err)
	return config
}

type daemonRunner interface {
	Run(ctx context.Context) error
	Kill()
}

func runDaemon(b *testing.B, d daemonRunner) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(context.Background())
	}()
	b.Cleanup(func() {
		d.Kill()
		<-done
	})
}

func (d *deployment) applyTables(b *testing.B, url string) {
	editor := edit.New(edit.Config{Tables: client.New(client.Config{BaseURL: url})})
	_, err := editor.Apply(b.Context(), edit.Request{ID: "set-up", Set: tables.Rows{
		Teams:       []tables.TeamRow{{Name: "aare", Weight: 1}},
		DataCentres: []tables.DataCentreRow{{Name: "a", Region: "a", State: tables.DataCentreIn}},
		Pools: []tables.Pool{{Name: "pages", Group: "pages", Kind: tables.PoolService,
			Limits: tables.Limits{ColdRequests: requestLimit, WarmRequests: requestLimit}}},
		Routes: []tables.Route{{Name: "pages", Pool: "pages", Path: "/pages"}},
	}})
	require.NoError(b, err)
	deadline := time.Now().Add(routeTimeout)
	for sendRequest(d.routeURL()) != nil {
		require.True(b, time.Now().Before(deadline), "the route does not answer")
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *deployment) routeURL() string { return "http://" + d.entry.HTTPAddr() + "/v1/requests/pages" }

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}

func sendRequest(url string) error {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"page": 1}`)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", "aare")
	request.Header.Set("X-Request-Id", "bench")
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// measure sends b.N requests from concurrent callers. It reports the latency and
// the processor time of the whole process per request.
func measure(b *testing.B, url string) {
	latencies := make([][]time.Duration, callerCount)
	b.ResetTimer()
	cpuBefore := cpuTime()
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() {
			for range b.N / callerCount {
				start := time.Now()
				if err := sendRequest(url); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	group.Wait()
	cpuUsed := cpuTime() - cpuBefore
	var all []time.Duration
	for _, callerLatencies := range latencies {
		all = append(all, callerLatencies...)
	}
	if len(all) == 0 {
		return
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*95/100].Microseconds()), "p95-us")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(len(all)), "cpu-us/request")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkDirect(b *testing.B) {
	d := newDeployment(b)
	measure(b, d.backend.URL+"/pages")
}

func BenchmarkThroughEntry(b *testing.B) {
	d := newDeployment(b)
	measure(b, d.routeURL())
}
