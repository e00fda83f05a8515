package direct

import (
	"bytes"
	"errors"
	"fmt"
)

// maxEventBytes bounds the incomplete event that is held until its end arrives.
const maxEventBytes = 64 << 10

// ErrEventTooLarge means that an event did not end within maxEventBytes.
var ErrEventTooLarge = errors.New("the event is too large")

const lineEnds = "\r\n"

var idField = []byte("id:")

// eventSplitter splits a server-sent event stream at event boundaries.
type eventSplitter struct {
	scanner eventScanner
	// buffered is the start of an event whose end was not received yet.
	buffered []byte
}

// feed adds the next bytes and returns all pending bytes up to the end of the last
// complete event, or nil. After an error the splitter must not be used.
func (e *eventSplitter) feed(part []byte) ([]byte, error) {
	end := e.scanner.scan(part)
	if end == 0 {
		if len(e.buffered)+len(part) > maxEventBytes {
			return nil, fmt.Errorf("%w: no end within %d bytes", ErrEventTooLarge, maxEventBytes)
		}
		e.buffered = append(e.buffered, part...)
		return nil, nil
	}
	complete := make([]byte, 0, len(e.buffered)+end)
	complete = append(append(complete, e.buffered...), part[:end]...)
	e.buffered = append(e.buffered[:0], part[end:]...)
	return complete, nil
}

// pendingBytes returns the number of buffered bytes of an incomplete event.
func (e *eventSplitter) pendingBytes() int { return len(e.buffered) }

// eventScanner finds the ends of events. An event ends with a blank line. A line ends
// with CR LF, LF or CR.
type eventScanner struct {
	// lineHasText is set when the current line is not empty.
	lineHasText bool
	// afterCR is set when the last byte was a CR, so that an LF belongs to it.
	afterCR bool
	// afterBlankLine is set when the last line was blank.
	afterBlankLine bool
}

// scan reads the next bytes of the stream and returns the index after the last event
// that ends in them, or 0.
func (s *eventScanner) scan(part []byte) int {
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

// lastIDField returns the value of the last id field in text, or "".
func lastIDField(text []byte) string {
	for len(text) > 0 {
		index := bytes.LastIndex(text, idField)
		if index < 0 {
			return ""
		}
		if index == 0 || text[index-1] == '\n' || text[index-1] == '\r' {
			value := text[index+len(idField):]
			if end := bytes.IndexAny(value, lineEnds); end >= 0 {
				value = value[:end]
			}
			return string(bytes.TrimSpace(value))
		}
		text = text[:index]
	}
	return ""
}
