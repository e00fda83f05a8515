package direct

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// secondAnswers are answers that a server may write behind the start of the answer to r-1.
var secondAnswers = map[string]string{
	"of another request":  "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nX-Seal: other\r\nContent-Length: 2\r\n\r\nno",
	"without a signature": "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nContent-Length: 2\r\n\r\nno",
	"written once more":   okAnswerHead + "Content-Length: 2\r\n\r\nno",
	"failure":             "HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno",
	"early hints":         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nX-Seal: other\r\nContent-Length: 2\r\n\r\nno",
}

func TestAnswerBehindACutHeadDoesNotEndThatHead(t *testing.T) {
	for start, head := range map[string]string{
		"head":        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: seal\r\nX-Other: 1\r\nContent-Length: 10\r\n\r\n",
		"early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okAnswerHead + "Content-Length: 10\r\n\r\n",
	} {
		for name, second := range secondAnswers {
			t.Run(start+"/"+name, func(t *testing.T) {
				for n := 1; n < len(head); n++ {
					if strings.HasSuffix(head[:n], "\r\n\r\n") {
						continue
					}
					e := newTestExchange(fleet.RouteSafe)
					_, _, err := receive(t, e, serveRawAnswer(t, head[:n]+second))
					require.Error(t, err, "cut after %q", head[:n])
				}
			})
		}
	}
}

func TestAnswerBehindACutBodyDoesNotFillThatBody(t *testing.T) {
	for _, body := range []string{"0123456789abcdef", "HTTP/1.1 200 0123456789", strings.Repeat("x", 3*readBufferBytes)} {
		for name, second := range secondAnswers {
			t.Run(fmt.Sprintf("%.16s/%s", body, name), func(t *testing.T) {
				answer := withLength(okAnswerHead, body)
				for cut := max(1, len(answer)-len(second)+1); cut < len(answer); cut++ {
					if !strings.Contains(answer[:cut], "\r\n\r\n") {
						continue
					}
					_, _, err := receive(t, newTestExchange(fleet.RouteSafe), serveRawAnswer(t, answer[:cut]+second))
					require.Error(t, err, "cut after %d of %d bytes", cut, len(answer))
				}
			})
		}
	}
}

func TestBodiesWithAStatusLineAreWhole(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\n\r\n"
	for name, answer := range map[string]string{"length": withLength(okAnswerHead, body), "chunks": chunked(okAnswerHead, body[:4], body[4:]), "unframed": okAnswerHead + "\r\n" + body} {
		got, _, err := receive(t, newTestExchange(fleet.RouteSafe), serveRawAnswer(t, answer))
		require.NoError(t, err, name)
		require.Equal(t, body, got, name)
	}
	for whole, answer := range map[string]string{"ok": withLength(okAnswerHead, "ok"), body: chunked(okAnswerHead, body)} {
		got, _, err := receive(t, newTestExchange(fleet.RouteSafe), serveRawAnswer(t, answer+secondAnswers["of another request"]))
		require.NoError(t, err, "bytes behind a whole answer belong to no request")
		require.Equal(t, whole, got)
	}
}
