package direct

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
)

// errSecondAnswer means that another answer begins within a body.
var errSecondAnswer = errors.New("another answer begins within the body")

var (
	protocolPrefix = []byte("HTTP/1.")
	statusLine     = regexp.MustCompile(`HTTP/1\.\d \d{3}[ \r]`)
)

// statusLineBytes is the length of a match of statusLine.
const statusLineBytes = 13

// secondAnswerScanner finds the start of another answer in a body.
type secondAnswerScanner struct {
	isFound bool
	// tail is the end of the body, which is too short for a match.
	tail []byte
}

// scan reads the next bytes of the body.
func (s *secondAnswerScanner) scan(part []byte) {
	s.isFound = s.isFound || s.spans(part) || bytes.Contains(part, protocolPrefix) && statusLine.Match(part)
	s.tail = append(s.tail, part[max(0, len(part)-statusLineBytes+1):]...)
	s.tail = s.tail[max(0, len(s.tail)-statusLineBytes+1):]
}

// spans reports whether an answer begins in the bytes before next.
func (s *secondAnswerScanner) spans(next []byte) bool {
	joined := append(bytes.Clone(s.tail), next[:min(len(next), statusLineBytes-1)]...)
	match := statusLine.FindIndex(joined)
	return match != nil && match[0] < len(s.tail)
}

// checkSecondAnswer returns an error if another answer began within a body with a length
// and goes on behind it: the server broke off the body, whose rest is that answer.
func (s *replyStream) checkSecondAnswer() error {
	if s.isEventStream() || s.response.ContentLength < 0 {
		return nil
	}
	surplus := s.conn.Surplus(statusLineBytes)
	if len(surplus) == 0 || !s.scanner.isFound && !s.scanner.spans(surplus) {
		return nil
	}
	return fmt.Errorf("answer of %s: %w", s.server, errSecondAnswer)
}
