package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// beginObserver counts the answers that began, those that ended otherwise, and those that
// the server ended before.
type beginObserver struct {
	nopObserver
	began, ended, otherwise *int
}

func (o beginObserver) AnsweredOtherwise(notices.Lifetime)       { *o.otherwise++ }
func (o beginObserver) AnswerBegan(notices.Lifetime)             { *o.began++ }
func (o beginObserver) ConnectionEnded(notices.Lifetime, string) { *o.ended++ }

func TestOnlyServersThatEndBeforeTheFirstEventAreSuspectedOfACrash(t *testing.T) {
	for name, c := range map[string]struct {
		answer       string
		began, ended int
	}{
		"before the head":          {"", 0, 1},
		"within the head":          {"HTTP/1.1 200 OK\r\nX-", 0, 1},
		"after the head":           {okAnswerHead + "Transfer-Encoding: chunked\r\n\r\n", 0, 1},
		"after the unframed head":  {okAnswerHead + "\r\n", 0, 1},
		"within the first event":   {okAnswerHead + "\r\nid: 1\nda", 0, 1},
		"within the second event":  {okAnswerHead + "\r\nid: 1\ndata: a\n\nid: 2", 1, 0},
		"after a complete answer":  {okAnswerHead + "\r\nid: 1\ndata: a\n\n", 1, 0},
		"after a refusal":          {"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", 0, 0},
		"after bytes of no answer": {"no answer\r\n\r\n", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteStreaming)
			var began, ended, otherwise int
			e.observer = beginObserver{began: &began, ended: &ended, otherwise: &otherwise}
			_, _, _ = receive(t, e, serveRawAnswer(t, c.answer))
			require.Equal(t, c.began, began, "begun")
			require.Equal(t, c.ended, ended, "ended")
		})
	}
}

func TestOnlyServersThatEndBeforeAPlainAnswerAreSuspectedOfACrash(t *testing.T) {
	const sealed = "X-Id: r-1\r\nX-Seal: s\r\n"
	for name, c := range map[string]struct {
		answer                  string
		began, otherwise, ended int
	}{
		"before the head":           {"", 0, 0, 1},
		"within the head":           {"HTTP/1.1 200 OK\r\nX-", 0, 0, 1},
		"after the head":            {okAnswerHead + "Content-Length: 2\r\n\r\n", 0, 0, 1},
		"within an error":           {"HTTP/1.1 404 No\r\n" + sealed + "Content-Length: 2\r\n\r\na", 0, 0, 1},
		"after a success":           {okAnswerHead + "Content-Length: 2\r\n\r\nok", 1, 0, 0},
		"after a success, no body":  {okAnswerHead + "Content-Length: 0\r\n\r\n", 0, 1, 0},
		"after a client error":      {"HTTP/1.1 404 No\r\n" + sealed + "Content-Length: 2\r\n\r\nno", 0, 1, 0},
		"after a server error":      {"HTTP/1.1 500 No\r\n" + sealed + "Content-Length: 2\r\n\r\nno", 0, 1, 0},
		"after an unsigned error":   {"HTTP/1.1 502 No\r\nX-Id: r-1\r\nContent-Length: 0\r\n\r\n", 0, 0, 0},
		"after a refusal":           {"HTTP/1.1 421 No\r\n" + sealed + "Content-Length: 0\r\n\r\n", 0, 0, 0},
		"after another's answer":    {"HTTP/1.1 500 No\r\nX-Id: r-2\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", 0, 0, 0},
		"after an unsigned success": {"HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok", 0, 0, 0},
	} {
		for _, kind := range []fleet.RouteKind{fleet.RouteSafe, fleet.RouteUnsafe} {
			t.Run(name+", "+kind.String(), func(t *testing.T) {
				e := newTestExchange(kind)
				var began, ended, otherwise int
				e.observer = beginObserver{began: &began, ended: &ended, otherwise: &otherwise}
				_, _, _ = receive(t, e, serveRawAnswer(t, c.answer))
				require.Equal(t, c.began, began, "begun")
				require.Equal(t, c.otherwise, otherwise, "answered otherwise")
				require.Equal(t, c.ended, ended, "ended")
			})
		}
	}
}
