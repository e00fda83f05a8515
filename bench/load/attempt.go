package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/tables"
)

const (
	maxAnswerBytes  = 16 << 20
	eventStreamType = "text/event-stream"
	problemType     = "application/problem+json"
)

// attemptOutcome classifies one HTTP request as observed by its caller.
type attemptOutcome int

const (
	// attemptWhole: a complete and correct answer.
	attemptWhole attemptOutcome = iota
	// attemptRefused: a problem that states that the work did not run.
	attemptRefused
	// attemptUnknown: a problem that states that the work ran or may have run.
	attemptUnknown
	// attemptCut: the connection broke, or no answer arrived in time.
	attemptCut
	// attemptNotConnected: the connection could not be opened, so nothing was
	// sent.
	attemptNotConnected
	// attemptWrongAnswer: an answer with status 200 that is incomplete or
	// incorrect, or an error without a valid problem body.
	attemptWrongAnswer
)

// attempt is the result of one HTTP request.
type attempt struct {
	outcome         attemptOutcome
	code            core.Code
	retryAfter      time.Duration
	detail          string
	timeToFirstByte time.Duration
}

// call is one HTTP request to an entry. It is abandoned when no complete answer
// has arrived within remaining plus grace. start is the start of the caller's
// request, earlier attempts included.
type call struct {
	address   string
	route     Route
	team      core.Team
	key       string
	stream    bool
	body      []byte
	remaining time.Duration
	grace     time.Duration
	start     time.Time
}

func (c call) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	url := baseURL(c.address) + "/v1/requests/" + string(c.route.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot resend the body in a retry of its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", string(c.team))
	request.Header.Set("X-Deadline-Millis", strconv.FormatInt(max(1, c.remaining.Milliseconds()), 10))
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.stream {
		request.Header.Set("Accept", eventStreamType)
	}
	return request, nil
}

// do sends the request and classifies the response.
func (c call) do(ctx context.Context, client *http.Client, check answerChecker) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.remaining+c.grace)
	defer cancel()
	request, err := c.newHTTPRequest(ctx)
	if err != nil {
		return attempt{outcome: attemptNotConnected, detail: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return attemptWithoutResponse(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	return c.checkResponse(response, check)
}

func attemptWithoutResponse(err error) attempt {
	if isDialError(err) {
		return attempt{outcome: attemptNotConnected, detail: err.Error()}
	}
	return attempt{outcome: attemptCut, detail: err.Error()}
}

func readProblem(response *http.Response) attempt {
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attempt{outcome: attemptCut, detail: err.Error()}
	}
	var problem oas.Problem
	if !strings.HasPrefix(response.Header.Get("Content-Type"), problemType) {
		return attempt{outcome: attemptWrongAnswer, detail: fmt.Sprintf("status %d without a problem body", response.StatusCode)}
	}
	if err := json.Unmarshal(encoded, &problem); err != nil {
		return attempt{outcome: attemptWrongAnswer, detail: "problem body: " + err.Error()}
	}
	result := attempt{outcome: attemptUnknown, code: core.Code(problem.Code), detail: problem.Detail}
	if problem.Work == oas.ProblemWorkNotRun {
		result.outcome = attemptRefused
	}
	result.retryAfter = retryAfter(problem, response.Header.Get("Retry-After"))
	return result
}

func retryAfter(problem oas.Problem, header string) time.Duration {
	if millis, set := problem.RetryAfterMillis.Get(); set {
		return time.Duration(millis) * time.Millisecond
	}
	seconds, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (c call) checkResponse(response *http.Response, check answerChecker) attempt {
	var result attempt
	err := c.readBody(response, check, func() { result.timeToFirstByte = time.Since(c.start) })
	if err == nil {
		return result
	}
	result.detail = err.Error()
	result.outcome = attemptCut
	var streamFailure streamError
	switch {
	case errors.Is(err, errWrongAnswer):
		result.outcome = attemptWrongAnswer
	case errors.As(err, &streamFailure):
		// With status 200 the work has started, whatever the problem states.
		result.outcome = attemptUnknown
		result.code = core.Code(streamFailure.problem.Code)
	}
	return result
}

func (c call) readBody(response *http.Response, check answerChecker, onFirstByte func()) error {
	if c.stream {
		stream := &streamChecker{answerChecker: check, onFirstEvent: onFirstByte}
		return stream.read(io.LimitReader(response.Body, maxAnswerBytes))
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	onFirstByte()
	if c.route.Kind == tables.PoolService {
		return check.checkService(answer)
	}
	return check.checkPlain(answer)
}
