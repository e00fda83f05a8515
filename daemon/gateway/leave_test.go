package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/obs"
)

// An answer that ended as its entry stopped was cut before its last bytes were written.
func TestAnswerIsWrittenToItsEndBeforeItsConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{log: obs.DiscardLogger().Component("entry")}
		g.streamsEnd, g.endStreams = context.WithCancel(t.Context())
		listener := newPipes()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			g.inFlight.Add(1)
			defer g.inFlight.Add(-1)
			w.WriteHeader(http.StatusGatewayTimeout)
		})}
		go func() { _ = server.Serve(listener) }()
		conn, err := listener.dial(t.Context())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		// The request has ended, and the write of its answer is blocked.
		synctest.Wait()
		require.Zero(t, g.inFlight.Load())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.abortRequests(server, time.Now().Add(time.Minute))
		}()
		time.Sleep(time.Second)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.Close())
		<-ended
	})
}
