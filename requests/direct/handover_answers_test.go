package direct

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/dispatch"
)

// handOver runs a stream at a server that pauses after begunEvents and goes on with
// restEvents once the target of the handover has got the request. It returns what the
// caller got.
func handOver(t *testing.T, answer string) (string, error) {
	t.Helper()
	contacted := make(chan struct{})
	from := serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, eventAnswerHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(begunEvents))
		<-contacted
		_, _ = io.WriteString(conn, chunk(restEvents)+"0\r\n\r\n")
	})
	closeContacted := sync.OnceFunc(func() { close(contacted) })
	t.Cleanup(closeContacted)
	target := serveRaw(t, func(conn *net.TCPConn) {
		closeContacted()
		_, _ = io.WriteString(conn, answer)
	})
	pausesSince := time.Now()
	pause := func(request *dispatch.Request) {
		request.HandoverTimeout = testTimeout / 2
		request.PauseStart = func(server core.InstanceID) time.Time {
			if server == "a" {
				return pausesSince
			}
			return time.Time{}
		}
	}
	recorder, err := dispatchStream(t, pause, from, target)
	require.Equal(t, []string{"s"}, recorder.Header()["X-Seal"])
	return recorder.Body.String(), err
}

// A target that said that nothing was left ended a stream that its server still served.
func TestTargetThatDoesNotContinueTheStreamLeavesItToItsServer(t *testing.T) {
	for _, c := range slices.Concat(headContinuations, eventContinuations, endContinuations) {
		t.Run(c.name, func(t *testing.T) {
			body, err := handOver(t, c.answer)
			switch {
			case c.isComplete && c.added != "":
				require.NoError(t, err)
				require.Equal(t, begunEvents+c.added, body)
			case err != nil:
				require.NotEmpty(t, c.added, "the target sent no event")
				require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
				require.Equal(t, begunEvents+c.added, body)
			default:
				require.Equal(t, begunEvents+restEvents, body)
			}
		})
	}
	for _, status := range errorStatuses {
		t.Run(status, func(t *testing.T) {
			body, err := handOver(t, withLength("HTTP/1.1 "+status+" No\r\nX-Id: r-1\r\nX-Seal: other\r\n", restEvents))
			require.NoError(t, err)
			require.Equal(t, begunEvents+restEvents, body)
		})
	}
}
