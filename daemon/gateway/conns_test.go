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

// pipes is a listener whose connections need no descriptors.
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

// 10,000 callers that connect and say nothing, at the descriptors of the
// smallest entry instance, keep nobody else out and take bounded memory.
func TestSilentConnectionsKeepNobodyOut(t *testing.T) {
	const (
		silent   = 10000
		maxFiles = 4100
		// memory is the heap that the connections may take of 284 MB.
		memory = 140 << 20
	)
	most := maxCallerConns(maxFiles)
	conns := newCallerConns(func() fleet.Limits { return fleet.Limits{IdleTimeout: time.Hour} }, most)
	listener := newPipes()
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		ConnState:   conns.observe,
		ConnContext: withConn,
	}
	go func() { _ = server.Serve(framedListener{listener}) }()
	defer func() { _ = server.Close() }()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.dial(ctx) },
	}}
	ask := func() {
		response, err := client.Get("http://entry/")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "served", string(body))
	}
	var held []net.Conn
	for i := range silent {
		conn, err := listener.dial(t.Context())
		require.NoError(t, err)
		held = append(held, conn)
		if i%500 == 0 {
			ask()
			client.CloseIdleConnections()
		}
		require.LessOrEqual(t, conns.count(), most+1)
	}
	ask()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	require.Less(t, stats.HeapAlloc, uint64(memory))
	require.Positive(t, conns.evicted.Load())
	for _, conn := range held {
		_ = conn.Close()
	}
}

// A caller whose kept connection was used lately goes after those that never
// sent a request.
func TestUsedConnectionsAreEvictedLast(t *testing.T) {
	conns := newCallerConns(func() fleet.Limits { return fleet.Limits{} }, 2)
	used, quiet, next := &namedConn{}, &namedConn{}, &namedConn{}
	conns.observe(used, http.StateNew)
	conns.observe(used, http.StateActive)
	conns.observe(used, http.StateIdle)
	conns.observe(quiet, http.StateNew)
	conns.observe(next, http.StateNew)
	require.True(t, quiet.closed)
	require.False(t, used.closed)
	require.False(t, next.closed)
}

type namedConn struct {
	net.Conn
	closed bool
}

func (c *namedConn) Close() error {
	c.closed = true
	return nil
}
