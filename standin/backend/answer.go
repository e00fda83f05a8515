package backend

import (
	"bufio"
	"net/http"
	"strconv"
)

// Answer is a complete answer that is not streamed.
type Answer struct {
	RequestID string
	Weights   string
	Body      []byte
}

// WriteTo writes the answer with the fault applied. With AnswerCut and
// AnswerBrokenEvent it aborts the connection after half of the body.
func (a Answer) WriteTo(w http.ResponseWriter, fault AnswerFault) {
	switch fault {
	case AnswerDoubled:
		a.writeTwice(w)
	case AnswerCut, AnswerBrokenEvent:
		a.setHeader(w.Header())
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body[:len(a.Body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case AnswerUnframed:
		a.setHeader(w.Header())
		SetUnframed(w.Header())
		_, _ = w.Write(a.Body)
		_ = http.NewResponseController(w).Flush()
	default:
		a.setHeader(w.Header())
		_, _ = w.Write(a.Body)
	}
}

func (a Answer) setHeader(header http.Header) {
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, a.RequestID)
	if a.Weights != "" {
		header.Set(HeaderWeights, a.Weights)
	}
}

// writeTwice writes the same response twice on a keep-alive connection, so that a
// client can take the second one for the response to its next request.
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
	// Wait for the next request, so that the second response answers it.
	_, _ = buffered.Reader.ReadByte()
}

func (a Answer) writeRaw(w *bufio.Writer) {
	header := make(http.Header)
	a.setHeader(header)
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(a.Body)
}
