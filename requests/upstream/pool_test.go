package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ask = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// server answers each request on a connection with the next of answers and
// closes after the last.
func server(t *testing.T, answers ...string) string {
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
			go answerAll(conn, answers)
		}
	}()
	return listener.Addr().String()
}

func answerAll(conn net.Conn, answers []string) {
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
	// Waits for the peer's close.
	_, _ = reader.ReadByte()
}

func exchange(t *testing.T, pool *Pool, addr string) (*Conn, *http.Response, string, error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(ask)))
	response, err := conn.Receive(http.MethodGet)
	if err != nil {
		return conn, nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return conn, response, string(body), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestKeepsConnectionAfterWholeAnswer(t *testing.T) {
	pool := NewPool(Config{})
	addr := server(t, whole, whole)
	first, response, body, err := exchange(t, pool, addr)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	first.Release(response)
	second, _, _, err := exchange(t, pool, addr)
	require.NoError(t, err)
	require.Same(t, first, second)
}

func TestDoesNotKeepConnection(t *testing.T) {
	cases := map[string]string{
		"closing":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"extra bytes":   whole + "HTTP/1.1 200 OK\r\n",
		"no idle time":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"older version": "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			conn, response, body, err := exchange(t, pool, server(t, answer))
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			conn.Release(response)
			require.Zero(t, pool.CloseExpired())
		})
	}
}

func TestLateBytesEndAnIdleConnection(t *testing.T) {
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
	_, _ = io.WriteString(peer, whole)
	response, err := conn.Receive(http.MethodGet)
	require.NoError(t, err)
	_, _ = io.ReadAll(response.Body)
	conn.written.Store(true)
	conn.Release(response)
	_, _ = io.WriteString(peer, whole)
	require.Eventually(t, func() bool { return !conn.isQuiet() }, 5*time.Second, time.Millisecond)
	next, err := pool.Get(context.Background(), listener.Addr().String(), time.Second)
	require.NoError(t, err)
	require.NotSame(t, conn, next)
}

func TestSkipsInformationalAnswers(t *testing.T) {
	_, response, body, err := exchange(t, NewPool(Config{}), server(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+whole))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "ok", body)
}

func TestCutBodyIsAnError(t *testing.T) {
	addr := server(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	pool := NewPool(Config{})
	conn, err := pool.Get(context.Background(), addr, time.Second)
	require.NoError(t, err)
	require.NoError(t, conn.Send([]byte(ask)))
	response, err := conn.Receive(http.MethodGet)
	require.NoError(t, err)
	_ = conn.raw.(*net.TCPConn).CloseWrite()
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewPool(Config{}).Get(context.Background(), addr, time.Second)
	require.Error(t, err)
}
