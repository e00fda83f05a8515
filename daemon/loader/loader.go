// Package loader implements the agent daemon for the operators' platform. It runs
// beside a model engine and loads new weights into it. Requests do not pass through
// it.
package loader

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core/clock"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netlimit"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/worker"
	"currantusher.dev/tables/relay"
	"currantusher.dev/tables/watch"
	"currantusher.dev/weights/staging"
)

const (
	// removeTimeout bounds the removal of this agent's row when it stops.
	removeTimeout = time.Second
	// maxEngineConns and maxOriginConns bound the connections of one agent. The
	// origin accepts a few dozen connections from all agents together.
	maxEngineConns = 4
	maxOriginConns = 3

	// firstVersion is the weights version of engines before operators set one.
	firstVersion = 1
)

// Config holds the settings of a Loader.
type Config struct {
	Node        nodefile.Node
	MetricsAddr string
	Log         *obs.Logger
}

// Validate checks the settings.
func (c *Config) Validate() error {
	if c.Node.BackendAddr == "" {
		return fmt.Errorf("the settings file sets no backend server address")
	}
	if c.Node.StoreAddr == "" {
		return fmt.Errorf("the settings file sets no store address")
	}
	return nil
}

// Loader is an agent daemon on the operators' platform.
type Loader struct {
	config Config
	self   staging.Agent
	store  *rowstore.Client
	roster *roster.Roster[staging.Agent]
	// announcer announces the engine's pauses to the entries.
	announcer   *announcer
	ageExchange *ageExchange
	follower    *watch.Follower
	// clock is that of the follower's view.
	clock    *clock.Clock
	manager  *staging.Manager
	registry metrics.Registry
	log      *logrus.Entry

	agents *agentList
	mu     sync.Mutex
	// origins holds a client for each origin by address.
	origins map[string]*worker.Client
	engine  *worker.Client
	peers   *staging.HTTPPeers
	faults  *httpcall.Faults
}

// New validates the settings and creates a loader.
func New(config Config) (*Loader, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := config.Node
	l := &Loader{
		config: config,
		self: staging.Agent{
			ID: n.Instance, Addr: n.PeerAddr, DataCentre: n.DataCentre, Region: n.Region,
			Service: fleet.ServiceName(n.BackendService), EngineAddr: n.BackendAddr,
		},
		registry: metrics.NewRegistry(),
		clock:    clock.New(),
		log:      config.Log.Component("agent").WithField("addr", n.BackendAddr),
		origins:  map[string]*worker.Client{},
		faults:   obs.AnswerFaults(config.Log.Component("agent").WithField("addr", n.BackendAddr)),
	}
	l.store = rowstore.NewReporting(n.StoreAddr, l.faults)
	l.peers = staging.NewReportingHTTPPeers(l.faults)
	l.engine = worker.NewReporting(n.BackendAddr, maxEngineConns, l.faults)
	l.roster = roster.New[staging.Agent](l.store, roster.AgentsTable, l.log)
	entries := &entryList{
		stored: roster.New[gossip.Member](l.store, roster.EntriesTable, l.log), relayed: roster.New[gossip.Member](l.store, roster.EntriesTable, l.log), log: l.log,
	}
	l.announcer = newAnnouncer(n.BackendAddr, entries, l.log)
	l.ageExchange = newAgeExchange(n.Bounds.VersionInForce, l.clock, entries.known, l.announcer.repeatTo, l.faults, config.Log.Component("watch"))
	relayed := relay.NewStore(relay.Config{
		Self: n.Instance, Cache: relay.NewCache(l.store, nil), Relays: entries.relays(n.DataCentre), Log: config.Log.Component("watch"), Faults: l.faults,
		MinIntervals: map[string]time.Duration{watch.OperatorTable: watch.OperatorReadInterval},
	})
	entries.relayed.ReadFrom(relayed)
	l.roster.ReadFrom(relayed)
	l.agents = &agentList{roster: l.roster, reader: relayed, log: l.log}
	l.follower = watch.NewFollower(watch.Config{
		Store:  relayed,
		Tables: []string{watch.OperatorTable},

		StartPollInterval: watch.DefaultStartPollInterval,
		Log:               config.Log.Component("watch"),
		Now:               l.clock.Now,
		// l.manager is assigned below, before the follower runs.
		OnChange: l.onChange,
	})
	l.ageExchange.follower = l.follower
	roster.RegisterStoreGauges(l.registry, l.follower.View, l.roster.Rewrites)
	l.manager = staging.New(staging.Config{
		Self:               l.self,
		Engine:             l.engine,
		Peers:              l.peers,
		TargetVersions:     l.targetVersions,
		AnnouncePause:      l.announcer.announce,
		ListAgents:         l.agents.get,
		LinkBytesPerSecond: n.LinkBytesPerSecond,
		Now:                l.clock.Now,
		Log:                config.Log.Component("weights").WithField("addr", n.BackendAddr),
	})
	registerOriginGauges(l.registry, l.manager.OriginStats)
	return l, nil
}

// onChange handles a new view of the tables.
func (l *Loader) onChange(view *watch.View) {
	l.manager.CheckTargets()
	l.ageExchange.onChange(view)
}

// targetVersions returns the weights versions that the engine must load.
func (l *Loader) targetVersions() []staging.TargetVersion {
	view := l.follower.View()
	if view.Table == nil {
		return nil
	}
	service := view.Table.Service(l.self.Service)
	origin := view.Table.Origin()
	if service == nil || service.Engine == nil || origin == nil {
		return nil
	}
	size := service.Engine.WeightsSize()
	originClient := l.originClient(origin.Origin)
	originClient.SetWeightsSize(size)
	l.engine.SetWeightsSize(size)
	l.peers.SetWeightsSize(size)
	var list []staging.TargetVersion
	for _, model := range service.Engine.Models {
		target := view.NewestTarget(model)
		list = append(list, staging.TargetVersion{
			VersionKey:      staging.VersionKey{Model: model, Version: max(target.Version, firstVersion)},
			Pieces:          service.Engine.Pieces,
			RequestedAt:     target.Since,
			InForceWithin:   l.config.Node.Bounds.VersionInForce,
			Origin:          originClient,
			OriginRegion:    l.config.Node.Regions[origin.OriginDataCentre],
			OriginPieceTime: originPieceTime(origin, service.Engine),
		})
	}
	return list
}

// originPieceTime returns how long the origin's link takes to send a piece of an
// engine's weights, or 0 if its bandwidth is unknown.
func originPieceTime(origin *fleet.Service, engine *fleet.Engine) time.Duration {
	if origin.OriginBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(engine.PieceBytes) / origin.OriginBytesPerSecond * float64(time.Second))
}

func (l *Loader) originClient(addr string) *worker.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	client := l.origins[addr]
	if client == nil {
		client = worker.NewReporting(addr, maxOriginConns, l.faults)
		l.origins[addr] = client
	}
	return client
}

// Run runs the agent until ctx ends, and then removes its row.
func (l *Loader) Run(ctx context.Context) error {
	l.config.Log.LogInvariantViolations()
	l.log.WithFields(logrus.Fields{"engine": l.config.Node.BackendAddr, "peers": l.self.Addr}).Info("Agent started.")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.follower.Run(ctx) })
	group.Go(func() error { return l.manager.Run(ctx) })
	group.Go(func() error { return l.roster.WriteWithRetry(ctx, string(l.self.ID), l.self) })
	group.Go(func() error { return l.roster.Keep(ctx, func() uint64 { return l.follower.View().Era }) })
	group.Go(func() error { return l.announcer.run(ctx) })
	group.Go(func() error { return l.ageExchange.run(ctx) })
	group.Go(func() error { return l.serveHTTP(ctx, l.self.Addr, l.peerLimits(), l.manager.Handler()) })
	if l.config.MetricsAddr != "" {
		mux := http.NewServeMux()
		obs.RegisterHandlers(mux, l.registry, func() error { return nil })
		group.Go(func() error { return l.serveHTTP(ctx, l.config.MetricsAddr, metricsLimits(), mux) })
	}
	err := group.Wait()
	l.removeRow()
	l.log.Info("Agent stopped.")
	return err
}

func (l *Loader) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := l.roster.Remove(ctx, string(l.self.ID)); err != nil {
		l.log.WithError(err).Warn("Could not remove this agent's row; other agents ignore it once its engine is not listed.")
	}
}

func (l *Loader) serveHTTP(ctx context.Context, addr string, limits netlimit.Limits, handler http.Handler) error {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	listener := obs.LimitListener(l.registry, l.log, inner, limits)
	server := &http.Server{Handler: handler, ErrorLog: stdlog.New(l.log.WriterLevel(logrus.DebugLevel), "", 0)}
	listener.Configure(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", addr, err)
	}
	return nil
}
