package gateway

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
)

// chunkedConn returns at most chunkSize bytes of a request per Read.
type chunkedConn struct {
	net.Conn
	text      []byte
	chunkSize int
}

func (c *chunkedConn) Read(p []byte) (int, error) {
	if len(c.text) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(p, c.text[:min(len(c.text), c.chunkSize)])
	c.text = c.text[n:]
	return n, nil
}

// A chunked request with a Content-Length header must be detected as ambiguous,
// however its bytes are split over reads.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\ntransfer-encoding: chunked\r\ncontent-length:0\r\n\r\n0\r\n\r\n"), 1)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 100)
	f.Fuzz(func(t *testing.T, text []byte, chunkSize int) {
		conn := &headCapturingConn{Conn: &chunkedConn{text: text, chunkSize: max(chunkSize, 1)}, maxHeaderBytes: fixedHeaderBytes(defaultHeaderBytes)}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil || len(request.TransferEncoding) == 0 {
			return
		}
		head, _, found := bytes.Cut(text, []byte("\r\n\r\n"))
		if !found || len(head) > defaultHeaderBytes/2 {
			return
		}
		hasLength := strings.Contains(strings.ToLower(string(head)), "\ncontent-length:")
		ambiguous := hasAmbiguousFraming(request.WithContext(withConn(request.Context(), conn)))
		if hasLength && !ambiguous {
			t.Errorf("ambiguous framing was not detected: %q", head)
		}
	})
}
