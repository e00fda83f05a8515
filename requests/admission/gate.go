// Package admission decides at the agent whether an attempt may start. It
// checks the incarnation, the deadline, the age of the configuration, the
// lease, draining, the data centre, the weights, the adaptive concurrency
// limit, the token limit and the ledger of earlier attempts. The checks and the
// start are one atomic step.
package admission

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// Defaults of Config.
const (
	DefaultRetention          = 15 * time.Minute
	DefaultMaxTrackedAttempts = 64 << 10
	DefaultRetryAfter         = time.Second
)

// Config holds the settings of a Gate.
type Config struct {
	// Incarnation identifies this agent process. Dispatches and tombstones that
	// name another incarnation have no effect.
	Incarnation core.Incarnation
	// Limits bound the concurrent requests and tokens at the backend server.
	Limits tables.Limits
	// Retention is how long the status of a finished, refused or blocked
	// attempt is kept individually. Afterwards the attempt is blocked together
	// with all older attempts of its entry process.
	Retention time.Duration
	// MaxTrackedAttempts bounds the attempts whose status is kept individually.
	MaxTrackedAttempts int
	// RetryAfter is the retry delay of refusals for which none can be estimated
	// from service times.
	RetryAfter time.Duration
	// Latency configures the adaptive limit.
	Latency LatencyConfig
}

func (c *Config) applyDefaults() {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxTrackedAttempts <= 0 {
		c.MaxTrackedAttempts = DefaultMaxTrackedAttempts
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = DefaultRetryAfter
	}
	if c.Limits.ColdRequests < 1 {
		c.Limits.ColdRequests = 1
	}
	if c.Limits.WarmRequests < c.Limits.ColdRequests {
		c.Limits.WarmRequests = c.Limits.ColdRequests
	}
	c.Latency.applyDefaults()
}

// Attempt is one dispatch that the agent received.
type Attempt struct {
	// ID is the attempt id; see package attempt.
	ID string
	// Incarnation is the agent process that the dispatch is addressed to.
	Incarnation core.Incarnation
	// Revision is the configuration revision that the entry used for placement.
	Revision core.Revision
	// Weights is the digest of the weights that the attempt requires; zero for
	// services without weights.
	Weights core.Digest
	// Tokens is the attempt's token limit; 0 for services without tokens.
	Tokens int
	// AtMostOnce marks a request that may not be run twice.
	AtMostOnce bool
	// Received is when the agent read the dispatch.
	Received time.Time
	// Remaining is the time to the deadline that the dispatch carried. The start
	// is refused once this time has passed since Received. 0 means no deadline.
	Remaining time.Duration
}

// Conditions is the state of the agent and its backend server at the moment of
// the start.
type Conditions struct {
	// Revision is the configuration revision that the agent has applied.
	Revision core.Revision
	// EngineWeights is the digest that the engine reports as completely loaded.
	EngineWeights core.Digest
	// PinnedWeights is the digest that the pool row requires.
	PinnedWeights core.Digest
	// AcceptWeights is a second digest that is accepted while the pool changes
	// to PinnedWeights; zero for none.
	AcceptWeights core.Digest
	// EngineServing reports whether the backend server accepts requests.
	EngineServing bool
	// EngineCold reports whether the backend server reports a cold start.
	EngineCold bool
	// DataCentreOut reports whether the agent's data centre is taken out of
	// service.
	DataCentreOut bool
	// Draining reports whether the agent is shutting down.
	Draining bool
	// ConfigErr is the reason why the configuration may not be used, or nil.
	ConfigErr error
	// LeaseErr is the reason why the agent does not hold its lease, or nil.
	LeaseErr error
}

// Outcome is how a started attempt ended.
type Outcome uint8

const (
	// Succeeded means that the backend server sent a complete answer.
	Succeeded Outcome = iota
	// Failed means that the backend server returned an error or an incomplete
	// answer.
	Failed
	// Cancelled means that the caller cancelled the request or disconnected.
	Cancelled
	// NotSent means that nothing was sent to the backend server, so the work
	// certainly did not run.
	NotSent
)

// Load is the agent's load as reported in heartbeats and End frames.
type Load struct {
	Running     int
	Tokens      int
	Limit       int
	Temperature Temperature
}

// Gate admits attempts. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	state *state
}

// New returns a Gate that treats the backend server as cold.
func New(config Config) *Gate {
	config.applyDefaults()
	return &Gate{state: newState(config)}
}

// Start checks the attempt and counts it as running in one atomic step. The
// error carries core.ExecutionNotRun if the attempt certainly did not and will
// not run.
func (g *Gate) Start(now time.Time, a Attempt, c Conditions) (*Permit, error) {
	return g.StartWith(func() (time.Time, Conditions) { return now, c }, a)
}

// StartWith is Start with the clock and the conditions read inside the critical
// section, so that neither can be stale when the attempt starts.
func (g *Gate) StartWith(read func() (time.Time, Conditions), a Attempt) (*Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, conditions := read()
	started, err := g.state.start(now, a, conditions)
	if err != nil {
		return nil, err
	}
	return &Permit{gate: g, started: started}, nil
}

// Tombstone prevents an attempt from starting at this process. It returns
// core.ExecutionNotRun only if the attempt never started and never will,
// core.ExecutionRan if it ran to completion, and core.ExecutionUnknown otherwise.
func (g *Gate) Tombstone(now time.Time, id string, incarnation core.Incarnation) core.Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.tombstone(now, id, incarnation)
}

// EngineRestarted resets the limit to the cold start limit immediately.
func (g *Gate) EngineRestarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.limit.resetToCold()
}

// SetLimits applies the limits of a new configuration.
func (g *Gate) SetLimits(limits tables.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.limit.setBounds(limits)
}

// Load returns the load at now.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.load(now)
}

// Permit represents one started attempt.
type Permit struct {
	gate    *Gate
	started *startedAttempt
}

// FirstByte records that the backend server sent the first byte of its answer.
func (p *Permit) FirstByte(now time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.state.firstByte(now, p.started)
}

// Done ends the attempt and frees its capacity. Later calls do nothing.
func (p *Permit) Done(now time.Time, outcome Outcome) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.state.done(now, p.started, outcome)
}
