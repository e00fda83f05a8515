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

// errRestart ends a session whose engine lost its state. The version starts
// again from what the engine still holds.
var errRestart = errors.New("engine lost its state")

// counters are the totals of Usage.
type counters struct {
	received, sent, fromOrigin, fromStore, fromFar, wasted, messages atomic.Int64
}

func (c *counters) usage() TransferStats {
	return TransferStats{
		ReceivedBytes:    c.received.Load(),
		SentBytes:        c.sent.Load(),
		OriginBytes:      c.fromOrigin.Load(),
		WeightStoreBytes: c.fromStore.Load(),
		FarPeerBytes:     c.fromFar.Load(),
		DiscardedBytes:   c.wasted.Load(),
		ControlMessages:  c.messages.Load(),
	}
}

// hooks let tests break guarded paths.
type hooks struct {
	skipChunkCheck bool
	skipWholeCheck bool
	// step is called at the start of a stage, and with StageChunks and the
	// number of verified chunks after each of them.
	step func(stage Stage, chunks int)
}

func (h hooks) reached(stage Stage, chunks int) {
	if h.step != nil {
		h.step(stage, chunks)
	}
}

// Manager brings the target version into one engine and offers it to peers.
type Manager struct {
	config   Config
	counters counters
	hooks    hooks
	changed  chan struct{}

	mu      sync.Mutex
	target  core.Digest
	active  core.Digest
	current *session
}

// New returns a manager without a target. It registers its calls at the peer.
func New(config Config) (*Manager, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	m := &Manager{config: config, changed: make(chan struct{}, 1)}
	config.Peer.Handle(wire.KindChunk, m.serveChunk)
	config.Peer.Handle(wire.KindHave, m.serveHave)
	return m, nil
}

// SetTarget sets the version to bring in; zero means none. A running download
// of another version is cancelled, and the chunks that both share are kept.
func (m *Manager) SetTarget(root core.Digest) {
	m.mu.Lock()
	same := m.target == root
	m.target = root
	m.mu.Unlock()
	if same {
		return
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Status returns the present state.
func (m *Manager) Status() Status {
	m.mu.Lock()
	status := Status{Target: m.target, Active: m.active, Stage: StageIdle}
	current := m.current
	m.mu.Unlock()
	status.Transfer = m.counters.usage()
	if current != nil && current.root == status.Target {
		status.Stage, status.ChunksDone, status.ChunksTotal = current.progress()
	}
	return status
}

// Run works on the target until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.runTarget(ctx)
	}
	return nil
}

// runTarget works on one target until it is replaced.
func (m *Manager) runTarget(ctx context.Context) {
	m.mu.Lock()
	root := m.target
	m.mu.Unlock()
	running, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.bringIn(running, root)
	}()
	select {
	case <-ctx.Done():
	case <-m.changed:
	}
	cancel()
	<-done
}

// bringIn repeats sessions of one version until ctx ends.
func (m *Manager) bringIn(ctx context.Context, root core.Digest) {
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
		log.WithError(err).WithField("stage", current.stageNow()).Warn("Version step failed, trying again.")
		pause(ctx, m.config.RetryDelay)
	}
	m.setCurrent(nil)
}

func (m *Manager) setCurrent(current *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = current
}

func (m *Manager) lookup(root core.Digest) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil || m.current.root != root {
		return nil
	}
	return m.current
}

func (m *Manager) setActive(root core.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = root
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
