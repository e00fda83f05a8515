// Package cutanswer serves answers that are cut off, for tests of HTTP clients.
package cutanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
)

// Ending is how a server ends a connection.
type Ending bool

const (
	// Closed ends the connection after the bytes that were written.
	Closed Ending = false
	// Reset resets the connection.
	Reset Ending = true
)

func (e Ending) String() string {
	if e == Reset {
		return "reset"
	}
	return "closed"
}

// Server writes the same bytes to each connection after its first request, and ends it.
type Server struct {
	// Addr is the IP address and port of the server.
	Addr     string
	listener net.Listener
	answer   string
	ending   Ending
}

// Start starts a server. The caller must call Close.
func Start(answer string, ending Ending) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: listener.Addr().String(), listener: listener, answer: answer, ending: ending}
	go s.serve()
	return s, nil
}

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

// serveConn reads the whole request first: closing a connection with unread data resets it.
func (s *Server) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if _, err := io.WriteString(conn, s.answer); err != nil || s.ending == Closed {
		return
	}
	// Without the reset the test fails where the ending matters.
	_ = conn.SetLinger(0)
}

// Cut is an answer that ends before its last byte.
type Cut struct {
	// Bytes is the number of bytes of the answer that are sent.
	Bytes  int
	Ending Ending
}

// Cuts returns the cuts of an answer after each of its bytes but the last one, with both
// endings.
func Cuts(answer string) []Cut {
	var cuts []Cut
	for n := range len(answer) {
		cuts = append(cuts, Cut{Bytes: n, Ending: Closed}, Cut{Bytes: n, Ending: Reset})
	}
	return cuts
}

// Framings returns the answer with a status line, header lines and a body in each framing
// that shows the end of the body: a length, chunks, chunks with a trailer, and a length
// behind an informational answer.
func Framings(statusAndHeader, body string) map[string]string {
	half := len(body) / 2
	chunks := chunk(body[:half]) + chunk(body[half:]) + "0\r\n"
	withLength := statusAndHeader + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	return map[string]string{
		"length":      withLength,
		"chunks":      statusAndHeader + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"trailer":     statusAndHeader + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-T: 1\r\n\r\n",
		"early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withLength,
	}
}

// Unframed returns the answer with a body that ends with its connection.
func Unframed(statusAndHeader, body string) string { return statusAndHeader + "\r\n" + body }

func chunk(part string) string {
	if part == "" {
		return ""
	}
	return strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n"
}
