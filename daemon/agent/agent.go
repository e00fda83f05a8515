// Package agent is the daemon in a backend server instance's slot. It is the
// only process that speaks to its backend server: it admits requests, keeps the
// engine's weights at the pinned version and reports its state.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
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

// Agent is one agent process.
type Agent struct {
	config      Config
	incarnation core.Incarnation
	peer        *wire.Endpoint
	platform    *client.Client
	backend     *backend
	gate        *admission.Gate
	spread      *spread.Manager
	reporter    *members.Reporter
	lease       *lease.Lease
	swarm       *swarm.Manager
	registry    metrics.Registry
	log         agentLogs
	engine      atomic.Pointer[engineView]
	reading     sync.Mutex
	// activating counts orders to the engine whose effect on its state was not
	// read yet.
	activating atomic.Int32
	life       *lifecycle.Lifecycle
	seen       seenWeights
}

type agentLogs struct {
	main, request, weights, config *logrus.Entry
}

// New checks the settings, opens the peer endpoint and wires the parts.
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
		log:         newLogs(config.Log),
	}
	a.engine.Store(&engineView{})
	a.gate = admission.New(admission.Config{Incarnation: a.incarnation, Limits: startLimits})
	if err := a.wire(); err != nil {
		_ = peer.Close()
		return nil, err
	}
	return a, nil
}

const releaseTimeout = 2 * time.Second

// leaveNotice leaves time for all entries to learn of the leave, while
// dispatches are still refused by an answer.
const leaveNotice = 2 * time.Second

// startLimits hold until the pool's limits are known.
var startLimits = tables.Limits{ColdRequests: 1, WarmRequests: 1}

func newLogs(log *obs.Logger) agentLogs {
	return agentLogs{
		main:    log.Component("agent"),
		request: log.Component("request"),
		weights: log.Component("weights"),
		config:  log.Component("config"),
	}
}

// newIncarnation numbers this process. A later process of the same slot gets a
// larger number as long as the instance's clock does not go back past the start
// of the earlier process.
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

func (a *Agent) wire() error {
	var err error
	a.reporter, err = members.NewReporter(members.ReporterConfig{
		Self:           a.self(),
		Incarnation:    a.incarnation,
		Peer:           a.peer,
		InstanceList:   a.platform,
		BuildHeartbeat: a.heartbeat,
		OnReplaced:     func() { a.life.Stop() },
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
	a.life = lifecycle.New(lifecycle.Config{
		Notifier:     a.reporter,
		NoticePeriod: leaveNotice,
		DrainTimeout: a.config.DrainTimeout,
		Running:      func() int { return a.gate.Load(time.Now()).Running },
		Abort:        func() { _ = a.peer.Close() },
		Log:          a.log.main,
	})
	if err := a.wireSpread(); err != nil {
		return err
	}
	if err := a.wireWeights(); err != nil {
		return err
	}
	a.peer.Handle(wire.KindDispatch, a.handleDispatch)
	a.peer.Handle(wire.KindTombstone, a.handleTombstone)
	return nil
}

// PeerAddr returns the address by which other daemons reach this one.
func (a *Agent) PeerAddr() string {
	if a.config.PeerAdvertise != "" {
		return a.config.PeerAdvertise
	}
	return a.peer.Addr()
}

// Incarnation returns the number of this process.
func (a *Agent) Incarnation() core.Incarnation { return a.incarnation }

// Run serves until ctx ends, then drains: it starts no new work, waits for
// work in progress up to the drain time and stops.
func (a *Agent) Run(ctx context.Context) error {
	a.config.Log.LogInvariantViolations()
	a.log.main.WithField("peer", a.PeerAddr()).Info("Agent started.")
	err := a.life.Run(ctx, a.duties())
	a.releaseLease()
	closeErr := a.peer.Close()
	a.log.main.Info("Agent stopped.")
	return errors.Join(err, closeErr)
}

// releaseLease spares the next agent of this slot the wait for the lease's end.
func (a *Agent) releaseLease() {
	if !a.life.Draining() || a.lease.FencingToken() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := a.lease.Release(ctx); err != nil {
		a.log.main.WithError(err).Info("Lease not released.")
	}
}

// Kill ends Run at once, without a drain, as the loss of the instance would.
func (a *Agent) Kill() { a.life.Kill() }

func (a *Agent) duties() []lifecycle.Task {
	duties := []lifecycle.Task{
		a.peer.Serve,
		a.spread.Run,
		a.reporter.Run,
		a.pollEngine,
		a.followConfig,
	}
	if a.swarm != nil {
		duties = append(duties, a.swarm.Run)
	}
	if a.config.HTTPListen != "" {
		duties = append(duties, a.serveHTTP)
	}
	return duties
}

func (a *Agent) serveHTTP(ctx context.Context) error {
	mux := http.NewServeMux()
	obs.RegisterHandlers(mux, a.registry, a.ready)
	server := &http.Server{Addr: a.config.HTTPListen, Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("http-listen: %w", err)
	}
	return nil
}

func (a *Agent) ready() error {
	if a.life.Draining() {
		return core.NewRefusal(core.CodeDraining, 0, "leaving")
	}
	return a.spread.CheckFresh(time.Now())
}
