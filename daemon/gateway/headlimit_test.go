package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

func fixedHeaderBytes(limit int) func() int { return func() int { return limit } }

// startHeadServer starts a server whose bound on heads is that of limit. Its answers are
// the lengths of bodies, or 400 if the framing is ambiguous.
func startHeadServer(t *testing.T, limit *atomic.Int64) string {
	t.Helper()
	conns := newCallerConns(func() fleet.Limits { return fleet.Limits{} }, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ConnState: conns.onStateChange, ConnContext: withConn, MaxHeaderBytes: serverHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			endHead(r)
			if hasAmbiguousFraming(r) {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			body, err := io.ReadAll(r.Body)
			if err == nil {
				_, _ = fmt.Fprint(w, len(body))
			}
		}),
	}
	go func() { _ = server.Serve(headCapturingListener{listener, func() int { return int(limit.Load()) }}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// headCaller is a caller with one connection.
type headCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newHeadCaller(t *testing.T, addr string) *headCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &headCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// requestText returns a request with a head of about headBytes.
func requestText(headBytes int, fields, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", headBytes) + "\r\n" + fields + "\r\n" + body
}

func sizedRequest(headBytes, bodyBytes int) string {
	return requestText(headBytes, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), strings.Repeat("b", bodyBytes))
}

func (c *headCaller) send(text string) {
	// The server may refuse a request before it is sent.
	_, _ = io.WriteString(c.conn, text)
}

func (c *headCaller) requireAnswer(status int, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, status, response.StatusCode)
	if status == http.StatusOK {
		require.Equal(c.t, body, string(text))
	}
}

// Guards against entries that refuse heads by the bound that held when they started.
func TestBoundOnHeadsFollowsTheConfigurationOnKeptConnections(t *testing.T) {
	const short, long = 16 << 10, 64 << 10
	var limit atomic.Int64
	limit.Store(short)
	addr := startHeadServer(t, &limit)
	kept, other, refused := newHeadCaller(t, addr), newHeadCaller(t, addr), newHeadCaller(t, addr)
	for _, c := range []*headCaller{kept, other} {
		c.send(sizedRequest(12000, 3))
		c.requireAnswer(http.StatusOK, "3")
	}
	refused.send(sizedRequest(30000, 3))
	refused.requireAnswer(http.StatusRequestHeaderFieldsTooLarge, "")
	limit.Store(long)
	for _, c := range []*headCaller{kept, other, newHeadCaller(t, addr)} {
		c.send(sizedRequest(60000, 200000))
		c.requireAnswer(http.StatusOK, "200000")
		c.send(requestText(60000, "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"))
		c.requireAnswer(http.StatusOK, "3")
	}
	limit.Store(short)
	kept.send(sizedRequest(12000, 200000))
	kept.requireAnswer(http.StatusOK, "200000")
	for _, c := range []*headCaller{kept, other, newHeadCaller(t, addr)} {
		c.send(sizedRequest(30000, 3))
		c.requireAnswer(http.StatusRequestHeaderFieldsTooLarge, "")
	}
}

// Guards against long heads of which the captured part does not show that the framing is
// ambiguous, and against bodies that count as heads.
func TestFramingOfLongHeadsAndOfRequestsSentAheadIsChecked(t *testing.T) {
	var limit atomic.Int64
	limit.Store(64 << 10)
	addr := startHeadServer(t, &limit)
	ambiguous := newHeadCaller(t, addr)
	ambiguous.send(requestText(30000, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	ambiguous.requireAnswer(http.StatusBadRequest, "")
	ahead := newHeadCaller(t, addr)
	ahead.send(sizedRequest(10, 3) + sizedRequest(10, 300000) + "\r\n" + sizedRequest(10, 300000))
	for _, length := range []string{"3", "300000", "300000"} {
		ahead.requireAnswer(http.StatusOK, length)
	}
}

func TestMemoryThatHeadsNeedBeyondTheLimitIsLoggedOnce(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	m := headMemory{maxConns: 1000, log: logrus.NewEntry(logger)}
	for _, maxBytes := range []int{16 << 10, 16 << 10, 64 << 10, 64 << 10, 16 << 10} {
		m.check(maxBytes, 96<<20)
	}
	entries := hook.AllEntries()
	require.Len(t, entries, 3)
	require.NotContains(t, entries[0].Data, "excess_bytes")
	require.EqualValues(t, 1000*2*(68<<10)-96<<20, entries[1].Data["excess_bytes"])
	require.NotContains(t, entries[2].Data, "excess_bytes")
}
