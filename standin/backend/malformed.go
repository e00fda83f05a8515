package backend

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const (
	fillerBytes    = 32 << 10
	fillerInterval = 2 * time.Millisecond
)

// IsEndless reports whether the answer has no end.
func (f AnswerFault) IsEndless() bool { return f == AnswerEndlessHead || f == AnswerEndlessBody }

// SetUnframed makes the server end the answer by closing the connection, without a
// Content-Length and without chunks. It must be called before the first write, and
// the answer must be flushed before the handler returns.
func SetUnframed(header http.Header) { header.Set("Transfer-Encoding", "identity") }

// WriteEndless writes an answer of the given content type until the client closes
// the connection or the server restarts. The answer has no body if the fault of the
// run is AnswerEndlessHead.
func (r *Run) WriteEndless(ctx context.Context, w http.ResponseWriter, answer Answer, contentType string) {
	if r.Fault == AnswerEndlessHead {
		r.writeEndlessHead(ctx, w)
		return
	}
	answer.setHeader(w.Header())
	w.Header().Set("Content-Type", contentType)
	flush := http.NewResponseController(w).Flush
	r.writeFiller(ctx, "data: ", func(filler string) error {
		if _, err := w.Write([]byte(filler)); err != nil {
			return err
		}
		return flush()
	})
	panic(http.ErrAbortHandler)
}

func (r *Run) writeEndlessHead(ctx context.Context, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	r.writeFiller(ctx, "HTTP/1.1 200 OK\r\nX-Filler: ", func(filler string) error {
		_, err := conn.Write([]byte(filler))
		return err
	})
}

func (r *Run) writeFiller(ctx context.Context, prefix string, write func(string) error) {
	filler := strings.Repeat("x", fillerBytes)
	err := write(prefix)
	for err == nil && r.Sleep(ctx, fillerInterval) == nil {
		err = write(filler)
	}
}
