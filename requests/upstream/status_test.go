package upstream

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/oddstatus"
)

func TestAnswerWithoutAStatusOfHTTPIsRejected(t *testing.T) {
	for _, body := range []string{"", "ok"} {
		for line, answer := range oddstatus.Answers("", body) {
			pool := NewPool(Config{})
			conn, _, _, err := roundTrip(t, pool, rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, answer) }))
			require.Error(t, err, "%s %q", line, body)
			conn.Close()
			require.Zero(t, pool.CloseExpired(), line)
		}
	}
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 299 OK", "HTTP/1.1 304 ", "HTTP/1.0 599 No"} {
		_, response, _, err := roundTrip(t, NewPool(Config{}), startServer(t, line+"\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err, line)
		require.Equal(t, line[9:12], response.Status[:3])
	}
}

func TestBodyOfAnInformationalAnswerIsNotTakenForTheAnswer(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		for name, answer := range map[string]string{
			"length":        "Content-Length: 40\r\n\r\n" + okAnswer,
			"chunks":        "Transfer-Encoding: chunked\r\n\r\n" + okAnswer,
			"empty":         "Content-Length: 0\r\n\r\n" + okAnswer,
			"after another": "A: b\r\n\r\nHTTP/1.1 103 OK\r\nContent-Length: 40\r\n\r\n" + okAnswer,
		} {
			_, _, _, err := roundTrip(t, NewPool(Config{}), rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\n"+answer) }))
			require.Error(t, err, "%s %s", status, name)
		}
	}
}
