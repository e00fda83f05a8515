package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// maxHeadBytes bounds the captured copy of a request's head, in bytes.
const maxHeadBytes = 16 << 10

// headCapturingListener wraps callers' connections so that the framing of a
// request can be checked. net/http drops the Content-Length header of a request
// with a chunked body, although the framing of such a request is ambiguous.
type headCapturingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headCapturingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headCapturingConn{Conn: conn}, nil
}

// headCapturingConn keeps a copy of the request head as it is read.
type headCapturingConn struct {
	net.Conn
	head         []byte
	headComplete bool
	// isClosed is set by Close, which may come while a request is being read.
	isClosed atomic.Bool
}

// Close implements net.Conn.
func (c *headCapturingConn) Close() error {
	c.isClosed.Store(true)
	return c.Conn.Close()
}

// Read implements net.Conn. The HTTP server reads a connection from one
// goroutine at a time.
func (c *headCapturingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.headComplete && n > 0 {
		c.head = append(c.head, p[:min(n, maxHeadBytes-len(c.head))]...)
		c.headComplete = len(c.head) == maxHeadBytes || bytes.Contains(c.head, []byte("\r\n\r\n")) || bytes.Contains(c.head, []byte("\n\n"))
	}
	return n, err
}

// reset discards the captured head when a request has ended.
func (c *headCapturingConn) reset() {
	c.head = c.head[:0]
	c.headComplete = false
}

// hasContentLength reports whether the head has a Content-Length header. It
// returns true if the head was not captured completely.
func (c *headCapturingConn) hasContentLength() bool {
	head, _, found := bytes.Cut(c.head, []byte("\r\n\r\n"))
	if !found {
		return true
	}
	return strings.Contains(strings.ToLower(string(head)), "\ncontent-length")
}

// isConnClosed reports whether this entry has closed the connection of a request. The HTTP
// server and callerConns may close an idle connection on which a request arrives.
func isConnClosed(r *http.Request) bool {
	conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn)
	return ok && conn.isClosed.Load()
}

type connContextKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// hasAmbiguousFraming reports whether a request has both a Content-Length header
// and a transfer encoding.
func hasAmbiguousFraming(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn)
	return ok && conn.hasContentLength()
}

// abortResponse ends a response that is incomplete. Without chunks the caller would take
// a normal close of the connection for its end.
func abortResponse(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetOnClose(r)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of the caller's connection a reset.
func resetOnClose(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn); ok {
		conn.resetOnClose()
	}
}

// resetOnClose makes the close of the connection a reset, where its kind permits that.
func (c *headCapturingConn) resetOnClose() {
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcpConn.SetLinger(0)
	}
}
