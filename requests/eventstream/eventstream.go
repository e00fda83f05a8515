// Package eventstream splits server-sent event streams at event boundaries.
package eventstream

import (
	"bytes"
	"errors"
	"fmt"
)

// MediaType is the content type of an event stream.
const MediaType = "text/event-stream"

const (
	// MaxEventBytes bounds the incomplete event that is held until its end arrives.
	MaxEventBytes = 64 << 10
	// MaxIDBytes bounds an event id, which becomes a header of the request that
	// resumes the stream.
	MaxIDBytes = 256
)

var (
	// ErrTooLarge means that an event did not end within MaxEventBytes.
	ErrTooLarge = errors.New("the event is too large")
	// ErrInvalidID means that the id of an event cannot be sent in a header.
	ErrInvalidID = errors.New("the id of the event is invalid")
	// ErrStatusLine means that the head of an HTTP answer follows within a stream.
	ErrStatusLine = errors.New("the stream holds the status line of an answer")
)

const lineEnds = "\r\n"

var (
	idField = []byte("id:")
	// statusLines are starts of a status line at the start of a line.
	statusLines = [][]byte{[]byte("\nHTTP/1."), []byte("\rHTTP/1.")}
)

// Splitter splits a server-sent event stream at event boundaries.
type Splitter struct {
	scanner scanner
	// buffered is the start of an event whose end was not received yet.
	buffered []byte
}

// Feed adds the next bytes and returns all pending bytes up to the end of the last
// complete event, or nil. After an error the splitter must not be used.
func (e *Splitter) Feed(part []byte) ([]byte, error) {
	end := e.scanner.scan(part)
	if end == 0 {
		if len(e.buffered)+len(part) > MaxEventBytes {
			return nil, fmt.Errorf("%w: no end within %d bytes", ErrTooLarge, MaxEventBytes)
		}
		e.buffered = append(e.buffered, part...)
		return nil, nil
	}
	complete := make([]byte, 0, len(e.buffered)+end)
	complete = append(append(complete, e.buffered...), part[:end]...)
	e.buffered = append(e.buffered[:0], part[end:]...)
	return complete, nil
}

// PendingBytes returns the number of buffered bytes of an incomplete event.
func (e *Splitter) PendingBytes() int { return len(e.buffered) }

// scanner finds the ends of events. An event ends with a blank line. A line ends
// with CR LF, LF or CR.
type scanner struct {
	// lineHasText is set when the current line is not empty.
	lineHasText bool
	// afterCR is set when the last byte was a CR, so that an LF belongs to it.
	afterCR bool
	// afterBlankLine is set when the last line was blank.
	afterBlankLine bool
}

// scan reads the next bytes of the stream and returns the index after the last event
// that ends in them, or 0.
func (s *scanner) scan(part []byte) int {
	end := 0
	for i, b := range part {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
		case b == '\n' || b == '\r':
			s.afterBlankLine = !s.lineHasText
			s.lineHasText = false
			s.afterCR = b == '\r'
		default:
			s.lineHasText, s.afterCR, s.afterBlankLine = true, false, false
		}
		if s.afterBlankLine {
			end = i + 1
		}
	}
	return end
}

// CheckNoStatusLine returns ErrStatusLine if a line of the complete events is the status
// line of an answer, which no field of an event begins like.
func CheckNoStatusLine(events []byte) error {
	isFound := bytes.HasPrefix(events, statusLines[0][1:])
	for _, start := range statusLines {
		isFound = isFound || bytes.Contains(events, start)
	}
	if isFound {
		return ErrStatusLine
	}
	return nil
}

// LastID returns the id of the last of the complete events that has one, or "".
func LastID(events []byte) (string, error) {
	id := lastIDField(events)
	if len(id) > MaxIDBytes {
		return "", fmt.Errorf("%w: %d bytes", ErrInvalidID, len(id))
	}
	if bytes.ContainsFunc(id, isControl) {
		return "", fmt.Errorf("%w: %q", ErrInvalidID, id)
	}
	return string(id), nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// lastIDField returns the value of the last id field in text, or nil.
func lastIDField(text []byte) []byte {
	for len(text) > 0 {
		index := bytes.LastIndex(text, idField)
		if index < 0 {
			return nil
		}
		if index == 0 || text[index-1] == '\n' || text[index-1] == '\r' {
			value := text[index+len(idField):]
			if end := bytes.IndexAny(value, lineEnds); end >= 0 {
				value = value[:end]
			}
			return bytes.TrimSpace(value)
		}
		text = text[:index]
	}
	return nil
}
