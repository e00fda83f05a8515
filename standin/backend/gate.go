// Package backend holds what the stand-ins of all kinds of backend server
// share: the limit on running requests in cold and warm state, restarts, fault
// switches and the counters by which a bench judges the system from outside.
package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	defaultColdLimit = 2
	defaultWarmLimit = 16
	defaultColdGrace = time.Second
	defaultOutGrace  = 3 * time.Second
	defaultLate      = time.Second
	// coldSlowFactor is how much slower a cold server runs.
	coldSlowFactor = 3
)

// Errors of Gate.Start.
var (
	// ErrDown means that the server has crashed.
	ErrDown = errors.New("backend server is down")
	// ErrOverLimit means that the start was refused because of the limit.
	ErrOverLimit = errors.New("backend server is over its limit")
	// ErrFellOver means that the start made a cold server restart.
	ErrFellOver = errors.New("backend server fell over in cold start")
)

// Config sets the limits of a Gate.
type Config struct {
	// Name starts the incarnation strings.
	Name string
	// WarmUp is the length of a cold start.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound running requests.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time for the agent to notice an unannounced cold start;
	// a start over ColdLimit is refused within it and fells the server after.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time for taking a data centre out to be in force.
	DataCentreOutGrace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.ColdLimit <= 0 {
		c.ColdLimit = defaultColdLimit
	}
	if c.WarmLimit <= 0 {
		c.WarmLimit = max(defaultWarmLimit, c.ColdLimit)
	}
	if c.ColdGrace <= 0 {
		c.ColdGrace = defaultColdGrace
	}
	if c.DataCentreOutGrace <= 0 {
		c.DataCentreOutGrace = defaultOutGrace
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Counters is what a bench reads at a backend server.
type Counters struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	MaxRunning  int    `json:"max_running"`
	// Starts counts requests that started to run.
	Starts int `json:"starts"`
	// OverLimit counts starts refused over the limit, FellOver those that made
	// a cold server restart.
	OverLimit        int `json:"over_limit"`
	OverloadRestarts int `json:"fell_over"`
	// OverloadRestartColdSeconds is how long the last cold start had lasted when the
	// server fell over.
	OverloadRestartColdSeconds float64 `json:"fell_over_after_seconds"`
	Restarts                   int     `json:"restarts"`
	// StartsAfterOut counts starts later than OutGrace after the data centre
	// was taken out. LastStartAfterOutSeconds is the latest of all starts after
	// it, in seconds.
	StartsAfterOut           int     `json:"starts_after_out"`
	LastStartAfterOutSeconds float64 `json:"last_start_after_out_seconds"`
	// MaxRuns is the highest number of runs with one Idempotency-Key.
	MaxRuns int `json:"max_runs"`
	// PartialWeights counts runs on weights that were not whole.
	PartialWeights int `json:"partial_weights"`
}

// life is the time between two restarts.
type life struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// Gate admits, counts and aborts the work of one backend server.
type Gate struct {
	cfg     Config
	restart func()

	mu          sync.Mutex
	life        life
	down        bool
	coldSince   time.Time
	unannounced bool
	outSince    time.Time
	lastStart   time.Time
	slow        float64
	late        time.Duration
	armed       map[AnswerFault]int
	runs        *ledger
	counters    Counters
}

// NewGate returns a cold gate. onRestart drops the state that a restart loses;
// it is called with the gate locked.
func NewGate(cfg Config, onRestart func()) *Gate {
	cfg.applyDefaults()
	g := &Gate{cfg: cfg, restart: onRestart, slow: 1, late: defaultLate, armed: make(map[AnswerFault]int), runs: newLedger()}
	g.begin()
	return g
}

func (g *Gate) begin() {
	now := g.cfg.Now()
	g.life.ctx, g.life.cancel = context.WithCancel(context.Background())
	g.coldSince = now
	g.unannounced = false
	g.counters.Incarnation = fmt.Sprintf("%s-%d-%d", g.cfg.Name, now.UnixNano(), g.counters.Restarts)
	g.counters.Running = 0
}

func (g *Gate) restartLocked() {
	g.life.cancel()
	g.counters.Restarts++
	g.begin()
	g.restart()
}

func (g *Gate) warm(now time.Time) bool { return now.Sub(g.coldSince) >= g.cfg.WarmUp }

// Cool starts a cold start that the agent knows of, such as an activation.
func (g *Gate) Cool() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldSince = g.cfg.Now()
	g.unannounced = false
}

// Run is one admitted request.
type Run struct {
	gate *Gate
	life life
	// Fault is what to do to the answer.
	Fault AnswerFault
	// Late is the delay of an AnswerLate.
	Late time.Duration
}

// Start admits one request or refuses it. key names the caller's request; see
// KeyedRun and PromptRun. ready, when not nil, is asked in the same critical
// section; its error refuses the start.
func (g *Gate) Start(key string, ready func() error) (*Run, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return nil, ErrDown
	}
	if ready != nil {
		if err := ready(); err != nil {
			return nil, err
		}
	}
	now := g.cfg.Now()
	if err := g.admit(now); err != nil {
		return nil, err
	}
	g.counters.Starts++
	g.counters.Running++
	g.counters.MaxRunning = max(g.counters.MaxRunning, g.counters.Running)
	g.lastStart = now
	g.noteOut(now)
	g.runs.record(key)
	return &Run{gate: g, life: g.life, Fault: g.takeFault(), Late: g.late}, nil
}

func (g *Gate) admit(now time.Time) error {
	if g.warm(now) {
		if g.counters.Running < g.cfg.WarmLimit {
			return nil
		}
		g.counters.OverLimit++
		return ErrOverLimit
	}
	if g.counters.Running < g.cfg.ColdLimit {
		return nil
	}
	if g.unannounced && now.Sub(g.coldSince) < g.cfg.ColdGrace {
		return ErrOverLimit
	}
	g.counters.OverLimit++
	g.counters.OverloadRestarts++
	g.counters.OverloadRestartColdSeconds = now.Sub(g.coldSince).Seconds()
	g.restartLocked()
	return ErrFellOver
}

func (g *Gate) noteOut(now time.Time) {
	if g.outSince.IsZero() || now.Before(g.outSince) {
		return
	}
	lag := now.Sub(g.outSince)
	g.counters.LastStartAfterOutSeconds = max(g.counters.LastStartAfterOutSeconds, lag.Seconds())
	if lag > g.cfg.DataCentreOutGrace {
		g.counters.StartsAfterOut++
	}
}

func (g *Gate) takeFault() AnswerFault {
	for _, fault := range []AnswerFault{AnswerLate, AnswerCrossed, AnswerDoubled, AnswerCut} {
		if g.armed[fault] > 0 {
			g.armed[fault]--
			return fault
		}
	}
	return AnswerWhole
}

// Done ends the run.
func (r *Run) Done() {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	if r.life.ctx.Err() == nil {
		r.gate.counters.Running--
	}
}

// Sleep passes running time, longer when the server is cold or slowed. It
// returns an error when the server restarts or ctx ends.
func (r *Run) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(r.gate.stretch(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.life.ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	case <-r.life.ctx.Done():
		return ErrDown
	}
}

func (g *Gate) stretch(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	factor := g.slow
	if !g.warm(g.cfg.Now()) {
		factor *= coldSlowFactor
	}
	return time.Duration(float64(d) * factor)
}
