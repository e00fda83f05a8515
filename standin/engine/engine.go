// Package engine is a stand-in for a model engine. It stages and activates
// weights, generates text that is a function of the request and the weights,
// and has switches for the faults of real engines.
package engine

import (
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/weights"
)

// Config sets up a Server.
type Config struct {
	// Name starts the incarnation strings; "" means "engine".
	Name string
	// TokenDelay is the time between two tokens of a warm engine.
	TokenDelay time.Duration
	// WarmUp is the length of a cold start, after a start and an activation.
	WarmUp time.Duration
	// ColdLimit and WarmLimit bound running requests. An engine in cold start
	// that gets more falls over: it restarts with nothing staged.
	ColdLimit int
	WarmLimit int
	// ColdGrace is the time to notice an unannounced cold start.
	ColdGrace time.Duration
	// DataCentreOutGrace is the time for taking a data centre out to be in force.
	DataCentreOutGrace time.Duration
	// CheckFence makes the engine refuse orders with stale fencing tokens.
	CheckFence bool
	// SharedChunks shares staged bytes between engines; nil keeps them apart.
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

// version is the weights in use. Running requests keep theirs.
type version struct {
	root  core.Digest
	whole bool
}

// Server is one model engine. It implements http.Handler.
type Server struct {
	cfg     Config
	gate    *backend.Gate
	handler http.Handler

	mu         sync.Mutex
	staging    *staging
	active     version
	fence      core.FencingToken
	checkFence bool
	skipVerify bool
	previous   backend.Answer
}

// New returns an engine with nothing staged.
func New(cfg Config) *Server {
	cfg.applyDefaults()
	s := &Server{cfg: cfg, staging: newStaging(cfg.SharedChunks), checkFence: cfg.CheckFence}
	s.gate = backend.NewGate(backend.Config{
		Name:               cfg.Name,
		WarmUp:             cfg.WarmUp,
		ColdLimit:          cfg.ColdLimit,
		WarmLimit:          cfg.WarmLimit,
		ColdGrace:          cfg.ColdGrace,
		DataCentreOutGrace: cfg.DataCentreOutGrace,
		Now:                cfg.Now,
	}, s.forget)
	s.handler = s.gate.AbortWhenDown(s.routes())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counters returns what the engine counted.
func (s *Server) Counters() backend.Counters { return s.gate.Counters() }

// RunCount returns how often the request with this key started; see
// backend.KeyedRun and backend.PromptRun.
func (s *Server) RunCount(key string) int { return s.gate.RunCount(key) }

// ActiveRoot returns the root digest in use, or zero.
func (s *Server) ActiveRoot() core.Digest { return s.inUse().root }

// Close releases the staged bytes.
func (s *Server) Close() { s.forget() }

// forget drops what a restart loses.
func (s *Server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staging.clear()
	s.active = version{}
	s.fence = 0
}

// Inject applies fault switches.
func (s *Server) Inject(faults backend.Faults) error {
	if err := s.gate.Inject(faults); err != nil {
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

// activate puts a staged version in use. It hashes the staged bytes without
// holding the lock; chunks found wrong are dropped.
func (s *Server) activate(root core.Digest, fence core.FencingToken) error {
	manifest, staged, err := s.beginActivation(root, fence)
	if err != nil {
		return err
	}
	wrong := wrongChunks(manifest, staged)
	changed, err := s.endActivation(root, fence, wrong)
	if changed {
		s.gate.Cool()
	}
	return err
}

func (s *Server) beginActivation(root core.Digest, fence core.FencingToken) (weights.Manifest, map[core.Digest][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOrder(fence); err != nil {
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

// endActivation reports whether other weights came into use. It runs after the
// hashing, in which a restart may have dropped the manifest.
func (s *Server) endActivation(root core.Digest, fence core.FencingToken, wrong []core.Digest) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOrder(fence); err != nil {
		return false, err
	}
	if _, found := s.staging.manifests[root]; !found {
		return false, errNotStaged
	}
	if len(wrong) > 0 && !s.skipVerify {
		for _, digest := range wrong {
			s.staging.drop(digest)
		}
		return false, errNotStaged
	}
	changed := s.active.root != root
	s.active = version{root: root, whole: len(wrong) == 0}
	return changed, nil
}

// checkOrder refuses stale orders and remembers the highest token.
func (s *Server) checkOrder(fence core.FencingToken) error {
	if s.checkFence && fence < s.fence {
		return errStaleFence
	}
	s.fence = max(s.fence, fence)
	return nil
}
