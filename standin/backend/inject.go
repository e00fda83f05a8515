package backend

import (
	"strings"
	"time"
)

// Inject applies the fault switches that all backend servers share.
func (g *Gate) Inject(faults Faults) error {
	since, err := faults.outSince()
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed[AnswerLate] += faults.LateAnswers
	g.armed[AnswerCrossed] += faults.CrossedAnswers
	g.armed[AnswerDoubled] += faults.DoubledAnswers
	g.armed[AnswerCut] += faults.CutAnswers
	if faults.LateMillis > 0 {
		g.late = time.Duration(faults.LateMillis) * time.Millisecond
	}
	if faults.SlowFactor != nil {
		g.slow = *faults.SlowFactor
	}
	if faults.DataCentreOutSince != nil {
		g.outSince = since
		// The mark comes a little later than what it marks.
		g.noteOut(g.lastStart)
	}
	g.injectLife(faults)
	return nil
}

func (g *Gate) injectLife(faults Faults) {
	if faults.Crash {
		g.life.cancel()
		g.counters.Running = 0
		g.down = true
	}
	if faults.RestartEmpty {
		g.down = false
		g.restartLocked()
	}
	if faults.TurnCold {
		g.coldSince = g.cfg.Now()
		g.unannounced = true
	}
}

// Down reports whether the server has crashed.
func (g *Gate) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// Counters returns a copy of the counters.
func (g *Gate) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	counters := g.counters
	counters.MaxRuns = g.runs.maxKeyed
	return counters
}

// CountPartialWeights records a run on weights that were not whole.
func (g *Gate) CountPartialWeights() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.PartialWeights++
}

// State is the body of GET /v1/state.
type State struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights"`
	Fence       uint64 `json:"fence"`
	Running     int    `json:"running"`
	Warm        bool   `json:"warm"`
}

// State returns the parts of the state that all backend servers share.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Incarnation: g.counters.Incarnation,
		Running:     g.counters.Running,
		Warm:        g.warm(g.cfg.Now()),
	}
}

// KeyedRunCounts returns how often each request with an Idempotency-Key started.
func (g *Gate) KeyedRunCounts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	keyed := make(map[string]int)
	for key, count := range g.runs.counts {
		if strings.HasPrefix(key, keyedPrefix) {
			keyed[key] = count
		}
	}
	return keyed
}

// RunCount returns how often the request with this key started.
func (g *Gate) RunCount(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs.counts[key]
}
