package staging

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// checkPeriod is the interval at which the agent checks for newer versions
	// and checks its engine, which may have restarted without weights.
	checkPeriod = 250 * time.Millisecond
	// retryDelay is the delay before a failed step is retried.
	retryDelay = 200 * time.Millisecond
	// maxRetryDelay bounds the delay while the origin answers that it does not have a
	// version, which doubles with each answer.
	maxRetryDelay = 2 * time.Second
	// engineTimeout bounds a call to the agent's engine.
	engineTimeout = 2 * time.Second
	// minProgressToContinue is the fraction of the pieces from which on the fetch of a
	// version continues after a newer one is configured.
	minProgressToContinue = 0.125
)

// Engine is the client of the agent's engine, on the same instance.
type Engine interface {
	Report(ctx context.Context) (worker.Report, error)
	LoadAfterRunning(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, orders int64) (worker.OrderResult, error)
	Stage(ctx context.Context, model fleet.Model, piece int, content []byte) error
	Staged(ctx context.Context, model fleet.Model, piece int) ([]byte, error)
}

// Origin is the client of the origin of weights.
type Origin interface {
	Manifest(ctx context.Context, model fleet.Model, version fleet.WeightsVersion) ([][32]byte, error)
	Piece(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, piece int) ([]byte, error)
}

// Peers is the client of the other agents.
type Peers interface {
	Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error)
	// AwaitPiece waits until the peer has the piece. The error has
	// CodeUnknownEntity if the peer does not get the piece within a short
	// time, and is errNotAssigned if the peer waits for another one to get it.
	AwaitPiece(ctx context.Context, peer Agent, key VersionKey, piece int) error
	// Piece returns a piece and its transfer time, from the first byte to the
	// last. It waits up to sourceTimeout for the transfer to begin. The transfer time
	// is 0 if it did not. Urgent pieces precede others at the peer.
	Piece(ctx context.Context, peer Agent, key VersionKey, piece int, urgent bool) ([]byte, time.Duration, error)
}

// TargetVersion is a version that the engine must load.
type TargetVersion struct {
	VersionKey
	// Pieces is the number of pieces of the version.
	Pieces int
	// RequestedAt is when the version was configured, a time of Config.Now; zero means long
	// ago.
	RequestedAt time.Time
	// InForceWithin is the time after RequestedAt within which the version must
	// be in force.
	InForceWithin time.Duration
	// Origin is the source of the version, and OriginRegion its region.
	Origin       Origin
	OriginRegion core.Region
	// OriginPieceTime is how long the origin's link takes to send a piece, 0 if
	// unknown.
	OriginPieceTime time.Duration
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self   Agent
	Engine Engine
	Peers  Peers
	// TargetVersions returns the version of each model that the engine must
	// load.
	TargetVersions func() []TargetVersion
	// LinkBytesPerSecond is the bandwidth of the instance's link in each
	// direction; 0 means no limit.
	LinkBytesPerSecond float64
	// AnnouncePause notifies the entries that the engine will stop accepting
	// requests, or that it has loaded the version and accepts them again. It
	// may be nil.
	AnnouncePause func(fleet.PauseNotice)
	// ListAgents returns the agents of the service.
	ListAgents func(ctx context.Context) []Agent
	// Now is the clock on which loads are scheduled; nil means time.Now. It should count
	// suspensions of the machine, during which the time in which a version must be in force
	// goes on.
	Now func() time.Time
	Log *logrus.Entry
}

// Manager keeps an agent's engine on the newest version of each model.
type Manager struct {
	config   Config
	uplink   *uplink
	downlink *downlink
	stage    *stageArea

	mu        sync.Mutex
	pieceSets map[VersionKey]*pieceSet
	jobs      map[VersionKey]*job
	// plans holds the fetch plan of each version in progress.
	plans map[VersionKey]FetchPlan
	// newestVersions holds the newest target version of each model.
	newestVersions map[fleet.Model]fleet.WeightsVersion
	originStats    *originStats
	// originsVersions holds the version that the link of a narrow origin works for.
	originsVersions map[fleet.Model]fleet.WeightsVersion
	// requestTimes holds corrections of the RequestedAt of the jobs' targets.
	requestTimes map[VersionKey]time.Time
	// skippedLoadDeadlines holds the load deadlines of versions that were
	// superseded before their load.
	skippedLoadDeadlines map[VersionKey]time.Time
	// turns holds for each model which version is fetched to its end.
	turns map[fleet.Model]fetchTurn
	// engineUnreachable is set while the engine does not reply. The agent then fetches
	// nothing, and other agents must not wait for it.
	engineUnreachable atomic.Bool
	// targetsChanged has an item if TargetVersions may return something new.
	targetsChanged chan struct{}
	// loadSlot has capacity 1, as the engine accepts one order at a time. Its holder
	// accesses pendingOrder and lateOrders.
	loadSlot chan struct{}
	// pendingOrder is the load order that is not settled, or nil.
	pendingOrder *loadOrder
	// lateOrders holds the orders that the engine may accept after their calls.
	lateOrders []loadOrder
	// predecessor tells whether an order of an earlier process may be outstanding.
	predecessor *predecessorGuard
}

// New returns a Manager without any pieces.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{
		config:               config,
		uplink:               newUplink(config.LinkBytesPerSecond),
		downlink:             newDownlink(),
		pieceSets:            map[VersionKey]*pieceSet{},
		jobs:                 map[VersionKey]*job{},
		plans:                map[VersionKey]FetchPlan{},
		newestVersions:       map[fleet.Model]fleet.WeightsVersion{},
		originStats:          newOriginStats(),
		originsVersions:      map[fleet.Model]fleet.WeightsVersion{},
		requestTimes:         map[VersionKey]time.Time{},
		skippedLoadDeadlines: map[VersionKey]time.Time{},
		turns:                map[fleet.Model]fetchTurn{},
		targetsChanged:       make(chan struct{}, 1),
		loadSlot:             make(chan struct{}, 1),
		stage:                newStageArea(),
		predecessor:          newPredecessorGuard(),
	}
}

// Run fetches and loads target versions until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		for _, target := range m.config.TargetVersions() {
			m.startJob(ctx, &wait, target)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.targetsChanged:
		}
	}
}

// CheckTargets makes Run read the target versions again immediately. It never blocks.
func (m *Manager) CheckTargets() {
	select {
	case m.targetsChanged <- struct{}{}:
	default:
	}
}

// startJob starts the job of a new target version. Of the older versions of the model
// that are under way, the one whose turn it is continues: it may have to be in force before
// the newer version has arrived, and versions that are fetched beside each other are all
// late. Those whose pieces are held continue, and so does one that orders its load; the
// others are cancelled.
func (m *Manager) startJob(ctx context.Context, wait *sync.WaitGroup, target TargetVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newestVersions[target.Model] >= target.Version {
		m.correctRequestTime(target)
		return
	}
	m.newestVersions[target.Model] = target.Version
	turn := m.nextTurn(target)
	var continued []*job
	first := m.firstInProgress(target.Model)
	for key, older := range m.jobs {
		switch {
		case key.Model != target.Model:
		case m.isContinued(older, first, turn), older.isFetched(), m.stage.isReservedFor(key), m.isPreviousOfNarrowOrigin(older.target, target):
			continued = append(continued, older)
		default:
			older.cancel()
			delete(m.jobs, key)
			if !older.target.RequestedAt.IsZero() {
				m.skippedLoadDeadlines[key] = older.target.loadDeadline()
			}
		}
	}
	jobCtx, cancel := context.WithCancel(ctx)
	next := newJob(target, m.config.Now, cancel, continued)
	next.followTurn(turn)
	m.jobs[target.VersionKey] = next
	wait.Go(func() {
		defer m.removeJob(next)
		m.runJob(jobCtx, target, next)
	})
}

// firstInProgress returns the job of the oldest version of a model whose pieces are not all
// held, or nil. The caller holds the lock.
func (m *Manager) firstInProgress(model fleet.Model) *job {
	var first *job
	for key, j := range m.jobs {
		if key.Model == model && !j.isFetched() && (first == nil || key.Version < first.target.Version) {
			first = j
		}
	}
	return first
}

// hasSomePieces reports whether a version's fetch has made enough progress to be worth
// completing. The caller holds the lock.
func (m *Manager) hasSomePieces(key VersionKey) bool {
	pieces := m.pieceSets[key]
	return pieces != nil && len(pieces.digests)-pieces.missingCount() >= scaleCount(minProgressToContinue, len(pieces.digests))
}

func (m *Manager) removeJob(j *job) {
	j.cancel()
	j.markFetched()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.jobs, j.target.VersionKey)
	delete(m.plans, j.target.VersionKey)
	delete(m.requestTimes, j.target.VersionKey)
}

// isNewest reports whether key is the newest target version of its model.
func (m *Manager) isNewest(key VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestVersions[key.Model] == key.Version
}

// runJob keeps a version loaded in the engine, and loads it again whenever the
// engine has lost it. It returns when ctx is done, or once the engine has the
// version or a newer one and the version is not the newest target.
func (m *Manager) runJob(ctx context.Context, target TargetVersion, j *job) {
	log := m.config.Log.WithFields(logrus.Fields{"model": target.Model, "version": target.Version})
	var lastError, lastReport, lastLoadError string
	delay := retryDelay
	for ctx.Err() == nil {
		report, err := m.engineReport(ctx)
		switch {
		case err != nil:
			m.logOnChange(log, &lastError, "Reading the engine report failed; retrying.", err)
			pause.For(ctx, retryDelay)
		case report.Loaded[target.Model] >= target.Version:
			lastError, lastReport, lastLoadError, delay = "", "", "", retryDelay
			m.forgetReplaced(target.VersionKey)
			if !m.isNewest(target.VersionKey) {
				return
			}
			m.awaitNextCheck(ctx, log, target, j)
		default:
			// Fetch the version even while the engine is loading an older one.
			if lastReport != report.Raw {
				lastReport = report.Raw
				log.WithField("report", report.Raw).Info("Engine does not have the version; fetching and loading it.")
			}
			err := m.fetchAndLoad(ctx, log, j)
			switch {
			case errors.Is(err, errSuperseded):
				pause.For(ctx, checkPeriod)
			case err != nil && ctx.Err() == nil:
				m.logOnChange(log, &lastLoadError, "Loading the version failed; retrying.", err)
				pause.For(ctx, delay)
				delay = nextRetryDelay(delay, err)
			}
		}
	}
}

// nextRetryDelay returns the delay after another failure. It grows while the origin answers
// that it does not have the version; other failures end sooner.
func nextRetryDelay(delay time.Duration, err error) time.Duration {
	if code := core.CodeOf(err); code != core.CodeUnknownEntity && code != core.CodeSuperseded && !errors.Is(err, worker.ErrInvalidAnswer) {
		return retryDelay
	}
	return min(2*delay, maxRetryDelay)
}

// awaitNextCheck waits until the next check of an engine that has the version. If
// another agent requests pieces in the meantime, it reads the staged pieces back
// from the engine.
func (m *Manager) awaitNextCheck(ctx context.Context, log *logrus.Entry, target TargetVersion, j *job) {
	timer := time.NewTimer(2 * checkPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-j.piecesRequested:
		if m.piecesOf(target.VersionKey) != nil {
			return
		}
		versionFetcher := newFetcher(m, log, target, m.newPlan(ctx, target))
		if _, err := versionFetcher.fetchVersion(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Warn("Reading pieces for other agents failed.")
			return
		}
		log.WithField("from", versionFetcher.sourceCounts()).Info("Holding the pieces for other agents.")
	}
}

// logOnChange logs a repeated error only if its text differs from the last one.
func (m *Manager) logOnChange(log *logrus.Entry, lastError *string, text string, err error) {
	if *lastError != err.Error() {
		*lastError = err.Error()
		log.WithError(err).Warn(text)
	}
}

func (m *Manager) engineReport(ctx context.Context) (worker.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := m.config.Engine.Report(callCtx)
	if ctx.Err() == nil {
		m.engineUnreachable.Store(err != nil)
	}
	if err == nil {
		m.predecessor.observe(report)
	}
	return report, err
}

// errSuperseded reports that a newer version is loaded instead of this one.
var errSuperseded = errors.New("superseded: a newer version is loaded instead")

// fetchAndLoad fetches a version, waits for its load time and loads it.
func (m *Manager) fetchAndLoad(ctx context.Context, log *logrus.Entry, j *job) error {
	target := j.target
	start := time.Now()
	plan := m.newPlan(ctx, target)
	versionFetcher := newFetcher(m, log, target, plan)
	versionFetcher.requestFrom(j.originFreeAt)
	versionFetcher.awaitPeersTurn = func(ctx context.Context) {
		j.awaitOlderVersions(ctx, func(target TargetVersion) bool { return m.isOriginsVersion(log, target) })
	}
	pieces, err := versionFetcher.fetchVersion(ctx)
	if err != nil {
		return err
	}
	j.markFetched()
	log.WithFields(logrus.Fields{
		"ms": time.Since(start).Milliseconds(), "agents": len(versionFetcher.currentPlan().agents), "from": versionFetcher.sourceCounts(),
	}).Info("Holding all pieces of the version.")
	report, err := m.engineReport(ctx)
	if err != nil {
		return err
	}
	target = m.withRequestTime(target)
	if err := m.awaitLoadTime(ctx, target, m.scheduledLoadTime(target, plan, report)); err != nil {
		return err
	}
	select {
	case m.loadSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.loadSlot }()
	return m.load(ctx, log, target, pieces)
}
