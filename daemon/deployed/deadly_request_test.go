package deployed

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

const (
	deadlyBody = "deadly"
	// restartDelay is the time after which a crashed server is back.
	restartDelay = 600 * time.Millisecond
)

// mortalServer is a server without an engine that ends when team-1 sends it the deadly
// body, and starts again at the same address.
type mortalServer struct {
	*standin.Backend
	t *testing.T

	mu      sync.Mutex
	server  *http.Server
	crashes int
	isUp    bool
	stopped bool
}

// ServeHTTP implements http.Handler.
func (m *mortalServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get(headers.Names().Team) != "team-1" || string(body) != deadlyBody {
		r.Body = io.NopCloser(bytes.NewReader(body))
		m.Backend.ServeHTTP(w, r)
		return
	}
	m.crash()
}

func (m *mortalServer) start() {
	listener, err := net.Listen("tcp", m.Addr)
	if err != nil {
		m.t.Errorf("restart of %s: %v", m.ID, err)
		return
	}
	server := &http.Server{Handler: m}
	m.mu.Lock()
	m.server, m.isUp = server, true
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	m.Start(1)
}

func (m *mortalServer) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isUp {
		return
	}
	m.isUp = false
	m.crashes++
	_ = m.server.Close()
	if !m.stopped {
		time.AfterFunc(restartDelay, m.start)
	}
}

func (m *mortalServer) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	_ = m.server.Close()
}

// mortalPool is a set of servers that start again after a crash.
type mortalPool []*mortalServer

func (d *deployment) startMortalPool(count int) mortalPool {
	var pool mortalPool
	for i := range count {
		m := &mortalServer{t: d.t, Backend: &standin.Backend{
			ID: fmt.Sprintf("mortal-lots-%d", i), Service: "lots", Zone: []string{"a", "b"}[i%2], Addr: loopbackAddr(freePort(d.t)),
			Store: d.store, Origin: d.origin,
		}}
		m.start()
		d.t.Cleanup(m.stop)
		pool = append(pool, m)
	}
	return pool
}

func (p mortalPool) crashes() int {
	count := 0
	for _, m := range p {
		m.mu.Lock()
		count += m.crashes
		m.mu.Unlock()
	}
	return count
}

func (p mortalPool) isUp() bool {
	for _, m := range p {
		m.mu.Lock()
		isUp := m.isUp
		m.mu.Unlock()
		if !isUp {
			return false
		}
	}
	return true
}

func withKey(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(headers.Names().APIKey, key) }
}

// isRefusing reports whether an entry has refused a request because of a quarantine.
func (d *deployment) isRefusing(entry int) bool {
	return d.gauge(entry, "currantusher_quarantine_refusals") > 0
}

func TestRepeatedDeadlyRequestDoesNotKeepEndingTheServersOfAPool(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/look?lot=7", "POST": "/issue/lot?lot=7"}[method]
		t.Run(method+path, func(t *testing.T) {
			d := startDeployment(t)
			for _, server := range d.plainServers {
				// Only the mortal servers take requests.
				server.Drain()
			}
			pool := d.startMortalPool(3)
			send := func(entry int, body, key string) callResult {
				return d.sendRequest(entry, plainHost, method, path, body, withKey(key))
			}
			for entry := range d.entries {
				d.eventually(func() bool {
					before := len(d.plainServers[0].ExecutedRequests()) + len(d.plainServers[1].ExecutedRequests())
					isServed := send(entry, "sound", apiKey).status == http.StatusOK
					return isServed && before == len(d.plainServers[0].ExecutedRequests())+len(d.plainServers[1].ExecutedRequests())
				}, "entry %d does not know the servers", entry)
			}

			sent := 0
			d.eventually(func() bool {
				if pool.isUp() {
					entry := sent % len(d.entries)
					sent++
					send(entry, "sound", apiKey)
					send(entry, deadlyBody, apiKey)
				}
				time.Sleep(crashGap)
				return d.isRefusing(0) && d.isRefusing(1)
			}, "the entries keep sending the deadly request")
			d.eventually(pool.isUp, "servers are not back")

			crashes := pool.crashes()
			for i := range 6 {
				entry := i % len(d.entries)
				refused := send(entry, deadlyBody, apiKey)
				require.Equal(t, http.StatusServiceUnavailable, refused.status)
				require.NotEmpty(t, refused.header.Get("Retry-After"))
				d.eventually(func() bool { return send(entry, fmt.Sprintf("sound-%d", i), apiKey).status == http.StatusOK }, "a sound request of the same team and path is refused")
				d.eventually(func() bool { return send(entry, "sound", apiKey).status == http.StatusOK }, "a repeated sound request of the same team and path is refused")
				d.eventually(func() bool { return send(entry, deadlyBody, otherAPIKey).status == http.StatusOK }, "the same request of another team is refused")
			}
			require.Equal(t, crashes, pool.crashes(), "servers that ended after the quarantine")
		})
	}
}
