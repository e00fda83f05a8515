package backend

import (
	"strings"
	"time"
)

// Inject applies the faults that all kinds of backend servers have.
func (s *Simulator) Inject(faults Faults) error {
	outSince, err := faults.parseDataCentreOutSince()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armedFaults[AnswerLate] += faults.LateAnswers
	s.armedFaults[AnswerCrossed] += faults.CrossedAnswers
	s.armedFaults[AnswerDoubled] += faults.DoubledAnswers
	s.armedFaults[AnswerCut] += faults.CutAnswers
	s.armedFaults[AnswerUnframed] += faults.UnframedAnswers
	s.armedFaults[AnswerBrokenEvent] += faults.BrokenEvents
	s.armedFaults[AnswerEndlessHead] += faults.EndlessHeads
	s.armedFaults[AnswerEndlessBody] += faults.EndlessBodies
	if faults.LateMillis > 0 {
		s.lateDelay = time.Duration(faults.LateMillis) * time.Millisecond
	}
	if faults.SlowFactor != nil {
		s.slowFactor = *faults.SlowFactor
	}
	if faults.DataCentreOutSince != nil {
		s.dataCentreOutSince = outSince
		// The experiment injects this only after the data centre was taken out, so
		// the last start may already have come after that.
		s.countStartAfterOut(s.lastStart)
	}
	s.injectLifecycle(faults)
	return nil
}

// injectLifecycle applies the faults that end or restart the server or begin a cold
// start.
func (s *Simulator) injectLifecycle(faults Faults) {
	if faults.Crash {
		s.incarnation.cancel()
		s.counters.Running = 0
		s.down = true
	}
	if faults.RestartEmpty {
		s.down = false
		s.restartLocked()
	}
	if faults.TurnCold {
		s.coldSince = s.cfg.Now()
		s.unannouncedCold = true
	}
}

// Down reports whether the server has crashed.
func (s *Simulator) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Counters returns a copy of the counters.
func (s *Simulator) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters
	counters.MaxRuns = s.runs.maxKeyedRuns
	return counters
}

// CountPartialWeights counts a run with incomplete or corrupt weights.
func (s *Simulator) CountPartialWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.PartialWeights++
}

// State is the response body of GET /v1/state.
type State struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights"`
	Fence       uint64 `json:"fence"`
	Running     int    `json:"running"`
	Warm        bool   `json:"warm"`
}

// State returns the state without Weights and Fence, which only engines have.
func (s *Simulator) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Incarnation: s.counters.Incarnation,
		Running:     s.counters.Running,
		Warm:        s.isWarm(s.cfg.Now()),
	}
}

// KeyedRunCounts returns how often each request with an Idempotency-Key started, by
// IdempotencyRunKey.
func (s *Simulator) KeyedRunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyed := make(map[string]int)
	for key, count := range s.runs.counts {
		if strings.HasPrefix(key, idempotencyRunPrefix) {
			keyed[key] = count
		}
	}
	return keyed
}

// RunCount returns how often the request with this key started.
func (s *Simulator) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.counts[key]
}
