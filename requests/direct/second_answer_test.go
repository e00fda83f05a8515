package direct

import (
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
