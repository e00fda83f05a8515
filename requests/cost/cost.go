// Package cost estimates the work that requests cause at engines, in prompt and
// answer tokens, and learns from the answers. It has no clock and does no I/O.
package cost

import (
	"math"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	// maxKeys bounds the combinations of route and team that are learned. The one that was
	// updated least recently is dropped first.
	maxKeys = 1024
	// maxTokens and maxServiceTime bound the numbers of a request.
	maxTokens      = 1 << 22
	maxServiceTime = time.Hour
	// minTeamSamples is the number of answers from which those of a team count apart from
	// those of its route. Lengths vary by a factor of two, so the mean of 50 is within 10%.
	minTeamSamples = 50
	// minEventSamples is the number of answers from which the mean number of events of an
	// answer is known.
	minEventSamples = 8
	// recentErrors is the number of answers whose estimates Model.Errors rates.
	recentErrors = 256
	// defaultTokensPerEvent is used until the number of events of an answer is known.
	defaultTokensPerEvent = 4
)

// Features are the properties of a request that its cost depends on. Numbers that are not
// positive and finite are unknown.
type Features struct {
	Route core.RouteName
	Team  core.Team
	// PromptTokens is the number of tokens of the prompt, and HintTokens the caller's
	// estimate of those of the answer.
	PromptTokens, HintTokens float64
}

// Estimate is the expected cost of a request.
type Estimate struct {
	PromptTokens, AnswerTokens float64
	// ServiceTime is the mean time of an answer of the route, 0 if unknown.
	ServiceTime time.Duration
	// Known reports whether both numbers of tokens are known.
	Known bool
}

// Actual is the observed cost of a request that was answered completely.
type Actual struct {
	// Events is the number of events of the answer, or 0 if unknown.
	Events float64
	// ServiceTime is the time from the request to the end of the answer.
	ServiceTime time.Duration
}

// Usual holds the mean lengths of a service's prompts and answers that the configuration
// states, in tokens; 0 if unknown.
type Usual struct {
	PromptTokens, AnswerTokens float64
}

type key struct {
	route core.RouteName
	team  core.Team
}

// Model learns the costs of the requests to one service. It is safe for concurrent use.
type Model struct {
	mu    sync.Mutex
	usual Usual
	keys  map[key]*learned
	// updates counts the observations; learned.updatedAt refers to it.
	updates int
	// events is the mean number of events of an answer.
	events mean
	// errors holds the latest ratios of the actual to the estimated answer tokens.
	errors    []float64
	nextError int
}

// learned is what is known of the answers to the requests with one key.
type learned struct {
	// tokens is the mean length, and hinted relates hints to lengths.
	tokens      mean
	hinted      regression
	serviceTime mean
	updatedAt   int
}

// NewModel returns a Model without observations.
func NewModel(usual Usual) *Model {
	m := &Model{keys: map[key]*learned{}}
	m.SetUsual(usual)
	return m
}

// SetUsual changes the mean lengths that the configuration states.
func (m *Model) SetUsual(usual Usual) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usual = Usual{PromptTokens: valid(usual.PromptTokens, maxTokens), AnswerTokens: valid(usual.AnswerTokens, maxTokens)}
}

// Estimate returns the expected cost of a request. A prompt of unknown length has the usual
// one. The length of the answer follows from the hint, else from the answers to the team at
// the route, else from those of the route, else it is the usual one.
func (m *Model) Estimate(f Features) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimate(f)
}

func (m *Model) estimate(f Features) Estimate {
	e := Estimate{PromptTokens: valid(f.PromptTokens, maxTokens)}
	if e.PromptTokens == 0 {
		e.PromptTokens = m.usual.PromptTokens
	}
	route := m.keys[key{route: f.Route}]
	var team *learned
	if f.Team != "" {
		team = m.keys[key{route: f.Route, team: f.Team}]
	}
	if hint := valid(f.HintTokens, maxTokens); hint > 0 {
		e.AnswerTokens = hint
		switch {
		case team != nil && team.hinted.count >= minTeamSamples:
			e.AnswerTokens = team.hinted.predict(hint)
		case route != nil:
			e.AnswerTokens = route.hinted.predict(hint)
		}
	} else {
		e.AnswerTokens = m.meanOf(team, route, func(l *learned) *mean { return &l.tokens }, m.usual.AnswerTokens)
	}
	e.AnswerTokens = valid(e.AnswerTokens, maxTokens)
	seconds := m.meanOf(team, route, func(l *learned) *mean { return &l.serviceTime }, 0)
	e.ServiceTime = time.Duration(seconds * float64(time.Second))
	e.Known = e.PromptTokens > 0 && e.AnswerTokens > 0
	return e
}

// meanOf returns the mean of the team if it has enough samples, else that of the route, in
// which the usual value counts as some samples.
func (m *Model) meanOf(team, route *learned, of func(*learned) *mean, usual float64) float64 {
	switch {
	case team != nil && of(team).count >= minTeamSamples:
		return of(team).value
	case route != nil:
		return of(route).withPrior(usual)
	default:
		return usual
	}
}

// Observe learns from the answer to a request. Invalid numbers are ignored.
func (m *Model) Observe(f Features, actual Actual) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := valid(actual.Events, maxTokens)
	seconds := valid(actual.ServiceTime.Seconds(), maxServiceTime.Seconds())
	if events == 0 && seconds == 0 {
		return
	}
	m.updates++
	tokens := 0.0
	if events > 0 {
		m.events.observe(events)
		tokens = events * m.tokensPerEvent()
	}
	if isLearned := m.events.count >= minEventSamples; !isLearned {
		tokens = 0
	}
	if estimated := m.estimate(f); tokens > 0 && estimated.AnswerTokens > 0 {
		m.recordError(tokens / estimated.AnswerTokens)
	}
	hint := valid(f.HintTokens, maxTokens)
	m.learnedOf(key{route: f.Route}).observe(tokens, hint, seconds)
	if f.Team != "" {
		m.learnedOf(key{route: f.Route, team: f.Team}).observe(tokens, hint, seconds)
	}
}

func (l *learned) observe(tokens, hint, seconds float64) {
	if tokens > 0 {
		l.tokens.observe(tokens)
	}
	if tokens > 0 && hint > 0 {
		l.hinted.observe(hint, tokens)
	}
	if seconds > 0 {
		l.serviceTime.observe(seconds)
	}
}

func (m *Model) learnedOf(k key) *learned {
	l := m.keys[k]
	if l == nil {
		m.evict()
		l = &learned{}
		m.keys[k] = l
	}
	l.updatedAt = m.updates
	return l
}

func (m *Model) evict() {
	if len(m.keys) < maxKeys {
		return
	}
	var oldest key
	oldestAt := math.MaxInt
	for k, l := range m.keys {
		if l.updatedAt < oldestAt {
			oldest, oldestAt = k, l.updatedAt
		}
	}
	delete(m.keys, oldest)
}

// TokensPerEvent returns the mean number of answer tokens in an event.
func (m *Model) TokensPerEvent() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokensPerEvent()
}

// tokensPerEvent follows from the usual number of tokens of an answer, since answers do not
// state their number of tokens.
func (m *Model) tokensPerEvent() float64 {
	if m.events.count < minEventSamples || m.usual.AnswerTokens == 0 {
		return defaultTokensPerEvent
	}
	return m.usual.AnswerTokens / m.events.value
}

// Keys returns the number of combinations of route and team that are learned.
func (m *Model) Keys() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.keys)
}

func (m *Model) recordError(ratio float64) {
	if len(m.errors) < recentErrors {
		m.errors = append(m.errors, ratio)
		return
	}
	m.errors[m.nextError] = ratio
	m.nextError = (m.nextError + 1) % recentErrors
}

// Errors returns the median and the 95th percentile of the actual over the estimated
// answer tokens of recent requests; 1 without any.
func (m *Model) Errors() (median, p95 float64) {
	m.mu.Lock()
	sorted := slices.Clone(m.errors)
	m.mu.Unlock()
	if len(sorted) == 0 {
		return 1, 1
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)*95/100]
}

// valid returns a number if it is positive and finite, limited to limit, else 0.
func valid(number, limit float64) float64 {
	if !(number > 0) || math.IsInf(number, 0) {
		return 0
	}
	return min(number, limit)
}
