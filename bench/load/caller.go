package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/standin/engine"
	"currantusher.dev/tables"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// firstRetryableCode is the lowest code for which a retry can succeed; lower
	// codes report errors of the caller.
	firstRetryableCode = core.CodeQueueFull
)

func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// clientRequest is one request of a caller, which takes one or more attempts.
type clientRequest struct {
	number    int
	route     Route
	team      core.Team
	addresses *addressCache
	stream    bool
	rng       *rand.Rand
	// start is when the request was due. A caller that comes late has its whole deadline.
	start time.Time
}

// requestHistory sums up the attempts of one request.
type requestHistory struct {
	attempts int
	last     attempt
	// mayHaveRun is set once an attempt without a complete answer may have run.
	mayHaveRun bool
	// refusedRunKeys are the run keys of attempts that were refused as not run.
	refusedRunKeys  []string
	cutAttempts     int
	refusedAttempts int
}

// sendWithRetries sends a request until it is answered, refused with a code that
// is not retryable, or past its deadline or number of attempts.
func (r *runner) sendWithRetries(ctx context.Context, req *clientRequest) requestHistory {
	var h requestHistory
	req.addresses.refresh(ctx)
	deadline := time.Now().Add(r.cfg.Deadline)
	for h.attempts < r.cfg.MaxAttempts {
		httpCall, check := r.newCall(ctx, req, h.attempts, deadline)
		h.last = httpCall.do(ctx, r.cfg.Client, check)
		h.attempts++
		h.record(req, httpCall, r.runKey(req, httpCall))
		if !req.shouldRetry(h.last) {
			return h
		}
		delay := req.retryDelay(h)
		if time.Now().Add(delay).After(deadline) {
			return h
		}
		if sleep(ctx, delay) != nil {
			return h
		}
	}
	return h
}

func (r *runner) newCall(ctx context.Context, req *clientRequest, attempt int, deadline time.Time) (call, answerChecker) {
	httpCall := call{
		address:   req.addresses.pick(ctx, attempt),
		route:     req.route,
		team:      req.team,
		stream:    req.stream,
		remaining: time.Until(deadline),
		grace:     r.cfg.Grace,
		start:     req.start,
	}
	prompt := fmt.Sprintf("seed %d request %d attempt %d", r.cfg.Seed, req.number, attempt)
	if req.route.AtMostOnce {
		httpCall.key = fmt.Sprintf("%d-%d", r.cfg.Seed, req.number)
		prompt = fmt.Sprintf("seed %d request %d", r.cfg.Seed, req.number)
	}
	body, err := json.Marshal(engine.Request{Prompt: prompt, MaxTokens: r.cfg.MaxTokens})
	if err != nil {
		panic(err) // Request has only strings and numbers.
	}
	httpCall.body = body
	return httpCall, answerChecker{body: body, maxTokens: r.cfg.MaxTokens, isPublished: r.cfg.IsPublished}
}

// runKey returns the key under which the stand-ins count the runs of an attempt.
func (r *runner) runKey(req *clientRequest, httpCall call) string {
	if httpCall.key != "" {
		return backend.IdempotencyRunKey(req.team, httpCall.key)
	}
	if req.route.Kind == tables.PoolService {
		return backend.PromptRunKey(core.DigestOf(httpCall.body).String())
	}
	var request engine.Request
	if err := json.Unmarshal(httpCall.body, &request); err != nil {
		panic(err) // The body was made by newCall.
	}
	return backend.PromptRunKey(request.Prompt)
}

func (h *requestHistory) record(req *clientRequest, httpCall call, runKey string) {
	switch h.last.outcome {
	case attemptRefused:
		h.refusedAttempts++
		h.refusedRunKeys = append(h.refusedRunKeys, runKey)
	case attemptUnknown:
		h.mayHaveRun = true
	case attemptCut:
		h.mayHaveRun = true
		h.cutAttempts++
		req.addresses.avoid(httpCall.address)
	case attemptNotConnected:
		req.addresses.avoid(httpCall.address)
	}
}

// shouldRetry reports whether the request is to be sent again. A retry of an
// at-most-once request carries the same Idempotency-Key.
func (req *clientRequest) shouldRetry(last attempt) bool {
	switch last.outcome {
	case attemptWhole, attemptWrongAnswer:
		return false
	case attemptRefused:
		return last.code >= firstRetryableCode
	case attemptUnknown:
		return !req.route.AtMostOnce || last.code == core.CodeInProgress || last.code == core.CodeTimeout
	default:
		return true
	}
}

// retryDelay returns the time before the next attempt: the larger of Retry-After
// and an exponential backoff, with jitter.
func (req *clientRequest) retryDelay(h requestHistory) time.Duration {
	delay := min(minBackoff<<min(h.attempts-1, 5), maxBackoff)
	delay = max(delay, h.last.retryAfter)
	return delay + time.Duration(req.rng.Int64N(int64(delay)/4+1))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcome classifies a finished request.
func (h requestHistory) outcome() Outcome {
	switch {
	case h.last.outcome == attemptWhole:
		return OutcomeWhole
	case h.last.outcome == attemptWrongAnswer, h.last.outcome == attemptCut, h.last.outcome == attemptNotConnected:
		return OutcomeLost
	case h.mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeRefused
	}
}
