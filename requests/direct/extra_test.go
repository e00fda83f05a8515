package direct

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/wire"
)

func TestAnswerBehindACopyOfAnEarlierOneIsNotLost(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("earlier") + "0\r\n\r\n"
	const plain = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\nearlier"
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nX-Id: r-1\r\n" + emptyBody
	for name, extra := range map[string]string{
		"plain": plain, "chunked": chunked, "refusal": refusal, "two": plain + refusal,
	} {
		for _, kind := range []fleet.RouteKind{fleet.RouteUnsafe, fleet.RouteSafe, fleet.RouteStreaming} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				body, end, err := secondAnswer(t, kind, extra)
				require.NoError(t, err)
				require.Equal(t, core.CodeOK, end.Code)
				require.Equal(t, "data: ok\n\n", body)
			})
		}
	}
}

// The id of another connection's request does not show that an answer is still to come.
func TestOnlyCopiesOfAnswersOfTheConnectionAreSkipped(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\nearlier"
	for name, extra := range map[string]string{
		"id of no request":     strings.Replace(plain, "r-1", "r-0", 1),
		"no id":                strings.Replace(plain, "X-Id: r-1\r\n", "", 1),
		"ends the connection":  strings.Replace(plain, "X-Seal", "Connection: close\r\nX-Seal", 1),
		"more than the bound":  strings.Repeat(plain, maxExtraAnswers+1),
		"longer than a buffer": strings.Replace(plain, "Content-Length: 7\r\n\r\n", "Content-Length: 70000\r\n\r\n"+strings.Repeat("x", 70000-7), 1),
		"without a length":     strings.Replace(plain, "Content-Length: 7\r\n", "", 1),
	} {
		t.Run(name, func(t *testing.T) {
			_, end, err := secondAnswer(t, fleet.RouteUnsafe, extra)
			require.Error(t, err, "%+v", end)
		})
	}
}

// An answer to HEAD has a length but no body.
func TestCopiesAreNotSkippedBesideHead(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n"
	for _, methods := range [][2]string{{"HEAD", "POST"}, {"POST", "HEAD"}, {"HEAD", "HEAD"}} {
		t.Run(methods[0]+" "+methods[1], func(t *testing.T) {
			addr := serveRequests(t, func(request *http.Request, n int) string {
				answer := answerTo(request, "200 OK")
				if request.Method == http.MethodHead {
					answer = strings.TrimSuffix(answer, "ok")
				}
				if n == 1 {
					return copied + answer
				}
				return answer
			})
			first := withID(newTestExchange(fleet.RouteUnsafe), "r-1")
			first.request.Method = methods[0]
			_, _, err := receive(t, first, addr)
			require.NoError(t, err)
			second := withID(first, "r-2")
			second.request.Method = methods[1]
			_, end, err := receive(t, second, addr)
			require.Error(t, err, "%+v", end)
		})
	}
}

// secondAnswer returns the answer to the second request of a connection, before which the
// server writes extra.
func secondAnswer(t *testing.T, kind fleet.RouteKind, extra string) (string, *wire.AnswerEnd, error) {
	t.Helper()
	addr := serveRequests(t, func(request *http.Request, n int) string {
		answer := strings.Replace(answerTo(request, "200 OK"), "Content-Length: 2\r\n\r\nok", "Content-Length: 10\r\n\r\ndata: ok\n\n", 1)
		if n == 1 {
			return extra + answer
		}
		return answer
	})
	first := withID(newTestExchange(kind), "r-1")
	_, end, err := receive(t, first, addr)
	require.NoError(t, err)
	require.Equal(t, core.CodeOK, end.Code)
	return receive(t, withID(first, "r-2"), addr)
}
