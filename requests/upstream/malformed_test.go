package upstream

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBytesThatAreNoAnswerAreRejected(t *testing.T) {
	for name, answer := range map[string]string{
		"other protocol":       "SSH-2.0-OpenSSH_9.6\r\n\r\n",
		"binary":               "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"other major version":  "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"status out of range":  "HTTP/1.1 700 OK\r\nContent-Length: 2\r\n\r\nok",
		"status below 100":     "HTTP/1.1 099 OK\r\n\r\n" + okAnswer,
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"header without colon": "HTTP/1.1 200 OK\r\nhello\r\n\r\n",
		"head cut short":       "HTTP/1.1 200 OK\r\nContent-Le",
		"switching protocols":  "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, answer) })
			_, _, _, err := roundTrip(t, NewPool(Config{}), addr)
			require.Error(t, err)
		})
	}
}

// A log line contains the error.
func TestErrorsQuoteOnlyTheStartOfBytesThatAreNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"status line": strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n",
		"header":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, answer) })
			_, _, _, err := roundTrip(t, NewPool(Config{}), addr)
			require.Error(t, err)
			require.Less(t, len(err.Error()), 1000)
		})
	}
}
