// Package placement picks the agent for each attempt at an entry: from a
// deterministic subset, by data centre, by prompt prefix and by load. It ejects
// failing agents and probes them, raises traffic gradually to data centres that
// return to service, and keeps the retry budget. It has no clock and does no I/O.
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

// otherEntriesWeight is the fraction of the load of other entries that is
// subtracted from the capacity. It is below 1 because reports lag and the agent
// makes the final decision at admission.
const otherEntriesWeight = 0.9

// Config holds the settings of a Placer.
type Config struct {
	// Entry is this entry's instance id; it determines the subset.
	Entry core.InstanceID
	// DataCentre and Region are this entry's location.
	DataCentre core.DataCentre
	Region     core.Region
	// SubsetSize is the number of agents of each data centre that are used.
	SubsetSize int
	// EjectAfterFailures is the number of consecutive failures after which an
	// agent is ejected.
	EjectAfterFailures int
	// BaseEjectionTime is the duration of the first ejection. It doubles with
	// each following one, up to MaxEjectionTime. BaseEjectionTime is also how long
	// an agent is not picked after an attempt ended as Unavailable.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// RampDuration is how long the limits of a data centre that returns to
	// service take to rise from RampStartFraction to their full value.
	RampDuration      time.Duration
	RampStartFraction float64
	// SpilloverLoad is the mean utilization of the nearest agents from which
	// agents at the next distance are used too.
	SpilloverLoad float64
	// AffinityLoadFactor bounds the utilization of the agent preferred for a
	// prefix, relative to the mean utilization.
	AffinityLoadFactor float64
	// ReportDecay is the time constant of the exponential decay of load reports.
	ReportDecay time.Duration
	// RetryRatio is the retry budget as a fraction of first attempts, and
	// RetryBurst the maximum number of retries that may accumulate.
	RetryRatio float64
	RetryBurst int
	// RetryAfter is the retry delay of refusals when no agent can be picked.
	RetryAfter time.Duration
	// Seed is the seed of the random choices.
	Seed uint64
}

func (c *Config) applyDefaults() {
	setIntDefault(&c.SubsetSize, DefaultSubsetSize)
	setIntDefault(&c.EjectAfterFailures, DefaultEjectAfterFailures)
	setIntDefault(&c.RetryBurst, DefaultRetryBurst)
	setDurationDefault(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	setDurationDefault(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	setDurationDefault(&c.RampDuration, DefaultRampDuration)
	setDurationDefault(&c.ReportDecay, DefaultReportDecay)
	setDurationDefault(&c.RetryAfter, DefaultRetryAfter)
	setFloatDefault(&c.RampStartFraction, DefaultRampStartFraction)
	setFloatDefault(&c.SpilloverLoad, DefaultSpilloverLoad)
	setFloatDefault(&c.AffinityLoadFactor, DefaultAffinityLoadFactor)
	setFloatDefault(&c.RetryRatio, DefaultRetryRatio)
}

func setIntDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

func setDurationDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

func setFloatDefault(value *float64, fallback float64) {
	if *value <= 0 {
		*value = fallback
	}
}

// Candidate is an agent of the pool with the state last reported to the entry.
type Candidate struct {
	ID          core.InstanceID
	Addr        string
	DataCentre  core.DataCentre
	Region      core.Region
	Incarnation core.Incarnation
	// Running and Limit are the agent's last load report; ReportedAt is when the
	// entry received it.
	Running    int
	Limit      int
	ReportedAt time.Time
	// Weights is the digest that the agent's engine serves; zero for services
	// without weights.
	Weights core.Digest
	// Direct marks a backend server that receives requests from the entry
	// without an agent that admits them. FreeSlots is how many more requests this
	// entry may start there now.
	Direct    bool
	FreeSlots int
	// PauseStart is when the server stops accepting requests for a short time;
	// zero when no pause is announced. Requests that are expected to run longer
	// are sent to another server if one has capacity.
	PauseStart time.Time
	// DataCentreOut and Leaving mark agents that are never picked: their data
	// centre is taken out of service, or they are shutting down.
	DataCentreOut bool
	Leaving       bool
	// Prediction is the expected course of the request that is placed, if it is known.
	Prediction Prediction
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Prefix is a hash of the prompt's prefix; 0 means no affinity.
	Prefix uint64
	// Weights is the digest that the agent must serve; zero for services without
	// weights.
	Weights core.Digest
	// ExpectedDuration is how long the answer is expected to take, 0 when unknown.
	ExpectedDuration time.Duration
	// Tried holds the agents that are not picked again.
	Tried map[core.InstanceID]bool
}

// Outcome is how an attempt at an agent ended.
type Outcome uint8

const (
	// Answered means that the agent sent a complete answer.
	Answered Outcome = iota
	// Refused means that the agent is healthy but did not start the work.
	Refused
	// Unavailable means that the agent is healthy but currently refuses all work.
	Unavailable
	// Failed means that the agent or its backend server failed or could not be
	// reached.
	Failed
	// Inconclusive means that the attempt gives no information about the health
	// of the agent.
	Inconclusive
)

// Placer picks agents for the attempts of one entry. It is safe for concurrent
// use.
type Placer struct {
	mu          sync.Mutex
	config      Config
	random      *rand.Rand
	agents      map[core.InstanceID]*agentState
	ramps       map[core.DataCentre]*recoveryRamp
	retryBudget float64
	// lastSweep is when idle agents were last dropped.
	lastSweep time.Time
}

// New returns a Placer with a full retry budget and no observed agents.
func New(config Config) *Placer {
	config.applyDefaults()
	return &Placer{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, 1)),
		agents:      map[core.InstanceID]*agentState{},
		ramps:       map[core.DataCentre]*recoveryRamp{},
		retryBudget: float64(config.RetryBurst),
	}
}

// Pick chooses an agent and counts the attempt as in flight there until Finish.
// The error is a refusal with CodeNoBackend.
func (p *Placer) Pick(now time.Time, request Request, candidates []Candidate) (Candidate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	eligible := p.eligibleOptions(now, request, candidates)
	unpaused := withoutUpcomingPause(now, request, eligible)
	for _, options := range [][]option{withoutSlow(now, unpaused), unpaused, eligible} {
		if chosen, ok := p.chooseOnTime(request, options); ok {
			chosen.agent.start(now)
			return *chosen.candidate, nil
		}
	}
	return Candidate{}, core.NewRefusal(core.CodeNoBackend, p.config.RetryAfter, "none of %d backend servers is available for the request", len(candidates))
}

// HasEligible reports whether a candidate would be picked if it had capacity.
func (p *Placer) HasEligible(now time.Time, request Request, candidates []Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.eligibleOptions(now, request, candidates)) > 0
}

// Finish ends an attempt that Pick started. running and limit are the agent's
// load and limit from the End frame, or both 0 when unknown.
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

// Eject ejects an agent that is silent immediately, as repeated failures do. It has no
// effect while an ejection of the agent lasts.
func (p *Placer) Eject(now time.Time, id core.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil && !(a.isEjected() && now.Before(a.ejectedUntil)) {
		a.eject(now, p.config, p.random)
		a.isSilent = true
	}
}

// Restore ends an ejection by Eject, because the agent sends data again.
func (p *Placer) Restore(id core.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil && a.isSilent {
		a.restore()
	}
}

// Capacity returns how many requests this entry may have in flight at the
// candidates: their limits less the estimated load of other entries.
func (p *Placer) Capacity(now time.Time, weights core.Digest, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, o := range p.eligibleOptions(now, Request{Weights: weights}, candidates) {
		sum += o.capacity()
	}
	return sum
}

// DepositRetry adds RetryRatio of a retry to the budget. Callers call it once
// for the first attempt of each request.
func (p *Placer) DepositRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget = min(p.retryBudget+p.config.RetryRatio, float64(p.config.RetryBurst))
}

// SetRetryBurst changes the maximum number of retries that may accumulate. It
// reduces the budget to that number if it is larger.
func (p *Placer) SetRetryBurst(burst int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.RetryBurst = max(burst, 0)
	p.retryBudget = min(p.retryBudget, float64(p.config.RetryBurst))
}

// WithdrawRetry takes one retry from the budget. It returns false when the
// budget holds less than one retry.
func (p *Placer) WithdrawRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}

// ReturnRetries returns retries that were withdrawn and not used.
func (p *Placer) ReturnRetries(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget = min(p.retryBudget+float64(max(count, 0)), float64(p.config.RetryBurst))
}

// Retries returns the number of retries in the budget.
func (p *Placer) Retries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.retryBudget)
}

// Knows reports whether the placer has picked an agent recently.
func (p *Placer) Knows(id core.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agents[id] != nil
}

// InFlight returns the number of this entry's attempts in flight at an agent.
func (p *Placer) InFlight(id core.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		return a.inFlight
	}
	return 0
}
