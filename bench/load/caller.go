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
	// firstRetryableCode is the lowest code that another attempt can change;
	// lower ones are the caller's own mistakes.
	firstRetryableCode = core.CodeQueueFull
)

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// job is one request of a caller.
type job struct {
	number    int
	route     Route
	team      core.Team
	directory *directory
	stream    bool
	rng       *rand.Rand
	start     time.Time
}

// history is what a caller saw of one request.
type history struct {
	attempts int
	last     attempt
	// unsure is set once an attempt may have run without a whole answer.
	unsure bool
	// runKeys are the keys of the attempts that were refused as not run.
	runKeys []string
	cuts    int
	refused int
}

// perform sends a request until it is answered, finally refused, or out of
// time.
func (r *runner) perform(ctx context.Context, j *job) history {
	var h history
	deadline := j.start.Add(r.cfg.Deadline)
	for h.attempts < r.cfg.MaxAttempts {
		c, check := r.newCall(ctx, j, h.attempts, deadline)
		h.last = c.do(ctx, r.cfg.Client, check)
		h.attempts++
		h.note(j, c, r.runKey(j, c))
		if !j.mayRetry(h.last) {
			return h
		}
		pause := j.pause(h)
		if time.Now().Add(pause).After(deadline) {
			return h
		}
		if sleep(ctx, pause) != nil {
			return h
		}
	}
	return h
}

func (r *runner) newCall(ctx context.Context, j *job, number int, deadline time.Time) (call, checker) {
	c := call{
		address:   j.directory.pick(ctx, number),
		route:     j.route,
		team:      j.team,
		stream:    j.stream,
		remaining: time.Until(deadline),
		grace:     r.cfg.Grace,
		start:     j.start,
	}
	prompt := fmt.Sprintf("seed %d request %d attempt %d", r.cfg.Seed, j.number, number)
	if j.route.AtMostOnce {
		c.key = fmt.Sprintf("%d-%d", r.cfg.Seed, j.number)
		prompt = fmt.Sprintf("seed %d request %d", r.cfg.Seed, j.number)
	}
	body, err := json.Marshal(engine.Request{Prompt: prompt, MaxTokens: r.cfg.MaxTokens})
	if err != nil {
		panic(err) // Request has only strings and numbers.
	}
	c.body = body
	return c, checker{body: body, maxTokens: r.cfg.MaxTokens, known: r.cfg.KnownWeights}
}

// runKey names the runs of one attempt at the stand-ins.
func (r *runner) runKey(j *job, c call) string {
	if c.key != "" {
		return backend.IdempotencyRunKey(j.team, c.key)
	}
	if j.route.Kind == tables.PoolService {
		return backend.PromptRunKey(core.DigestOf(c.body).String())
	}
	var request engine.Request
	if err := json.Unmarshal(c.body, &request); err != nil {
		panic(err) // The body was made by newCall.
	}
	return backend.PromptRunKey(request.Prompt)
}

func (h *history) note(j *job, c call, runKey string) {
	switch h.last.verdict {
	case verdictRefused:
		h.refused++
		h.runKeys = append(h.runKeys, runKey)
	case verdictUnknown:
		h.unsure = true
	case verdictCut:
		h.unsure = true
		h.cuts++
		j.directory.avoid(c.address)
	case verdictUnreached:
		j.directory.avoid(c.address)
	}
}

// mayRetry reports whether another attempt makes sense. A repeated attempt of
// an at-most-once request carries the same Idempotency-Key.
func (j *job) mayRetry(last attempt) bool {
	switch last.verdict {
	case verdictWhole, verdictWrong:
		return false
	case verdictRefused:
		return last.code >= firstRetryableCode
	case verdictUnknown:
		return !j.route.AtMostOnce || last.code == core.CodeInProgress || last.code == core.CodeTimeout
	default:
		return true
	}
}

// pause is the time before the next attempt: what the refusal asked for, or an
// exponential backoff, with jitter.
func (j *job) pause(h history) time.Duration {
	base := min(minBackoff<<min(h.attempts-1, 5), maxBackoff)
	base = max(base, h.last.retryAfter)
	return base + time.Duration(j.rng.Int64N(int64(base)/4+1))
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
func (h history) outcome() Outcome {
	switch {
	case h.last.verdict == verdictWhole:
		return OutcomeWhole
	case h.last.verdict == verdictWrong, h.last.verdict == verdictCut, h.last.verdict == verdictUnreached:
		return OutcomeLost
	case h.unsure:
		return OutcomeUnknown
	default:
		return OutcomeRefused
	}
}
