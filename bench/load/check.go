package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/service"
)

// errWrongAnswer means that an answer passed off as whole is not the answer to
// the request.
var errWrongAnswer = errors.New("wrong answer")

const (
	dataPrefix = "data: "
	// errorLine announces that the next data is a problem, after which the
	// connection is aborted.
	errorLine = "event: error"
)

// brokenStream is a stream whose end says by a problem that it broke.
type brokenStream struct{ problem oas.Problem }

// Error implements error.
func (b brokenStream) Error() string {
	return fmt.Sprintf("stream broke: %d %s", b.problem.Code, b.problem.Detail)
}

// checker checks answers to one body.
type checker struct {
	body      []byte
	maxTokens int
	known     func(core.Digest) bool
}

func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errWrongAnswer, fmt.Sprintf(format, args...))
}

func (c checker) service(answer []byte) error {
	var decoded service.Answer
	if err := strictDecode(answer, &decoded); err != nil {
		return wrong("%v", err)
	}
	if want := core.DigestOf(c.body); decoded.Echo != want {
		return wrong("answer is for body %s, want %s", decoded.Echo.Short(), want.Short())
	}
	return nil
}

func (c checker) plain(answer []byte) error {
	var decoded engine.Answer
	if err := strictDecode(answer, &decoded); err != nil {
		return wrong("%v", err)
	}
	return c.text(decoded.Weights, decoded.Text)
}

func (c checker) text(weights, text string) error {
	root, err := core.ParseDigest(weights)
	if err != nil {
		return wrong("weights: %v", err)
	}
	if c.known != nil && !c.known(root) {
		return wrong("weights %s were never published", root.Short())
	}
	want, err := engine.ExpectedText(c.body, root, c.maxTokens)
	if err != nil {
		return err
	}
	if text != want {
		return wrong("text of %d bytes differs from the expected %d bytes", len(text), len(want))
	}
	return nil
}

func strictDecode(answer []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(answer))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one document")
	}
	return nil
}

// streamChecker reads a streamed answer event by event.
type streamChecker struct {
	checker
	first func()

	requestID string
	weights   string
	next      int
	text      strings.Builder
	done      bool
	failing   bool
}

// read consumes the stream. An error that is not errWrongAnswer means that the
// caller was told that the stream broke.
func (s *streamChecker) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return s.end(line)
		}
		if err != nil {
			return err
		}
		if err := s.line(strings.TrimSuffix(line, "\n")); err != nil {
			return err
		}
	}
}

func (s *streamChecker) line(line string) error {
	if line == "" {
		return nil
	}
	if line == errorLine && !s.done && !s.failing {
		s.failing = true
		return nil
	}
	data, found := strings.CutPrefix(line, dataPrefix)
	if !found {
		return wrong("line %q", line)
	}
	if s.done {
		return wrong("event after the last one")
	}
	if s.failing {
		return s.problem([]byte(data))
	}
	if data == engine.StreamEnd {
		s.done = true
		return nil
	}
	return s.event([]byte(data))
}

func (s *streamChecker) problem(data []byte) error {
	var broken brokenStream
	if err := json.Unmarshal(data, &broken.problem); err != nil {
		return wrong("problem in stream: %v", err)
	}
	return broken
}

func (s *streamChecker) event(data []byte) error {
	var event engine.Event
	if err := strictDecode(data, &event); err != nil {
		return wrong("event: %v", err)
	}
	if s.next == 0 {
		s.first()
		s.requestID = event.RequestID
		s.weights = event.Weights
	}
	if event.Index != s.next {
		return wrong("event %d, want %d", event.Index, s.next)
	}
	if event.RequestID != s.requestID {
		return wrong("event of request %q in the answer to %q", event.RequestID, s.requestID)
	}
	if event.Weights != s.weights {
		return wrong("event from weights %s in an answer from %s", event.Weights, s.weights)
	}
	s.next++
	s.text.WriteString(event.Text)
	return nil
}

func (s *streamChecker) end(rest string) error {
	if rest != "" || !s.done {
		return wrong("stream ended after %d events without its last one", s.next)
	}
	return s.checker.text(s.weights, s.text.String())
}
