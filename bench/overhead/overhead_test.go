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
	callers  = 8
	limit    = 64
	patience = 30 * time.Second
)

// site is one entry, one agent and one plain service in this process.
type site struct {
	entry   *entry.Entry
	backend *httptest.Server
}

func newSite(b *testing.B) *site {
	b.Helper()
	platform := httptest.NewServer(store.New(store.Config{}))
	backend := httptest.NewServer(service.New(service.Config{ColdLimit: limit, WarmLimit: limit}))
	b.Cleanup(platform.Close)
	b.Cleanup(backend.Close)
	authority, err := keys.NewAuthority()
	require.NoError(b, err)
	server, err := entry.New(entry.Config{
		Instance: "entry-1", DataCentre: "a", Region: "a", HTTPListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PlatformURL: platform.URL, TLS: secured(b, authority, "entry-1"), OperatorToken: "bench", QueueLength: 4 * limit,
	})
	require.NoError(b, err)
	worker, err := agent.New(agent.Config{
		Instance: "agent-1", DataCentre: "a", Region: "a", Group: "pages", PeerListen: "127.0.0.1:0",
		PlatformURL: platform.URL, BackendURL: backend.URL, TLS: secured(b, authority, "agent-1"),
	})
	require.NoError(b, err)
	run(b, server)
	run(b, worker)
	s := &site{entry: server, backend: backend}
	s.configure(b, platform.URL)
	return s
}

func secured(b *testing.B, authority *keys.Authority, id core.InstanceID) *tls.Config {
	pair, err := authority.Issue(id)
	require.NoError(b, err)
	config, err := keys.TLSConfig(authority.CertPEM(), pair)
	require.NoError(b, err)
	return config
}

type daemon interface {
	Run(ctx context.Context) error
	Kill()
}

func run(b *testing.B, d daemon) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(context.Background())
	}()
	b.Cleanup(func() {
		d.Kill()
		<-ended
	})
}

func (s *site) configure(b *testing.B, url string) {
	editor := edit.New(edit.Config{Tables: client.New(client.Config{BaseURL: url})})
	_, err := editor.Apply(b.Context(), edit.Request{ID: "set-up", Set: tables.Rows{
		Teams:       []tables.TeamRow{{Name: "aare", Weight: 1}},
		DataCentres: []tables.DataCentreRow{{Name: "a", Region: "a", State: tables.DataCentreIn}},
		Pools: []tables.Pool{{Name: "pages", Group: "pages", Kind: tables.PoolService,
			Limits: tables.Limits{ColdRequests: limit, WarmRequests: limit}}},
		Routes: []tables.Route{{Name: "pages", Pool: "pages", Path: "/pages"}},
	}})
	require.NoError(b, err)
	deadline := time.Now().Add(patience)
	for post(s.routeURL()) != nil {
		require.True(b, time.Now().Before(deadline), "the route does not answer")
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *site) routeURL() string { return "http://" + s.entry.HTTPAddr() + "/v1/requests/pages" }

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}

func post(url string) error {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"page": 1}`)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", "aare")
	request.Header.Set("X-Request-Id", "bench")
	response, err := caller.Do(request)
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

// measure sends b.N requests from some callers and reports the latency and the
// processor time of the whole process for each request.
func measure(b *testing.B, url string) {
	latencies := make([][]time.Duration, callers)
	b.ResetTimer()
	before := cpu()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for range b.N / callers {
				started := time.Now()
				if err := post(url); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(started))
			}
		})
	}
	group.Wait()
	spent := cpu() - before
	var all []time.Duration
	for _, part := range latencies {
		all = append(all, part...)
	}
	if len(all) == 0 {
		return
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*95/100].Microseconds()), "p95-us")
	b.ReportMetric(float64(spent.Microseconds())/float64(len(all)), "cpu-us/request")
}

func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkDirect(b *testing.B) {
	s := newSite(b)
	measure(b, s.backend.URL+"/pages")
}

func BenchmarkThroughEntry(b *testing.B) {
	s := newSite(b)
	measure(b, s.routeURL())
}
