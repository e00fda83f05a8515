// Package backend contains the common parts of the stand-ins for backend servers:
// limits on running requests during and after a cold start, restarts, fault
// injection, and counters by which experiments check the system from outside.
package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	defaultColdLimit          = 2
	defaultWarmLimit          = 16
	defaultColdGrace          = time.Second
	defaultDataCentreOutGrace = 3 * time.Second
	defaultLateDelay          = time.Second
	// coldSlowFactor multiplies the processing time during a cold start.
	coldSlowFactor = 3
)

// Errors of Simulator.Start.
var (
	// ErrDown means that the server has crashed.
	ErrDown = errors.New("backend server is down")
	// ErrOverLimit means that the limit of running requests is reached.
	ErrOverLimit = errors.New("backend server is over its limit")
	// ErrOverloadRestart means that the request exceeded the limit of a cold start
	// and made the server restart.
	ErrOverloadRestart = errors.New("backend server restarted: overloaded during its cold start")
)

// Config configures a Simulator.
type Config struct {
	// Name is the prefix of the incarnation strings.
	Name string
	// WarmUp is the duration of a cold start.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound the running requests during and after a cold
	// start.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time that the agent has to detect an unannounced cold start.
	// During this time a request over ColdLimit is refused; later it makes the
	// server restart.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time in which taking a data centre out must be in
	// force.
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
		c.DataCentreOutGrace = defaultDataCentreOutGrace
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Counters is the body of GET /counters, which experiments read.
type Counters struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	MaxRunning  int    `json:"max_running"`
	// Starts counts the requests that started to run.
	Starts int `json:"starts"`
	// OverLimit counts the requests that exceeded the limit, except those within
	// ColdGrace. OverloadRestarts counts those of them that made a cold server
	// restart.
	OverLimit        int `json:"over_limit"`
	OverloadRestarts int `json:"fell_over"`
	// OverloadRestartColdSeconds is the time from the start of the cold start to the
	// last overload restart.
	OverloadRestartColdSeconds float64 `json:"fell_over_after_seconds"`
	Restarts                   int     `json:"restarts"`
	// StartsAfterOut counts the starts later than DataCentreOutGrace after the data
	// centre was taken out. LastStartAfterOutSeconds is the time from taking it out
	// to the last start.
	StartsAfterOut           int     `json:"starts_after_out"`
	LastStartAfterOutSeconds float64 `json:"last_start_after_out_seconds"`
	// MaxRuns is the highest number of runs with the same Idempotency-Key.
	MaxRuns int `json:"max_runs"`
	// PartialWeights counts the runs with incomplete or corrupt weights.
	PartialWeights int `json:"partial_weights"`
}

// incarnation is the period between two restarts. ctx ends with it.
type incarnation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// Simulator simulates the limits, restarts and faults of one backend server: it
// admits, counts and aborts its requests. It is safe for concurrent use.
type Simulator struct {
	cfg       Config
	onRestart func()

	mu                 sync.Mutex
	incarnation        incarnation
	down               bool
	coldSince          time.Time
	unannouncedCold    bool
	dataCentreOutSince time.Time
	lastStart          time.Time
	slowFactor         float64
	lateDelay          time.Duration
	armedFaults        map[AnswerFault]int
	runs               *runCounter
	counters           Counters
}

// NewSimulator returns a simulator in a cold start. onRestart drops the state that
// a restart loses; it is called with the simulator locked.
func NewSimulator(cfg Config, onRestart func()) *Simulator {
	cfg.applyDefaults()
	s := &Simulator{cfg: cfg, onRestart: onRestart, slowFactor: 1, lateDelay: defaultLateDelay, armedFaults: make(map[AnswerFault]int), runs: newRunCounter()}
	s.beginIncarnation()
	return s
}

func (s *Simulator) beginIncarnation() {
	now := s.cfg.Now()
	s.incarnation.ctx, s.incarnation.cancel = context.WithCancel(context.Background())
	s.coldSince = now
	s.unannouncedCold = false
	s.counters.Incarnation = fmt.Sprintf("%s-%d-%d", s.cfg.Name, now.UnixNano(), s.counters.Restarts)
	s.counters.Running = 0
}

func (s *Simulator) restartLocked() {
	s.incarnation.cancel()
	s.counters.Restarts++
	s.beginIncarnation()
	s.onRestart()
}

func (s *Simulator) isWarm(now time.Time) bool { return now.Sub(s.coldSince) >= s.cfg.WarmUp }

// StartCold begins a cold start that the agent expects, such as after an
// activation.
func (s *Simulator) StartCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = s.cfg.Now()
	s.unannouncedCold = false
}

// Run is one admitted request.
type Run struct {
	simulator   *Simulator
	incarnation incarnation
	// Fault is the fault to inject into the answer.
	Fault AnswerFault
	// LateDelay is the delay of the answer if Fault is AnswerLate.
	LateDelay time.Duration
}

// Start admits or refuses one request. key identifies the request of the caller;
// see IdempotencyRunKey and PromptRunKey. ready, if not nil, is called in the same
// critical section; its error refuses the request. The caller must call Done on
// the run.
func (s *Simulator) Start(key string, ready func() error) (*Run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ErrDown
	}
	if ready != nil {
		if err := ready(); err != nil {
			return nil, err
		}
	}
	now := s.cfg.Now()
	if err := s.admit(now); err != nil {
		return nil, err
	}
	s.counters.Starts++
	s.counters.Running++
	s.counters.MaxRunning = max(s.counters.MaxRunning, s.counters.Running)
	s.lastStart = now
	s.countStartAfterOut(now)
	s.runs.record(key)
	return &Run{simulator: s, incarnation: s.incarnation, Fault: s.takeArmedFault(), LateDelay: s.lateDelay}, nil
}

func (s *Simulator) admit(now time.Time) error {
	if s.isWarm(now) {
		if s.counters.Running < s.cfg.WarmLimit {
			return nil
		}
		s.counters.OverLimit++
		return ErrOverLimit
	}
	if s.counters.Running < s.cfg.ColdLimit {
		return nil
	}
	if s.unannouncedCold && now.Sub(s.coldSince) < s.cfg.ColdGrace {
		return ErrOverLimit
	}
	s.counters.OverLimit++
	s.counters.OverloadRestarts++
	s.counters.OverloadRestartColdSeconds = now.Sub(s.coldSince).Seconds()
	s.restartLocked()
	return ErrOverloadRestart
}

// countStartAfterOut counts a start at now if the data centre was out by then.
func (s *Simulator) countStartAfterOut(now time.Time) {
	if s.dataCentreOutSince.IsZero() || now.Before(s.dataCentreOutSince) {
		return
	}
	lag := now.Sub(s.dataCentreOutSince)
	s.counters.LastStartAfterOutSeconds = max(s.counters.LastStartAfterOutSeconds, lag.Seconds())
	if lag > s.cfg.DataCentreOutGrace {
		s.counters.StartsAfterOut++
	}
}

func (s *Simulator) takeArmedFault() AnswerFault {
	for fault := AnswerIntact + 1; fault < answerFaultCount; fault++ {
		if s.armedFaults[fault] > 0 {
			s.armedFaults[fault]--
			return fault
		}
	}
	return AnswerIntact
}

// Done ends the run. It has no effect on the counters after a restart.
func (r *Run) Done() {
	r.simulator.mu.Lock()
	defer r.simulator.mu.Unlock()
	if r.incarnation.ctx.Err() == nil {
		r.simulator.counters.Running--
	}
}

// Sleep simulates the processing time d, which is longer during a cold start and
// with Faults.SlowFactor. It returns an error if the server restarts or ctx ends.
func (r *Run) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(r.simulator.scaleDuration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.incarnation.ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	case <-r.incarnation.ctx.Done():
		return ErrDown
	}
}

func (s *Simulator) scaleDuration(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.slowFactor
	if !s.isWarm(s.cfg.Now()) {
		factor *= coldSlowFactor
	}
	return time.Duration(float64(d) * factor)
}
