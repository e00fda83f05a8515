package members

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	defaultTickPeriod          = 500 * time.Millisecond
	defaultExchangePeriod      = 2 * time.Second
	defaultMinExchangeInterval = 200 * time.Millisecond
	defaultListPeriod          = 2 * time.Second
	defaultSuspectAfter        = 3500 * time.Millisecond
	defaultGoneAfter           = 15 * time.Second
	defaultRetention           = 10 * time.Minute
	defaultConfigMaxAge        = 5 * time.Second
	// missedExchangesUntilSuspected is the number of exchange periods without
	// an exchange after which a neighbour is suspected.
	missedExchangesUntilSuspected = 3
	defaultLeaseMargin            = 500 * time.Millisecond
)

// DirectoryConfig configures a Directory. Zero periods take defaults.
type DirectoryConfig struct {
	Self         platform.Instance
	Incarnation  core.Incarnation
	Peer         *wire.Endpoint
	InstanceList platform.InstanceList
	// ConfigMaxAge is the configuration age at which every daemon stops
	// starting new work.
	ConfigMaxAge time.Duration
	// ServeStaleConfig disables the limit of ConfigMaxAge: daemons keep
	// starting work with an older configuration. A silent daemon then blocks
	// InForce until its record is removed.
	ServeStaleConfig bool
	// LeaseMargin is added to ConfigMaxAge to allow for clock drift.
	LeaseMargin time.Duration
	// TickPeriod is the time between checks for overdue reports.
	TickPeriod time.Duration
	// ExchangePeriod is the time between exchanges with a neighbour. After a
	// change that needs to spread, the next exchange follows sooner, but at
	// least MinExchangeInterval after the previous one.
	ExchangePeriod      time.Duration
	MinExchangeInterval time.Duration
	ListPeriod          time.Duration
	// SuspectAfter is the time without reports after which a daemon is
	// suspected; GoneAfter is the time for which it stays suspected before it
	// is gone.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// Retention is how long the record of a daemon that is gone is kept.
	Retention time.Duration
	// Now is the clock. The default is time.Now.
	Now func() time.Time
	// Log is the logger. The default is the standard logger with part=members.
	Log logrus.FieldLogger
	// Metrics receives the counters. The default is a new registry.
	Metrics metrics.Registry
}

func (c *DirectoryConfig) applyDefaults() error {
	if c.Self.ID == "" || c.Self.PeerAddr == "" {
		return errors.New("members: Self must have an ID and a PeerAddr")
	}
	if c.Incarnation == 0 {
		return errors.New("members: Incarnation must not be 0")
	}
	if c.Peer == nil || c.InstanceList == nil {
		return errors.New("members: Peer and InstanceList are required")
	}
	setDefault(&c.ConfigMaxAge, defaultConfigMaxAge)
	setDefault(&c.LeaseMargin, defaultLeaseMargin)
	setDefault(&c.TickPeriod, defaultTickPeriod)
	setDefault(&c.ExchangePeriod, defaultExchangePeriod)
	setDefault(&c.MinExchangeInterval, defaultMinExchangeInterval)
	setDefault(&c.ListPeriod, defaultListPeriod)
	setDefault(&c.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.GoneAfter, defaultGoneAfter)
	setDefault(&c.Retention, defaultRetention)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger().WithField("part", "members")
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return nil
}

// configLease returns how long a daemon may start new work with a configuration
// that it cannot confirm, including the margin for clock drift.
func (c *DirectoryConfig) configLease() time.Duration {
	if c.ServeStaleConfig {
		return math.MaxInt64
	}
	return c.ConfigMaxAge + c.LeaseMargin
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Directory holds an entry's view of the daemons in the fleet. It is safe for
// concurrent use.
type Directory struct {
	config DirectoryConfig

	mu     sync.Mutex
	roster *roster
	// exchangesInProgress contains the entries with an exchange in progress.
	exchangesInProgress map[core.InstanceID]bool

	urgentChange     chan struct{}
	exchangeCount    metrics.Counter
	exchangeFailures metrics.Counter
	lateHeartbeats   metrics.Counter
	stateChanges     metrics.Counter
}

// NewDirectory returns a directory and registers its handlers on config.Peer.
// It must be called before the peer serves.
func NewDirectory(config DirectoryConfig) (*Directory, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	d := &Directory{
		config: config,
		roster: newRoster(config.Self, config.Incarnation, timing{
			agentSuspectAfter: config.SuspectAfter,
			entrySuspectAfter: max(config.SuspectAfter, missedExchangesUntilSuspected*config.ExchangePeriod),
			goneAfter:         config.GoneAfter,
			retention:         config.Retention,
			lease:             config.configLease(),
		}),
		exchangesInProgress: map[core.InstanceID]bool{},
		urgentChange:        make(chan struct{}, 1),
		exchangeCount:       metrics.GetOrRegisterCounter("members.exchanges", config.Metrics),
		exchangeFailures:    metrics.GetOrRegisterCounter("members.exchange-failures", config.Metrics),
		lateHeartbeats:      metrics.GetOrRegisterCounter("members.late-heartbeats", config.Metrics),
		stateChanges:        metrics.GetOrRegisterCounter("members.state-changes", config.Metrics),
	}
	config.Peer.Handle(wire.KindHeartbeat, d.serveHeartbeats)
	config.Peer.Handle(wire.KindMembershipSummary, d.serveSummary)
	return d, nil
}

// Run updates the directory until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){d.runTicks, d.pollInstanceList, d.runExchanges} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return nil
}

func (d *Directory) runTicks(ctx context.Context) {
	ticker := time.NewTicker(d.config.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.update(func(r *roster, now time.Time) { r.tick(now) })
		}
	}
}

func (d *Directory) pollInstanceList(ctx context.Context) {
	for {
		d.readInstanceList(ctx)
		if !sleep(ctx, jitter(scaledPeriod(d.config.ListPeriod, entryListPeriodPerDaemon, d.fleetSize()))) {
			return
		}
	}
}

func (d *Directory) readInstanceList(ctx context.Context) {
	instances, err := d.config.InstanceList.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			d.config.Log.WithError(err).Warn("Cannot read the platform's instance list; the previous list stays in use.")
		}
		return
	}
	d.update(func(r *roster, now time.Time) { r.applyList(now, instances) })
}

func (d *Directory) fleetSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.roster.records)
}

// update applies a change to the roster. If the change must spread soon, it
// triggers an early exchange.
func (d *Directory) update(apply func(r *roster, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasUrgent := d.roster.hasUrgentChange
	apply(d.roster, d.config.Now())
	if !d.roster.hasUrgentChange {
		return
	}
	if !wasUrgent {
		d.stateChanges.Inc(1)
	}
	select {
	case d.urgentChange <- struct{}{}:
	default:
	}
}

// applyOwnHeartbeat applies the entry's own heartbeat. It reports whether a
// later process of the same instance has replaced this one.
func (d *Directory) applyOwnHeartbeat(heartbeat wire.Heartbeat) bool {
	var replaced bool
	d.update(func(r *roster, now time.Time) {
		r.applyHeartbeat(now, d.config.Self, heartbeat)
		replaced = r.replaced
	})
	return replaced
}

// jitter returns period with a random deviation of up to 10%, so that daemons
// do not act in step.
func jitter(period time.Duration) time.Duration {
	tenth := int64(period) / 10
	if tenth == 0 {
		return period
	}
	return period - time.Duration(tenth) + time.Duration(rand.Int64N(2*tenth))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
