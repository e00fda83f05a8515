// Package entry implements the entry, the daemon that callers and operators
// connect to. It queues requests by team, dispatches them to agents, accepts
// edits of the configuration, and tracks the agents that download weights, so that
// each of them can be given peers to download from.
package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/daemon/lifecycle"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/peers"
	"currantusher.dev/members"
	"currantusher.dev/platform"
	"currantusher.dev/platform/client"
	"currantusher.dev/report"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/tables/edit"
	"currantusher.dev/tables/spread"
	"currantusher.dev/weights/rollout"
	"currantusher.dev/weights/tracker"
	"currantusher.dev/wire"
)

const (
	defaultRevisionLimit = 20
	notReadyRetryAfter   = time.Second
	// attemptStartTimeout bounds the wait for the first frame of an attempt that
	// may be repeated, so that an agent that does not respond, such as a paused
	// one, does not hold it until the deadline.
	attemptStartTimeout = time.Second
)

// Entry is one entry process. Its exported methods are safe for concurrent use.
type Entry struct {
	config          Config
	incarnation     core.Incarnation
	peer            *wire.Endpoint
	listener        net.Listener
	platform        *client.Client
	directory       *members.Directory
	reporter        *members.Reporter
	spread          *spread.Manager
	editor          *edit.Editor
	rollout         *rollout.Server
	ledger          *ledger.Ledger
	dispatcher      *dispatch.Dispatcher
	pools           *poolSet
	observedWeights *weightsObservations
	burn            *report.BurnTracker
	registry        metrics.Registry
	log             entryLoggers
	lifecycle       *lifecycle.Lifecycle
}

type entryLoggers struct {
	main, request, edit, config *logrus.Entry
}

// New validates the settings, opens the peer endpoint and the HTTP listener, and
// creates the components.
func New(config Config) (*Entry, error) {
	config = config.applyDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	peer, err := wire.Listen(config.PeerListen, config.TLS)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.HTTPListen)
	if err != nil {
		_ = peer.Close()
		return nil, err
	}
	e := &Entry{
		config:      config,
		incarnation: core.Incarnation(time.Now().UnixNano()),
		peer:        peer,
		listener:    listener,
		platform:    client.New(client.Config{BaseURL: config.PlatformURL}),
		burn:        report.NewBurnTracker(report.Config{}),
		registry:    metrics.NewRegistry(),
		log:         newLoggers(config.Log),
	}
	obs.RegisterPeerLimits(e.registry, e.log.main, peer)
	if err := e.initComponents(); err != nil {
		_ = listener.Close()
		_ = peer.Close()
		return nil, err
	}
	return e, nil
}

func newLoggers(log *obs.Logger) entryLoggers {
	return entryLoggers{
		main:    log.Component("entry"),
		request: log.Component("request"),
		edit:    log.Component("edit"),
		config:  log.Component("config"),
	}
}

func (e *Entry) self() platform.Instance {
	return platform.Instance{
		ID:         e.config.Instance,
		Role:       platform.RoleEntry,
		DataCentre: e.config.DataCentre,
		State:      platform.InstanceLive,
		PeerAddr:   e.PeerAddr(),
		HTTPAddr:   e.HTTPAddr(),
	}
}

func (e *Entry) initComponents() error {
	if err := e.initMembers(); err != nil {
		return err
	}
	e.lifecycle = lifecycle.New(lifecycle.Config{
		Notifier:     e.reporter,
		NoticePeriod: e.config.AddressTTL,
		DrainTimeout: e.config.DrainTimeout,
		Running:      func() int { return e.lifecycle.Work.Count() },
		Abort:        func() { _ = e.peer.Close() },
		Log:          e.log.main,
	})
	if err := e.initSpread(); err != nil {
		return err
	}
	if err := e.initWeights(); err != nil {
		return err
	}
	e.initRequests()
	return nil
}

func (e *Entry) initMembers() error {
	var err error
	e.directory, err = members.NewDirectory(members.DirectoryConfig{
		Self:             e.self(),
		Incarnation:      e.incarnation,
		Peer:             e.peer,
		InstanceList:     e.platform,
		ConfigMaxAge:     e.config.ConfigMaxAge,
		ServeStaleConfig: e.config.StalePolicy == spread.OnStaleServe,
		Log:              e.config.Log.Component("members"),
		Metrics:          e.registry,
	})
	if err != nil {
		return err
	}
	e.reporter, err = members.NewReporter(members.ReporterConfig{
		Self:           e.self(),
		Incarnation:    e.incarnation,
		Peer:           e.peer,
		InstanceList:   e.platform,
		BuildHeartbeat: e.buildHeartbeat,
		OnReplaced:     func() { e.lifecycle.Stop() },
		Directory:      e.directory,
		Log:            e.config.Log.Component("members"),
	})
	return err
}

func (e *Entry) initSpread() error {
	e.editor = edit.New(edit.Config{Tables: e.platform, Log: e.log.edit})
	config := spread.Config{
		Self: spread.Neighbour{
			ID:         e.config.Instance,
			Role:       platform.RoleEntry,
			DataCentre: e.config.DataCentre,
			Region:     e.config.Region,
			Addr:       e.PeerAddr(),
		},
		StoreRegion: e.config.StoreRegion,
		Peer:        e.peer,
		Loader:      e.editor,
		Objects:     e.platform,
		Neighbours:  e.neighbours,
		MaxAge:      e.config.ConfigMaxAge,
		OnStale:     e.config.StalePolicy,
		Log:         e.log.config,
		Metrics:     e.registry,
	}
	if err := config.Validate(); err != nil {
		return err
	}
	e.spread = spread.New(config)
	return nil
}

func (e *Entry) neighbours() []spread.Neighbour {
	var instances []platform.Instance
	for _, member := range e.directory.Members() {
		if member.State == members.StateGone {
			continue
		}
		instances = append(instances, platform.Instance{
			ID:         member.Instance,
			Role:       member.Role,
			DataCentre: member.DataCentre,
			PeerAddr:   member.PeerAddr,
		})
	}
	return peers.Neighbours(instances, e.spread.Current())
}

func (e *Entry) initWeights() error {
	downloadTracker, err := tracker.New(tracker.Config{})
	if err != nil {
		return err
	}
	downloadTracker.Register(e.peer)
	e.rollout, err = rollout.NewServer(rollout.ServerConfig{
		Tables:         e.platform,
		MaxUnavailable: e.maxUnavailable,
	})
	if err != nil {
		return err
	}
	e.rollout.Register(e.peer)
	return nil
}

func (e *Entry) maxUnavailable(name core.PoolName) int {
	current := e.spread.Current()
	if current == nil {
		return 0
	}
	pool, _ := current.Pool(name)
	return pool.MaxUnavailable
}

func (e *Entry) initRequests() {
	e.ledger = ledger.New(ledger.Config{
		Tables: e.platform,
		Entry:  string(e.config.Instance),
	})
	e.pools = newPoolSet(e)
	e.observedWeights = newWeightsObservations()
	e.dispatcher = dispatch.New(dispatch.Config{
		Attempts:       attempt.NewGenerator(e.config.Instance, e.incarnation),
		Queue:          e.pools.queue,
		Placer:         e.pools.placer,
		Candidates:     e.candidates,
		Ledger:         e.ledger,
		Sender:         peerSender{peer: e.peer, onWeights: e.observedWeights.observe},
		StartTimeout:   attemptStartTimeout,
		MaxAnswerBytes: e.config.MaxAnswerBytes,
	})
}

// HTTPAddr returns the address at which callers and operators reach this entry.
func (e *Entry) HTTPAddr() string {
	if e.config.HTTPAdvertise != "" {
		return e.config.HTTPAdvertise
	}
	return e.listener.Addr().String()
}

// PeerAddr returns the address at which other daemons reach this entry.
func (e *Entry) PeerAddr() string {
	if e.config.PeerAdvertise != "" {
		return e.config.PeerAdvertise
	}
	return e.peer.Addr()
}

func (e *Entry) scheme() string {
	if e.config.HTTPTLS != nil {
		return "https://"
	}
	return "http://"
}

func (e *Entry) buildHeartbeat() wire.Heartbeat {
	status := &wire.Status{}
	if current := e.spread.Current(); current != nil {
		status.Revision = current.Revision()
	}
	return wire.Heartbeat{
		Running:         e.lifecycle.Work.Count(),
		ConfigAgeMillis: e.spread.Age().Milliseconds(),
		Status:          status,
	}
}

// Run serves until ctx ends. Then it drains: ListEntries no longer returns this
// entry's address, cached responses expire at the callers, work in progress
// finishes, and only then the listeners close.
func (e *Entry) Run(ctx context.Context) error {
	e.config.Log.LogInvariantViolations()
	e.log.main.WithField("http", e.HTTPAddr()).WithField("peer", e.PeerAddr()).Info("Entry started.")
	err := e.lifecycle.Run(ctx, e.tasks())
	closeErr := e.peer.Close()
	e.log.main.Info("Entry stopped.")
	return errors.Join(err, closeErr)
}

// Kill ends Run immediately without draining, like the loss of the instance.
func (e *Entry) Kill() { e.lifecycle.Kill() }

func (e *Entry) tasks() []lifecycle.Task {
	return []lifecycle.Task{
		e.peer.Serve,
		e.directory.Run,
		e.reporter.Run,
		e.spread.Run,
		e.rollout.Run,
		e.ledger.Run,
		e.deleteExpiredClaims,
		e.pools.run,
		e.sendHeartbeatOnNewRevision,
		e.serveHTTP,
	}
}
