package netdial

import (
	"bytes"
	"context"
	"net"
	"sync"
)

const (
	// statusLineBytes is the length of a status line up to the end of the status.
	statusLineBytes = len(statusLineStart) + 3
	// protocolStart is the start of all answers of HTTP/1.
	protocolStart = "HTTP/1."
)

// ValidStatus returns a dial function for HTTP/1.1 clients whose connections carry no request
// after an answer whose status is not one of HTTP, from 200 to 599. http.Transport keeps a
// connection after an answer with a greater one.
func ValidStatus(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &validStatusConn{Conn: conn}, nil
	}
}

type validStatusConn struct {
	net.Conn

	mu      sync.Mutex
	scanner statusScanner
}

// Write implements net.Conn.
func (c *validStatusConn) Write(p []byte) (int, error) {
	if err := c.startRequest(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// startRequest expects another answer, or returns an error after an invalid status.
func (c *validStatusConn) startRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanner.isInvalid {
		return ErrRefusedBefore
	}
	c.scanner.reset()
	return nil
}

// Read implements net.Conn.
func (c *validStatusConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.scan(p[:n])
	return n, err
}

// statusScanner finds the status of the final answer behind informational ones.
type statusScanner struct {
	line []byte
	// isDone is set once the final status was read.
	isDone    bool
	isInvalid bool
	// lineIsEmpty is set at the start of a line in the head of an informational answer.
	lineIsEmpty bool
}

func (s *statusScanner) reset() { s.line, s.isDone, s.lineIsEmpty = s.line[:0], false, false }

func (s *statusScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.isDone:
			return
		case len(s.line) < statusLineBytes:
			s.line = append(s.line, b)
			if len(s.line) == statusLineBytes {
				s.judge()
			}
		case b == '\n' && s.lineIsEmpty:
			s.reset()
		default:
			s.lineIsEmpty = b == '\n' || b == '\r' && s.lineIsEmpty
		}
	}
}

// judge looks at the start of a status line. Other bytes are no answer, or are encrypted.
func (s *statusScanner) judge() {
	class := s.line[len(statusLineStart)]
	isAnswer := bytes.HasPrefix(s.line, []byte(protocolStart))
	s.isDone = class != '1' || !isAnswer
	s.isInvalid = isAnswer && s.isDone && (class < '2' || class > '5')
}
