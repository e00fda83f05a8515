package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	t.Run("closed", func(t *testing.T) {
		pool := NewPool(Config{})
		addr := rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, head+"ok") })
		conn, response, body, err := roundTrip(t, pool, addr)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		conn.Release(response)
		require.Zero(t, pool.CloseExpired(), "the connection has ended")
	})
	t.Run("reset", func(t *testing.T) {
		addr := rawServer(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, head+"ok")
			_ = conn.SetLinger(0)
		})
		_, _, _, err := roundTrip(t, NewPool(Config{}), addr)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

// The operating system reports a reset once. If the write of the request got the
// report, the read saw the end of the connection and the answer looked complete.
func TestResetWhileTheRequestIsWrittenDoesNotCompleteTheAnswer(t *testing.T) {
	request := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("x", 64<<20))
	addr := rawServer(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	})
	pool := NewPool(Config{})
	for range 300 {
		conn, err := pool.Get(context.Background(), addr, time.Second)
		require.NoError(t, err)
		require.NoError(t, conn.Send(request))
		response, err := conn.Receive(http.MethodPost)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		conn.Close()
		require.Error(t, err)
	}
}

func TestConnectionsAfterAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct {
		name, method, answer string
		isKept               bool
	}{
		{"HEAD with a length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", true},
		{"HEAD with chunks", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"HEAD with a body", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"204 with a body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\nok", false},
		{"304 with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := NewPool(Config{})
			conn, err := pool.Get(context.Background(), startServer(t, c.answer), time.Second)
			require.NoError(t, err)
			require.NoError(t, conn.Send([]byte(getRequest)))
			response, err := conn.Receive(c.method)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Empty(t, body)
			conn.Release(response)
			require.Equal(t, c.isKept, pool.CloseExpired() == 1)
		})
	}
}

func TestEndlessTrailersAndChunkExtensionsAreAbandoned(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, start, part string }{
		{"trailers", chunked + "2\r\nok\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
		{"trailer line", chunked + "2\r\nok\r\n0\r\nX-A: ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
		{"chunk extension", chunked + "2;a=", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
		{"chunk extensions", chunked, "1;a=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"},
		{"chunk size", chunked, "0000000000000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := make(chan error, 1)
			addr := rawServer(t, func(conn *net.TCPConn) { served <- sendWithoutEnd(conn, c.start, c.part) })
			conn, _, _, err := roundTrip(t, NewPool(Config{}), addr)
			require.Error(t, err)
			conn.Close()
			require.Error(t, <-served, "the client read all bytes")
		})
	}
}

func TestTrailersDoNotReachTheNextAnswer(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2;a=b\r\nok\r\n0\r\nX-T: 1\r\n\r\n"
	pool := NewPool(Config{})
	addr := startServer(t, answer, okAnswer)
	for range 2 {
		conn, response, body, err := roundTrip(t, pool, addr)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		conn.Release(response)
		require.Equal(t, 1, pool.CloseExpired())
	}
}

// A server may answer, end its answer with its side of the connection and read no more of
// a long body.
func TestEarlyAnswerWithoutLengthIsCompleteBeforeTheRequestIsWritten(t *testing.T) {
	request := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("x", 64<<20))
	released := make(chan struct{})
	addr := rawServer(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
		_ = conn.CloseWrite()
		<-released
	})
	defer close(released)
	pool := NewPool(Config{})
	conn, err := pool.Get(context.Background(), addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, conn.Send(request))
	response, err := conn.Receive(http.MethodPost)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	conn.Release(response)
	require.Zero(t, pool.CloseExpired())
}

// rawServerClosed is rawServer with a channel that gets a value after each close.
func rawServerClosed(t *testing.T, serve func(conn *net.TCPConn)) (string, <-chan error) {
	t.Helper()
	closed := make(chan error, 1)
	return rawServer(t, func(conn *net.TCPConn) {
		serve(conn)
		closed <- conn.Close()
	}), closed
}

func TestServerThatClosesWithAnUnreadRequestDoesNotCompleteTheAnswer(t *testing.T) {
	request := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("x", 64<<20))
	for name, endsFirst := range map[string]bool{"closed": false, "end of the answer, then closed": true} {
		t.Run(name, func(t *testing.T) {
			addr, closed := rawServerClosed(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
				if endsFirst {
					_ = conn.CloseWrite()
				}
			})
			conn, err := NewPool(Config{}).Get(context.Background(), addr, time.Second)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.Send(request))
			require.NoError(t, <-closed)
			<-conn.writeEnded
			response, err := conn.Receive(http.MethodPost)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
