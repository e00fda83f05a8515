package admission

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/attempt"
)

// startedAttempt is an attempt that the gate admitted.
type startedAttempt struct {
	id            attempt.ID
	startTime     time.Time
	tokenCount    int
	firstByteSeen bool
	ended         bool
}

// state is the logic of Gate without locking, clock or I/O.
type state struct {
	config          Config
	limit           adaptiveLimit
	ledger          ledger
	running         map[*startedAttempt]struct{}
	runningTokens   int
	meanServiceTime time.Duration

	// skippedChecks disables the checks that refuse with these codes. Tests set
	// it to verify that the invariant behind a check detects a violation.
	skippedChecks map[core.Code]bool
}

func newState(config Config) *state {
	return &state{
		config:  config,
		limit:   newLimit(config.Latency, config.Limits),
		ledger:  newLedger(config.Retention, config.MaxTrackedAttempts),
		running: map[*startedAttempt]struct{}{},
	}
}

func (s *state) start(now time.Time, a Attempt, c Conditions) (*startedAttempt, error) {
	id, err := attempt.Parse(a.ID)
	if err != nil {
		return nil, err
	}
	s.ledger.expire(now)
	if err := s.checkLedger(id); err != nil {
		return nil, err
	}
	s.detectColdStart(now, c)
	if err := s.checkConditions(now, a, c); err != nil {
		s.ledger.record(now, id, statusBlocked)
		return nil, err
	}
	if err := s.checkInvariants(id, a, c); err != nil {
		s.ledger.record(now, id, statusBlocked)
		return nil, err
	}
	started := &startedAttempt{id: id, startTime: now, tokenCount: a.Tokens}
	s.running[started] = struct{}{}
	s.runningTokens += a.Tokens
	s.ledger.record(now, id, statusRunning)
	return started, nil
}

func (s *state) checkLedger(id attempt.ID) error {
	if s.skippedChecks[core.CodeAlreadyDispatched] {
		return nil
	}
	switch s.ledger.statusOf(id) {
	case statusUnseen:
		return nil
	case statusBlocked:
		return core.NewRefusal(core.CodeTombstoned, 0, "attempt %s was tombstoned or refused earlier and cannot start", id)
	default:
		return core.NewFailure(core.CodeAlreadyDispatched, core.ExecutionUnknown, "attempt %s was already dispatched to this agent", id)
	}
}

// checkConditions returns the first reason to refuse the attempt, or nil.
func (s *state) checkConditions(now time.Time, a Attempt, c Conditions) error {
	if a.Incarnation != s.config.Incarnation {
		return s.refuse(core.CodeStaleIncarnation, "dispatch addressed to incarnation %d of the agent, current incarnation is %d", a.Incarnation, s.config.Incarnation)
	}
	if a.Remaining > 0 && now.Sub(a.Received) >= a.Remaining && !s.skippedChecks[core.CodeDeadlineShort] {
		return s.refuse(core.CodeDeadlineShort, "deadline passed before the attempt started")
	}
	if c.ConfigErr != nil {
		return s.refuseWithCause(c.ConfigErr, core.CodeConfigStale)
	}
	if c.LeaseErr != nil {
		return s.refuseWithCause(c.LeaseErr, core.CodeFenced)
	}
	if c.Revision < a.Revision {
		return s.refuse(core.CodeRevisionTooLow, "agent has configuration revision %d, dispatch requires at least %d", c.Revision, a.Revision)
	}
	if c.Draining && !s.skippedChecks[core.CodeDraining] {
		return s.refuse(core.CodeDraining, "agent is draining")
	}
	if c.DataCentreOut && !s.skippedChecks[core.CodeDataCentreOut] {
		return s.refuse(core.CodeDataCentreOut, "data centre of the agent is taken out of service")
	}
	if !c.EngineServing {
		return s.refuse(core.CodeEngineNotServing, "backend server is not serving")
	}
	if !weightsMatch(a, c) && !s.skippedChecks[core.CodeDigestMismatch] {
		return s.refuse(core.CodeDigestMismatch, "engine serves weights %s, request requires weights %s", c.EngineWeights.Short(), a.Weights.Short())
	}
	return s.checkLimit(a)
}

func (s *state) checkLimit(a Attempt) error {
	if s.skippedChecks[core.CodeLimitReached] {
		return nil
	}
	if len(s.running) >= s.limit.maxRequests() {
		return s.refuseWithRetryAfter(core.CodeLimitReached, s.estimateNextCompletion(), "%d requests are running, limit is %d", len(s.running), s.limit.maxRequests())
	}
	tokenLimit := s.limit.maxTokens()
	// A request larger than the token limit is admitted when nothing else runs.
	if tokenLimit > 0 && len(s.running) > 0 && s.runningTokens+a.Tokens > tokenLimit {
		return s.refuseWithRetryAfter(core.CodeLimitReached, s.estimateNextCompletion(), "running requests hold %d tokens, limit is %d", s.runningTokens, tokenLimit)
	}
	return nil
}

func weightsMatch(a Attempt, c Conditions) bool {
	if a.Weights != c.EngineWeights {
		return false
	}
	return a.Weights == c.PinnedWeights || (!c.AcceptWeights.IsZero() && a.Weights == c.AcceptWeights)
}

func (s *state) refuse(code core.Code, format string, args ...any) error {
	return core.NewRefusal(code, s.config.RetryAfter, format, args...)
}

func (s *state) refuseWithRetryAfter(code core.Code, retryAfter time.Duration, format string, args ...any) error {
	return core.NewRefusal(code, retryAfter, format, args...)
}

// refuseWithCause refuses with the code of cause, or with fallback if cause has
// none.
func (s *state) refuseWithCause(cause error, fallback core.Code) error {
	code := core.CodeOf(cause)
	if code == core.CodeInternal {
		code = fallback
	}
	retryAfter := core.RetryAfterOf(cause)
	if retryAfter <= 0 {
		retryAfter = s.config.RetryAfter
	}
	return core.NewRefusal(code, retryAfter, "%s", core.DetailOf(cause))
}

// estimateNextCompletion estimates the time until a running request ends.
func (s *state) estimateNextCompletion() time.Duration {
	if s.meanServiceTime <= 0 || len(s.running) == 0 {
		return s.config.RetryAfter
	}
	return max(s.meanServiceTime/time.Duration(len(s.running)), time.Millisecond)
}

// checkInvariants verifies the safety invariants independently of checkLedger
// and checkConditions.
func (s *state) checkInvariants(id attempt.ID, a Attempt, c Conditions) error {
	running := len(s.running) + 1
	holds := invariant.Check(invariant.ColdStartLimit, running <= s.limit.maxRequests() && running <= s.limit.bounds.WarmRequests,
		"attempt %s would be running request %d, limit is %d", id, running, s.limit.maxRequests())
	holds = invariant.Check(invariant.WholeWeights, a.Weights == c.EngineWeights,
		"attempt %s requires weights %s, engine serves weights %s", id, a.Weights.Short(), c.EngineWeights.Short()) && holds
	holds = invariant.Check(invariant.DataCentreOut, !c.DataCentreOut,
		"attempt %s would start in a data centre that is taken out of service", id) && holds
	holds = invariant.Check(invariant.LeavingBackend, !c.Draining,
		"attempt %s would start at a draining agent", id) && holds
	holds = invariant.Check(invariant.AtMostOnce, s.ledger.statusOf(id) == statusUnseen,
		"attempt %s would start twice", id) && holds
	if holds {
		return nil
	}
	return core.NewRefusal(core.CodeInternal, 0, "attempt %s would violate a safety invariant", id)
}

func (s *state) detectColdStart(now time.Time, c Conditions) {
	if c.EngineCold {
		s.limit.resetToCold()
		return
	}
	s.detectOverdue(now)
}

// detectOverdue resets the limit to cold start when several requests have
// waited for their first byte for longer than a warm backend server takes.
func (s *state) detectOverdue(now time.Time) {
	threshold := s.limit.resetLatency()
	if threshold == 0 || s.limit.temperature == Cold {
		return
	}
	overdue := 0
	for r := range s.running {
		if !r.firstByteSeen && now.Sub(r.startTime) >= threshold {
			overdue++
		}
	}
	if overdue >= s.config.Latency.ResetSamples {
		s.limit.resetToCold()
	}
}

func (s *state) firstByte(now time.Time, r *startedAttempt) {
	if r.firstByteSeen || r.ended {
		return
	}
	r.firstByteSeen = true
	nearLimit := 2*len(s.running) >= s.limit.maxRequests()
	s.limit.observe(now.Sub(r.startTime), nearLimit)
}

func (s *state) done(now time.Time, r *startedAttempt, outcome Outcome) {
	if r.ended {
		return
	}
	if outcome == Succeeded {
		s.firstByte(now, r)
		s.observeServiceTime(now.Sub(r.startTime))
	}
	if outcome == Failed && !r.firstByteSeen {
		s.limit.decrease()
	}
	r.ended = true
	delete(s.running, r)
	s.runningTokens -= r.tokenCount
	s.ledger.record(now, r.id, finalStatus(outcome))
}

func finalStatus(outcome Outcome) status {
	switch outcome {
	case Succeeded:
		return statusCompleted
	case NotSent:
		return statusBlocked
	default:
		return statusIncomplete
	}
}

// serviceTimeGain is the weight of a new service time in the moving average.
const serviceTimeGain = 0.1

func (s *state) observeServiceTime(serviceTime time.Duration) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
		return
	}
	s.meanServiceTime += time.Duration(serviceTimeGain * float64(serviceTime-s.meanServiceTime))
}

func (s *state) tombstone(now time.Time, attemptID string, incarnation core.Incarnation) core.Execution {
	id, err := attempt.Parse(attemptID)
	if err != nil || incarnation != s.config.Incarnation {
		return core.ExecutionUnknown
	}
	s.ledger.expire(now)
	switch s.ledger.statusOf(id) {
	case statusUnseen:
		s.ledger.record(now, id, statusBlocked)
		return core.ExecutionNotRun
	case statusBlocked:
		return core.ExecutionNotRun
	case statusCompleted:
		return core.ExecutionRan
	default:
		return core.ExecutionUnknown
	}
}

func (s *state) load(now time.Time) Load {
	s.detectOverdue(now)
	return Load{
		Running:     len(s.running),
		Tokens:      s.runningTokens,
		Limit:       s.limit.maxRequests(),
		Temperature: s.limit.temperature,
	}
}
