package direct

import (
	"bytes"
)

// eventSplitter splits a server-sent event stream at event boundaries.
type eventSplitter struct {
	// buffered is the start of an event whose end was not received yet.
	buffered []byte
	id       string
}

var (
	idField   = []byte("id:")
	lineBreak = []byte("\n")
)

// feed adds the next bytes and returns all pending bytes up to the end of the
// last complete event, or nil. The result is valid until the next call.
func (e *eventSplitter) feed(part []byte) []byte {
	e.buffered = append(e.buffered, part...)
	end := lastEventEnd(e.buffered)
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(e.buffered[:end])
	e.buffered = append(e.buffered[:0], e.buffered[end:]...)
	if id := lastIDField(complete); id != "" {
		e.id = id
	}
	return complete
}

// pendingBytes returns the number of buffered bytes of an incomplete event.
func (e *eventSplitter) pendingBytes() int { return len(e.buffered) }

// lastEventID returns the id of the last complete event that had one, or "".
func (e *eventSplitter) lastEventID() string { return e.id }

// lastEventEnd returns the index after the last blank line, which ends an event,
// or 0 if there is none.
func lastEventEnd(text []byte) int {
	end := 0
	for _, terminator := range []string{"\n\n", "\n\r\n"} {
		if index := bytes.LastIndex(text, []byte(terminator)); index >= 0 {
			end = max(end, index+len(terminator))
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
		if index == 0 || text[index-1] == '\n' {
			line, _, _ := bytes.Cut(text[index+len(idField):], lineBreak)
			return string(bytes.TrimSpace(line))
		}
		text = text[:index]
	}
	return ""
}
