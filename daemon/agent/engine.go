package agent

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	statePollTimeout = time.Second
	maxSeenWeights   = 16
	// serveMissed is the number of failed readings after which the backend
	// server counts as not serving.
	serveMissed = 2
)

// engineView is the last reading of the backend server's state.
type engineView struct {
	state   BackendState
	serving bool
	missed  int
}

// pollEngine reads the backend server's state until ctx ends. A new
// incarnation returns the limit to cold start.
func (a *Agent) pollEngine(ctx context.Context) error {
	ticker := time.NewTicker(a.config.StatePollInterval)
	defer ticker.Stop()
	for {
		a.readEngine(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readEngine reads the state once. Readings follow each other, so that an older
// one never replaces a newer one.
func (a *Agent) readEngine(ctx context.Context) {
	a.reading.Lock()
	defer a.reading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statePollTimeout)
	defer cancel()
	previous := a.engine.Load()
	state, err := a.backend.state(ctx)
	if err != nil {
		next := *previous
		next.missed++
		next.serving = previous.serving && next.missed < serveMissed
		a.engine.Store(&next)
		if previous.serving && !next.serving {
			a.log.main.WithError(err).Warn("Backend server does not answer.")
			a.reporter.ReportNow()
		}
		return
	}
	if previous.state.Incarnation != "" && previous.state.Incarnation != state.Incarnation {
		a.log.main.WithField("incarnation", state.Incarnation).Warn("Backend server restarted.")
		a.gate.EngineRestarted()
	}
	if previous.state.Warm && !state.Warm {
		a.gate.EngineRestarted()
	}
	a.seen.add(state.Weights)
	a.engine.Store(&engineView{state: state, serving: true})
	if state.Weights != previous.state.Weights || !previous.serving {
		a.reporter.ReportNow()
	}
}

// seenWeights remembers the latest versions that this engine has carried. An
// engine carries a version only after an agent's fenced order and its own check
// of the whole version, so each one was pinned by an accepted revision.
type seenWeights struct {
	mu   sync.Mutex
	list []core.Digest
}

func (s *seenWeights) add(digest core.Digest) {
	if digest.IsZero() || s.has(digest) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, digest)
	s.list = s.list[max(0, len(s.list)-maxSeenWeights):]
}

func (s *seenWeights) has(digest core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.list {
		if known == digest {
			return true
		}
	}
	return false
}
