package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// startServer starts a server that answers the n-th request on a connection with
// the n-th answer. It returns the address.
func startServer(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAnswers(conn, answers)
		}
	}()
	return listener.Addr().String()
}

func serveAnswers(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
	}
	// Wait until the client closes the connection.
	_, _ = reader.ReadByte()
}

func roundTrip(t *testing.T, pool *Pool, addr string) (*Conn, *http.Response, string, error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(getRequest)))
	response, err := conn.Receive(http.MethodGet)
	if err != nil {
		return conn, nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return conn, response, string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestKeepsConnectionAfterCompleteAnswer(t *testing.T) {
	pool := NewPool(Config{})
	addr := startServer(t, okAnswer, okAnswer)
	first, response, body, err := roundTrip(t, pool, addr)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	first.Release(response)
	second, _, _, err := roundTrip(t, pool, addr)
	require.NoError(t, err)
	require.Same(t, first, second)
}

func TestDoesNotKeepConnection(t *testing.T) {
	cases := map[string]string{
		"Connection: close":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"data after the answer": okAnswer + "HTTP/1.1 200 OK\r\n",
		"Keep-Alive timeout 0":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			conn, response, body, err := roundTrip(t, pool, startServer(t, answer))
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			conn.Release(response)
			require.Zero(t, pool.CloseExpired())
		})
	}
}

func TestUnsolicitedDataClosesIdleConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	pool := NewPool(Config{})
	conn, err := pool.Get(context.Background(), listener.Addr().String(), time.Second)
	require.NoError(t, err)
	peer := <-accepted
	_, _ = io.WriteString(peer, okAnswer)
	response, err := conn.Receive(http.MethodGet)
	require.NoError(t, err)
	_, _ = io.ReadAll(response.Body)
	conn.requestWritten.Store(true)
	conn.Release(response)
	_, _ = io.WriteString(peer, okAnswer)
	require.Eventually(t, func() bool { return !conn.isReusable() }, 5*time.Second, time.Millisecond)
	next, err := pool.Get(context.Background(), listener.Addr().String(), time.Second)
	require.NoError(t, err)
	require.NotSame(t, conn, next)
}

func TestSkipsInformationalAnswers(t *testing.T) {
	_, response, body, err := roundTrip(t, NewPool(Config{}), startServer(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+okAnswer))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "ok", body)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	addr := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	pool := NewPool(Config{})
	conn, err := pool.Get(context.Background(), addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(getRequest)))
	response, err := conn.Receive(http.MethodGet)
	require.NoError(t, err)
	_ = conn.netConn.(*net.TCPConn).CloseWrite()
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestGetFailsIfConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewPool(Config{}).Get(context.Background(), addr, time.Second)
	require.Error(t, err)
}

// connectedPair returns a new connection of a pool and the server's end of it.
func connectedPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := NewPool(Config{}).Get(context.Background(), listener.Addr().String(), time.Second)
	require.NoError(t, err)
	serverConn, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = serverConn.Close() })
	return conn, serverConn
}

// An abandoned request that is still on its way must not reach the server later.
func TestAbandonedRequestIsNotDeliveredAfterClose(t *testing.T) {
	conn, serverConn := connectedPair(t)

	require.NoError(t, conn.Send([]byte(getRequest)))
	conn.Close()
	_, err := io.Copy(io.Discard, serverConn)
	require.ErrorIs(t, err, syscall.ECONNRESET, "a normal close delivers all bytes first")
}

func TestIdleConnectionIsClosedNormally(t *testing.T) {
	conn, serverConn := connectedPair(t)
	conn.Close()
	_, err := io.Copy(io.Discard, serverConn)
	require.NoError(t, err)
}
