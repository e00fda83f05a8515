package direct

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// connectionHeaders concern one connection only and are not handed on.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// named returns the headers that a Connection header names.
func named(header http.Header) map[string]bool {
	var names map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// systemHeaders are set by the system alone, whatever the caller sent.
func systemHeaders(names fleet.HeaderNames, name string) bool {
	switch name {
	case names.APIKey, names.Team, names.Deadline, names.ExpectServer, names.ExpectedVersion, names.Priority, names.EnginePath:
		return true
	default:
		return false
	}
}

// encode returns the bytes of one attempt. left is the time that the backend
// server has.
func (e *Exchange) encode(server core.InstanceID, left time.Duration) []byte {
	r := &e.request
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	writeLine(&b, r.Method, " ", r.Target, " HTTP/1.1")
	writeLine(&b, "Host: ", r.Host)
	e.encodeCallerHeaders(&b)
	writeLine(&b, e.names.Deadline, ": ", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	writeLine(&b, e.names.ExpectServer, ": ", string(server))
	if r.Team != "" {
		writeLine(&b, e.names.Team, ": ", string(r.Team))
	}
	if r.Model != "" {
		writeLine(&b, e.names.Priority, ": ", strconv.Itoa(r.Priority))
	}
	if version := r.Version(server); version > 0 {
		writeLine(&b, e.names.ExpectedVersion, ": ", strconv.FormatInt(int64(version), 10))
	}
	if e.lastEvent != "" {
		writeLine(&b, e.names.LastEventID, ": ", e.lastEvent)
	}
	if r.HasBody {
		writeLine(&b, "Content-Length: ", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (e *Exchange) encodeCallerHeaders(b *bytes.Buffer) {
	onlyHere := named(e.request.Header)
	for name, values := range e.request.Header {
		if connectionHeaders[name] || onlyHere[name] || systemHeaders(e.names, name) {
			continue
		}
		if name == e.names.LastEventID && e.lastEvent != "" {
			continue
		}
		for _, value := range values {
			writeLine(b, name, ": ", value)
		}
	}
}

func writeLine(b *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		b.WriteString(part)
	}
	b.WriteString("\r\n")
}

// copyAnswerHeader sets the headers of a backend server's answer. A nil value
// keeps the server library from adding a header of its own.
func copyAnswerHeader(to, from http.Header) {
	onlyHere := named(from)
	for name, values := range from {
		if !connectionHeaders[name] && !onlyHere[name] {
			to[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}
