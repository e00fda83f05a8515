// Package engine is a stand-in for an inference engine. It stages and activates
// weights, generates text that is a function of the request and the weights, and
// injects the faults of real engines.
package engine

import (
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/weights"
)

// Config configures a Server.
type Config struct {
	// Name is the prefix of the incarnation strings; "" means "engine".
	Name string
	// TokenDelay is the time between two tokens of a warm engine.
	TokenDelay time.Duration
	// WarmUp is the duration of a cold start, which follows each start and
	// activation.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound the running requests during and after a cold
	// start. An engine that gets more requests during a cold start restarts with
	// nothing staged.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time that the agent has to detect an unannounced cold start.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time in which taking a data centre out must be in
	// force.
	DataCentreOutGrace time.Duration
	// CheckFence makes the engine reject commands with stale fencing tokens.
	CheckFence bool
	// SharedChunks shares staged bytes with other engines; nil shares none.
	SharedChunks *SharedChunks
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.Name == "" {
		c.Name = "engine"
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// activeVersion is the version of the weights in use. Running requests continue
// with the version that they started with.
type activeVersion struct {
	root     core.Digest
	complete bool
}

// Server is one inference engine. It implements http.Handler.
type Server struct {
	cfg       Config
	simulator *backend.Simulator
	handler   http.Handler

	mu             sync.Mutex
	staging        *staging
	active         activeVersion
	fence          core.FencingToken
	checkFence     bool
	skipVerify     bool
	previousAnswer backend.Answer
}

// New returns an engine with nothing staged.
func New(cfg Config) *Server {
	cfg.applyDefaults()
	s := &Server{cfg: cfg, staging: newStaging(cfg.SharedChunks), checkFence: cfg.CheckFence}
	s.simulator = backend.NewSimulator(backend.Config{
		Name:               cfg.Name,
		WarmUp:             cfg.WarmUp,
		ColdLimit:          cfg.ColdLimit,
		WarmLimit:          cfg.WarmLimit,
		ColdGrace:          cfg.ColdGrace,
		DataCentreOutGrace: cfg.DataCentreOutGrace,
		Now:                cfg.Now,
	}, s.reset)
	s.handler = s.simulator.AbortWhenDown(s.routes())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counters returns a copy of the engine's counters.
func (s *Server) Counters() backend.Counters { return s.simulator.Counters() }

// RunCount returns how often the request with this key started; see
// backend.IdempotencyRunKey and backend.PromptRunKey.
func (s *Server) RunCount(key string) int { return s.simulator.RunCount(key) }

// ActiveRoot returns the root digest of the weights in use, or zero.
func (s *Server) ActiveRoot() core.Digest { return s.activeWeights().root }

// Close releases the staged bytes.
func (s *Server) Close() { s.reset() }

// reset drops the state that a restart loses.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staging.clear()
	s.active = activeVersion{}
	s.fence = 0
}

// Inject applies the faults.
func (s *Server) Inject(faults backend.Faults) error {
	if err := s.simulator.Inject(faults); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.IgnoreFence != nil {
		s.checkFence = s.cfg.CheckFence && !*faults.IgnoreFence
	}
	if faults.SkipVerify != nil {
		s.skipVerify = *faults.SkipVerify
	}
	s.staging.corrupt(faults.CorruptChunks)
	return nil
}

// activate makes a staged version the active one. It hashes the staged bytes
// without holding the lock and drops invalid chunks.
func (s *Server) activate(root core.Digest, fence core.FencingToken) error {
	manifest, staged, err := s.beginActivation(root, fence)
	if err != nil {
		return err
	}
	invalid := invalidChunks(manifest, staged)
	changed, err := s.endActivation(root, fence, invalid)
	if changed {
		s.simulator.StartCold()
	}
	return err
}

func (s *Server) beginActivation(root core.Digest, fence core.FencingToken) (weights.Manifest, map[core.Digest][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFencingToken(fence); err != nil {
		return weights.Manifest{}, nil, err
	}
	manifest, found := s.staging.manifests[root]
	if !found {
		return weights.Manifest{}, nil, errNotStaged
	}
	staged := make(map[core.Digest][]byte, len(manifest.Chunks))
	for _, chunk := range manifest.Chunks {
		if bytes, found := s.staging.chunks[chunk.Digest]; found {
			staged[chunk.Digest] = bytes
		}
	}
	return manifest, staged, nil
}

// endActivation reports whether the active version changed. A restart may have
// dropped the manifest during the hashing.
func (s *Server) endActivation(root core.Digest, fence core.FencingToken, invalid []core.Digest) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFencingToken(fence); err != nil {
		return false, err
	}
	if _, found := s.staging.manifests[root]; !found {
		return false, errNotStaged
	}
	if len(invalid) > 0 && !s.skipVerify {
		for _, digest := range invalid {
			s.staging.drop(digest)
		}
		return false, errNotStaged
	}
	changed := s.active.root != root
	s.active = activeVersion{root: root, complete: len(invalid) == 0}
	return changed, nil
}

// checkFencingToken rejects commands with stale tokens and records the highest
// token.
func (s *Server) checkFencingToken(fence core.FencingToken) error {
	if s.checkFence && fence < s.fence {
		return errStaleFence
	}
	s.fence = max(s.fence, fence)
	return nil
}
