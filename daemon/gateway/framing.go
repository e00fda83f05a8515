package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core/membudget"
)

// headCapturingListener wraps callers' connections so that the framing of a
// request can be checked and the length of its head is bounded. net/http drops the
// Content-Length header of a request with a chunked body, although the framing of such a
// request is ambiguous, and its bound on heads cannot change after the server has started.
type headCapturingListener struct {
	net.Listener
	// maxHeaderBytes returns the bound that is in force, in bytes.
	maxHeaderBytes func() int
}

// Accept implements net.Listener.
func (l headCapturingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headCapturingConn{Conn: conn, maxHeaderBytes: l.maxHeaderBytes}, nil
}

// headCapturingConn keeps a copy of the request head as it is read.
type headCapturingConn struct {
	net.Conn
	maxHeaderBytes func() int
	// mu guards head and headComplete: a read for the next request may run beside the
	// handler of a request.
	mu           sync.Mutex
	head         []byte
	headComplete bool
	// memory and charge are those to which the connection is charged, or nil.
	memory *callerMemory
	charge *membudget.Account
	// chargedHead is what the head was charged, and headBegan when its first bytes were read.
	// mu guards them.
	chargedHead int64
	headBegan   time.Time
	// body is the body that is being read, or nil.
	body atomic.Pointer[bodyRead]
	// isClosed is set by Close, which may come while a request is being read.
	isClosed atomic.Bool
}

// Close implements net.Conn.
func (c *headCapturingConn) Close() error {
	c.isClosed.Store(true)
	c.charge.Release()
	return c.Conn.Close()
}

// Read implements net.Conn. The HTTP server reads a connection from one
// goroutine at a time.
func (c *headCapturingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		switch c.capture(p[:n]) {
		case headAccepted:
			return n, err
		case headTooLong:
			c.refuseHead("431 Request Header Fields Too Large", "")
		case headBeyondMemory:
			c.memory.refusedHeads.Add(1)
			c.refuseHead("503 Service Unavailable", "Retry-After: "+retryAfterText(memoryRetryAfter)+"\r\n")
		}
		// The HTTP server drops a connection that ends within a head.
		return 0, io.EOF
	}
	return n, err
}

// headState is the result of adding bytes to a head.
type headState uint8

const (
	headAccepted headState = iota
	headTooLong
	headBeyondMemory
)

// capture adds bytes to the head.
func (c *headCapturingConn) capture(data []byte) headState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headComplete {
		return headAccepted
	}
	if len(c.head) == 0 {
		// Empty lines may precede a request.
		data = bytes.TrimLeft(data, "\r\n")
	}
	before := len(c.head)
	searched := max(0, before-len("\n\r"))
	c.head = append(c.head, data...)
	if end := headEnd(c.head[searched:]); end >= 0 {
		c.head, c.headComplete = c.head[:searched+end], true
	}
	switch {
	case len(c.head) > c.maxHeaderBytes()+headSlopBytes:
		return headTooLong
	case len(c.head) > before && !c.chargeHead(c.head[before:]):
		return headBeyondMemory
	}
	return headAccepted
}

// headEnd returns the length of the head at the start of text, or -1 if it is incomplete.
// Like net/http, it accepts lines that end without a carriage return.
func headEnd(text []byte) int {
	end := -1
	for _, separator := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(text, []byte(separator)); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// refuseHead answers a request whose head is too long or does not fit in memory, as net/http
// does. fields are header lines to add.
func (c *headCapturingConn) refuseHead(status, fields string) {
	// An error means that the caller is gone.
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\n"+fields+"Connection: close\r\n\r\n"+status)
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok && conn.CloseWrite() == nil {
		// A close with unread bytes is a reset, which could overtake the answer.
		time.Sleep(refusalLinger)
	}
}

// endHead ends the capture of the head of a request that has been read. Requests that were
// read ahead pass the connection before the one that precedes them ends.
func (c *headCapturingConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headComplete = true
}

// reset discards the captured head when a request has ended.
func (c *headCapturingConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	if cap(c.head) > keptHeadBytes {
		c.head = nil
	}
	c.headComplete = false
	c.endHeadCharge()
}

// hasContentLength reports whether the head has a Content-Length header. It
// returns true if the head was not captured completely.
func (c *headCapturingConn) hasContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
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

// endHead ends the capture of the head of a request.
func endHead(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn); ok {
		conn.endHead()
	}
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
