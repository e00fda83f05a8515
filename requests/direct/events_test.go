package direct

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/eventstream"
)

// A server that failed within its stream wrote the head of an error into it, and the caller
// got it as an event.
func TestHeadOfAnAnswerIsNoEvent(t *testing.T) {
	const whole = "id: 1\ndata: HTTP/1.1 a\n\n"
	for name, body := range map[string]string{
		"after an event":     whole + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno\n\n",
		"after CR":           "id: 1\rdata: HTTP/1.1 a\r\rHTTP/1.0 500 No\r\n\r\n",
		"within an event":    whole + "id: 2\nHTTP/1.1 500 No\n\n",
		"in the first bytes": "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\n" + whole,
	} {
		for _, newExchange := range []func() *Exchange{func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, newNonResumableExchange} {
			for framing, answer := range map[string]string{"unframed": okAnswerHead + "\r\n" + body, "chunked": chunked(okAnswerHead, body), "length": withLength(okAnswerHead, body)} {
				t.Run(name+"/"+framing, func(t *testing.T) {
					got, _, err := receive(t, newExchange(), serveRawAnswer(t, answer))
					require.ErrorIs(t, err, eventstream.ErrStatusLine)
					require.NotContains(t, got, "HTTP/1.1 500")
					require.NotContains(t, got, "HTTP/1.1 200")
				})
			}
		}
	}
	body, _, err := receive(t, newTestExchange(fleet.RouteStreaming), serveRawAnswer(t, okAnswerHead+"\r\n"+whole))
	require.NoError(t, err)
	require.Equal(t, whole, body)
}

func TestUnframedCommentsAreNoWholeStream(t *testing.T) {
	for _, newExchange := range []func() *Exchange{func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, newNonResumableExchange} {
		_, _, err := receive(t, newExchange(), serveRawAnswer(t, okAnswerHead+"\r\n: working\n\n"))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
