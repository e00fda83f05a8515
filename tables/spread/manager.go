package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// Policies for a daemon whose configuration is stale.
const (
	// OnStaleStop rejects new work until the configuration is fresh again.
	OnStaleStop = "stop"
	// OnStaleServe continues with the last known configuration.
	OnStaleServe = "serve"
)

const (
	tickInterval       = 50 * time.Millisecond
	neighboursInterval = time.Second
	eventQueueSize     = 256
	actionQueueSize    = 64
	// peerCallLoops is the number of goroutines for pushes and for pulls outside
	// the parent loop.
	peerCallLoops      = 4
	headReadTimeout    = time.Second
	storeActionTimeout = 3 * time.Second
	// peerCallTimeout bounds a push, and a pull in addition to the time for
	// which the peer may hold it.
	peerCallTimeout = 700 * time.Millisecond
	staleRetryAfter = time.Second
	snapshotObject  = "config-snapshot"
)

// Loader reads and accepts the configuration; *edit.Editor implements it.
type Loader interface {
	// Head returns the accepted revision.
	Head(ctx context.Context) (core.Revision, error)
	// Load returns the accepted rows, and the rejected rows of direct edits.
	Load(ctx context.Context) (tables.Rows, []tables.RowFault, error)
	// AcceptDirectEdits accepts direct edits of the tables and returns the
	// rejected rows.
	AcceptDirectEdits(ctx context.Context) ([]tables.RowFault, error)
}

// Config holds the settings of a Manager.
type Config struct {
	Self Neighbour
	// StoreRegion is the region of the table service.
	StoreRegion core.Region
	Peer        *wire.Endpoint
	// Loader is required on entries and optional on agents.
	Loader Loader
	// Objects stores a snapshot of the configuration, which a new process loads
	// before its first pull. nil disables the snapshot.
	Objects platform.Objects
	// Neighbours returns the daemons that are not known to have left. The
	// result may include this daemon.
	Neighbours func() []Neighbour
	// MaxAge is the age above which the configuration is stale.
	MaxAge time.Duration
	// OnStale is OnStaleStop or OnStaleServe; "" means OnStaleStop.
	OnStale string
	// MinRelays is the minimum number of relays in each data centre.
	MinRelays int
	Timing    Timing
	Log       *logrus.Entry
	Metrics   metrics.Registry
}

func (c *Config) applyDefaults() {
	setDefault(&c.OnStale, OnStaleStop)
	setDefault(&c.MaxAge, defaultMaxAge)
	if c.Log == nil {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		c.Log = logrus.NewEntry(logger)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.Timing.applyDefaults()
}

// Validate returns an error that names the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.Self.ID == "" || c.Self.Addr == "":
		return errors.New("spread: Self must have an id and an address")
	case c.Peer == nil || c.Neighbours == nil:
		return errors.New("spread: Peer and Neighbours must be set")
	case c.Self.Role == platform.RoleEntry && c.Loader == nil:
		return errors.New("spread: Loader must be set on an entry")
	case c.OnStale != "" && c.OnStale != OnStaleStop && c.OnStale != OnStaleServe:
		return fmt.Errorf("spread: on-stale %q must be %q or %q", c.OnStale, OnStaleStop, OnStaleServe)
	case c.MaxAge < 0:
		return fmt.Errorf("spread: max age %v must not be negative", c.MaxAge)
	}
	return nil
}

// view is the part of State that is published to other goroutines.
type view struct {
	config      *tables.Config
	confirmedAt time.Time
	surveyDone  bool
}

type event func(s *State, now time.Time) []Action

// Manager runs a State and carries out its actions. It is safe for concurrent
// use.
type Manager struct {
	config Config
	log    *logrus.Entry
	state  *State
	view   atomic.Pointer[view]

	events         chan event
	headReads      chan ReadHead
	storeActions   chan Action
	parentPulls    chan PullFrom
	peerCalls      chan Action
	adoptionSignal chan struct{}

	mu             sync.Mutex
	subscribers    []func(*tables.Config)
	rowFaults      []tables.RowFault
	pendingReplies map[uint64]chan SendReply
	lastToken      uint64

	encoder     encoder
	instruments instruments
}

// New returns a Manager and registers its handlers on the peer endpoint. It
// panics if Config.Validate returns an error.
func New(config Config) *Manager {
	config.applyDefaults()
	if err := config.Validate(); err != nil {
		panic(err)
	}
	m := &Manager{
		config:         config,
		log:            config.Log.WithField("part", "spread"),
		events:         make(chan event, eventQueueSize),
		headReads:      make(chan ReadHead, 1),
		storeActions:   make(chan Action, actionQueueSize),
		parentPulls:    make(chan PullFrom, 1),
		peerCalls:      make(chan Action, actionQueueSize),
		adoptionSignal: make(chan struct{}, 1),
		pendingReplies: map[uint64]chan SendReply{},
		instruments:    newInstruments(config.Metrics),
	}
	m.state = NewState(Settings{
		Self:        config.Self,
		StoreRegion: config.StoreRegion,
		MinRelays:   config.MinRelays,
		MaxAge:      config.MaxAge,
		Timing:      config.Timing,
	})
	m.view.Store(&view{})
	config.Peer.Handle(wire.KindConfigPull, m.servePull)
	config.Peer.Handle(wire.KindConfigPush, m.servePush)
	return m
}

// Run runs the manager until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){m.runState, m.readHeads, m.runStoreActions, m.runParentPulls, m.notifySubscribers}
	for range peerCallLoops {
		loops = append(loops, m.runPeerCalls)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Current returns the current configuration of this daemon, or nil if it has
// none yet.
func (m *Manager) Current() *tables.Config { return m.view.Load().config }

// Age returns the time since the configuration was last confirmed to be the
// accepted one, including the time for which the process was suspended.
func (m *Manager) Age() time.Duration { return age(time.Now(), m.view.Load().confirmedAt) }

// CheckFresh returns nil if new work may start at now with the current
// configuration, and otherwise an error with CodeNotReady or CodeConfigStale.
// Callers check it immediately before they start the work.
func (m *Manager) CheckFresh(now time.Time) error {
	v := m.view.Load()
	if v.config == nil || !v.surveyDone {
		return core.NewRefusal(core.CodeNotReady, staleRetryAfter, "no configuration yet")
	}
	if m.config.OnStale == OnStaleServe {
		return nil
	}
	if v.confirmedAt.IsZero() {
		return core.NewRefusal(core.CodeNotReady, staleRetryAfter, "revision %d has not been confirmed yet", v.config.Revision())
	}
	if currentAge := age(now, v.confirmedAt); currentAge > m.config.MaxAge {
		return core.NewRefusal(core.CodeConfigStale, staleRetryAfter, "revision %d was confirmed %v ago, limit %v",
			v.config.Revision(), currentAge.Round(time.Millisecond), m.config.MaxAge)
	}
	return nil
}

// RowFaults returns the rejected rows of direct edits that this daemon found
// when it last read the tables.
func (m *Manager) RowFaults() []tables.RowFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]tables.RowFault(nil), m.rowFaults...)
}

// Subscribe calls f with the current configuration, if any, and with each
// configuration that is adopted later. All calls are made from one goroutine in
// order of revision. A slow f skips intermediate revisions.
func (m *Manager) Subscribe(f func(*tables.Config)) {
	m.mu.Lock()
	m.subscribers = append(m.subscribers, f)
	m.mu.Unlock()
	m.signalAdoption()
}

// PublishEdit adopts the rows of an edit that was accepted through this daemon
// and announces their revision to the relays. If rows has no revision, it calls
// Refresh instead.
func (m *Manager) PublishEdit(ctx context.Context, rows tables.Rows) {
	if rows.Revision == 0 {
		m.Refresh()
		return
	}
	compiled, err := tables.Compile(rows)
	if err != nil {
		m.log.WithError(err).Error("Rows of an accepted edit do not compile; they are not adopted.")
		return
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.PublishEdit(now, compiled) })
}

// Refresh reads the accepted rows without delay and announces a new revision to
// the relays. It does nothing if the event queue is full.
func (m *Manager) Refresh() {
	select {
	case m.events <- func(s *State, now time.Time) []Action { return s.Refresh(now) }:
	default:
	}
}

func (m *Manager) post(ctx context.Context, e event) {
	select {
	case m.events <- e:
	case <-ctx.Done():
	}
}

// runState applies events to the state and dispatches the resulting actions. No
// other goroutine accesses the state.
func (m *Manager) runState(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var neighboursDue time.Time
	for {
		var actions []Action
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			actions = e(m.state, time.Now())
		case <-ticker.C:
			now := time.Now()
			if !now.Before(neighboursDue) {
				m.state.SetNeighbours(m.config.Neighbours())
				neighboursDue = now.Add(neighboursInterval)
			}
			actions = m.state.Tick(now)
		}
		m.publishView()
		for _, action := range actions {
			m.dispatch(ctx, action)
		}
	}
}

func (m *Manager) publishView() {
	m.view.Store(&view{
		config:      m.state.Config(),
		confirmedAt: m.state.Confirmed(),
		surveyDone:  m.state.SurveyDone(),
	})
	m.instruments.revision.Update(int64(m.state.Revision()))
	m.instruments.age.Update(m.Age().Milliseconds())
}

func (m *Manager) signalAdoption() {
	select {
	case m.adoptionSignal <- struct{}{}:
	default:
	}
}

// notifySubscribers calls each subscriber with revisions that are new to it.
func (m *Manager) notifySubscribers(ctx context.Context) {
	notified := map[int]core.Revision{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.adoptionSignal:
		}
		config := m.Current()
		if config == nil {
			continue
		}
		m.mu.Lock()
		subscribers := append([]func(*tables.Config){}, m.subscribers...)
		m.mu.Unlock()
		for i, subscriber := range subscribers {
			if notified[i] < config.Revision() {
				notified[i] = config.Revision()
				subscriber(config)
			}
		}
	}
}
