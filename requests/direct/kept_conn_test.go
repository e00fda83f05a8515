package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/wire"
)

// answerFunc returns the bytes to write after a request was read, which is the n-th on its
// connection, counted from 0.
type answerFunc func(request *http.Request, n int) string

// serveRequests reads the requests of each connection one after another and answers them.
func serveRequests(t *testing.T, answer answerFunc) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) { answerRequests(conn, answer) })
}

// serveConns passes each connection to serve.
func serveConns(t *testing.T, serve func(net.Conn)) string {
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
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func answerRequests(conn net.Conn, answer answerFunc) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer(request, n)); err != nil {
			return
		}
	}
}

// withID returns an exchange for another request that uses the same connections.
func withID(e *Exchange, id string) *Exchange {
	next := New(e.pool, e.headerNames, e.observer, e.request, nil)
	next.request.ID = id
	next.request.Header = http.Header{"X-Id": {id}}
	return next
}

// answerTo returns an answer that echoes the id of a request.
func answerTo(request *http.Request, statusLine string) string {
	return "HTTP/1.1 " + statusLine + "\r\nX-Id: " + request.Header.Get("X-Id") + "\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"
}

// untilEnd receives the frames of an attempt up to the end frame.
func untilEnd(t *testing.T, stream dispatch.ReplyStream) *wire.AnswerEnd {
	t.Helper()
	for {
		reply, err := stream.Recv()
		require.NoError(t, err)
		if reply.End != nil {
			return reply.End
		}
	}
}

func TestAttemptThatEndedDoesNotCloseTheConnectionOfTheNextRequest(t *testing.T) {
	for name, endAgain := range map[string]func(*replyStream){"cancelled": (*replyStream).Cancel, "recalled": func(s *replyStream) { s.abort(RecallOutdated) }} {
		t.Run(name, func(t *testing.T) {
			mayAnswer := make(chan struct{})
			addr := serveRequests(t, func(request *http.Request, n int) string {
				if n == 0 {
					return answerTo(request, "500 Internal Server Error")
				}
				<-mayAnswer
				return answerTo(request, "200 OK")
			})
			e := newTestExchange(fleet.RouteSafe)
			_, failed := send(t, withID(e, "r-1"), addr)
			require.Equal(t, core.ExecutionRan, untilEnd(t, failed).Execution)

			_, next := send(t, withID(e, "r-2"), addr)
			require.Same(t, failed.(*replyStream).conn, next.(*replyStream).conn)
			endAgain(failed.(*replyStream))
			close(mayAnswer)
			require.Equal(t, core.CodeOK, untilEnd(t, next).Code)
		})
	}
}
