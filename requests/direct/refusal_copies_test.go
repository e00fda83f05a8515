package direct

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// refusals are the heads by which a server says that it did not run a request, without the
// id of the request.
var refusals = map[string]string{
	"421":                   "HTTP/1.1 421 Misdirected Request\r\n",
	"503":                   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n",
	"429":                   "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\n",
	"400":                   "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\n",
	"503 after a 1xx":       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n",
	"503 that ends the use": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nConnection: close\r\n",
}

const emptyBody = "Content-Length: 0\r\n\r\n"

// checkOpenObserver calls a function right before a request is written.
type checkOpenObserver struct {
	nopObserver
	beforeWrite func()
}

func (o checkOpenObserver) CheckOpen(notices.Lifetime) error {
	o.beforeWrite()
	return nil
}

// refusalCopyPoints are the moments at which a server writes a refusal of an earlier
// request on the connection of the next one.
var refusalCopyPoints = []string{"with the answer before", "right before the request", "before its answer", "within its answer", "after its answer"}

// serveWithCopy answers all requests. It writes the copy at a point of the second request
// of a connection. The observer writes it for "right before the request".
func serveWithCopy(t *testing.T, point, refusalCopy string) (string, Observer) {
	t.Helper()
	var first net.Conn
	mayWrite := make(chan net.Conn, 1)
	addr := serveConns(t, func(conn net.Conn) {
		mayWrite <- conn
		answerRequests(conn, func(request *http.Request, n int) string {
			answer := answerTo(request, "200 OK")
			switch {
			case n == 0 && point == "with the answer before":
				return answer + refusalCopy
			case n == 1 && point == "before its answer":
				return refusalCopy + answer
			case n == 1 && point == "within its answer":
				return answer[:len(answer)-len("ok")] + refusalCopy + "ok"
			case n == 1 && point == "after its answer":
				return answer + refusalCopy
			}
			return answer
		})
	})
	requests := 0
	return addr, checkOpenObserver{beforeWrite: func() {
		if requests++; requests == 1 {
			first = <-mayWrite
		} else if point == "right before the request" {
			_, _ = io.WriteString(first, refusalCopy)
		}
	}}
}

func TestRefusalOfAnEarlierRequestDoesNotRefuseARequestThatRan(t *testing.T) {
	for name, head := range refusals {
		for _, id := range []string{"", "X-Id: r-1\r\n", "X-Id: r-0\r\n"} {
			for _, point := range refusalCopyPoints {
				t.Run(name+"/"+id+"/"+point, func(t *testing.T) {
					addr, observer := serveWithCopy(t, point, head+id+emptyBody)
					e := newTestExchange(fleet.RouteUnsafe)
					e.observer = observer
					_, end, err := receive(t, withID(e, "r-1"), addr)
					require.NoError(t, err)
					require.Equal(t, core.CodeOK, end.Code)

					_, end, err = receive(t, withID(e, "r-2"), addr)
					require.True(t, err != nil || end.Execution == core.ExecutionRan, "%+v", end)
				})
			}
		}
	}
}

func TestRefusalWithoutAnIDCountsOnANewConnection(t *testing.T) {
	for name, head := range refusals {
		t.Run(name, func(t *testing.T) {
			addr := serveRequests(t, func(*http.Request, int) string { return head + emptyBody })
			_, end, err := receive(t, withID(newTestExchange(fleet.RouteUnsafe), "r-1"), addr)
			require.NoError(t, err)
			require.Equal(t, core.ExecutionNotRun, end.Execution)
		})
	}
}

func TestRefusalWithTheIDCountsOnAKeptConnection(t *testing.T) {
	addr := serveRequests(t, func(request *http.Request, n int) string {
		return answerTo(request, []string{"200 OK", "421 Misdirected Request"}[n])
	})
	e := newTestExchange(fleet.RouteUnsafe)
	_, _, err := receive(t, withID(e, "r-1"), addr)
	require.NoError(t, err)
	_, end, err := receive(t, withID(e, "r-2"), addr)
	require.NoError(t, err)
	require.Equal(t, core.ExecutionNotRun, end.Execution)
}

// The second attempt has the same id as the first one, as after a change of the weights.
func TestCopyOfARefusalDoesNotRefuseTheSameRequestSentAgain(t *testing.T) {
	for name, head := range refusals {
		t.Run(name, func(t *testing.T) {
			addr := serveRequests(t, func() answerFunc {
				var attempts atomic.Int64
				refusal := head + "X-Id: r-1\r\n" + emptyBody
				return func(request *http.Request, n int) string {
					switch {
					case attempts.Add(1) == 1:
						return refusal
					case n > 0:
						return refusal + answerTo(request, "200 OK")
					default:
						return answerTo(request, "200 OK")
					}
				}
			}())
			e := withID(newTestExchange(fleet.RouteUnsafe), "r-1")
			_, first := send(t, e, addr)
			require.Equal(t, core.ExecutionNotRun, untilEnd(t, first).Execution)
			_, second := send(t, e, addr)
			require.Equal(t, core.CodeOK, untilEnd(t, second).Code)
		})
	}
}
