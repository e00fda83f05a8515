package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNamesOfTheProtocolInAHeadAreNoSecondHead(t *testing.T) {
	for _, line := range []string{"Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0", "Server: a HTTP/1.1", "X-A: HTTP/1.1 2000"} {
		_, _, body, err := roundTrip(t, NewPool(Config{}), startServer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok"))
		require.NoError(t, err, line)
		require.Equal(t, "ok", body, line)
	}
	for _, line := range []string{"X-A: aHTTP/1.1 200 OK", "X-A:HTTP/1.0 200 ", "X-A: aHTTP/1.1 200"} {
		_, _, _, err := roundTrip(t, NewPool(Config{}), startServer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok"))
		require.ErrorIs(t, err, ErrSecondHead, line)
	}
}
