// Package oddstatus serves answers whose status is none of HTTP, for tests of HTTP clients.
package oddstatus

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Lines returns status lines that no server may end an answer with.
func Lines() []string {
	var lines []string
	for _, status := range []string{
		"000 OK", "00 OK", "0200 OK", "020 OK", "099 OK", "+20 OK", "+200 OK", "-00 OK", "-1 OK", "-20 OK", "2 OK", "2000 OK", "20000000000000000200 OK",
		"101 Switching Protocols", "600 OK", "700 OK", "999 OK", "000", "600", "", "OK", "2OO OK", "20x OK", "0x2 OK", "2.0 OK", "1e2 OK", "\u0662\u0660\u0660 OK", "\t200 OK",
	} {
		lines = append(lines, "HTTP/1.1 "+status)
	}
	return append(lines, "HTTP/1.1")
}

// Answers returns answers to a request by their status line. They have the given header
// lines, each with its line end, and body.
func Answers(fields, body string) map[string]string {
	answers := map[string]string{}
	rest := "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for _, line := range Lines() {
		answers[line] = line + rest
	}
	for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 103 OK", "HTTP/1.1 199 OK"} {
		answers["only "+line] = line + rest
		answers["700 after "+line] = line + "\r\n\r\nHTTP/1.1 700 OK" + rest
	}
	return answers
}

// Nested returns informational answers whose body is a whole answer with the given header lines
// and body.
func Nested(fields, body string) map[string]string {
	inner := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	answers := map[string]string{}
	for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 103", "HTTP/1.1 103 A\r\n\r\nHTTP/1.1 199 OK"} {
		answers["in the body of "+line] = line + "\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner
		answers["in chunks of "+line] = line + "\r\nA: b\r\ntransfer-encoding: chunked\r\n\r\n" + inner
	}
	return answers
}

// WithStatuses adds answers with the given statuses, which are HTTP's, to those of Answers.
func WithStatuses(fields, body string, statuses ...int) map[string]string {
	answers := Answers(fields, body)
	for _, status := range statuses {
		line := "HTTP/1.1 " + strconv.Itoa(status) + " X"
		answers[line] = line + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	return answers
}

// Server gives an answer to the first request of each connection, and another one to the
// later requests of that connection.
type Server struct {
	// Addr is the IP address and port of the server.
	Addr     string
	listener net.Listener
	answer   string
	next     string
	calls    atomic.Int64
	reused   atomic.Int64
}

// Start starts a server. The caller must call Close. Without next, a connection ends after its
// first answer.
func Start(answer, next string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: listener.Addr().String(), listener: listener, answer: answer, next: next}
	go s.serve()
	return s, nil
}

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

// Calls returns the number of requests that arrived.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// Reused returns the number of requests that came on a connection after its first answer.
func (s *Server) Reused() int { return int(s.reused.Load()) }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	isFirst := true
	for answer := s.answer; answer != ""; answer, isFirst = s.next, false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.calls.Add(1)
		if !isFirst {
			s.reused.Add(1)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
