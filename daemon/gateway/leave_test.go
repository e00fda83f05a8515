package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/nodefile"
)

// dialServer returns a connection to a server that serves pipes, and the server.
func dialServer(t *testing.T, handler http.HandlerFunc) (*http.Server, net.Conn) {
	t.Helper()
	listener := newPipes()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	conn, err := listener.dial(t.Context())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	return server, conn
}

// requireAnswer reads a whole answer without a body and closes the connection.
func requireAnswer(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.NoError(t, conn.Close())
}

func TestRequestsOfAnEntryThatDidNotRunUntilItsStopTimeWasOverAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{log: obs.DiscardLogger().Component("entry")}
		g.node.Store(&nodefile.Node{Bounds: nodefile.Bounds{Stop: time.Minute}})
		g.leaveBegun, g.beginLeave = context.WithCancel(t.Context())
		g.waitsEnd, g.endWaits = context.WithCancel(t.Context())
		g.streamsEnd, g.endStreams = context.WithCancel(t.Context())
		server, conn := dialServer(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-g.waitsEnd.Done():
				time.Sleep(time.Second)
				w.WriteHeader(http.StatusGatewayTimeout)
			case <-r.Context().Done():
			}
		})
		synctest.Wait()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.finishRequests(server, time.Now().Add(-time.Hour))
		}()
		requireAnswer(t, conn, http.StatusGatewayTimeout)
		<-ended
	})
}

// An answer that ended as its entry stopped was cut before its last bytes were written.
func TestAnswerIsWrittenToItsEndBeforeItsConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{log: obs.DiscardLogger().Component("entry")}
		g.streamsEnd, g.endStreams = context.WithCancel(t.Context())
		server, conn := dialServer(t, func(w http.ResponseWriter, _ *http.Request) {
			g.inFlight.Add(1)
			defer g.inFlight.Add(-1)
			w.WriteHeader(http.StatusGatewayTimeout)
		})
		// The request has ended, and the write of its answer is blocked.
		synctest.Wait()
		require.Zero(t, g.inFlight.Load())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.abortRequests(server, time.Now().Add(time.Minute))
		}()
		time.Sleep(time.Second)
		requireAnswer(t, conn, http.StatusGatewayTimeout)
		<-ended
	})
}

// The answer has neither a length nor chunks.
func TestAnswerThatIsCutAtTheCloseOfAllConnectionsDoesNotLookComplete(t *testing.T) {
	g := &Gateway{log: obs.DiscardLogger().Component("entry"), conns: newCallerConns(func() fleet.Limits { return fleet.Limits{} }, 1)}
	g.streamsEnd, g.endStreams = context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := make(chan struct{})
	server := &http.Server{ConnState: g.conns.onStateChange, ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-closed
	})}
	go func() { _ = server.Serve(headCapturingListener{listener, fixedHeaderBytes(defaultHeaderBytes)}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, len("part")))
	require.NoError(t, err)
	g.abortRequests(server, time.Now())
	_, err = io.ReadAll(response.Body)
	require.Error(t, err, "the answer looks complete")
	require.NoError(t, response.Body.Close())
	require.NoError(t, conn.Close())
	close(closed)
}
