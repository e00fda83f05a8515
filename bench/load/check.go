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

// errWrongAnswer means that an answer with status 200 is not the complete and
// correct answer to the request.
var errWrongAnswer = errors.New("wrong answer")

const (
	dataPrefix = "data: "
	// errorEventLine precedes a data line with a problem, after which the
	// connection is aborted.
	errorEventLine = "event: error"
)

// streamError is the problem that ends a stream which could not be completed.
type streamError struct{ problem oas.Problem }

// Error implements error.
func (e streamError) Error() string {
	return fmt.Sprintf("stream broke: %d %s", e.problem.Code, e.problem.Detail)
}

// answerChecker checks answers to requests with one body. A nil isPublished
// allows all weights.
type answerChecker struct {
	body        []byte
	maxTokens   int
	isPublished func(core.Digest) bool
}

func wrongAnswer(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errWrongAnswer, fmt.Sprintf(format, args...))
}

func (c answerChecker) checkService(answer []byte) error {
	var decoded service.Answer
	if err := strictDecode(answer, &decoded); err != nil {
		return wrongAnswer("%v", err)
	}
	if want := core.DigestOf(c.body); decoded.Echo != want {
		return wrongAnswer("answer is for body %s, want %s", decoded.Echo.Short(), want.Short())
	}
	return nil
}

func (c answerChecker) checkPlain(answer []byte) error {
	var decoded engine.Answer
	if err := strictDecode(answer, &decoded); err != nil {
		return wrongAnswer("%v", err)
	}
	return c.checkText(decoded.Weights, decoded.Text)
}

func (c answerChecker) checkText(weights, text string) error {
	root, err := core.ParseDigest(weights)
	if err != nil {
		return wrongAnswer("weights: %v", err)
	}
	if c.isPublished != nil && !c.isPublished(root) {
		return wrongAnswer("weights %s were never published", root.Short())
	}
	want, err := engine.ExpectedText(c.body, root, c.maxTokens)
	if err != nil {
		return err
	}
	if text != want {
		return wrongAnswer("text of %d bytes differs from the expected %d bytes", len(text), len(want))
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

// streamChecker checks a streamed answer event by event. It calls onFirstEvent
// once.
type streamChecker struct {
	answerChecker
	onFirstEvent func()

	requestID      string
	weights        string
	nextIndex      int
	text           strings.Builder
	ended          bool
	errorAnnounced bool
}

// read consumes the stream. An error other than errWrongAnswer means that the
// caller can tell that the stream is incomplete.
func (s *streamChecker) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return s.finish(line)
		}
		if err != nil {
			return err
		}
		if err := s.handleLine(strings.TrimSuffix(line, "\n")); err != nil {
			return err
		}
	}
}

func (s *streamChecker) handleLine(line string) error {
	if line == "" {
		return nil
	}
	if line == errorEventLine && !s.ended && !s.errorAnnounced {
		s.errorAnnounced = true
		return nil
	}
	data, found := strings.CutPrefix(line, dataPrefix)
	if !found {
		return wrongAnswer("line %q", line)
	}
	if s.ended {
		return wrongAnswer("event after the last one")
	}
	if s.errorAnnounced {
		return s.handleProblem([]byte(data))
	}
	if data == engine.StreamEnd {
		s.ended = true
		return nil
	}
	return s.handleEvent([]byte(data))
}

func (s *streamChecker) handleProblem(data []byte) error {
	var streamFailure streamError
	if err := json.Unmarshal(data, &streamFailure.problem); err != nil {
		return wrongAnswer("problem in stream: %v", err)
	}
	return streamFailure
}

func (s *streamChecker) handleEvent(data []byte) error {
	var event engine.Event
	if err := strictDecode(data, &event); err != nil {
		return wrongAnswer("event: %v", err)
	}
	if s.nextIndex == 0 {
		s.onFirstEvent()
		s.requestID = event.RequestID
		s.weights = event.Weights
	}
	if event.Index != s.nextIndex {
		return wrongAnswer("event %d, want %d", event.Index, s.nextIndex)
	}
	if event.RequestID != s.requestID {
		return wrongAnswer("event of request %q in the answer to %q", event.RequestID, s.requestID)
	}
	if event.Weights != s.weights {
		return wrongAnswer("event from weights %s in an answer from %s", event.Weights, s.weights)
	}
	s.nextIndex++
	s.text.WriteString(event.Text)
	return nil
}

func (s *streamChecker) finish(trailing string) error {
	if trailing != "" || !s.ended {
		return wrongAnswer("stream ended after %d events without its last one", s.nextIndex)
	}
	return s.answerChecker.checkText(s.weights, s.text.String())
}
