package netlimit

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	addr     netip.Addr

	// The listener's lock guards phase, since (when the phase began), held (bytes of the
	// transfer budget) and gone.
	phase phase
	since time.Time
	held  [transferKinds]int64
	gone  bool

	deadlineMu sync.Mutex
	// writeDeadline is the deadline that the server or a handler has set, or zero.
	writeDeadline time.Time
}

// Write implements net.Conn. It writes in slices, each of which the caller must read within
// WriteTime.
func (c *conn) Write(p []byte) (int, error) {
	counted := int64(0)
	if len(p) > uncountedWrite {
		counted = int64(len(p))
	}
	if err := c.listener.reserve(c, transferAnswer, counted); err != nil {
		return 0, err
	}
	before := c.listener.enter(c, phaseWriting, time.Now())
	n, err := c.writeSlices(p)
	c.listener.enter(c, before, time.Now())
	c.listener.release(c, transferAnswer, counted)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.hit(ReasonWriteTime)
	}
	return n, err
}

func (c *conn) writeSlices(p []byte) (int, error) {
	written := 0
	for {
		end := min(len(p), written+writeSlice)
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:end])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) extendWriteDeadline() error {
	if c.listener.limits.WriteTime <= 0 {
		return nil
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	deadline := time.Now().Add(c.listener.limits.WriteTime)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.writeDeadline = at
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetWriteDeadline(at), c.SetReadDeadline(at))
}

// CloseWrite lets the server close a connection without a reset of the answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// abort closes the connection by a reset, which frees what the system still holds of it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
