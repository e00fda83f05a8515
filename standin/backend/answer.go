package backend

import (
	"bufio"
	"net/http"
	"strconv"
)

// Answer is a whole plain answer.
type Answer struct {
	RequestID string
	Weights   string
	Body      []byte
}

// WriteTo writes the answer with the fault applied. It aborts the connection
// when the fault says so.
func (a Answer) WriteTo(w http.ResponseWriter, fault AnswerFault) {
	switch fault {
	case AnswerDoubled:
		a.writeTwice(w)
	case AnswerCut:
		a.header(w.Header())
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body[:len(a.Body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		a.header(w.Header())
		_, _ = w.Write(a.Body)
	}
}

func (a Answer) header(header http.Header) {
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, a.RequestID)
	if a.Weights != "" {
		header.Set(HeaderWeights, a.Weights)
	}
}

// writeTwice writes the same response twice on a kept-alive connection, so
// that the second can meet a later request.
func (a Answer) writeTwice(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		a.writeRaw(buffered.Writer)
	}
	_ = buffered.Flush()
	// Waits for the next request, to which the second answer then belongs.
	_, _ = buffered.Reader.ReadByte()
}

func (a Answer) writeRaw(w *bufio.Writer) {
	header := make(http.Header)
	a.header(header)
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(a.Body)
}
