package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/daemon/convert"
)

// sink writes a backend server's answer to the caller. It implements
// dispatch.Sink.
type sink struct {
	writer    http.ResponseWriter
	stream    bool
	begun     bool
	started   time.Time
	firstByte time.Time
}

// Begin implements dispatch.Sink.
func (s *sink) Begin(contentType string, weights core.Digest) error {
	s.begun = true
	s.firstByte = time.Now()
	header := s.writer.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if !weights.IsZero() {
		header.Set(headerWeights, weights.String())
	}
	s.writer.WriteHeader(http.StatusOK)
	return nil
}

// Write implements dispatch.Sink. Streams are flushed after each write.
func (s *sink) Write(part []byte) (int, error) {
	n, err := s.writer.Write(part)
	if err != nil || !s.stream {
		return n, err
	}
	return n, http.NewResponseController(s.writer).Flush()
}

// fail ends an answer that has begun: a stream gets a last event with the
// problem, and the connection is aborted so that the answer never passes as
// whole.
func (s *sink) fail(err error, id string) error {
	if s.stream {
		problem := convert.Problem(err, id)
		if body, encodeErr := json.Marshal(&problem.Response); encodeErr == nil {
			_, _ = fmt.Fprintf(s.writer, "event: error\ndata: %s\n\n", body)
			_ = http.NewResponseController(s.writer).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}
