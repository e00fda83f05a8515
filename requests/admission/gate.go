// Package admission decides at the agent whether an attempt may start. All
// checks and the start are one step: configuration age, lease, data centre,
// drain, weights, learned limit, tokens, age and the ledger of attempts.
package admission

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// Defaults of Config.
const (
	DefaultRetention   = 15 * time.Minute
	DefaultMaxAttempts = 64 << 10
	DefaultRetryAfter  = time.Second
)

// Config holds the settings of a Gate.
type Config struct {
	// Incarnation is this agent process. Dispatches and tombstones that mean
	// another one take no effect.
	Incarnation core.Incarnation
	// Limits bound the work of the backend server.
	Limits tables.Limits
	// Retention is how long a finished, refused or barred attempt is
	// remembered by itself. Later it is barred with all older attempts of its
	// entry process.
	Retention time.Duration
	// MaxAttempts bounds the attempts that are remembered by themselves.
	MaxAttempts int
	// RetryAfter is suggested with refusals that no service time explains.
	RetryAfter time.Duration
	// Latency tunes the learned limit.
	Latency LatencyConfig
}

func (c *Config) applyDefaults() {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
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

// Attempt is one dispatch that asks to start.
type Attempt struct {
	// ID is the attempt id; see package attempt.
	ID string
	// Incarnation is the agent process that the entry means.
	Incarnation core.Incarnation
	// Revision is the configuration revision that the entry placed with.
	Revision core.Revision
	// Weights must serve the attempt; zero for plain services.
	Weights core.Digest
	// Tokens is the attempt's token limit; 0 for plain services.
	Tokens int
	// AtMostOnce marks work that may not be repeated.
	AtMostOnce bool
	// Received is when the agent read the dispatch.
	Received time.Time
	// Remaining is the time left that the dispatch carried. The start is
	// refused once it has passed since Received. 0 means no deadline.
	Remaining time.Duration
}

// Conditions is what the agent knows at the moment of the start.
type Conditions struct {
	// Revision is the configuration in force at the agent.
	Revision core.Revision
	// EngineWeights is the digest that the engine reports as loaded whole.
	EngineWeights core.Digest
	// PinnedWeights is the digest that the pool row pins.
	PinnedWeights core.Digest
	// AcceptWeights is one more digest that may serve while the pool moves to
	// PinnedWeights; zero for none.
	AcceptWeights core.Digest
	// EngineServing says that the backend server takes requests.
	EngineServing bool
	// EngineCold says that the backend server reports itself in cold start.
	EngineCold bool
	// DataCentreOut says that the agent's data centre is taken out.
	DataCentreOut bool
	// Draining says that the agent is leaving.
	Draining bool
	// ConfigErr is the reason why the configuration may not be acted on, or
	// nil.
	ConfigErr error
	// LeaseErr is the reason why the agent does not hold its lease, or nil.
	LeaseErr error
}

// Outcome is how a started attempt ended.
type Outcome uint8

const (
	// Succeeded means that the backend server answered whole.
	Succeeded Outcome = iota
	// Failed means that the backend server answered with an error or broke off.
	Failed
	// Cancelled means that the caller went away.
	Cancelled
	// NotSent means that nothing was sent to the backend server, so that the
	// work provably did not run.
	NotSent
)

// Load is the agent's load for heartbeats and End frames.
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

// New returns a cold gate.
func New(config Config) *Gate {
	config.applyDefaults()
	return &Gate{state: newState(config)}
}

// Start checks the attempt and counts it as running in one step. The error
// says whether the attempt provably did not and will not run.
func (g *Gate) Start(now time.Time, a Attempt, c Conditions) (*Permit, error) {
	return g.StartWith(func() (time.Time, Conditions) { return now, c }, a)
}

// StartWith is Start with the clock and the conditions read within the same
// critical section, so that neither can grow old before the start.
func (g *Gate) StartWith(read func() (time.Time, Conditions), a Attempt) (*Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, conditions := read()
	run, err := g.state.start(now, a, conditions)
	if err != nil {
		return nil, err
	}
	return &Permit{gate: g, run: run}, nil
}

// Tombstone bars an attempt from starting at this process. It returns
// WorkNotRun only when the attempt never started and never will, WorkRan when
// it ran to its end, and WorkUnknown otherwise.
func (g *Gate) Tombstone(now time.Time, id string, incarnation core.Incarnation) core.Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.tombstone(now, id, incarnation)
}

// EngineRestarted returns the limit to cold start at once.
func (g *Gate) EngineRestarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.limit.collapse()
}

// SetLimits puts the limits of a new configuration in force.
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

// Permit is one started attempt.
type Permit struct {
	gate *Gate
	run  *run
}

// FirstByte reports that the backend server began to answer.
func (p *Permit) FirstByte(now time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.state.firstByte(now, p.run)
}

// Done ends the attempt. Later calls do nothing.
func (p *Permit) Done(now time.Time, outcome Outcome) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.state.done(now, p.run, outcome)
}
