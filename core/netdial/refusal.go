package netdial

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
)

// DialFunc is the DialContext function of an http.Transport.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ErrRefusedBefore means that nothing was written, because an earlier request on the
// connection was refused.
var ErrRefusedBefore = errors.New("an earlier request on this connection was refused")

// statusLineStart is the start of an HTTP/1.1 answer up to its status.
const statusLineStart = "HTTP/1.1 "

// OneRefusal returns a dial function for HTTP/1.1 clients whose connections carry no
// request after an answer without a 2xx status. Answers name no request, so that a second
// copy of a refusal could not be told from the answer to the next request. http.Transport
// sends a request again on another connection if nothing of it was written, unless its body
// cannot be read twice.
func OneRefusal(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &oneRefusalConn{Conn: conn}, nil
	}
}

type oneRefusalConn struct {
	net.Conn

	mu sync.Mutex
	// head is the start of the answer to the last request, up to the first digit of the
	// status.
	head    []byte
	refused bool
}

// Write implements net.Conn.
func (c *oneRefusalConn) Write(p []byte) (int, error) {
	if err := c.startRequest(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// startRequest expects another answer, or returns an error after a refusal.
func (c *oneRefusalConn) startRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return ErrRefusedBefore
	}
	c.head = c.head[:0]
	return nil
}

// Read implements net.Conn.
func (c *oneRefusalConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.noteStatus(p[:n])
	return n, err
}

func (c *oneRefusalConn) noteStatus(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := len(statusLineStart) + 1 - len(c.head)
	if missing <= 0 || len(p) == 0 {
		return
	}
	c.head = append(c.head, p[:min(missing, len(p))]...)
	if len(c.head) > len(statusLineStart) && !bytes.Equal(c.head, []byte(statusLineStart+"2")) {
		c.refused = true
	}
}
