package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessBytes is how much a server sends at most where it sends without end, far
// more than the buffers of a connection hold.
const endlessBytes = 64 << 20

// rawServer answers each connection with serve once a request has begun to arrive.
func rawServer(t *testing.T, serve func(conn *net.TCPConn)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// sendWithoutEnd writes start and then repeats part. It returns the error that ended
// the writing, or nil if the client read endlessBytes.
func sendWithoutEnd(conn net.Conn, start, part string) error {
	if _, err := io.WriteString(conn, start); err != nil {
		return err
	}
	block := []byte(strings.Repeat(part, max(1, 16<<10/len(part))))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

func TestEndlessHeadIsAbandoned(t *testing.T) {
	const pad = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	for _, c := range []struct{ name, start, part string }{
		{"bytes without a line break", "", pad},
		{"status line", "HTTP/1.1 200 ", pad},
		{"header line", "HTTP/1.1 200 OK\r\nX-A: ", pad},
		{"continued header line", "HTTP/1.1 200 OK\r\nX-A: ", pad + "\r\n "},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: " + pad + "\r\n"},
		{"head of an informational answer", "HTTP/1.1 103 Early Hints\r\n", "X-A: " + pad + "\r\n"},
		{"header line cut between CR and LF", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
		{"line breaks", "HTTP/1.1 200 OK\r\nX-A: a\r\n", " \r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := make(chan error, 1)
			addr := rawServer(t, func(conn *net.TCPConn) { served <- sendWithoutEnd(conn, c.start, c.part) })
			conn, err := NewPool(Config{}).Get(context.Background(), addr, time.Second)
			require.NoError(t, err)
			require.NoError(t, conn.Send([]byte(getRequest)))
			_, err = conn.Receive(http.MethodGet)
			require.ErrorIs(t, err, ErrHeadTooLarge)
			conn.Close()
			require.Error(t, <-served, "the client read all bytes")
		})
	}
}

func TestHeadWithTooManyFieldsIsRejected(t *testing.T) {
	for name, fields := range map[string]string{
		"one name":   strings.Repeat("A:\r\n", maxHeaderFields),
		"many names": manyFields(maxHeaderFields),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := roundTrip(t, NewPool(Config{}), startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+fields+"\r\nok"))
			require.ErrorIs(t, err, ErrHeadTooLarge)
		})
	}
	_, _, body, err := roundTrip(t, NewPool(Config{}), startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+manyFields(maxHeaderFields-1)+"\r\nok"))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

func manyFields(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "X-%d:\r\n", i)
	}
	return b.String()
}

func TestLargeHeadsWithinTheBoundAreAccepted(t *testing.T) {
	filler := func(size int) string { return "X-A: " + strings.Repeat("x", size) + "\r\n" }
	for name, answer := range map[string]string{
		"one head":              "HTTP/1.1 200 OK\r\n" + filler(maxHeadBytes-100) + "Content-Length: 2\r\n\r\nok",
		"informational answers": strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+filler(1000)+"\r\n", 3) + okAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			addr := startServer(t, answer, answer)
			for range 2 {
				conn, response, body, err := roundTrip(t, pool, addr)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				conn.Release(response)
				require.Equal(t, 1, pool.CloseExpired())
			}
		})
	}
}

// The bound on the head must not end a body.
func TestBodyMayBeLongerThanTheBoundOnTheHead(t *testing.T) {
	body := strings.Repeat("x", 8*maxHeadBytes)
	for name, head := range map[string]string{
		"with a length":    "Content-Length: 131072\r\n",
		"without a length": "",
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body) })
			_, _, got, err := roundTrip(t, NewPool(Config{}), addr)
			require.NoError(t, err)
			require.Equal(t, len(body), len(got))
		})
	}
}
