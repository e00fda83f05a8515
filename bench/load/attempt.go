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
	maxAnswerBytes = 16 << 20
	eventStream    = "text/event-stream"
	problemJSON    = "application/problem+json"
)

// verdict is what a caller knows after one attempt.
type verdict int

const (
	// verdictWhole: the whole right answer.
	verdictWhole verdict = iota
	// verdictRefused: a code that says that the work did not run.
	verdictRefused
	// verdictUnknown: a code that says that the work ran or may have run.
	verdictUnknown
	// verdictCut: the connection broke, or no answer came in time.
	verdictCut
	// verdictUnreached: no connection was made, so nothing was sent.
	verdictUnreached
	// verdictWrong: an answer passed off as whole that is not.
	verdictWrong
)

// attempt is the outcome of one HTTP request.
type attempt struct {
	verdict    verdict
	code       core.Code
	retryAfter time.Duration
	detail     string
	firstByte  time.Duration
}

// call is one HTTP request to an entry.
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

func (c call) request(ctx context.Context) (*http.Request, error) {
	url := baseURL(c.address) + "/v1/requests/" + string(c.route.Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http does not send the body a second time on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", string(c.team))
	request.Header.Set("X-Deadline-Millis", strconv.FormatInt(max(1, c.remaining.Milliseconds()), 10))
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.stream {
		request.Header.Set("Accept", eventStream)
	}
	return request, nil
}

// do sends the request and judges what comes back.
func (c call) do(ctx context.Context, client *http.Client, check checker) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.remaining+c.grace)
	defer cancel()
	request, err := c.request(ctx)
	if err != nil {
		return attempt{verdict: verdictUnreached, detail: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return noAnswer(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	return c.judge(response, check)
}

func noAnswer(err error) attempt {
	if isDialError(err) {
		return attempt{verdict: verdictUnreached, detail: err.Error()}
	}
	return attempt{verdict: verdictCut, detail: err.Error()}
}

func readProblem(response *http.Response) attempt {
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attempt{verdict: verdictCut, detail: err.Error()}
	}
	var problem oas.Problem
	if !strings.HasPrefix(response.Header.Get("Content-Type"), problemJSON) {
		return attempt{verdict: verdictWrong, detail: fmt.Sprintf("status %d without a problem body", response.StatusCode)}
	}
	if err := json.Unmarshal(encoded, &problem); err != nil {
		return attempt{verdict: verdictWrong, detail: "problem body: " + err.Error()}
	}
	out := attempt{verdict: verdictUnknown, code: core.Code(problem.Code), detail: problem.Detail}
	if problem.Work == oas.ProblemWorkNotRun {
		out.verdict = verdictRefused
	}
	out.retryAfter = retryAfter(problem, response.Header.Get("Retry-After"))
	return out
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

func (c call) judge(response *http.Response, check checker) attempt {
	var out attempt
	err := c.read(response, check, func() { out.firstByte = time.Since(c.start) })
	if err == nil {
		return out
	}
	out.detail = err.Error()
	out.verdict = verdictCut
	var broken brokenStream
	switch {
	case errors.Is(err, errWrongAnswer):
		out.verdict = verdictWrong
	case errors.As(err, &broken):
		// The status said 200, so the work began, whatever the problem says.
		out.verdict = verdictUnknown
		out.code = core.Code(broken.problem.Code)
	}
	return out
}

func (c call) read(response *http.Response, check checker, first func()) error {
	if c.stream {
		stream := &streamChecker{checker: check, first: first}
		return stream.read(io.LimitReader(response.Body, maxAnswerBytes))
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	first()
	if c.route.Kind == tables.PoolService {
		return check.service(answer)
	}
	return check.plain(answer)
}
