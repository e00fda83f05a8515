package agent

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	statePollTimeout = time.Second
	maxRecentWeights = 16
	// maxFailedPolls is the number of failed polls in a row after which the
	// backend server counts as not serving.
	maxFailedPolls = 2
)

// engineStatus is the outcome of the latest polls of the backend server's state.
type engineStatus struct {
	state       BackendState
	serving     bool
	failedPolls int
}

// pollEngineState polls the backend server's state until ctx ends. When the
// backend server has restarted, the admission limit returns to the cold start
// limit.
func (a *Agent) pollEngineState(ctx context.Context) error {
	ticker := time.NewTicker(a.config.StatePollInterval)
	defer ticker.Stop()
	for {
		a.readEngineState(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readEngineState polls the state once. Polls are serialized, so that an older
// state never replaces a newer one.
func (a *Agent) readEngineState(ctx context.Context) {
	a.engineReadMu.Lock()
	defer a.engineReadMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statePollTimeout)
	defer cancel()
	previous := a.engineStatus.Load()
	state, err := a.backend.readState(ctx)
	if err != nil {
		next := *previous
		next.failedPolls++
		next.serving = previous.serving && next.failedPolls < maxFailedPolls
		a.engineStatus.Store(&next)
		if previous.serving && !next.serving {
			a.log.main.WithError(err).Warn("Backend server does not answer state polls; refusing new requests.")
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
	a.recentWeights.add(state.Weights)
	a.engineStatus.Store(&engineStatus{state: state, serving: true})
	if state.Weights != previous.state.Weights || !previous.serving {
		a.reporter.ReportNow()
	}
}

// digestHistory holds the latest weights versions that this engine has used, at
// most maxRecentWeights. An engine activates a version only on an agent's fenced
// command and after verifying the complete version, so each of them was pinned by
// an accepted revision. It is safe for concurrent use.
type digestHistory struct {
	mu      sync.Mutex
	digests []core.Digest
}

func (s *digestHistory) add(digest core.Digest) {
	if digest.IsZero() || s.contains(digest) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests = append(s.digests, digest)
	s.digests = s.digests[max(0, len(s.digests)-maxRecentWeights):]
}

func (s *digestHistory) contains(digest core.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.digests {
		if known == digest {
			return true
		}
	}
	return false
}
