package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/daemon/convert"
)

// responseSink implements dispatch.Sink. It writes a backend server's answer to
// the caller.
type responseSink struct {
	writer     http.ResponseWriter
	stream     bool
	headerSent bool
	started    time.Time
	firstByte  time.Time
}

// Begin implements dispatch.Sink.
func (s *responseSink) Begin(contentType string, weights core.Digest) error {
	s.headerSent = true
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

// Write implements dispatch.Sink. It flushes a stream after each write.
func (s *responseSink) Write(part []byte) (int, error) {
	n, err := s.writer.Write(part)
	if err != nil || !s.stream {
		return n, err
	}
	return n, http.NewResponseController(s.writer).Flush()
}

// abort ends an answer whose header was sent. It sends the problem as the last
// event of a stream and aborts the connection, so that the caller cannot take the
// answer for complete.
func (s *responseSink) abort(err error, id string) error {
	if s.stream {
		problem := convert.ProblemFromError(err, id)
		if body, encodeErr := json.Marshal(&problem.Response); encodeErr == nil {
			_, _ = fmt.Fprintf(s.writer, "event: error\ndata: %s\n\n", body)
			_ = http.NewResponseController(s.writer).Flush()
		}
	}
	panic(http.ErrAbortHandler)
}
