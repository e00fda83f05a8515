package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// unframedBody is the body of an answer that has neither a length nor chunks and ends
// with its connection. The operating system reports a reset to one call only; if that
// was a write, a read returns io.EOF.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn.wasReset() {
		return n, fmt.Errorf("connection to %s: %w", b.conn.addr, syscall.ECONNRESET)
	}
	return n, err
}
