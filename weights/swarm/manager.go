package swarm

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// errSessionOutdated ends a session whose engine restarted, lost a chunk or no
// longer uses the version, and the update streams of a session that was replaced.
// The next session resumes from the chunks that the engine still has staged.
var errSessionOutdated = errors.New("session no longer matches the state of the engine or the target version")

// counters are the running totals behind TransferStats.
type counters struct {
	receivedBytes, sentBytes, originBytes, weightStoreBytes, farPeerBytes, discardedBytes, controlMessages atomic.Int64
}

func (c *counters) transferStats() TransferStats {
	return TransferStats{
		ReceivedBytes:    c.receivedBytes.Load(),
		SentBytes:        c.sentBytes.Load(),
		OriginBytes:      c.originBytes.Load(),
		WeightStoreBytes: c.weightStoreBytes.Load(),
		FarPeerBytes:     c.farPeerBytes.Load(),
		DiscardedBytes:   c.discardedBytes.Load(),
		ControlMessages:  c.controlMessages.Load(),
	}
}

// testHooks let tests disable checks and observe progress.
type testHooks struct {
	skipChunkCheck        bool
	skipCompletenessCheck bool
	// onStage is called at the start of each stage with 0 chunks, and with
	// StageChunks and the number of verified chunks after each staged chunk.
	onStage func(stage Stage, chunks int)
}

func (h testHooks) stageReached(stage Stage, chunks int) {
	if h.onStage != nil {
		h.onStage(stage, chunks)
	}
}

// Manager downloads the target version into one engine, activates it and uploads
// it to peers. It is safe for concurrent use.
type Manager struct {
	config        Config
	counters      counters
	hooks         testHooks
	targetChanged chan struct{}

	mu             sync.Mutex
	target         core.Digest
	active         core.Digest
	currentSession *session
}

// New returns a manager without a target. It registers handlers for KindChunk and
// KindHave calls at config.Peer.
func New(config Config) (*Manager, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	m := &Manager{config: config, targetChanged: make(chan struct{}, 1)}
	config.Peer.Handle(wire.KindChunk, m.serveChunk)
	config.Peer.Handle(wire.KindHave, m.serveHaveUpdates)
	return m, nil
}

// SetTarget sets the version to download and activate; the zero digest means
// none. A running download of another version is cancelled, but its staged chunks
// are kept and reused if both versions contain them.
func (m *Manager) SetTarget(root core.Digest) {
	m.mu.Lock()
	unchanged := m.target == root
	m.target = root
	m.mu.Unlock()
	if unchanged {
		return
	}
	select {
	case m.targetChanged <- struct{}{}:
	default:
	}
}

// Status returns the current state.
func (m *Manager) Status() Status {
	m.mu.Lock()
	status := Status{Target: m.target, Active: m.active, Stage: StageIdle}
	current := m.currentSession
	m.mu.Unlock()
	status.Transfer = m.counters.transferStats()
	if current != nil && current.root == status.Target {
		status.Stage, status.ChunksDone, status.ChunksTotal = current.progress()
	}
	return status
}

// Run downloads, activates and uploads the target until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.runTarget(ctx)
	}
	return nil
}

// runTarget runs the current target until the target changes or ctx ends.
func (m *Manager) runTarget(ctx context.Context) {
	m.mu.Lock()
	root := m.target
	m.mu.Unlock()
	targetCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.runSessions(targetCtx, root)
	}()
	select {
	case <-ctx.Done():
	case <-m.targetChanged:
	}
	cancel()
	<-done
}

// runSessions runs sessions of one version, each after the previous one failed,
// until ctx ends. For the zero digest it only waits.
func (m *Manager) runSessions(ctx context.Context, root core.Digest) {
	log := m.config.Log.WithField("version", root.Short())
	var previous *session
	for ctx.Err() == nil {
		if root.IsZero() {
			<-ctx.Done()
			return
		}
		current := newSession(m, root, previous)
		m.setCurrent(current)
		err := current.run(ctx)
		previous = current
		if ctx.Err() != nil {
			break
		}
		log.WithError(err).WithField("stage", current.currentStage()).Warn("Session of the version failed; starting a new one after the retry delay.")
		sleep(ctx, m.config.RetryDelay)
	}
	m.setCurrent(nil)
}

func (m *Manager) setCurrent(current *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentSession = current
}

// sessionFor returns the current session if it is of version root, otherwise nil.
func (m *Manager) sessionFor(root core.Digest) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.currentSession == nil || m.currentSession.root != root {
		return nil
	}
	return m.currentSession
}

func (m *Manager) setActive(root core.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = root
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
