package direct

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
)

// serveInTurn gives the requests of a connection one answer each. It returns the address.
func serveInTurn(t *testing.T, answers ...string) string {
	t.Helper()
	return serveRaw(t, func(conn *net.TCPConn) {
		for _, answer := range answers {
			_, _ = io.WriteString(conn, answer)
			_, _ = conn.Read(make([]byte, 4096))
		}
	})
}

// The connection of a request that had ended was closed while it served the next one.
func TestEndedAttemptDoesNotCloseTheConnectionOfTheNextRequest(t *testing.T) {
	ends := map[string]func(e *Exchange, stream dispatch.ReplyStream){
		"cancelled": func(_ *Exchange, stream dispatch.ReplyStream) { stream.Cancel() },
		"recalled":  func(e *Exchange, _ dispatch.ReplyStream) { e.observer.(*abortObserver).recalls[0](RecallOutdated) },
	}
	for end, endAttempt := range ends {
		for name, answer := range map[string]string{
			"refused": "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
			"failed":  "HTTP/1.1 500 No\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n",
		} {
			t.Run(name+" and "+end, func(t *testing.T) {
				addr := serveInTurn(t, answer, withLength(okAnswerHead, "ok"))
				first := newTestExchange(fleet.RouteSafe)
				first.observer = &abortObserver{}
				ended := startAttempt(t, first, "s-1", addr)
				reply, err := ended.Recv()
				require.NoError(t, err)
				require.NotNil(t, reply.End)

				next := newTestExchange(fleet.RouteSafe)
				next.pool = first.pool
				stream := startAttempt(t, next, "s-1", addr)
				endAttempt(first, ended)
				for isEnded := false; !isEnded; {
					reply, err := stream.Recv()
					require.NoError(t, err)
					isEnded = reply.End != nil
				}
			})
		}
	}
}
