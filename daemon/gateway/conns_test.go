package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// pipes is a listener with in-memory connections, which need no file
// descriptors.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipes() *pipes { return &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.accepted <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Idle connections must not block other callers: 10,000 callers connect without
// sending a request, with the descriptor limit of the smallest entry instance.
// Other callers must still be served, in bounded memory.
func TestIdleConnectionsDoNotBlockOthers(t *testing.T) {
	const (
		idleCallers = 10000
		maxFiles    = 4100
		// maxHeap is the heap in bytes that the connections may use of 284 MB.
		maxHeap = 140 << 20
	)
	maxConns := maxCallerConns(maxFiles)
	conns := newCallerConns(func() fleet.Limits { return fleet.Limits{IdleTimeout: time.Hour} }, maxConns)
	listener := newPipes()
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		ConnState:   conns.onStateChange,
		ConnContext: withConn,
	}
	go func() { _ = server.Serve(headCapturingListener{listener, fixedHeaderBytes(defaultHeaderBytes)}) }()
	defer func() { _ = server.Close() }()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.dial(ctx) },
	}}
	sendRequest := func() {
		response, err := client.Get("http://entry/")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "served", string(body))
	}
	var openConns []net.Conn
	for i := range idleCallers {
		conn, err := listener.dial(t.Context())
		require.NoError(t, err)
		openConns = append(openConns, conn)
		if i%500 == 0 {
			sendRequest()
			client.CloseIdleConnections()
		}
		require.LessOrEqual(t, conns.count(), maxConns+1)
	}
	sendRequest()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	require.Less(t, stats.HeapAlloc, uint64(maxHeap))
	require.Positive(t, conns.evictions.Load())
	for _, conn := range openConns {
		_ = conn.Close()
	}
}

// Connections that never sent a request are evicted before idle ones that served
// a request.
func TestUsedConnectionsAreEvictedLast(t *testing.T) {
	conns := newCallerConns(func() fleet.Limits { return fleet.Limits{} }, 2)
	used, unused, newest := &closeRecorder{}, &closeRecorder{}, &closeRecorder{}
	conns.onStateChange(used, http.StateNew)
	conns.onStateChange(used, http.StateActive)
	conns.onStateChange(used, http.StateIdle)
	conns.onStateChange(unused, http.StateNew)
	conns.onStateChange(newest, http.StateNew)
	require.True(t, unused.closed)
	require.False(t, used.closed)
	require.False(t, newest.closed)
}

type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}
