package netdial

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
)

const (
	// statusLineBytes is the length of a status line up to the end of the status.
	statusLineBytes = len(statusLineStart) + 3
	// protocolStart is the start of all answers of HTTP/1.
	protocolStart = "HTTP/1."
	// maxFieldNameBytes is more than the length of the names of bodyFields.
	maxFieldNameBytes = 32
)

// ErrInformationalBody means that an informational answer has a body, which would be taken for
// the next answer.
var ErrInformationalBody = errors.New("an informational answer has a body")

// bodyFields are the header fields of an answer with a body.
var bodyFields = []string{"content-length", "transfer-encoding"}

// ValidStatus returns a dial function for HTTP/1.1 clients whose connections carry no request
// after an answer whose status is not one of HTTP, from 200 to 599. http.Transport keeps a
// connection after an answer with a greater one. Informational answers with a body end the
// connection with ErrInformationalBody.
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
	if n = c.scanner.scan(p[:n]); c.scanner.hasInformationalBody {
		return n, ErrInformationalBody
	}
	return n, err
}

// statusScanner finds the status of the final answer behind informational ones.
type statusScanner struct {
	line []byte
	// isDone is set once the final status was read.
	isDone    bool
	isInvalid bool
	// lineIsEmpty is set at the start of a line in the head of an informational answer, and
	// field holds the start of that line.
	lineIsEmpty          bool
	field                []byte
	hasInformationalBody bool
}

func (s *statusScanner) reset() { s.line, s.isDone, s.lineIsEmpty = s.line[:0], false, false }

// scan returns how many of the bytes may be read.
func (s *statusScanner) scan(p []byte) int {
	for i, b := range p {
		switch {
		case s.hasInformationalBody:
			return i
		case s.isDone:
			return len(p)
		case len(s.line) < statusLineBytes:
			s.line = append(s.line, b)
			if len(s.line) == statusLineBytes {
				s.judge()
			}
		case b == '\n' && s.lineIsEmpty:
			s.reset()
		default:
			s.lineIsEmpty = b == '\n' || b == '\r' && s.lineIsEmpty
			s.scanField(b)
		}
	}
	return len(p)
}

// scanField looks at a byte in the head of an informational answer.
func (s *statusScanner) scanField(b byte) {
	switch {
	case b == '\n':
		s.field = s.field[:0]
		return
	case b == ':' && slices.Contains(bodyFields, strings.ToLower(string(s.field))):
		s.hasInformationalBody, s.isInvalid = true, true
	}
	if len(s.field) < maxFieldNameBytes {
		s.field = append(s.field, b)
	}
}

// judge looks at the start of a status line. Other bytes are no answer, or are encrypted.
func (s *statusScanner) judge() {
	class := s.line[len(statusLineStart)]
	isAnswer := bytes.HasPrefix(s.line, []byte(protocolStart))
	s.isDone = class != '1' || !isAnswer
	s.isInvalid = isAnswer && s.isDone && (class < '2' || class > '5')
}
