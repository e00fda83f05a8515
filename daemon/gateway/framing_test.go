package gateway

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
)

// readConn gives a request's bytes in parts of a few bytes.
type readConn struct {
	net.Conn
	text []byte
	part int
}

func (c *readConn) Read(p []byte) (int, error) {
	if len(c.text) == 0 {
		return 0, net.ErrClosed
	}
	n := copy(p, c.text[:min(len(c.text), c.part)])
	c.text = c.text[n:]
	return n, nil
}

// A request that the server accepts as chunked although its head names a length
// has two framings, in whatever parts it arrives.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\ntransfer-encoding: chunked\r\ncontent-length:0\r\n\r\n0\r\n\r\n"), 1)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 100)
	f.Fuzz(func(t *testing.T, text []byte, part int) {
		conn := &framedConn{Conn: &readConn{text: text, part: max(part, 1)}}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil || len(request.TransferEncoding) == 0 {
			return
		}
		head, _, found := bytes.Cut(text, []byte("\r\n\r\n"))
		if !found || len(head) > maxHeadBytes/2 {
			return
		}
		named := strings.Contains(strings.ToLower(string(head)), "\ncontent-length:")
		ambiguous := isAmbiguous(request.WithContext(withConn(request.Context(), conn)))
		if named && !ambiguous {
			t.Errorf("two framings are taken for one: %q", head)
		}
	})
}
