package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/core/clock"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/daemon/lifecycle"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/activeset"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/grace"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/pauses"
	"currantusher.dev/requests/sharedlimit"
	"currantusher.dev/requests/stall"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/tables/relay"
	"currantusher.dev/tables/watch"
)

const (
	// tombstoneTimeout is minimal, because backend servers do not support
	// tombstones.
	tombstoneTimeout = time.Millisecond
	// readinessCheckPeriod is the interval of the entry's own readiness check, a
	// small fraction of the second between the platform's checks.
	readinessCheckPeriod = 50 * time.Millisecond
	// settingsPollPeriod is how often the settings file is read again.
	settingsPollPeriod = 2 * time.Second
)

// sweepPeriod is how often idle connections to backend servers and expired
// records are removed.
const sweepPeriod = time.Second

// Gateway is an entry daemon on the operators' platform.
type Gateway struct {
	config      Config
	node        atomic.Pointer[nodefile.Node]
	incarnation core.Incarnation
	store       *rowstore.Client
	faults      *httpcall.Faults
	// relayCache holds the store changes that this entry relays to other daemons.
	relayCache    *relay.Cache
	follower      *watch.Follower
	roster        *roster.Roster[gossip.Member]
	gossip        *gossip.Node
	upstream      *upstream.Pool
	services      *serviceSet
	dispatcher    *dispatch.Dispatcher
	ledger        *sharedlimit.Ledger
	observations  *serverObservations
	pauses        *pauses.Set
	notices       *notices.Set
	rateLimits    *notices.Limits
	holders       *holderSet
	queueWaits    *queueWaits
	costs         *requestCosts
	crashGuard    *crashGuard
	stallDetector *stall.Detector
	conns         *callerConns
	callerMemory  *callerMemory
	// activity tells whether this entry takes callers' requests; activityMu guards it.
	activityMu  sync.Mutex
	activity    activeset.Status
	requestRate activeset.PeakRate
	// slotDivision is how the slots of servers are divided now.
	slotDivision atomic.Pointer[slotDivision]
	registry     metrics.Registry
	// clock is that of the follower's view and of what servers' answers reveal.
	clock   *clock.Clock
	leaving atomic.Bool
	// waitsEnd ends, by endWaits, when requests whose answer has not begun are stopped.
	waitsEnd context.Context
	endWaits context.CancelFunc
	// streamsEnd ends, by endStreams, when all requests in progress are stopped.
	streamsEnd context.Context
	endStreams context.CancelFunc
	// schedule is that of the planned stop, or nil. leaveBegun ends, by beginLeave, after
	// it is set.
	schedule   atomic.Pointer[grace.Schedule]
	leaveBegun context.Context
	beginLeave context.CancelFunc
	durations  *routeDurations
	// entriesLoaded reports that the rows of all entries have been read from the
	// store.
	entriesLoaded atomic.Bool
	started       time.Time
	inFlight      atomic.Int64
	// lastRequestNanos is the arrival of the last request, in Unix nanoseconds.
	lastRequestNanos atomic.Int64
	log              *logrus.Entry
	requestLog       *logrus.Entry
}

// New validates the settings and creates a gateway.
func New(config Config) (*Gateway, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		config:        config,
		started:       time.Now(),
		incarnation:   core.Incarnation(time.Now().UnixNano()),
		faults:        obs.AnswerFaults(config.Log.Component("entry")),
		upstream:      upstream.NewPool(upstream.Config{}),
		ledger:        sharedlimit.NewLedger(config.Node.Instance, time.Now()),
		holders:       newHolderSet(),
		observations:  newServerObservations(),
		pauses:        pauses.NewSet(),
		notices:       notices.NewSet(),
		rateLimits:    notices.NewLimits(),
		stallDetector: stall.NewDetector(),
		durations:     newRouteDurations(),
		registry:      metrics.NewRegistry(),
		clock:         clock.New(),
		log:           config.Log.Component("entry"),
		requestLog:    config.Log.Component("request"),
	}
	g.store = rowstore.NewReporting(config.Node.StoreAddr, g.faults)
	g.node.Store(&config.Node)
	g.waitsEnd, g.endWaits = context.WithCancel(context.Background())
	g.streamsEnd, g.endStreams = context.WithCancel(context.Background())
	g.leaveBegun, g.beginLeave = context.WithCancel(context.Background())
	g.roster = roster.New[gossip.Member](g.store, roster.EntriesTable, g.log)
	g.conns = newCallerConns(g.limits, maxCallerConns(config.Node.MaxOpenFiles))
	g.callerMemory = newCallerMemory(config.Node.MemoryBytes)
	g.relayCache = relay.NewCache(g.store, nil)
	g.follower = watch.NewFollower(watch.Config{
		Store: relay.NewStore(relay.Config{
			Self: config.Node.Instance, Cache: g.relayCache, Relays: g.relays, Log: config.Log.Component("watch"), Faults: g.faults,
			MinIntervals: map[string]time.Duration{watch.OperatorTable: watch.OperatorReadInterval, watch.ServersTable: watch.ServersReadInterval},
		}),
		Tables:            []string{watch.OperatorTable, watch.ServersTable},
		StartPollInterval: watch.DefaultStartPollInterval,
		// g.gossip is assigned below, before the follower runs.
		OthersReachStore: func() bool { return g.gossip.PeerReachesStore() },
		VersionInForce:   func() time.Duration { return g.node.Load().Bounds.VersionInForce },
		Now:              g.clock.Now,
		Log:              config.Log.Component("watch"),
	})
	roster.RegisterStoreGauges(g.registry, g.follower.View, g.roster.Rewrites)
	g.services = newServiceSet(g)
	g.queueWaits = newQueueWaits(g)
	g.costs = newRequestCosts(g)
	g.crashGuard = newCrashGuard(g)
	var err error
	g.gossip, err = gossip.Listen(gossip.Config{
		Self:            g.selfMember(),
		Revisions:       g.revisions,
		Loads:           g.services.loads,
		Paces:           g.queueWaits.paces,
		Work:            g.costs.work,
		ReachesStore:    g.follower.ReachesStore,
		Evidence:        g.crashGuard.evidence,
		OnEvidence:      g.crashGuard.onEvidence,
		OnPauseNotice:   g.onPause,
		RateLimits:      func() []fleet.RateLimit { return g.rateLimits.Report(time.Now()) },
		OnRateLimits:    g.onRateLimits,
		OnPlaceRequest:  g.onPlaceRequest,
		NewestWeights:   g.newestWeights,
		OnNewestWeights: g.onNewestWeights,
		Log:             config.Log.Component("gossip"),
	})
	if err != nil {
		return nil, err
	}
	g.updateSlotDivision()
	g.dispatcher = dispatch.New(dispatch.Config{
		Attempts:         attempt.NewGenerator(config.Node.Instance, g.incarnation),
		Queue:            g.services.queue,
		Placer:           g.services.placer,
		TombstoneTimeout: tombstoneTimeout,
		MaxAnswerBytes:   config.MaxAnswerBytes,
		Memory:           g.callerMemory.budget,
	})
	return g, nil
}

func (g *Gateway) selfMember() gossip.Member {
	n := g.config.Node
	return gossip.Member{
		ID:          n.Instance,
		Incarnation: g.incarnation,
		Phase:       gossip.PhaseStarting,
		DataCentre:  n.DataCentre,
		Region:      n.Region,
		PeerAddr:    n.PeerAddr,
		CallerAddr:  n.CallerAddr,
		Cores:       n.Cores,
	}
}

// onPause handles an agent's announcement that its engine pauses or resumes.
func (g *Gateway) onPause(pause fleet.PauseNotice) {
	if !g.pauses.Record(time.Now(), pause) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"addr": pause.Addr, "model": pause.Model, "version": pause.Version,
		"in_ms": pause.StartsIn.Milliseconds(), "over": pause.Ended,
	}).Info("Pause of a server announced.")
}

// relays returns the entries through which this one reads the store.
func (g *Gateway) relays(context.Context) []relay.Member {
	return roster.Relays(append(g.gossip.AliveMembers(), g.gossip.AwaitedMembers()...), g.node.Load().DataCentre)
}

// revisions returns the latest known era of the store and the revisions of the tables
// that this entry has read in it.
func (g *Gateway) revisions() (era uint64, revisions map[string]uint64) {
	view := g.follower.View()
	revisions = map[string]uint64{}
	for table, position := range positions(view) {
		if position.Era == view.Era && table != watch.LostRows {
			revisions[table] = position.Revision
		}
	}
	if view.LostRows > 0 {
		revisions[watch.LostRows] = view.LostRows
	}
	return view.Era, revisions
}

func positions(view *watch.View) map[string]rowstore.Position {
	return map[string]rowstore.Position{
		watch.OperatorTable: view.OperatorPosition,
		watch.ServersTable:  view.ServersPosition,
		watch.LostRows:      {Era: view.Era, Revision: view.LostRowsSeen},
	}
}

// isReady reports whether the entry can serve callers' requests.
func (g *Gateway) isReady() bool {
	view := g.follower.View()
	return !g.leaving.Load() && view.Table != nil && len(view.Servers) > 0 && g.crashGuard.stored.areKnown(g.clock.Now())
}

// Run serves until ctx ends, then drains: the directory stops returning this
// entry, requests in progress finish, and then the listeners close.
func (g *Gateway) Run(ctx context.Context) error {
	g.config.Log.LogInvariantViolations()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	g.log.WithFields(logrus.Fields{
		"callers": g.config.Node.CallerAddr, "peers": g.config.Node.PeerAddr, "store": g.config.Node.StoreAddr,
	}).Info("Entry started.")
	group, groupCtx := errgroup.WithContext(runCtx)
	for _, task := range g.tasks() {
		group.Go(func() error { return lifecycle.IgnoreCancelled(task(groupCtx)) })
	}
	for _, server := range servers {
		group.Go(func() error { return server.run(groupCtx) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.leave(servers[0].server)
		case <-groupCtx.Done():
		}
		return nil
	})
	err = group.Wait()
	g.log.Info("Entry stopped.")
	return err
}

func (g *Gateway) tasks() []lifecycle.Task {
	return []lifecycle.Task{
		g.follower.Run,
		g.gossip.Run,
		g.services.run,
		g.services.adjustRetryBudgets,
		g.join,
		g.keepRow,
		g.syncFromPeers,
		g.watchSettingsFile,
		g.conns.run,
		g.watchHeadMemory,
		g.watchCallerMemory,
		g.watchReadiness,
		g.updateActivity,
		g.ejectStalledServers,
		g.recallLateRequests,
		g.crashGuard.run,
		g.crashGuard.stored.run,
		g.sweep,
	}
}

func (g *Gateway) sweep(ctx context.Context) error {
	idleConns := metrics.GetOrRegisterGauge("upstream.idle_connections", g.registry)
	callerConns := metrics.GetOrRegisterGauge("callers.connections", g.registry)
	requests := metrics.GetOrRegisterGauge("callers.requests", g.registry)
	evictions := metrics.GetOrRegisterGauge("callers.evictions", g.registry)
	return runPeriodically(ctx, sweepPeriod, func() {
		idleConns.Update(int64(g.upstream.CloseExpired()))
		callerConns.Update(int64(g.conns.count()))
		requests.Update(g.inFlight.Load())
		evictions.Update(g.conns.evictions.Load())
		now := time.Now()
		g.ledger.Sweep(now)
		g.holders.sweep(now)
		g.observations.sweep(g.clock.Now())
		g.pauses.Sweep(now)
		g.sweepNotices(now)
		g.sweepRateLimits(now)
		g.queueWaits.sweep(g.clock.Now())
		g.costs.sweep(g.clock.Now())
	})
}

// runPeriodically calls work once per period until ctx ends.
func runPeriodically(ctx context.Context, period time.Duration, work func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			work()
		}
	}
}

// watchReadiness announces to the other entries when this one becomes ready.
func (g *Gateway) watchReadiness(ctx context.Context) error {
	return runPeriodically(ctx, readinessCheckPeriod, func() {
		if g.isReady() {
			g.gossip.SetPhase(gossip.PhaseReady)
		}
	})
}

// watchSettingsFile applies changes of the settings file. Only the operators'
// bounds can change while the process runs.
func (g *Gateway) watchSettingsFile(ctx context.Context) error {
	if g.config.Reload == nil {
		<-ctx.Done()
		return nil
	}
	lastError := ""
	return runPeriodically(ctx, settingsPollPeriod, func() {
		reloaded, err := g.config.Reload()
		if err != nil {
			if err.Error() != lastError {
				g.log.WithError(err).Warn("Could not reload the settings file; keeping the current settings.")
			}
			lastError = err.Error()
			return
		}
		lastError = ""
		current := g.node.Load()
		if reloaded.Bounds == current.Bounds {
			return
		}
		updated := *current
		updated.Bounds = reloaded.Bounds
		g.node.Store(&updated)
		g.log.WithField("bounds", fmt.Sprintf("%+v", reloaded.Bounds)).Info("Applied changed bounds from the settings file.")
	})
}
