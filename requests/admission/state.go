package admission

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/attempt"
)

// run is one started attempt.
type run struct {
	id      attempt.ID
	started time.Time
	tokens  int
	first   bool
	ended   bool
}

// state is the gate without its lock: no clock and no I/O.
type state struct {
	config  Config
	limit   limit
	ledger  ledger
	running map[*run]struct{}
	tokens  int
	service time.Duration

	// skip leaves out the check that refuses with a code. Tests set it to show
	// that the invariant behind the check can fail.
	skip map[core.Code]bool
}

func newState(config Config) *state {
	return &state{
		config:  config,
		limit:   newLimit(config.Latency, config.Limits),
		ledger:  newLedger(config.Retention, config.MaxAttempts),
		running: map[*run]struct{}{},
	}
}

func (s *state) start(now time.Time, a Attempt, c Conditions) (*run, error) {
	id, err := attempt.Parse(a.ID)
	if err != nil {
		return nil, err
	}
	s.ledger.expire(now)
	if err := s.checkLedger(id); err != nil {
		return nil, err
	}
	s.noticeCold(now, c)
	if err := s.check(now, a, c); err != nil {
		s.ledger.record(now, id, barred)
		return nil, err
	}
	if err := s.assert(id, a, c); err != nil {
		s.ledger.record(now, id, barred)
		return nil, err
	}
	started := &run{id: id, started: now, tokens: a.Tokens}
	s.running[started] = struct{}{}
	s.tokens += a.Tokens
	s.ledger.record(now, id, begun)
	return started, nil
}

func (s *state) checkLedger(id attempt.ID) error {
	if s.skip[core.CodeAlreadyDispatched] {
		return nil
	}
	switch s.ledger.find(id) {
	case absent:
		return nil
	case barred:
		return core.NewRefusal(core.CodeTombstoned, 0, "attempt %s was barred before it started", id)
	default:
		return core.NewFailure(core.CodeAlreadyDispatched, core.ExecutionUnknown, "attempt %s reached this agent before", id)
	}
}

// check returns the first reason to refuse.
func (s *state) check(now time.Time, a Attempt, c Conditions) error {
	if a.Incarnation != s.config.Incarnation {
		return s.refuse(core.CodeStaleIncarnation, "dispatch for process %d, this is %d", a.Incarnation, s.config.Incarnation)
	}
	if a.Remaining > 0 && now.Sub(a.Received) >= a.Remaining && !s.skip[core.CodeDeadlineShort] {
		return s.refuse(core.CodeDeadlineShort, "the deadline passed before the start")
	}
	if c.ConfigErr != nil {
		return s.because(c.ConfigErr, core.CodeConfigStale)
	}
	if c.LeaseErr != nil {
		return s.because(c.LeaseErr, core.CodeFenced)
	}
	if c.Revision < a.Revision {
		return s.refuse(core.CodeRevisionTooLow, "revision %d, the entry has %d", c.Revision, a.Revision)
	}
	if c.Draining && !s.skip[core.CodeDraining] {
		return s.refuse(core.CodeDraining, "the agent is leaving")
	}
	if c.DataCentreOut && !s.skip[core.CodeDataCentreOut] {
		return s.refuse(core.CodeDataCentreOut, "the data centre is taken out")
	}
	if !c.EngineServing {
		return s.refuse(core.CodeEngineNotServing, "the backend server is not serving")
	}
	if !weightsMatch(a, c) && !s.skip[core.CodeDigestMismatch] {
		return s.refuse(core.CodeDigestMismatch, "engine has %s, the request wants %s", c.EngineWeights.Short(), a.Weights.Short())
	}
	return s.checkLimit(a)
}

func (s *state) checkLimit(a Attempt) error {
	if s.skip[core.CodeLimitReached] {
		return nil
	}
	if len(s.running) >= s.limit.requests() {
		return s.refuseFor(core.CodeLimitReached, s.nextFree(), "%d requests run, the limit is %d", len(s.running), s.limit.requests())
	}
	bound := s.limit.tokens()
	// A single request larger than the bound runs alone.
	if bound > 0 && len(s.running) > 0 && s.tokens+a.Tokens > bound {
		return s.refuseFor(core.CodeLimitReached, s.nextFree(), "%d tokens run, the limit is %d", s.tokens, bound)
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

func (s *state) refuseFor(code core.Code, after time.Duration, format string, args ...any) error {
	return core.NewRefusal(code, after, format, args...)
}

// because refuses with the code of cause, or with fallback.
func (s *state) because(cause error, fallback core.Code) error {
	code := core.CodeOf(cause)
	if code == core.CodeInternal {
		code = fallback
	}
	after := core.RetryAfterOf(cause)
	if after <= 0 {
		after = s.config.RetryAfter
	}
	return core.NewRefusal(code, after, "%s", core.DetailOf(cause))
}

// nextFree estimates when the next running request ends.
func (s *state) nextFree() time.Duration {
	if s.service <= 0 || len(s.running) == 0 {
		return s.config.RetryAfter
	}
	return max(s.service/time.Duration(len(s.running)), time.Millisecond)
}

// assert checks the safety promises apart from the checks above.
func (s *state) assert(id attempt.ID, a Attempt, c Conditions) error {
	running := len(s.running) + 1
	holds := invariant.Check(invariant.ColdStartLimit, running <= s.limit.requests() && running <= s.limit.bounds.WarmRequests,
		"attempt %s would be running request %d of %d", id, running, s.limit.requests())
	holds = invariant.Check(invariant.WholeWeights, a.Weights == c.EngineWeights,
		"attempt %s wants %s, the engine has %s", id, a.Weights.Short(), c.EngineWeights.Short()) && holds
	holds = invariant.Check(invariant.DataCentreOut, !c.DataCentreOut,
		"attempt %s starts in a data centre that is out", id) && holds
	holds = invariant.Check(invariant.LeavingBackend, !c.Draining,
		"attempt %s starts at a leaving agent", id) && holds
	holds = invariant.Check(invariant.AtMostOnce, s.ledger.find(id) == absent,
		"attempt %s starts twice", id) && holds
	if holds {
		return nil
	}
	return core.NewRefusal(core.CodeInternal, 0, "attempt %s would break a safety promise", id)
}

func (s *state) noticeCold(now time.Time, c Conditions) {
	if c.EngineCold {
		s.limit.collapse()
		return
	}
	s.noticeOverdue(now)
}

// noticeOverdue returns the limit to cold start when several requests wait for
// their first byte for longer than a warm backend server takes.
func (s *state) noticeOverdue(now time.Time) {
	step := s.limit.stepAt()
	if step == 0 || s.limit.state == Cold {
		return
	}
	overdue := 0
	for r := range s.running {
		if !r.first && now.Sub(r.started) >= step {
			overdue++
		}
	}
	if overdue >= s.config.Latency.ResetSamples {
		s.limit.collapse()
	}
}

func (s *state) firstByte(now time.Time, r *run) {
	if r.first || r.ended {
		return
	}
	r.first = true
	busy := 2*len(s.running) >= s.limit.requests()
	s.limit.observe(now.Sub(r.started), busy)
}

func (s *state) done(now time.Time, r *run, outcome Outcome) {
	if r.ended {
		return
	}
	if outcome == Succeeded {
		s.firstByte(now, r)
		s.learnService(now.Sub(r.started))
	}
	if outcome == Failed && !r.first {
		s.limit.decrease()
	}
	r.ended = true
	delete(s.running, r)
	s.tokens -= r.tokens
	s.ledger.record(now, r.id, finalStatus(outcome))
}

func finalStatus(outcome Outcome) status {
	switch outcome {
	case Succeeded:
		return ran
	case NotSent:
		return barred
	default:
		return broken
	}
}

const serviceGain = 0.1

func (s *state) learnService(took time.Duration) {
	if s.service == 0 {
		s.service = took
		return
	}
	s.service += time.Duration(serviceGain * float64(took-s.service))
}

func (s *state) tombstone(now time.Time, text string, incarnation core.Incarnation) core.Execution {
	id, err := attempt.Parse(text)
	if err != nil || incarnation != s.config.Incarnation {
		return core.ExecutionUnknown
	}
	s.ledger.expire(now)
	switch s.ledger.find(id) {
	case absent:
		s.ledger.record(now, id, barred)
		return core.ExecutionNotRun
	case barred:
		return core.ExecutionNotRun
	case ran:
		return core.ExecutionRan
	default:
		return core.ExecutionUnknown
	}
}

func (s *state) load(now time.Time) Load {
	s.noticeOverdue(now)
	return Load{
		Running:     len(s.running),
		Tokens:      s.tokens,
		Limit:       s.limit.requests(),
		Temperature: s.limit.state,
	}
}
