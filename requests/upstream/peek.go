package upstream

import "syscall"

// Surplus returns up to limit bytes that were received behind the answer.
func (c *Conn) Surplus(limit int) []byte {
	if buffered := c.reader.Buffered(); buffered > 0 {
		surplus, _ := c.reader.Peek(min(buffered, limit))
		return surplus
	}
	surplus := make([]byte, limit)
	n, _ := c.peek(surplus)
	return surplus[:n]
}

// peek copies received bytes that were not read. It does not wait: it returns EAGAIN if
// there are none and the connection is open, which a connection of another kind always is.
func (c *Conn) peek(p []byte) (int, error) {
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var peekErr error
	err = rawConn.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}
