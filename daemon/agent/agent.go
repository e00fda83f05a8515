// Package agent implements the agent, the daemon that runs beside one backend
// server. Only the agent sends requests to its backend server. It admits
// requests, keeps the engine at the pool's pinned weights version and reports
// its state to the entries.
package agent

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/netlimit"
	"currantusher.dev/daemon/lifecycle"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/members"
	"currantusher.dev/members/lease"
	"currantusher.dev/platform"
	"currantusher.dev/platform/client"
	"currantusher.dev/requests/admission"
	"currantusher.dev/tables"
	"currantusher.dev/tables/spread"
	"currantusher.dev/weights/swarm"
	"currantusher.dev/wire"
)

// Agent is one agent process. Its exported methods are safe for concurrent use.
type Agent struct {
	config       Config
	incarnation  core.Incarnation
	peer         *wire.Endpoint
	platform     *client.Client
	backend      *backend
	gate         *admission.Gate
	spread       *spread.Manager
	reporter     *members.Reporter
	lease        *lease.Lease
	swarm        *swarm.Manager
	registry     metrics.Registry
	log          agentLoggers
	engineStatus atomic.Pointer[engineStatus]
	engineReadMu sync.Mutex
	// pendingActivations counts the activations after which the engine's state
	// has not been read yet.
	pendingActivations atomic.Int32
	lifecycle          *lifecycle.Lifecycle
	recentWeights      digestHistory
}

type agentLoggers struct {
	main, request, weights, config *logrus.Entry
}

// New validates the settings, opens the peer endpoint and creates the components.
func New(config Config) (*Agent, error) {
	config = config.applyDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	peer, err := wire.Listen(config.PeerListen, config.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		config:      config,
		incarnation: newIncarnation(),
		peer:        peer,
		platform:    client.New(client.Config{BaseURL: config.PlatformURL}),
		backend:     newBackend(config.BackendURL),
		registry:    metrics.NewRegistry(),
		log:         newLoggers(config.Log),
	}
	obs.RegisterPeerLimits(a.registry, a.log.main, peer)
	a.engineStatus.Store(&engineStatus{})
	a.gate = admission.New(admission.Config{Incarnation: a.incarnation, Limits: initialLimits})
	if err := a.initComponents(); err != nil {
		_ = peer.Close()
		return nil, err
	}
	return a, nil
}

// leaseReleaseTimeout bounds the release of the engine lease at a planned stop.
const leaseReleaseTimeout = 2 * time.Second

// leaveNoticePeriod is the time for the announcement that the agent is leaving to
// reach all entries. Until it ends the agent still answers dispatches, with a
// refusal.
const leaveNoticePeriod = 2 * time.Second

// initialLimits apply until the agent receives the limits of its pool.
var initialLimits = tables.Limits{ColdRequests: 1, WarmRequests: 1}

func newLoggers(log *obs.Logger) agentLoggers {
	return agentLoggers{
		main:    log.Component("agent"),
		request: log.Component("request"),
		weights: log.Component("weights"),
		config:  log.Component("config"),
	}
}

// newIncarnation returns the incarnation of this process, its start time in Unix
// nanoseconds. A later agent of the same instance gets a larger number unless
// the clock was set back to before the start of the earlier process.
func newIncarnation() core.Incarnation {
	return core.Incarnation(time.Now().UnixNano())
}

func (a *Agent) self() platform.Instance {
	return platform.Instance{
		ID:         a.config.Instance,
		Role:       platform.RoleAgent,
		DataCentre: a.config.DataCentre,
		Group:      a.config.Group,
		State:      platform.InstanceLive,
		PeerAddr:   a.PeerAddr(),
	}
}

func (a *Agent) initComponents() error {
	var err error
	a.reporter, err = members.NewReporter(members.ReporterConfig{
		Self:           a.self(),
		Incarnation:    a.incarnation,
		Peer:           a.peer,
		InstanceList:   a.platform,
		BuildHeartbeat: a.buildHeartbeat,
		OnReplaced:     func() { a.lifecycle.Stop() },
		Log:            a.config.Log.Component("members"),
	})
	if err != nil {
		return err
	}
	a.lease, err = lease.New(lease.Config{
		Tables: a.platform,
		Key:    platform.RowKey{Table: "lease", Key: string(a.config.Instance)},
		Holder: fmt.Sprintf("%s/%d", a.config.Instance, a.incarnation),
		TTL:    a.config.LeaseDuration,
	})
	if err != nil {
		return err
	}
	a.lifecycle = lifecycle.New(lifecycle.Config{
		Notifier:     a.reporter,
		NoticePeriod: leaveNoticePeriod,
		DrainTimeout: a.config.DrainTimeout,
		Running:      func() int { return a.gate.Load(time.Now()).Running },
		Abort:        func() { _ = a.peer.Close() },
		Log:          a.log.main,
	})
	if err := a.initSpread(); err != nil {
		return err
	}
	if err := a.initWeights(); err != nil {
		return err
	}
	a.peer.Handle(wire.KindDispatch, a.handleDispatch)
	a.peer.Handle(wire.KindTombstone, a.handleTombstone)
	return nil
}

// PeerAddr returns the address at which other daemons reach this agent.
func (a *Agent) PeerAddr() string {
	if a.config.PeerAdvertise != "" {
		return a.config.PeerAdvertise
	}
	return a.peer.Addr()
}

// Incarnation returns the incarnation of this process.
func (a *Agent) Incarnation() core.Incarnation { return a.incarnation }

// Run serves until ctx ends. Then it drains: it starts no new work, waits for
// work in progress until the drain timeout, and stops.
func (a *Agent) Run(ctx context.Context) error {
	a.config.Log.LogInvariantViolations()
	a.log.main.WithField("peer", a.PeerAddr()).Info("Agent started.")
	err := a.lifecycle.Run(ctx, a.tasks())
	a.releaseLease()
	closeErr := a.peer.Close()
	a.log.main.Info("Agent stopped.")
	return errors.Join(err, closeErr)
}

// releaseLease releases the engine lease at a planned stop, so that the next agent
// of this backend server need not wait until the lease expires.
func (a *Agent) releaseLease() {
	if !a.lifecycle.Draining() || a.lease.FencingToken() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	if err := a.lease.Release(ctx); err != nil {
		a.log.main.WithError(err).Info("Could not release the engine lease; the next agent must wait until it expires.")
	}
}

// Kill ends Run immediately without draining, like the loss of the instance.
func (a *Agent) Kill() { a.lifecycle.Kill() }

func (a *Agent) tasks() []lifecycle.Task {
	tasks := []lifecycle.Task{
		a.peer.Serve,
		a.spread.Run,
		a.reporter.Run,
		a.pollEngineState,
		a.followConfig,
	}
	if a.swarm != nil {
		tasks = append(tasks, a.swarm.Run)
	}
	if a.config.HTTPListen != "" {
		tasks = append(tasks, a.serveHTTP)
	}
	return tasks
}

// httpLimits are the limits of the listener for metrics and health checks, which are a few a
// second.
var httpLimits = netlimit.Limits{
	Name: "http", Conns: 32, HeadBytes: 4 << 10, TransferBytes: 4 << 20,
	HeadTime: time.Second, IdleTime: 30 * time.Second, WriteTime: 5 * time.Second, AnswerTime: time.Minute,
}

func (a *Agent) serveHTTP(ctx context.Context) error {
	mux := http.NewServeMux()
	obs.RegisterHandlers(mux, a.registry, a.ready)
	inner, err := net.Listen("tcp", a.config.HTTPListen)
	if err != nil {
		return fmt.Errorf("http-listen: %w", err)
	}
	listener := obs.LimitListener(a.registry, a.log.main, inner, httpLimits)
	server := &http.Server{Handler: mux, ErrorLog: stdlog.New(a.log.main.WriterLevel(logrus.DebugLevel), "", 0)}
	listener.Configure(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("http-listen: %w", err)
	}
	return nil
}

func (a *Agent) ready() error {
	if a.lifecycle.Draining() {
		return core.NewRefusal(core.CodeDraining, 0, "leaving")
	}
	return a.spread.CheckFresh(time.Now())
}
