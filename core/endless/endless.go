// Package endless serves answers without end, for tests of HTTP clients.
package endless

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const (
	// MaxBytes is what a server sends on a connection at most, far more than any bound.
	MaxBytes = 256 << 20
	// BufferedBytes bounds the bytes of one connection that are sent and that no client
	// has read.
	BufferedBytes = 1 << 20

	blockBytes      = 16 << 10
	sendBufferBytes = 64 << 10
)

// Answer is an answer that begins with Start and then repeats Part.
type Answer struct {
	Start string
	Part  string
}

const (
	pad    = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	status = "HTTP/1.1 200 OK\r\n"
	// chunked is followed by chunks.
	chunked = status + "Transfer-Encoding: chunked\r\n\r\n"
)

// Heads returns answers whose head has no end.
func Heads() map[string]Answer {
	return map[string]Answer{
		"short lines":         {Start: status, Part: "a:\n"},
		"lines":               {Start: status, Part: "X-A: " + pad + "\r\n"},
		"long line":           {Start: status + "X-A: ", Part: pad},
		"folded lines":        {Start: status + "X-A: ", Part: pad + "\r\n "},
		"empty folded lines":  {Start: status + "X-A: a\r\n", Part: " \r\n"},
		"status line":         {Start: "HTTP/1.1 200 ", Part: pad},
		"no answer":           {Part: pad},
		"status lines of 1xx": {Part: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"1xx with fields":     {Part: "HTTP/1.1 103 Early Hints\r\nX-A: " + pad + "\r\n\r\n"},
		"head of a 1xx":       {Start: "HTTP/1.1 103 Early Hints\r\n", Part: "a:\n"},
	}
}

// Bodies returns answers whose body has no end.
func Bodies() map[string]Answer {
	return map[string]Answer{
		"length":       {Start: status + "Content-Length: " + strconv.Itoa(MaxBytes*2) + "\r\n\r\n", Part: pad},
		"chunks":       {Start: chunked, Part: "40\r\n" + pad + "\r\n"},
		"small chunks": {Start: chunked, Part: "1\r\nx\r\n"},
		"unframed":     {Start: status + "\r\n", Part: pad},
		"unframed 500": {Start: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Part: pad},
	}
}

// BodyFramings returns answers without an end in the lines around the chunks of a body.
func BodyFramings() map[string]Answer {
	return map[string]Answer{
		"chunk size":       {Start: chunked, Part: "0"},
		"chunk extension":  {Start: chunked + "1;a=", Part: pad},
		"chunk extensions": {Start: chunked, Part: "1;a=" + pad + "\r\nx\r\n"},
		"trailer":          {Start: chunked + "1\r\nx\r\n0\r\n", Part: "X-A: " + pad + "\r\n"},
		"short trailer":    {Start: chunked + "1\r\nx\r\n0\r\n", Part: "a:\n"},
		"long trailer":     {Start: chunked + "1\r\nx\r\n0\r\nX-A: ", Part: pad},
	}
}

// Compressed returns an answer whose body is size zero bytes in the encoding gzip.
func Compressed(size int) (string, error) {
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	if _, err := io.CopyN(writer, zeros{}, int64(size)); err != nil {
		return "", err
	}
	if err := writer.Close(); err != nil {
		return "", err
	}
	return status + "Content-Encoding: gzip\r\nContent-Length: " + strconv.Itoa(body.Len()) + "\r\n\r\n" + body.String(), nil
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Server sends an answer to the first request of each connection until the client closes it.
type Server struct {
	// Addr is the IP address and port of the server.
	Addr     string
	listener net.Listener
	answer   Answer
	conns    sync.WaitGroup

	mu       sync.Mutex
	mostSent int
	served   int
}

// Start starts a server. The caller must call Close.
func Start(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: listener.Addr().String(), listener: listener, answer: answer}
	s.conns.Go(s.serve)
	return s, nil
}

// Close stops the server, waits until the clients have closed their connections, and returns
// the number of connections and the most bytes that were sent on one of them.
func (s *Server) Close() (conns, mostSent int) {
	_ = s.listener.Close()
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.mostSent
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serveConn(conn.(*net.TCPConn)) })
	}
}

func (s *Server) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if conn.SetWriteBuffer(sendBufferBytes) != nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	sent := s.answer.sendTo(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	s.mostSent = max(s.mostSent, sent)
}

func (a Answer) sendTo(conn io.Writer) int {
	sent, err := io.WriteString(conn, a.Start)
	block := []byte(strings.Repeat(a.Part, max(1, blockBytes/len(a.Part))))
	for err == nil && sent < MaxBytes {
		var n int
		n, err = conn.Write(block)
		sent += n
	}
	return sent
}
