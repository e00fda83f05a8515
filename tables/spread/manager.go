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
	// OnStaleStop starts no new work until the configuration is fresh again.
	OnStaleStop = "stop"
	// OnStaleServe goes on with the last known configuration.
	OnStaleServe = "serve"
)

const (
	tickPeriod       = 50 * time.Millisecond
	neighboursPeriod = time.Second
	eventCapacity    = 256
	workCapacity     = 64
	sideWorkers      = 4
	headTimeout      = time.Second
	loadTimeout      = 3 * time.Second
	pullGrace        = 700 * time.Millisecond
	staleRetryAfter  = time.Second
	snapshotName     = "config-snapshot"
)

// Loader reads and accepts the configuration; *edit.Editor implements it.
type Loader interface {
	// Head returns the accepted revision.
	Head(ctx context.Context) (core.Revision, error)
	// Load returns the accepted rows and the rows that are not in force.
	Load(ctx context.Context) (tables.Rows, []tables.RowFault, error)
	// Absorb accepts direct edits and returns the rows that are not in force.
	Absorb(ctx context.Context) ([]tables.RowFault, error)
}

// Config holds the settings of a Manager.
type Config struct {
	Self Neighbour
	// StoreRegion is the region of the table service.
	StoreRegion core.Region
	Peer        *wire.Endpoint
	// Loader is needed on entries; agents do without.
	Loader Loader
	// Objects holds the snapshot for a quick start; nil for none.
	Objects platform.Objects
	// Neighbours returns the daemons that are not known to be gone, without or
	// with this one.
	Neighbours func() []Neighbour
	// MaxAge is the age over which the configuration is stale.
	MaxAge time.Duration
	// OnStale is OnStaleStop or OnStaleServe; "" means OnStaleStop.
	OnStale string
	// Relays is the least number of relays in each data centre.
	Relays  int
	Timing  Timing
	Log     *logrus.Entry
	Metrics metrics.Registry
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

// Validate checks the settings.
func (c Config) Validate() error {
	switch {
	case c.Self.ID == "" || c.Self.Addr == "":
		return errors.New("spread: own id and address are missing")
	case c.Peer == nil || c.Neighbours == nil:
		return errors.New("spread: peer endpoint or neighbours are missing")
	case c.Self.Role == platform.RoleEntry && c.Loader == nil:
		return errors.New("spread: an entry needs a loader")
	case c.OnStale != "" && c.OnStale != OnStaleStop && c.OnStale != OnStaleServe:
		return fmt.Errorf("spread: on-stale %q must be %q or %q", c.OnStale, OnStaleStop, OnStaleServe)
	case c.MaxAge < 0:
		return fmt.Errorf("spread: max age %v must not be negative", c.MaxAge)
	}
	return nil
}

// view is what readers on other goroutines see.
type view struct {
	config    *tables.Config
	confirmed time.Time
	surveyed  bool
}

type event func(s *State, now time.Time) []Action

// Manager carries out a State's actions.
type Manager struct {
	config Config
	log    *logrus.Entry
	state  *State
	view   atomic.Pointer[view]

	events  chan event
	heads   chan ReadHead
	loads   chan Action
	parents chan PullFrom
	side    chan Action
	adopted chan struct{}

	mu          sync.Mutex
	subscribers []func(*tables.Config)
	faults      []tables.RowFault
	waiting     map[uint64]chan Answer
	tokens      uint64

	encoded encoder
	gauges  gauges
}

// New returns a Manager and registers its calls on the peer endpoint. A wrong
// Config panics; use Config.Validate before.
func New(config Config) *Manager {
	config.applyDefaults()
	if err := config.Validate(); err != nil {
		panic(err)
	}
	m := &Manager{
		config:  config,
		log:     config.Log.WithField("part", "spread"),
		events:  make(chan event, eventCapacity),
		heads:   make(chan ReadHead, 1),
		loads:   make(chan Action, workCapacity),
		parents: make(chan PullFrom, 1),
		side:    make(chan Action, workCapacity),
		adopted: make(chan struct{}, 1),
		waiting: map[uint64]chan Answer{},
		gauges:  newGauges(config.Metrics),
	}
	m.state = NewState(Settings{
		Self:        config.Self,
		StoreRegion: config.StoreRegion,
		Relays:      config.Relays,
		MaxAge:      config.MaxAge,
		Timing:      config.Timing,
	})
	m.view.Store(&view{})
	config.Peer.Handle(wire.KindConfigPull, m.servePull)
	config.Peer.Handle(wire.KindConfigPush, m.servePush)
	return m
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	duties := []func(context.Context){m.decide, m.readHeads, m.runLoads, m.pullParents, m.notify}
	for range sideWorkers {
		duties = append(duties, m.runSide)
	}
	for _, duty := range duties {
		group.Go(func() error {
			duty(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Current returns the configuration in force; nil before there is one.
func (m *Manager) Current() *tables.Config { return m.view.Load().config }

// Age returns how long ago the configuration was known to be the accepted one.
// It counts pauses of the process.
func (m *Manager) Age() time.Duration { return age(time.Now(), m.view.Load().confirmed) }

// CheckFresh returns nil when new work may start at now under Current, else an
// error with CodeNotReady or CodeConfigStale. It is meant for the check right
// before a start.
func (m *Manager) CheckFresh(now time.Time) error {
	v := m.view.Load()
	if v.config == nil || !v.surveyed {
		return core.NewRefusal(core.CodeNotReady, staleRetryAfter, "no configuration yet")
	}
	if m.config.OnStale == OnStaleServe {
		return nil
	}
	if v.confirmed.IsZero() {
		return core.NewRefusal(core.CodeNotReady, staleRetryAfter, "revision %d was never confirmed", v.config.Revision())
	}
	if old := age(now, v.confirmed); old > m.config.MaxAge {
		return core.NewRefusal(core.CodeConfigStale, staleRetryAfter, "revision %d was confirmed %v ago, limit %v",
			v.config.Revision(), old.Round(time.Millisecond), m.config.MaxAge)
	}
	return nil
}

// RowFaults returns the rows of direct edits that are not in force, as far as
// this daemon looked.
func (m *Manager) RowFaults() []tables.RowFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]tables.RowFault(nil), m.faults...)
}

// Subscribe calls f with each configuration put in force from now on, and with
// the present one if there is one. Calls come from one goroutine, in order;
// a slow f misses revisions between the first and the last.
func (m *Manager) Subscribe(f func(*tables.Config)) {
	m.mu.Lock()
	m.subscribers = append(m.subscribers, f)
	m.mu.Unlock()
	m.signalAdopted()
}

// PublishEdit puts a revision in force that an edit through this daemon made, and
// passes it on. rows without a revision are ignored.
func (m *Manager) PublishEdit(ctx context.Context, rows tables.Rows) {
	if rows.Revision == 0 {
		m.Nudge()
		return
	}
	compiled, err := tables.Compile(rows)
	if err != nil {
		m.log.WithError(err).Error("Offered rows do not compile.")
		return
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.Offer(now, compiled) })
}

// Nudge reads the accepted revision at once and passes it on.
func (m *Manager) Nudge() {
	select {
	case m.events <- func(s *State, now time.Time) []Action { return s.Nudge(now) }:
	default:
	}
}

func (m *Manager) post(ctx context.Context, e event) {
	select {
	case m.events <- e:
	case <-ctx.Done():
	}
}

// decide owns the state: it applies events and hands the actions to the other
// duties.
func (m *Manager) decide(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
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
				neighboursDue = now.Add(neighboursPeriod)
			}
			actions = m.state.Tick(now)
		}
		m.publish()
		for _, action := range actions {
			m.dispatch(ctx, action)
		}
	}
}

func (m *Manager) publish() {
	m.view.Store(&view{
		config:    m.state.Config(),
		confirmed: m.state.Confirmed(),
		surveyed:  m.state.Surveyed(),
	})
	m.gauges.revision.Update(int64(m.state.Revision()))
	m.gauges.age.Update(m.Age().Milliseconds())
}

func (m *Manager) signalAdopted() {
	select {
	case m.adopted <- struct{}{}:
	default:
	}
}

// notify calls the subscribers.
func (m *Manager) notify(ctx context.Context) {
	told := map[int]core.Revision{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.adopted:
		}
		config := m.Current()
		if config == nil {
			continue
		}
		m.mu.Lock()
		subscribers := append([]func(*tables.Config){}, m.subscribers...)
		m.mu.Unlock()
		for i, subscriber := range subscribers {
			if told[i] < config.Revision() {
				told[i] = config.Revision()
				subscriber(config)
			}
		}
	}
}
