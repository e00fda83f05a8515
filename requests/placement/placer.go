// Package placement picks the agent for one attempt at an entry: from a
// deterministic subset, by data centre, by prompt prefix and by load. It
// ejects failing agents, probes them, ramps returning data centres and keeps
// the retry budget. It has no clock and does no I/O.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"currantusher.dev/core"
)

// Defaults of Config.
const (
	DefaultSubsetSize         = 20
	DefaultEjectAfterFailures = 3
	DefaultBaseEjectionTime   = time.Second
	DefaultMaxEjectionTime    = 30 * time.Second
	DefaultRampDuration       = 20 * time.Second
	DefaultRampStartFraction  = 0.1
	DefaultSpilloverLoad      = 0.85
	DefaultAffinityLoadFactor = 1.25
	DefaultReportDecay        = 2 * time.Second
	DefaultRetryRatio         = 0.1
	DefaultRetryBurst         = 20
	DefaultRetryAfter         = time.Second
	DefaultIdleAgentTTL       = 10 * time.Minute
)

// othersShare is how much of the other entries' work counts against the
// capacity. Reports lag, and the agent decides in the end.
const othersShare = 0.9

// Config holds the settings of a Placer.
type Config struct {
	// Entry is this entry's instance id; it decides the subset.
	Entry core.InstanceID
	// DataCentre and Region are this entry's place.
	DataCentre core.DataCentre
	Region     core.Region
	// SubsetSize is the number of agents of each data centre that are used.
	SubsetSize int
	// EjectAfterFailures is the number of failures in a row that eject an agent.
	EjectAfterFailures int
	// BaseEjectionTime and MaxEjectionTime bound the time of ejection, which doubles.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// RampDuration is how long a returning data centre takes to its full share, from
	// RampStart of it.
	RampDuration      time.Duration
	RampStartFraction float64
	// SpilloverLoad is the load of the nearest agents beyond which the next distance
	// is used too.
	SpilloverLoad float64
	// AffinityLoadFactor bounds the load of a prefix's preferred agent, relative to the
	// mean load.
	AffinityLoadFactor float64
	// ReportDecay is the time constant in which a report loses weight.
	ReportDecay time.Duration
	// RetryRatio is the retry budget as a fraction of first attempts, and
	// RetryBurst the number of retries that may be saved up.
	RetryRatio float64
	RetryBurst int
	// RetryAfter is suggested when no agent can be picked.
	RetryAfter time.Duration
	// Seed makes the random choices.
	Seed uint64
}

func (c *Config) applyDefaults() {
	setInt(&c.SubsetSize, DefaultSubsetSize)
	setInt(&c.EjectAfterFailures, DefaultEjectAfterFailures)
	setInt(&c.RetryBurst, DefaultRetryBurst)
	setDuration(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	setDuration(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	setDuration(&c.RampDuration, DefaultRampDuration)
	setDuration(&c.ReportDecay, DefaultReportDecay)
	setDuration(&c.RetryAfter, DefaultRetryAfter)
	setFloat(&c.RampStartFraction, DefaultRampStartFraction)
	setFloat(&c.SpilloverLoad, DefaultSpilloverLoad)
	setFloat(&c.AffinityLoadFactor, DefaultAffinityLoadFactor)
	setFloat(&c.RetryRatio, DefaultRetryRatio)
}

func setInt(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

func setDuration(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}

func setFloat(value *float64, standard float64) {
	if *value <= 0 {
		*value = standard
	}
}

// Candidate is an agent of the pool as the entry knows it.
type Candidate struct {
	ID          core.InstanceID
	Addr        string
	DataCentre  core.DataCentre
	Region      core.Region
	Incarnation core.Incarnation
	// Running and Limit are the agent's last report; ReportedAt is when the
	// entry received it.
	Running    int
	Limit      int
	ReportedAt time.Time
	// Weights is the digest that the agent's engine serves; zero for services.
	Weights core.Digest
	// Direct candidates are backend servers that entries send to without an
	// agent that admits. Room is how many more requests this entry may start
	// there now.
	Direct    bool
	FreeSlots int
	// PauseStart is when the server takes no more requests for a moment, zero
	// when that is not ahead. Requests that last longer go elsewhere where there
	// is room.
	PauseStart time.Time
	// DataCentreOut and Leaving agents are never picked.
	DataCentreOut bool
	Leaving       bool
}

// Request is what placement needs to know of a request.
type Request struct {
	// Prefix is a hash of the prompt's prefix; 0 means no affinity.
	Prefix uint64
	// Weights must be served by the agent; zero for services.
	Weights core.Digest
	// ExpectedDuration is how long the answer is expected to take, 0 when unknown.
	ExpectedDuration time.Duration
	// Tried agents are not picked again.
	Tried map[core.InstanceID]bool
}

// Outcome is how an attempt at an agent ended.
type Outcome uint8

const (
	// Answered means that the agent answered whole.
	Answered Outcome = iota
	// Refused means that the agent is healthy but did not start the work.
	Refused
	// Unavailable means that the agent is healthy and refuses all work for a while.
	Unavailable
	// Failed means that the agent or its backend server failed or could not be
	// reached.
	Failed
	// Inconclusive means that the attempt says nothing about the agent.
	Inconclusive
)

// Placer is safe for concurrent use.
type Placer struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	agents map[core.InstanceID]*agent
	ramps  map[core.DataCentre]*ramp
	budget float64
	// swept is when forgotten agents were last dropped.
	swept time.Time
}

// New returns a Placer without history.
func New(config Config) *Placer {
	config.applyDefaults()
	return &Placer{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		agents: map[core.InstanceID]*agent{},
		ramps:  map[core.DataCentre]*ramp{},
		budget: float64(config.RetryBurst),
	}
}

// Pick chooses an agent and counts the attempt in flight there until Finish.
// The error is a refusal with CodeNoBackend.
func (p *Placer) Pick(now time.Time, request Request, candidates []Candidate) (Candidate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	usable := p.usable(now, request, candidates)
	staying := lasting(now, request, usable)
	for _, options := range [][]option{quick(now, staying), staying, usable} {
		if chosen, ok := p.chooseNearest(request, options); ok {
			chosen.agent.start(now)
			return *chosen.candidate, nil
		}
	}
	return Candidate{}, core.NewRefusal(core.CodeNoBackend, p.config.RetryAfter, "none of %d backend servers can take the request", len(candidates))
}

// Finish ends an attempt that Pick counted. limit is the agent's limit from
// the End frame and running its load, or both 0 when unknown.
func (p *Placer) Finish(now time.Time, id core.InstanceID, outcome Outcome, running, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.agents[id]
	if a == nil {
		return
	}
	a.finish(now, outcome, p.config, p.random)
	if limit > 0 {
		a.report(now, running, limit)
	}
}

// Eject leaves an agent out for a while, as after failures.
func (p *Placer) Eject(now time.Time, id core.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil && !(a.isEjected() && now.Before(a.ejected)) {
		a.eject(now, p.config, p.random)
	}
}

// Capacity is how many requests this entry may have in flight at the
// candidates: their limits less the work of others.
func (p *Placer) Capacity(now time.Time, weights core.Digest, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, o := range p.usable(now, Request{Weights: weights}, candidates) {
		sum += o.capacity()
	}
	return sum
}

// DepositRetry pays a request's share into the retry budget.
func (p *Placer) DepositRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = min(p.budget+p.config.RetryRatio, float64(p.config.RetryBurst))
}

// SetRetryBurst changes the number of retries that may be saved up. What is
// saved beyond it is lost.
func (p *Placer) SetRetryBurst(burst int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.RetryBurst = max(burst, 0)
	p.budget = min(p.budget, float64(p.config.RetryBurst))
}

// WithdrawRetry takes one retry out of the budget. It returns false when none is left.
func (p *Placer) WithdrawRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// InFlight returns this entry's attempts at an agent.
func (p *Placer) InFlight(id core.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		return a.inFlight
	}
	return 0
}
