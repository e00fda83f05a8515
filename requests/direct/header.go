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

// hopByHopHeaders are not forwarded because they apply to one connection only.
// Content-Length is set anew for each message.
var hopByHopHeaders = map[string]bool{
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

// connectionOptions returns the headers listed in the Connection header, which
// are not forwarded either.
func connectionOptions(header http.Header) map[string]bool {
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

// isReservedHeader reports whether only the gateway may set the header. A value
// from the caller is dropped.
func isReservedHeader(headerNames fleet.HeaderNames, name string) bool {
	switch name {
	case headerNames.APIKey, headerNames.Team, headerNames.Deadline, headerNames.ExpectServer, headerNames.ExpectedVersion, headerNames.Priority, headerNames.EnginePath:
		return true
	default:
		return false
	}
}

// encodeRequest returns the request of one attempt in HTTP/1.1 format. timeLeft
// is the time that the backend server has to answer.
func (e *Exchange) encodeRequest(server core.InstanceID, version fleet.WeightsVersion, timeLeft time.Duration) []byte {
	r := &e.request
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	writeLine(&b, r.Method, " ", r.Target, " HTTP/1.1")
	writeLine(&b, "Host: ", r.Host)
	e.encodeCallerHeaders(&b)
	writeLine(&b, e.headerNames.Deadline, ": ", strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	writeLine(&b, e.headerNames.ExpectServer, ": ", string(server))
	if r.Team != "" {
		writeLine(&b, e.headerNames.Team, ": ", string(r.Team))
	}
	if r.Model != "" {
		writeLine(&b, e.headerNames.Priority, ": ", strconv.Itoa(r.Priority))
	}
	if version > 0 {
		writeLine(&b, e.headerNames.ExpectedVersion, ": ", strconv.FormatInt(int64(version), 10))
	}
	if id := e.lastEventID; id != "" {
		writeLine(&b, e.headerNames.LastEventID, ": ", id)
	}
	if r.HasBody {
		writeLine(&b, "Content-Length: ", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (e *Exchange) encodeCallerHeaders(b *bytes.Buffer) {
	perConnection := connectionOptions(e.request.Header)
	for name, values := range e.request.Header {
		if hopByHopHeaders[name] || perConnection[name] || isReservedHeader(e.headerNames, name) {
			continue
		}
		if name == e.headerNames.LastEventID && e.lastEventID != "" {
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

// copyAnswerHeader copies the headers to forward from a backend server's answer.
// A nil value keeps net/http from adding a default Content-Type or Date.
func copyAnswerHeader(to, from http.Header) {
	perConnection := connectionOptions(from)
	for name, values := range from {
		if !hopByHopHeaders[name] && !perConnection[name] {
			to[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}
