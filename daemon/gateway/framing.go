package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
)

// maxHeadBytes bounds the copy of a request's head that is kept for the check
// of its framing.
const maxHeadBytes = 16 << 10

// framedListener wraps callers' connections so that the framing of a request
// can be checked. The HTTP server drops a Content-Length that comes beside a
// chunked body, and what the caller meant is then ambiguous.
type framedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l framedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: conn}, nil
}

// framedConn keeps a copy of the head that is being read.
type framedConn struct {
	net.Conn
	head  []byte
	whole bool
}

// Read implements net.Conn. The HTTP server reads a connection from one
// goroutine at a time.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.whole && n > 0 {
		c.head = append(c.head, p[:min(n, maxHeadBytes-len(c.head))]...)
		c.whole = len(c.head) == maxHeadBytes || bytes.Contains(c.head, []byte("\r\n\r\n")) || bytes.Contains(c.head, []byte("\n\n"))
	}
	return n, err
}

// next forgets the head when a request has ended.
func (c *framedConn) next() {
	c.head = c.head[:0]
	c.whole = false
}

// hasLength reports whether the head names a Content-Length, or is not known.
func (c *framedConn) hasLength() bool {
	head, _, found := bytes.Cut(c.head, []byte("\r\n\r\n"))
	if !found {
		return true
	}
	return strings.Contains(strings.ToLower(string(head)), "\ncontent-length")
}

type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// isAmbiguous reports whether a request has two framings.
func isAmbiguous(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	conn, ok := r.Context().Value(connKey{}).(*framedConn)
	return ok && conn.hasLength()
}
