package deployed

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

const (
	deadlyPart = "dead01"
	// crashGap is longer than the time within which crashes count as one.
	crashGap = 300 * time.Millisecond
)

// mortalEngine is an engine that ends when it gets a request with the deadly part.
type mortalEngine struct {
	*standin.Backend
	server  *httptest.Server
	reached *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *mortalEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get(headers.Names().PromptParts), deadlyPart) {
		e.Backend.ServeHTTP(w, r)
		return
	}
	e.reached.Add(1)
	// The listener closes first, so that the engine refuses connections as soon as its
	// clients notice.
	_ = e.server.Listener.Close()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		abort(conn)
	}
	e.server.CloseClientConnections()
}

func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// startMortalEngines starts engines beside the others and returns the counter of the
// deadly requests that reached one of them.
func (d *deployment) startMortalEngines(count int) *atomic.Int64 {
	reached := &atomic.Int64{}
	for i := range count {
		e := &mortalEngine{reached: reached, Backend: &standin.Backend{
			ID: fmt.Sprintf("mortal-%d", i), Service: "llm", Zone: []string{"a", "b"}[i%2], Model: modelName,
			Store: d.store, Origin: d.origin, EventCount: 2, EventInterval: time.Millisecond,
		}}
		e.server = httptest.NewServer(e)
		d.t.Cleanup(func() {
			e.server.CloseClientConnections()
			e.server.Close()
		})
		e.Addr = e.server.Listener.Addr().String()
		e.Start(1)
	}
	return reached
}

// immortalRuns returns the number of requests that the other engines ran.
func (d *deployment) immortalRuns() int {
	count := 0
	for _, engine := range d.engines {
		count += len(engine.ExecutedRequests())
	}
	return count
}

func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(headers.Names().PromptParts, parts) }
}

// gauge returns the value of a metric of an entry, or -1 if it has none.
func (d *deployment) gauge(entry int, name string) int {
	found := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindStringSubmatch(d.metrics(entry))
	if found == nil {
		return -1
	}
	value, err := strconv.Atoi(found[1])
	require.NoError(d.t, err)
	return value
}

func TestRequestsWithADeadlyPartDoNotCrashOneEngineAfterAnother(t *testing.T) {
	d := startDeployment(t)
	for _, engine := range d.engines {
		// Only the other engines take requests.
		engine.Drain()
	}
	reached := d.startMortalEngines(14)
	sound := func(entry, i int) int {
		return d.sendRequest(entry, streamHost, "POST", "/s/x", "", withParts(fmt.Sprintf("team:40,sound%d:9", i))).status
	}
	for entry := range d.entries {
		d.eventually(func() bool {
			before := d.immortalRuns()
			return sound(entry, 0) == http.StatusOK && d.immortalRuns() == before
		}, "entry %d does not know the engines", entry)
	}

	for i := range 3 {
		d.sendRequest(i%2, streamHost, "POST", "/s/x", "", withParts(fmt.Sprintf("team:40,%s:70,own%d:9", deadlyPart, i)))
		time.Sleep(crashGap)
	}
	for entry := range d.entries {
		d.eventually(func() bool { return d.gauge(entry, "currantusher_quarantine_traits") == 1 }, "entry %d does not refuse the deadly part", entry)
	}
	before := reached.Load()
	for i := range 6 {
		refused := d.sendRequest(i%2, streamHost, "POST", "/s/x", "", withParts(fmt.Sprintf("team:40,%s:70,more%d:9", deadlyPart, i)))
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Equal(t, http.StatusOK, sound(i%2, i), "a sound request of the same team with the same first part")
	}
	require.Equal(t, before, reached.Load(), "deadly requests that reached engines after the quarantine")
}
