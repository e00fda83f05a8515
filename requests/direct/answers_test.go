package direct

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

func newNonResumableExchange() *Exchange {
	e := newTestExchange(fleet.RouteStreaming)
	e.request.Repeatable, e.request.Resumable = false, false
	return e
}

func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	framings := map[string]func(body string) string{
		"without a length": func(body string) string { return okAnswerHead + "\r\n" + body },
		"with chunks": func(body string) string {
			return okAnswerHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
		},
		"with a length": func(body string) string {
			return okAnswerHead + "Content-Length: " + decimal(len(body)) + "\r\n\r\n" + body
		},
	}
	exchanges := map[string]func() *Exchange{
		"resumable":     func() *Exchange { return newTestExchange(fleet.RouteStreaming) },
		"not resumable": newNonResumableExchange,
	}
	for framing, answer := range framings {
		for kind, newExchange := range exchanges {
			for _, c := range []struct {
				name, body, forwarded string
				isComplete            bool
			}{
				{"whole", whole, whole, true},
				{"within a field", whole + "id: 2\nda", whole, false},
				{"after a line", whole + "id: 2\ndata: b\n", whole, false},
				{"within the first event", "id: 1\nda", "", false},
				{"whole with CR and LF", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", true},
				{"whole with CR", "id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", true},
				{"after a line with CR and LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
			} {
				t.Run(framing+"/"+kind+"/"+c.name, func(t *testing.T) {
					body, end, err := receive(t, newExchange(), serveRawAnswer(t, answer(c.body)))
					require.Equal(t, c.forwarded, body, "only whole events are handed on")
					if c.isComplete {
						require.NoError(t, err)
						require.Equal(t, core.CodeOK, end.Code)
						return
					}
					require.Error(t, err)
					require.NotEqual(t, core.ExecutionNotRun, core.ExecutionOf(err))
				})
			}
		}
	}
}

func decimal(n int) string { return strconv.Itoa(n) }

func chunk(body string) string {
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
}
