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
	defaultTickPeriod     = 500 * time.Millisecond
	defaultExchangePeriod = 2 * time.Second
	defaultExchangeGap    = 200 * time.Millisecond
	defaultListPeriod     = 2 * time.Second
	defaultSuspectAfter   = 3500 * time.Millisecond
	defaultGoneAfter      = 15 * time.Second
	defaultRetention      = 10 * time.Minute
	defaultConfigMaxAge   = 5 * time.Second
	// exchangesPerSuspicion is how many exchanges an entry may miss before it
	// is suspected.
	exchangesPerSuspicion = 3
	defaultLeaseMargin    = 500 * time.Millisecond
)

// DirectoryConfig configures a Directory. Zero periods take defaults.
type DirectoryConfig struct {
	Self         platform.Instance
	Incarnation  core.Incarnation
	Peer         *wire.Endpoint
	InstanceList platform.InstanceList
	// ConfigMaxAge is the age of its configuration at which every daemon of
	// the fleet stops starting new work.
	ConfigMaxAge time.Duration
	// ServeStaleConfig says that daemons go on past ConfigMaxAge. A silent daemon
	// then never stops counting for InForce until it is forgotten.
	ServeStaleConfig bool
	// LeaseMargin is added to ConfigMaxAge for the drift between clocks.
	LeaseMargin time.Duration
	// TickPeriod is how often silence is looked for.
	TickPeriod time.Duration
	// ExchangePeriod is the time between exchanges with a neighbour; a change
	// of state shortens it to ExchangeGap.
	ExchangePeriod time.Duration
	ExchangeGap    time.Duration
	ListPeriod     time.Duration
	// SuspectAfter is how long a daemon may be silent before it is suspected,
	// GoneAfter how long it stays suspected.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// Retention is how long a daemon that is gone is remembered.
	Retention time.Duration
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Log receives the log lines of this part.
	Log logrus.FieldLogger
	// Metrics receives counters; a new registry by default.
	Metrics metrics.Registry
}

func (c *DirectoryConfig) applyDefaults() error {
	if c.Self.ID == "" || c.Self.PeerAddr == "" {
		return errors.New("members: Self needs an ID and a PeerAddr")
	}
	if c.Incarnation == 0 {
		return errors.New("members: Incarnation must not be 0")
	}
	if c.Peer == nil || c.InstanceList == nil {
		return errors.New("members: Peer and List are required")
	}
	setDefault(&c.ConfigMaxAge, defaultConfigMaxAge)
	setDefault(&c.LeaseMargin, defaultLeaseMargin)
	setDefault(&c.TickPeriod, defaultTickPeriod)
	setDefault(&c.ExchangePeriod, defaultExchangePeriod)
	setDefault(&c.ExchangeGap, defaultExchangeGap)
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

// lease is how long a daemon may go on with a configuration that it cannot
// confirm.
func (c *DirectoryConfig) lease() time.Duration {
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

// Directory is an entry's knowledge of the fleet. It is safe for concurrent
// use.
type Directory struct {
	config DirectoryConfig

	mu     sync.Mutex
	roster *roster
	// calls holds the neighbours with an exchange in progress.
	calls map[core.InstanceID]bool

	urgent    chan struct{}
	exchanges metrics.Counter
	failures  metrics.Counter
	rejected  metrics.Counter
	changes   metrics.Counter
}

// NewDirectory returns a directory and registers its handlers on the peer, so
// call it before the peer serves.
func NewDirectory(config DirectoryConfig) (*Directory, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	d := &Directory{
		config: config,
		roster: newRoster(config.Self, config.Incarnation, timing{
			suspectAfter: config.SuspectAfter,
			entryAfter:   max(config.SuspectAfter, exchangesPerSuspicion*config.ExchangePeriod),
			goneAfter:    config.GoneAfter,
			retention:    config.Retention,
			lease:        config.lease(),
		}),
		calls:     map[core.InstanceID]bool{},
		urgent:    make(chan struct{}, 1),
		exchanges: metrics.GetOrRegisterCounter("members.exchanges", config.Metrics),
		failures:  metrics.GetOrRegisterCounter("members.exchange-failures", config.Metrics),
		rejected:  metrics.GetOrRegisterCounter("members.late-heartbeats", config.Metrics),
		changes:   metrics.GetOrRegisterCounter("members.state-changes", config.Metrics),
	}
	config.Peer.Handle(wire.KindHeartbeat, d.serveHeartbeats)
	config.Peer.Handle(wire.KindMembershipSummary, d.serveSummary)
	return d, nil
}

// Run keeps the directory up to date until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){d.runTicks, d.runList, d.runExchanges} {
		wg.Go(func() { duty(ctx) })
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

func (d *Directory) runList(ctx context.Context) {
	for {
		d.readList(ctx)
		if !sleep(ctx, jitter(stretched(d.config.ListPeriod, listPerEntry, d.size()))) {
			return
		}
	}
}

func (d *Directory) readList(ctx context.Context) {
	instances, err := d.config.InstanceList.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			d.config.Log.WithError(err).Warn("Cannot read the list of instances.")
		}
		return
	}
	d.update(func(r *roster, now time.Time) { r.list(now, instances) })
}

func (d *Directory) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.roster.records)
}

// update changes the roster and asks for an early exchange when the change
// should spread.
func (d *Directory) update(apply func(r *roster, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasUrgent := d.roster.urgent
	apply(d.roster, d.config.Now())
	if !d.roster.urgent {
		return
	}
	if !wasUrgent {
		d.changes.Inc(1)
	}
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// self applies the entry's own report. It reports whether a later process runs
// in this one's place.
func (d *Directory) self(beat wire.Heartbeat) bool {
	var replaced bool
	d.update(func(r *roster, now time.Time) {
		r.heard(now, d.config.Self, beat)
		replaced = r.replaced
	})
	return replaced
}

// jitter spreads periodic work by a tenth around period.
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
