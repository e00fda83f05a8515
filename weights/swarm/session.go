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

// completeAnnounceFactor is the interval between reports to the tracker after the
// download is complete, in multiples of Config.AnnounceInterval.
const completeAnnounceFactor = 5

// session is one attempt to download and activate one version and to upload it
// to peers afterwards.
type session struct {
	manager   *Manager
	config    *Config
	root      core.Digest
	announcer *announcer
	random    *rand.Rand

	// ready is closed when the following fields, up to verified, are set and the
	// chunks that are already staged are verified.
	ready           chan struct{}
	encodedManifest []byte
	chunks          []weights.Chunk
	chunkIndex      map[core.Digest]int
	linkBudget      *linkBudget
	verified        *verifiedSet

	uploadSlots *uploadSlots
	// chunkLost receives a value when the engine no longer holds a verified chunk.
	chunkLost chan struct{}

	mu             sync.Mutex
	stage          Stage
	manifestLoaded bool
}

// newSession returns a session that keeps the manifest and the link budget of
// previous, if that session loaded the manifest. previous may be nil.
func newSession(m *Manager, root core.Digest, previous *session) *session {
	s := &session{
		manager:     m,
		config:      &m.config,
		root:        root,
		announcer:   newAnnouncer(m, root),
		random:      rand.New(rand.NewPCG(m.config.Seed, 2)),
		ready:       make(chan struct{}),
		uploadSlots: newUploadSlots(m.config.MaxUploads),
		chunkLost:   make(chan struct{}, 1),
	}
	if previous != nil && previous.manifestLoaded {
		s.encodedManifest = previous.encodedManifest
		s.linkBudget = previous.linkBudget
	}
	return s
}

// run takes the version through all stages and then offers it to peers until ctx
// ends or a step fails.
func (s *session) run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watchEngine(groupCtx) })
	group.Go(func() error { return s.runStages(groupCtx) })
	return group.Wait()
}

func (s *session) runStages(ctx context.Context) error {
	steps := []struct {
		stage Stage
		run   func(context.Context) error
	}{
		{StageManifest, s.loadManifest},
		{StageResume, s.resume},
		{StageChunks, s.download},
		{StageVerify, s.verify},
		{StageSlot, s.activate},
		{StageActive, s.announceComplete},
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
	s.manager.hooks.stageReached(stage, 0)
}

func (s *session) currentStage() Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

// progress returns the stage, the number of verified chunks and the number of all
// chunks. Both numbers are 0 before the manifest is loaded.
func (s *session) progress() (Stage, int, int) {
	s.mu.Lock()
	stage, manifestLoaded := s.stage, s.manifestLoaded
	s.mu.Unlock()
	if !manifestLoaded {
		return stage, 0, 0
	}
	return stage, s.verified.count(), len(s.chunks)
}

// setManifest decodes the manifest and sets the fields that depend on it. Chunks
// with the same digest are kept once.
func (s *session) setManifest(encoded []byte) error {
	manifest, err := weights.DecodeManifest(encoded, s.root)
	if err != nil {
		return err
	}
	s.encodedManifest = encoded
	s.chunkIndex = make(map[core.Digest]int, len(manifest.Chunks))
	copyBytes := int64(len(encoded))
	var largestChunkBytes int64
	for _, chunk := range manifest.Chunks {
		if _, duplicate := s.chunkIndex[chunk.Digest]; duplicate {
			continue
		}
		s.chunkIndex[chunk.Digest] = len(s.chunks)
		s.chunks = append(s.chunks, chunk)
		copyBytes += chunk.Size
		largestChunkBytes = max(largestChunkBytes, chunk.Size)
	}
	s.verified = newVerifiedSet(len(s.chunks))
	if s.linkBudget == nil {
		s.linkBudget = newLinkBudget(copyBytes, copyBytes, largestChunkBytes, s.config.LinkBudgetWindow, time.Now())
		s.linkBudget.recordDownload(int64(len(encoded)), true)
	}
	s.mu.Lock()
	s.manifestLoaded = true
	s.mu.Unlock()
	return nil
}

// resume stages the manifest and adds the chunks that the engine already has
// staged to verified, after checking the content of each.
func (s *session) resume(ctx context.Context) error {
	if err := s.config.Staging.PutManifest(ctx, s.root, s.encodedManifest); err != nil {
		return err
	}
	stagedDigests, err := s.config.Staging.ListChunks(ctx)
	if err != nil {
		return err
	}
	missingBytes := int64(0)
	for _, chunk := range s.chunks {
		missingBytes += chunk.Size
	}
	for _, digest := range stagedDigests {
		chunk, ok := s.chunkIndex[digest]
		if !ok || s.verified.has(chunk) {
			continue
		}
		content, err := s.config.Staging.GetChunk(ctx, digest)
		if err != nil || !s.matchesDigest(content, digest) {
			continue
		}
		missingBytes -= s.chunks[chunk].Size
		s.verified.add(chunk)
	}
	s.linkBudget.setMissingBytes(missingBytes)
	close(s.ready)
	return nil
}

func (s *session) matchesDigest(content []byte, digest core.Digest) bool {
	return s.manager.hooks.skipChunkCheck || core.DigestOf(content) == digest
}

// verify checks that every chunk is verified, which is required before the
// activation.
func (s *session) verify(context.Context) error {
	verifiedCount := s.verified.count()
	if s.manager.hooks.skipCompletenessCheck {
		return nil
	}
	if verifiedCount != len(s.chunks) {
		return core.NewFailure(core.CodeIncomplete, core.ExecutionNotRun, "%d of %d chunks are verified", verifiedCount, len(s.chunks))
	}
	s.linkBudget.markComplete(time.Now())
	return nil
}

// activate waits for an activation slot and makes the engine use the version. It
// does nothing if the engine already uses it.
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
	return s.config.EngineLease.Do(ctx, s.activateEngine)
}

// activateEngine activates the version in the engine and evicts the chunks of
// other versions.
func (s *session) activateEngine(ctx context.Context, fence core.FencingToken) error {
	verifiedCount := s.verified.count()
	if !invariant.Check(invariant.WholeWeights, verifiedCount == len(s.chunks),
		"activation of version %s with %d of %d chunks verified", s.root.Short(), verifiedCount, len(s.chunks)) {
		return core.NewFailure(core.CodeInternal, core.ExecutionNotRun, "version %s is incomplete and cannot be activated", s.root.Short())
	}
	if err := s.config.Staging.Activate(ctx, s.root, fence); err != nil {
		return err
	}
	s.manager.setActive(s.root)
	if err := s.config.Staging.Evict(ctx, []core.Digest{s.root}, fence); err != nil {
		s.config.Log.WithError(err).Warn("Evicting the chunks of old versions failed; the chunks stay staged.")
	}
	return nil
}

// announceComplete reports the complete version to the tracker until the session
// ends.
func (s *session) announceComplete(ctx context.Context) error {
	for {
		_, _ = s.announcer.announce(ctx, s.newTrackRequest(0))
		sleep(ctx, s.config.AnnounceInterval*completeAnnounceFactor)
		if ctx.Err() != nil {
			s.announceLeaving(ctx)
			return ctx.Err()
		}
	}
}

// announceLeaving reports to the tracker that this instance no longer offers the
// version.
func (s *session) announceLeaving(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.RetryDelay)
	defer cancel()
	request := s.newTrackRequest(0)
	request.Leaving = true
	_, _ = s.announcer.announce(leaveCtx, request)
}

// watchEngine polls the engine's state and returns an error if the engine
// restarted, lost a chunk or, after activation, uses another version.
func (s *session) watchEngine(ctx context.Context) error {
	ticker := time.NewTicker(s.config.StatePollInterval)
	defer ticker.Stop()
	var incarnation string
	for {
		state, err := s.config.Staging.State(ctx)
		if err == nil {
			s.manager.setActive(state.Weights)
			if incarnation != "" && state.Incarnation != incarnation {
				return fmt.Errorf("engine incarnation %q replaced %q: %w", state.Incarnation, incarnation, errSessionOutdated)
			}
			incarnation = state.Incarnation
			if s.currentStage() == StageActive && state.Weights != s.root {
				return fmt.Errorf("engine uses version %s instead of the target: %w", state.Weights.Short(), errSessionOutdated)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.chunkLost:
			return errSessionOutdated
		case <-ticker.C:
		}
	}
}

// signalChunkLost ends the session because the engine no longer holds a verified
// chunk.
func (s *session) signalChunkLost() {
	select {
	case s.chunkLost <- struct{}{}:
	default:
	}
}
