package direct

import (
	"bytes"
)

// events cuts a server-sent event stream into whole events.
type events struct {
	// rest is an event whose end has not come.
	rest []byte
	id   string
}

var (
	idField   = []byte("id:")
	lineBreak = []byte("\n")
)

// add takes the next bytes and returns those up to the end of the last whole
// event. The result is valid until the next call.
func (e *events) add(part []byte) []byte {
	e.rest = append(e.rest, part...)
	end := lastEventEnd(e.rest)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	if id := lastID(whole); id != "" {
		e.id = id
	}
	return whole
}

// pending returns how many bytes of an unfinished event are held.
func (e *events) pending() int { return len(e.rest) }

// lastID returns the id of the last whole event that had one.
func (e *events) lastID() string { return e.id }

// lastEventEnd returns the index after the last blank line, or 0.
func lastEventEnd(text []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\n\r\n"} {
		if at := bytes.LastIndex(text, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// lastID returns the value of the last id field.
func lastID(text []byte) string {
	for len(text) > 0 {
		at := bytes.LastIndex(text, idField)
		if at < 0 {
			return ""
		}
		if at == 0 || text[at-1] == '\n' {
			line, _, _ := bytes.Cut(text[at+len(idField):], lineBreak)
			return string(bytes.TrimSpace(line))
		}
		text = text[:at]
	}
	return ""
}
