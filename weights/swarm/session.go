package swarm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/weights"
)

// announceIdleParts is how much rarer a whole instance reports to the tracker.
const announceIdleParts = 5

// session is one attempt at bringing in one version.
type session struct {
	manager *Manager
	config  *Config
	root    core.Digest
	tracker *announcer
	random  *rand.Rand

	// ready is closed when the fields below it are set.
	ready   chan struct{}
	encoded []byte
	chunks  []weights.Chunk
	index   map[core.Digest]int
	ledger  *ledger
	offers  *offers

	uploads *slots
	lost    chan struct{}

	mu     sync.Mutex
	stage  Stage
	loaded bool
}

func newSession(m *Manager, root core.Digest, previous *session) *session {
	s := &session{
		manager: m,
		config:  &m.config,
		root:    root,
		tracker: newAnnouncer(m, root),
		random:  rand.New(rand.NewPCG(m.config.Seed, 2)),
		ready:   make(chan struct{}),
		uploads: newSlots(m.config.UploadQueue),
		lost:    make(chan struct{}, 1),
	}
	if previous != nil && previous.loaded {
		s.encoded = previous.encoded
		s.ledger = previous.ledger
	}
	return s
}

// run takes the version through all stages and then keeps it offered. It ends
// with an error, or when ctx ends.
func (s *session) run(ctx context.Context) error {
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watchEngine(running) })
	group.Go(func() error { return s.steps(running) })
	return group.Wait()
}

func (s *session) steps(ctx context.Context) error {
	steps := []struct {
		stage Stage
		run   func(context.Context) error
	}{
		{StageManifest, s.loadManifest},
		{StageResume, s.resume},
		{StageChunks, s.download},
		{StageVerify, s.verify},
		{StageSlot, s.activate},
		{StageActive, s.stay},
	}
	for _, step := range steps {
		s.setStage(step.stage)
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) setStage(stage Stage) {
	s.mu.Lock()
	s.stage = stage
	s.mu.Unlock()
	s.manager.hooks.reached(stage, 0)
}

func (s *session) stageNow() Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

func (s *session) progress() (Stage, int, int) {
	s.mu.Lock()
	stage, loaded := s.stage, s.loaded
	s.mu.Unlock()
	if !loaded {
		return stage, 0, 0
	}
	return stage, s.offers.count(), len(s.chunks)
}

// adopt sets the manifest. Equal chunks of a version are one chunk here.
func (s *session) adopt(encoded []byte) error {
	manifest, err := weights.DecodeManifest(encoded, s.root)
	if err != nil {
		return err
	}
	s.encoded = encoded
	s.index = make(map[core.Digest]int, len(manifest.Chunks))
	size := int64(len(encoded))
	var largest int64
	for _, chunk := range manifest.Chunks {
		if _, known := s.index[chunk.Digest]; known {
			continue
		}
		s.index[chunk.Digest] = len(s.chunks)
		s.chunks = append(s.chunks, chunk)
		size += chunk.Size
		largest = max(largest, chunk.Size)
	}
	s.offers = newOffers(len(s.chunks))
	if s.ledger == nil {
		s.ledger = newLedger(size, size, largest, s.config.UploadWindow, time.Now())
		s.ledger.receive(int64(len(encoded)), true)
	}
	s.mu.Lock()
	s.loaded = true
	s.mu.Unlock()
	return nil
}

// resume stages the manifest and offers the chunks that the engine holds
// already, after checking the bytes of each.
func (s *session) resume(ctx context.Context) error {
	if err := s.config.Staging.PutManifest(ctx, s.root, s.encoded); err != nil {
		return err
	}
	held, err := s.config.Staging.ListChunks(ctx)
	if err != nil {
		return err
	}
	missing := int64(0)
	for _, chunk := range s.chunks {
		missing += chunk.Size
	}
	for _, digest := range held {
		chunk, ok := s.index[digest]
		if !ok || s.offers.has(chunk) {
			continue
		}
		content, err := s.config.Staging.GetChunk(ctx, digest)
		if err != nil || !s.matches(content, digest) {
			continue
		}
		missing -= s.chunks[chunk].Size
		s.offers.add(chunk)
	}
	s.ledger.setMissing(missing)
	close(s.ready)
	return nil
}

func (s *session) matches(content []byte, digest core.Digest) bool {
	return s.manager.hooks.skipChunkCheck || core.DigestOf(content) == digest
}

// verify checks that every chunk passed its check before the engine is told.
func (s *session) verify(context.Context) error {
	verified := s.offers.count()
	if s.manager.hooks.skipWholeCheck {
		return nil
	}
	if verified != len(s.chunks) {
		return core.NewFailure(core.CodeIncomplete, core.ExecutionNotRun, "%d of %d chunks are verified", verified, len(s.chunks))
	}
	s.ledger.whole(time.Now())
	return nil
}

// activate waits for a slot and orders the engine to use the version.
func (s *session) activate(ctx context.Context) error {
	state, err := s.config.Staging.State(ctx)
	if err != nil {
		return err
	}
	s.manager.setActive(state.Weights)
	if state.Weights == s.root {
		return nil
	}
	release, err := s.config.ActivationSlots.Acquire(ctx, s.root)
	if err != nil {
		return err
	}
	defer release()
	s.setStage(StageActivating)
	return s.config.EngineLease.Do(ctx, s.orderActivation)
}

// orderActivation tells the engine to use the version and to drop others.
func (s *session) orderActivation(ctx context.Context, fence core.FencingToken) error {
	verified := s.offers.count()
	if !invariant.Check(invariant.WholeWeights, verified == len(s.chunks),
		"activation of %s with %d of %d chunks verified", s.root.Short(), verified, len(s.chunks)) {
		return core.NewFailure(core.CodeInternal, core.ExecutionNotRun, "version %s is not whole", s.root.Short())
	}
	if err := s.config.Staging.Activate(ctx, s.root, fence); err != nil {
		return err
	}
	s.manager.setActive(s.root)
	if err := s.config.Staging.Evict(ctx, []core.Digest{s.root}, fence); err != nil {
		s.config.Log.WithError(err).Warn("Eviction of old chunks failed.")
	}
	return nil
}

// stay reports the whole version to the tracker until the session ends.
func (s *session) stay(ctx context.Context) error {
	for {
		_, _ = s.tracker.announce(ctx, s.report(0))
		pause(ctx, s.config.AnnounceInterval*announceIdleParts)
		if ctx.Err() != nil {
			s.leave(ctx)
			return ctx.Err()
		}
	}
}

func (s *session) leave(ctx context.Context) {
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.RetryDelay)
	defer cancel()
	report := s.report(0)
	report.Leaving = true
	_, _ = s.tracker.announce(leaving, report)
}

// watchEngine ends the session when the engine restarted, lost a chunk or left
// the active version.
func (s *session) watchEngine(ctx context.Context) error {
	ticker := time.NewTicker(s.config.StatePollInterval)
	defer ticker.Stop()
	var incarnation string
	for {
		state, err := s.config.Staging.State(ctx)
		if err == nil {
			s.manager.setActive(state.Weights)
			if incarnation != "" && state.Incarnation != incarnation {
				return fmt.Errorf("incarnation %q after %q: %w", state.Incarnation, incarnation, errRestart)
			}
			incarnation = state.Incarnation
			if s.stageNow() == StageActive && state.Weights != s.root {
				return fmt.Errorf("engine uses %s: %w", state.Weights.Short(), errRestart)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.lost:
			return errRestart
		case <-ticker.C:
		}
	}
}

// reportLost ends the session because the engine no longer holds a chunk.
func (s *session) reportLost() {
	select {
	case s.lost <- struct{}{}:
	default:
	}
}
