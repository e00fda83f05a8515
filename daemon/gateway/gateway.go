package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/lifecycle"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/cold"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/pauses"
	"currantusher.dev/requests/silence"
	"currantusher.dev/requests/upstream"
	"currantusher.dev/tables/relay"
	"currantusher.dev/tables/watch"
)

const (
	// noTombstone is the time kept for tombstones, which servers don't know.
	noTombstone = time.Millisecond
	// readinessPeriod is how often the entry looks whether it has become ready,
	// a small part of the second between the platform's checks.
	readinessPeriod = 50 * time.Millisecond
	// settingsPeriod is how often the settings file is looked at.
	settingsPeriod = 2 * time.Second
)

// sweepPeriod is how often idle connections to backend servers are looked at.
const sweepPeriod = time.Second

// Gateway is one entry process on the operators' platform.
type Gateway struct {
	config      Config
	node        atomic.Pointer[nodefile.Node]
	incarnation core.Incarnation
	store       *rowstore.Client
	// recorder holds the rows that this entry reads for others.
	recorder   *relay.Recorder
	follower   *watch.Follower
	roster     *roster.Roster[gossip.Member]
	gossip     *gossip.Node
	upstream   *upstream.Pool
	services   *serviceSet
	dispatcher *dispatch.Dispatcher
	cold       *cold.SlidingWindow
	observed   *observations
	pauses     *pauses.Registry
	silence    *silence.Detector
	conns      *callerConns
	registry   metrics.Registry
	leaving    atomic.Bool
	// knowsEntries says that the rows of all entries were read.
	knowsEntries atomic.Bool
	started      time.Time
	inFlight     atomic.Int64
	// lastRequest is when the last request came, in Unix nanoseconds.
	lastRequest atomic.Int64
	log         *logrus.Entry
	requests    *logrus.Entry
}

// New checks the settings and wires the parts.
func New(config Config) (*Gateway, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		config:      config,
		started:     time.Now(),
		incarnation: core.Incarnation(time.Now().UnixNano()),
		store:       rowstore.New(config.Node.StoreAddr),
		upstream:    upstream.NewPool(upstream.Config{}),
		cold:        cold.NewSlidingWindow(),
		observed:    newObservations(),
		pauses:      pauses.NewRegistry(),
		silence:     silence.NewDetector(),
		registry:    metrics.NewRegistry(),
		log:         config.Log.Part("entry"),
		requests:    config.Log.Part("request"),
	}
	g.node.Store(&config.Node)
	g.roster = roster.New[gossip.Member](g.store, roster.EntriesTable, g.log)
	g.conns = newCallerConns(g.limits, maxCallerConns(config.Node.MaxOpenFiles))
	g.recorder = relay.NewRecorder(g.store, nil)
	g.follower = watch.NewFollower(watch.Config{
		Store: relay.NewStore(relay.Config{
			Self: config.Node.Instance, Recorder: g.recorder, Relays: g.relays, Log: config.Log.Part("watch"),
		}),
		Tables: []string{watch.OperatorTable, watch.ServersTable},
		// The node is made below and set before the follower runs.
		OthersReach: func() bool { return g.gossip.OthersReachStore() },
		Log:         config.Log.Part("watch"),
	})
	g.services = newServiceSet(g)
	var err error
	g.gossip, err = gossip.Listen(gossip.Config{
		Self:         g.self(),
		Revisions:    g.revisions,
		Loads:        g.services.loads,
		ReachesStore: g.follower.ReachesStore,
		OnPause:      g.onPause,
		Named:        g.named,
		OnNamed:      g.onNamed,
		Log:          config.Log.Part("gossip"),
	})
	if err != nil {
		return nil, err
	}
	g.dispatcher = dispatch.New(dispatch.Config{
		Attempts:         attempt.NewGenerator(config.Node.Instance, g.incarnation),
		Queue:            g.services.queue,
		Placer:           g.services.placer,
		TombstoneTimeout: noTombstone,
		MaxAnswerBytes:   config.MaxAnswerBytes,
	})
	return g, nil
}

func (g *Gateway) self() gossip.Member {
	n := g.config.Node
	return gossip.Member{
		ID:          n.Instance,
		Incarnation: g.incarnation,
		Phase:       gossip.Starting,
		DataCentre:  n.DataCentre,
		Region:      n.Region,
		PeerAddr:    n.PeerAddr,
		CallerAddr:  n.CallerAddr,
	}
}

// onPause takes what an agent announces of the engine beside it.
func (g *Gateway) onPause(pause fleet.Pause) {
	if !g.pauses.Announce(time.Now(), pause) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"addr": pause.Addr, "model": pause.Model, "version": pause.Version,
		"in_ms": pause.In.Milliseconds(), "over": pause.Over,
	}).Info("Pause of a server announced.")
}

// named returns since when this entry knows of the newest weights.
func (g *Gateway) named() []gossip.Named {
	view := g.follower.View()
	var list []gossip.Named
	for model := range view.Targets {
		if newest := view.Newest(model); !newest.Since.IsZero() {
			list = append(list, gossip.Named{Model: model, Version: newest.Version, Age: time.Since(newest.Since)})
		}
	}
	return list
}

// onNamed takes since when another entry knows of the newest weights. Without
// it a new entry would hold that they must be in force everywhere already.
func (g *Gateway) onNamed(list []gossip.Named) {
	now := time.Now()
	for _, n := range list {
		g.follower.LearnSince(n.Model, n.Version, now.Add(-n.Age))
	}
}

// relays returns the entries that read the store's rows for this one.
func (g *Gateway) relays(context.Context) []relay.Member {
	return roster.Relays(g.gossip.Alive(), g.node.Load().DataCentre)
}

func (g *Gateway) revisions() map[string]uint64 {
	view := g.follower.View()
	return map[string]uint64{
		watch.OperatorTable: view.OperatorRevision,
		watch.ServersTable:  view.ServerRevision,
	}
}

// isReady reports whether callers' requests can be served.
func (g *Gateway) isReady() bool {
	view := g.follower.View()
	return !g.leaving.Load() && view.Table != nil && len(view.Servers) > 0
}

// Run serves until ctx ends, then leaves: answers no longer name this entry,
// requests in progress end, and only then the listeners close.
func (g *Gateway) Run(ctx context.Context) error {
	g.config.Log.ReportInvariants()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	g.log.WithFields(logrus.Fields{
		"callers": g.config.Node.CallerAddr, "peers": g.config.Node.PeerAddr, "store": g.config.Node.StoreAddr,
	}).Info("Entry started.")
	group, shared := errgroup.WithContext(running)
	for _, duty := range g.duties() {
		group.Go(func() error { return lifecycle.IgnoreCancelled(duty(shared)) })
	}
	for _, server := range servers {
		group.Go(func() error { return server.run(shared) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.leave(servers[0].server)
		case <-shared.Done():
		}
		return nil
	})
	err = group.Wait()
	g.log.Info("Entry stopped.")
	return err
}

func (g *Gateway) duties() []lifecycle.Task {
	return []lifecycle.Task{
		g.follower.Run,
		g.gossip.Run,
		g.services.run,
		g.services.share,
		g.join,
		g.followPeers,
		g.followSettings,
		g.conns.run,
		g.watchReadiness,
		g.watchSilence,
		g.sweep,
	}
}

func (g *Gateway) sweep(ctx context.Context) error {
	idle := metrics.GetOrRegisterGauge("upstream.idle_connections", g.registry)
	callers := metrics.GetOrRegisterGauge("callers.connections", g.registry)
	evictions := metrics.GetOrRegisterGauge("callers.evictions", g.registry)
	return every(ctx, sweepPeriod, func() {
		idle.Update(int64(g.upstream.CloseExpired()))
		callers.Update(int64(g.conns.count()))
		evictions.Update(g.conns.evicted.Load())
		now := time.Now()
		g.cold.Sweep(now)
		g.observed.sweep(now)
		g.pauses.Sweep(now)
	})
}

// every calls work in a period until ctx ends.
func every(ctx context.Context, period time.Duration, work func()) error {
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

// watchReadiness tells the other entries when this one becomes ready.
func (g *Gateway) watchReadiness(ctx context.Context) error {
	return every(ctx, readinessPeriod, func() {
		if g.isReady() {
			g.gossip.SetPhase(gossip.Ready)
		}
	})
}

// followSettings takes a changed settings file. What it may change while the
// process runs are the operators' bounds.
func (g *Gateway) followSettings(ctx context.Context) error {
	if g.config.Reload == nil {
		<-ctx.Done()
		return nil
	}
	return every(ctx, settingsPeriod, func() {
		next, err := g.config.Reload()
		if err != nil {
			g.log.WithError(err).Warn("Settings file not taken.")
			return
		}
		old := g.node.Load()
		if next.Bounds == old.Bounds {
			return
		}
		merged := *old
		merged.Bounds = next.Bounds
		g.node.Store(&merged)
		g.log.WithField("bounds", fmt.Sprintf("%+v", next.Bounds)).Info("Settings file taken.")
	})
}
