package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func TestCopyOfARefusedActivationDoesNotHideThatTheNextOneTookEffect(t *testing.T) {
	const (
		fenced    = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		activated = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	)
	var calls atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		refused := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			answer := refused + activated
			if calls.Add(1) == 1 {
				answer, refused = fenced, fenced
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	client := New("http://"+listener.Addr().String(), nil)
	require.Equal(t, core.CodeFenced, core.CodeOf(client.Activate(t.Context(), core.Digest{}, 6)))
	require.NoError(t, client.Activate(t.Context(), core.Digest{}, 7))
	require.EqualValues(t, 2, calls.Load(), "each call was sent once")
}
