package direct

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/wire"
)

const (
	readBytes = 8 << 10
	// maxFailureBytes bounds a failure's body that is kept for the caller.
	maxFailureBytes = 64 << 10
)

func newDigest() *blake3.Hasher { return blake3.New() }

// stream is one attempt's answer as frames. It implements
// dispatch.ReplyStream.
type stream struct {
	exchange *Exchange
	conn     *upstream.Conn
	server   core.InstanceID
	release  func() bool
	line     AttemptObserver

	response *http.Response
	events   events
	buffer   []byte
	frames   uint64
	length   int64
	digest   *blake3.Hasher
	// atEnd says that the body was read whole.
	atEnd bool
}

// Recv implements dispatch.ReplyStream.
func (s *stream) Recv() (wire.AnswerFrame, error) {
	if s.response == nil {
		return s.head()
	}
	for !s.atEnd {
		part, err := s.read()
		if err != nil {
			return wire.AnswerFrame{}, err
		}
		if len(part) > 0 {
			return s.data(part), nil
		}
	}
	return s.end()
}

// Cancel implements dispatch.ReplyStream.
func (s *stream) Cancel() {
	s.line.Close()
	s.release()
	s.conn.Close()
}

// head reads the head of the answer and decides what it is.
func (s *stream) head() (wire.AnswerFrame, error) {
	response, err := s.conn.Receive(s.exchange.request.Method)
	if err != nil {
		return wire.AnswerFrame{}, err
	}
	s.line.DataReceived()
	s.response = response
	if err := s.checkID(); err != nil {
		return wire.AnswerFrame{}, err
	}
	s.observe()
	switch {
	case s.isNotRun():
		return s.refused()
	case response.StatusCode >= http.StatusInternalServerError:
		return s.failed()
	}
	if err := s.checkHead(); err != nil {
		return wire.AnswerFrame{}, err
	}
	if s.exchange.began.IsZero() {
		s.exchange.answer = response
	}
	return wire.AnswerFrame{Header: &wire.AnswerHeader{
		RequestID:   s.exchange.request.ID,
		ContentType: response.Header.Get("Content-Type"),
	}}, nil
}

// checkID finds answers that belong to another request. A refusal may name
// none.
func (s *stream) checkID() error {
	got := s.response.Header.Get(s.exchange.names.RequestID)
	if got == s.exchange.request.ID || got == "" && s.isNotRun() {
		return nil
	}
	return fmt.Errorf("%s answered request %q on the connection of %q", s.server, got, s.exchange.request.ID)
}

func (s *stream) observe() {
	names := s.exchange.names
	version := s.number(names.WeightsVersion)
	cold := s.number(names.ColdRemaining)
	s.exchange.observer.AnswerReceived(s.server, s.exchange.request.Model,
		fleet.WeightsVersion(version), time.Duration(cold)*time.Millisecond)
}

// number returns a header's figure, or 0 when the answer has none. One that
// can't be read is reported and counts as none: it is only a hint.
func (s *stream) number(name string) float64 {
	text := s.response.Header.Get(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.exchange.observer.InvalidHeader(s.server, name, err)
		return 0
	}
	return value
}

func (s *stream) isNotRun() bool {
	return s.response.StatusCode == http.StatusMisdirectedRequest || s.response.Header.Get(s.exchange.names.NotExecuted) != ""
}

// refused ends an attempt that the backend server did not run.
func (s *stream) refused() (wire.AnswerFrame, error) {
	if _, err := io.Copy(io.Discard, io.LimitReader(s.response.Body, maxFailureBytes)); err != nil {
		s.Cancel()
	} else {
		s.finish()
	}
	seconds := s.number("Retry-After")
	return wire.AnswerFrame{End: &wire.AnswerEnd{
		RequestID: s.exchange.request.ID,
		// The entry keeps each server under its slots, so a refusal means that
		// it loads weights, leaves or is not the one that was meant.
		Code:             core.CodeEngineNotServing,
		Execution:        core.ExecutionNotRun,
		Detail:           fmt.Sprintf("%s answered %d", s.server, s.response.StatusCode),
		RetryAfterMillis: int64(seconds * 1000),
	}}, nil
}

// failed ends an attempt that the backend server ran and failed.
func (s *stream) failed() (wire.AnswerFrame, error) {
	body, err := io.ReadAll(io.LimitReader(s.response.Body, maxFailureBytes+1))
	if err != nil || len(body) > maxFailureBytes {
		return wire.AnswerFrame{}, fmt.Errorf("%s answered %d without a whole body", s.server, s.response.StatusCode)
	}
	s.finish()
	s.exchange.failure = &Failure{Status: s.response.StatusCode, Header: s.response.Header, Body: body}
	return wire.AnswerFrame{End: &wire.AnswerEnd{
		RequestID: s.exchange.request.ID,
		Code:      core.CodeEngineFailed,
		Execution: core.ExecutionRan,
		Detail:    fmt.Sprintf("%s answered %d", s.server, s.response.StatusCode),
	}}, nil
}

// checkHead rejects answers that are not the backend server's own.
func (s *stream) checkHead() error {
	header := s.response.Header
	if encoding := header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%s answered with content encoding %q", s.server, encoding)
	}
	if s.response.StatusCode < http.StatusMultipleChoices && header.Get(s.exchange.names.Signature) == "" {
		return fmt.Errorf("%s answered %d without its signature", s.server, s.response.StatusCode)
	}
	return nil
}

// read returns the next bytes to hand on; none means that more must be read.
func (s *stream) read() ([]byte, error) {
	if s.buffer == nil {
		s.buffer = make([]byte, readBytes)
	}
	request := &s.exchange.request
	if request.Resumable && request.StreamIdleTimeout > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(request.StreamIdleTimeout)); err != nil {
			return nil, err
		}
	}
	n, err := s.response.Body.Read(s.buffer)
	s.atEnd = errors.Is(err, io.EOF)
	if err != nil && !s.atEnd {
		return nil, fmt.Errorf("answer of %s broke off: %w", s.server, err)
	}
	s.line.DataReceived()
	part := s.buffer[:n]
	if !request.Resumable {
		return part, nil
	}
	whole := s.events.add(part)
	if s.atEnd && s.events.pending() > 0 {
		return nil, fmt.Errorf("answer of %s ended within an event", s.server)
	}
	if id := s.events.lastID(); id != "" {
		s.exchange.lastEvent = id
	}
	return whole, nil
}

func (s *stream) data(part []byte) wire.AnswerFrame {
	s.length += int64(len(part))
	_, _ = s.digest.Write(part)
	frame := &wire.AnswerData{Sequence: s.frames, Bytes: part, EndOffset: s.length}
	s.frames++
	return wire.AnswerFrame{Data: frame}
}

// end closes an answer that was read whole.
func (s *stream) end() (wire.AnswerFrame, error) {
	s.exchange.length = s.length
	s.finish()
	end := &wire.AnswerEnd{RequestID: s.exchange.request.ID, Code: core.CodeOK, Execution: core.ExecutionRan, Length: s.length}
	copy(end.Checksum[:], s.digest.Sum(nil))
	return wire.AnswerFrame{End: end}, nil
}

// finish returns the connection.
func (s *stream) finish() {
	s.line.Close()
	if s.release() {
		s.conn.Release(s.response)
		return
	}
	s.conn.Close()
}
