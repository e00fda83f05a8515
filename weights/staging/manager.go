package staging

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// lookPeriod is how often the agent looks for a newer version and at its
	// engine, which may have restarted empty.
	lookPeriod = 250 * time.Millisecond
	// retryPause is the pause after a step that failed.
	retryPause = 200 * time.Millisecond
	// engineTimeout bounds a call to the engine beside the agent.
	engineTimeout = 2 * time.Second
)

// Engine is the engine beside the agent.
type Engine interface {
	Report(ctx context.Context) (worker.Report, error)
	LoadAfterRunning(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, orders int64) (worker.OrderResult, error)
	Stage(ctx context.Context, model fleet.Model, piece int, content []byte) error
	Staged(ctx context.Context, model fleet.Model, piece int) ([]byte, error)
}

// Origin is the origin of weights.
type Origin interface {
	Manifest(ctx context.Context, model fleet.Model, version fleet.WeightsVersion) ([][32]byte, error)
	Piece(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, piece int) ([]byte, error)
}

// Peers are the other agents.
type Peers interface {
	Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error)
	// AwaitPiece returns when the peer has the piece, or an error with
	// CodeUnknownEntity when it does not have it soon.
	AwaitPiece(ctx context.Context, peer Agent, key VersionKey, piece int) error
	// Piece returns a piece and how long its bytes took, without the wait for
	// the sender's turn.
	Piece(ctx context.Context, peer Agent, key VersionKey, piece int) ([]byte, time.Duration, error)
}

// TargetVersion is a version that the engine must have.
type TargetVersion struct {
	VersionKey
	// Pieces is how many pieces the version has.
	Pieces int
	// RequestedAt is when the version was named; zero means long ago.
	RequestedAt time.Time
	// InForceWithin is the time from Since in which it must be in force.
	InForceWithin time.Duration
	// Origin is where the version comes from, Home its region.
	Origin       Origin
	OriginRegion core.Region
}

// Config holds the parts of a Manager.
type Config struct {
	Self   Agent
	Engine Engine
	Peers  Peers
	// TargetVersions returns the version of each model that the engine must have.
	TargetVersions func() []TargetVersion
	// LinkBytesPerSecond is what the instance's link carries in a second, each way; 0
	// means that it does not bind.
	LinkBytesPerSecond float64
	// AnnouncePause tells the entries that the engine stops taking requests at a
	// time from now, or that it has loaded the version and takes them again.
	AnnouncePause func(fleet.PauseNotice)
	// ListAgents returns the agents of the service.
	ListAgents func(ctx context.Context) []Agent
	Log        *logrus.Entry
}

// Manager keeps the engine beside one agent on the newest versions.
type Manager struct {
	config   Config
	uplink   *uplink
	downlink *downlink
	// stageMu guards what lies staged beside the engine.
	stageMu sync.Mutex

	mu   sync.Mutex
	held map[VersionKey]*pieces
	jobs map[VersionKey]*job
	// plans holds the plan by which each version is brought.
	plans map[VersionKey]FetchPlan
	// newest is the newest wanted version of each model.
	newest map[fleet.Model]fleet.WeightsVersion
	// skipped holds the versions that gave way to a newer one, and when their
	// load should have begun.
	skipped map[VersionKey]time.Time
	// loading has one place: the engine takes one order at a time.
	loading chan struct{}
}

// job is the work on one wanted version.
type job struct {
	wanted TargetVersion
	cancel context.CancelFunc
	// asked has an item when another agent asked for a version that is loaded
	// here and whose pieces are not held.
	asked chan struct{}
}

// requestPieces has the job hold the version's pieces for other agents.
func (j *job) requestPieces() {
	select {
	case j.asked <- struct{}{}:
	default:
	}
}

// New returns a Manager that holds nothing.
func New(config Config) *Manager {
	return &Manager{config: config, uplink: newUplink(config.LinkBytesPerSecond), downlink: newDownlink(), held: map[VersionKey]*pieces{}, jobs: map[VersionKey]*job{}, plans: map[VersionKey]FetchPlan{},
		newest: map[fleet.Model]fleet.WeightsVersion{}, skipped: map[VersionKey]time.Time{}, loading: make(chan struct{}, 1)}
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		for _, wanted := range m.config.TargetVersions() {
			m.follow(ctx, &wait, wanted)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// follow starts the work on a version. The work on an older one that has most
// of its pieces goes on: its own time may end before the newer one is here.
func (m *Manager) follow(ctx context.Context, wait *sync.WaitGroup, wanted TargetVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest[wanted.Model] >= wanted.Version {
		return
	}
	m.newest[wanted.Model] = wanted.Version
	for key, older := range m.jobs {
		if key.Model == wanted.Model && !m.isMostlyHere(key) {
			older.cancel()
		}
	}
	running, cancel := context.WithCancel(ctx)
	next := &job{wanted: wanted, cancel: cancel, asked: make(chan struct{}, 1)}
	m.jobs[wanted.VersionKey] = next
	wait.Go(func() {
		defer m.forget(next)
		m.keep(running, wanted, next)
	})
}

// isMostlyHere reports whether at least half of a version's pieces are here.
// The caller holds the lock.
func (m *Manager) isMostlyHere(key VersionKey) bool {
	held := m.held[key]
	return held != nil && 2*held.left() <= len(held.digests)
}

func (m *Manager) forget(j *job) {
	j.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.jobs, j.wanted.VersionKey)
	delete(m.plans, j.wanted.VersionKey)
}

// isNewest reports whether no newer version of the model is wanted.
func (m *Manager) isNewest(key VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest[key.Model] == key.Version
}

// keep brings a version into the engine, and again whenever the engine has
// lost it. A version that is not the newest ends once the engine has it.
func (m *Manager) keep(ctx context.Context, wanted TargetVersion, j *job) {
	log := m.config.Log.WithFields(logrus.Fields{"model": wanted.Model, "version": wanted.Version})
	var last string
	for ctx.Err() == nil {
		report, err := m.report(ctx)
		switch {
		case err != nil:
			m.logOnce(log, &last, "Engine does not report.", err)
			pause.For(ctx, retryPause)
		case report.Loaded[wanted.Model] >= wanted.Version:
			last = ""
			if !m.isNewest(wanted.VersionKey) {
				return
			}
			m.idle(ctx, log, wanted, j)
		default:
			// Fetching goes on while the engine still takes an older version.
			log.WithField("report", report.Raw).Info("Engine needs the version.")
			err := m.bring(ctx, log, wanted, report)
			switch {
			case errors.Is(err, errSuperseded):
				pause.For(ctx, lookPeriod)
			case err != nil && ctx.Err() == nil:
				log.WithError(err).Warn("Version not loaded yet.")
				pause.For(ctx, retryPause)
			}
		}
	}
}

// idle waits for the next look at an engine that has the version. Pieces that
// another agent asks for are read from where they lie beside the engine.
func (m *Manager) idle(ctx context.Context, log *logrus.Entry, wanted TargetVersion, j *job) {
	timer := time.NewTimer(2 * lookPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-j.asked:
		if m.holds(wanted.VersionKey) != nil {
			return
		}
		fetch := newFetcher(m, log, wanted, NewFetchPlan(m.config.Self, wanted.OriginRegion, m.config.ListAgents(ctx)))
		if _, err := fetch.pieces(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Warn("Pieces not held for other agents.")
			return
		}
		log.WithField("from", fetch.counts()).Info("Pieces are held for other agents.")
	}
}

// logOnce logs a failure that repeats only when its text changes.
func (m *Manager) logOnce(log *logrus.Entry, last *string, text string, err error) {
	if *last != err.Error() {
		*last = err.Error()
		log.WithError(err).Warn(text)
	}
}

func (m *Manager) report(ctx context.Context) (worker.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return m.config.Engine.Report(bounded)
}

// errSuperseded says that a newer version is loaded in place of this one.
var errSuperseded = errors.New("a newer version is loaded in its place")

// bring fetches, stages and loads a version once.
func (m *Manager) bring(ctx context.Context, log *logrus.Entry, wanted TargetVersion, report worker.Report) error {
	began := time.Now()
	agents := m.config.ListAgents(ctx)
	plan := NewFetchPlan(m.config.Self, wanted.OriginRegion, agents)
	m.keepPlan(wanted.VersionKey, plan)
	m.downlink.widen(plan.local())
	fetch := newFetcher(m, log, wanted, plan)
	held, err := fetch.pieces(ctx)
	if err != nil {
		return err
	}
	log.WithFields(logrus.Fields{
		"ms": time.Since(began).Milliseconds(), "agents": len(agents), "from": fetch.counts(),
	}).Info("All pieces are here.")
	if err := m.awaitTurn(ctx, wanted, m.turn(wanted, plan, report)); err != nil {
		return err
	}
	select {
	case m.loading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.loading }()
	return m.load(ctx, log, wanted, held)
}

func (m *Manager) keepPlan(key VersionKey, plan FetchPlan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans[key] = plan
}

// declines reports whether another agent should bring a piece into the region
// in this one's place, whose link is narrow. The one that takes its place does
// not decline, so that the origin sends a piece twice at most for it.
func (m *Manager) declines(key VersionKey, num int) bool {
	m.mu.Lock()
	plan, ok := m.plans[key]
	m.mu.Unlock()
	return ok && plan.Owns(num) && m.downlink.isNarrow(time.Now())
}

// holds returns the pieces of a version, or nil.
func (m *Manager) holds(key VersionKey) *pieces {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[key]
}

// hold keeps the pieces of a version beside those of the version before it.
func (m *Manager) hold(p *pieces) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var before fleet.WeightsVersion
	for key, other := range m.held {
		if key.Model != p.key.Model || key == p.key {
			continue
		}
		p.reuse(other)
		if key.Version < p.key.Version {
			before = max(before, key.Version)
		}
	}
	for key := range m.held {
		if key.Model == p.key.Model && key.Version < before {
			delete(m.held, key)
		}
	}
	m.held[p.key] = p
}
