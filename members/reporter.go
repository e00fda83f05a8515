package members

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	defaultHeartbeatPeriod = time.Second
	defaultAnnouncePeriod  = 2 * time.Second
	defaultMaxHomes        = 3
	defaultPerDataCentre   = 1
	homeBackoff            = 5 * time.Second
	leaveTimeout           = 2 * time.Second
)

// ReporterConfig configures a Reporter. Zero values take defaults.
type ReporterConfig struct {
	Self         platform.Instance
	Incarnation  core.Incarnation
	Peer         *wire.Endpoint
	InstanceList platform.InstanceList
	// BuildHeartbeat returns the daemon's current state. Incarnation, Sequence,
	// Leaving, Left, Acknowledge and Instance are filled in by the Reporter.
	BuildHeartbeat func() wire.Heartbeat
	// Directory, on entries, receives the reports instead of other entries:
	// the exchange of summaries spreads them.
	Directory *Directory
	// OnReplaced is called once when an entry says that a later process runs in
	// this daemon's place. From then on the daemon reports that it is leaving;
	// it should start no new work.
	OnReplaced func()
	// HeartbeatPeriod is the time between two reports.
	HeartbeatPeriod time.Duration
	// AnnouncePeriod is the shortest time between two announcements, and between
	// two readings of the list; both are stretched in large fleets.
	AnnouncePeriod time.Duration
	// PerDataCentre is the number of entries reported to in each data centre,
	// MaxHomes the number in all.
	PerDataCentre int
	MaxHomes      int
	// Now is the clock; time.Now by default.
	Now func() time.Time
	Log logrus.FieldLogger
}

func (c *ReporterConfig) applyDefaults() error {
	if c.Self.ID == "" || c.Self.PeerAddr == "" {
		return errors.New("members: Self needs an ID and a PeerAddr")
	}
	if c.Incarnation == 0 {
		return errors.New("members: Incarnation must not be 0")
	}
	if c.Peer == nil || c.InstanceList == nil || c.BuildHeartbeat == nil {
		return errors.New("members: Peer, List and Report are required")
	}
	setDefault(&c.HeartbeatPeriod, defaultHeartbeatPeriod)
	setDefault(&c.AnnouncePeriod, defaultAnnouncePeriod)
	if c.PerDataCentre == 0 {
		c.PerDataCentre = defaultPerDataCentre
	}
	if c.MaxHomes == 0 {
		c.MaxHomes = defaultMaxHomes
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger().WithField("part", "members")
	}
	return nil
}

func (c *ReporterConfig) homes() homeRule {
	return homeRule{perDataCentre: c.PerDataCentre, limit: c.MaxHomes}
}

// Reporter announces a daemon in the platform's list and reports its state to
// a few entries.
type Reporter struct {
	config ReporterConfig

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	left     bool
	// wasReplaced is set when an entry knows a later incarnation.
	wasReplaced bool

	entries  []platform.Instance
	listSize int
	// preferred holds the entries that the balanced assignment gives.
	preferred map[core.InstanceID]bool
	homes     map[core.InstanceID]*home
	// avoid holds entries that failed, until the time given.
	avoid map[core.InstanceID]time.Time

	early chan struct{}
	wg    sync.WaitGroup
}

// NewReporter returns a reporter that is idle until Run.
func NewReporter(config ReporterConfig) (*Reporter, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Reporter{
		config: config,
		homes:  map[core.InstanceID]*home{},
		avoid:  map[core.InstanceID]time.Time{},
		early:  make(chan struct{}, 1),
	}, nil
}

// Run announces and reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.wg.Go(func() { r.runAnnouncements(ctx) })
	if r.config.Directory == nil {
		r.wg.Go(func() { r.runList(ctx) })
	}
	r.runReports(ctx)
	r.wg.Wait()
	return nil
}

func (r *Reporter) runAnnouncements(ctx context.Context) {
	for {
		r.announce(ctx)
		if !sleep(ctx, jitter(stretched(r.config.AnnouncePeriod, announcePerMember, r.fleetSize()))) {
			return
		}
	}
}

func (r *Reporter) runList(ctx context.Context) {
	for {
		r.readList(ctx)
		period := r.config.AnnouncePeriod
		if r.reporting() {
			period = stretched(period, listPerAgent, r.fleetSize())
		}
		if !sleep(ctx, jitter(period)) {
			return
		}
	}
}

// reporting reports whether at least one entry takes the reports.
func (r *Reporter) reporting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.homes) > 0
}

func (r *Reporter) fleetSize() int {
	if r.config.Directory != nil {
		return r.config.Directory.size()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listSize
}

func (r *Reporter) announce(ctx context.Context) {
	if err := r.config.InstanceList.Announce(ctx, r.self()); err != nil && ctx.Err() == nil {
		r.config.Log.WithError(err).Warn("Cannot announce this instance.")
	}
}

func (r *Reporter) self() platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	instance := r.config.Self
	instance.State = platform.InstanceLive
	if r.leaving {
		instance.State = platform.InstanceLeaving
	}
	return instance
}

func (r *Reporter) readList(ctx context.Context) {
	instances, err := r.config.InstanceList.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.config.Log.WithError(err).Warn("Cannot read the list of instances.")
		}
		return
	}
	var entries []platform.Instance
	for _, instance := range instances {
		if instance.Role == platform.RoleEntry && instance.State == platform.InstanceLive {
			entries = append(entries, instance)
		}
	}
	preferred := r.config.homes().balance(r.config.Self, instances)
	r.mu.Lock()
	first := len(r.entries) == 0
	r.preferred = preferred
	r.entries = entries
	r.listSize = len(instances)
	r.mu.Unlock()
	if first {
		r.reportEarly()
	}
}

func (r *Reporter) runReports(ctx context.Context) {
	ticker := time.NewTicker(r.config.HeartbeatPeriod)
	defer ticker.Stop()
	for {
		r.report(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.early:
		}
	}
}

func (r *Reporter) reportEarly() {
	select {
	case r.early <- struct{}{}:
	default:
	}
}

// ReportNow sends a report without waiting for the period, for a change that
// others should know soon.
func (r *Reporter) ReportNow() { r.reportEarly() }

// report hands one report to all homes.
func (r *Reporter) report(ctx context.Context) {
	beat := r.next()
	if r.config.Directory != nil {
		if r.config.Directory.self(beat) {
			r.replaced()
		}
		return
	}
	for _, h := range r.chooseHomes(ctx) {
		h.offer(beat)
	}
}

// next makes the next report of this incarnation.
func (r *Reporter) next() wire.Heartbeat {
	beat := r.config.BuildHeartbeat()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	beat.Incarnation = r.config.Incarnation
	beat.Sequence = r.sequence
	beat.Leaving = r.leaving
	beat.Left = r.left
	return beat
}

// chooseHomes starts and stops senders so that they match the entries chosen,
// and returns the running ones.
func (r *Reporter) chooseHomes(ctx context.Context) []*home {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	avoid := map[core.InstanceID]bool{}
	for id, until := range r.avoid {
		if now.Before(until) {
			avoid[id] = true
		} else {
			delete(r.avoid, id)
		}
	}
	chosen := map[core.InstanceID]platform.Instance{}
	for _, entry := range r.config.homes().choose(r.config.Self, r.entries, avoid, r.preferred) {
		chosen[entry.ID] = entry
	}
	for id, h := range r.homes {
		if entry, ok := chosen[id]; !ok || entry.PeerAddr != h.entry.PeerAddr {
			close(h.beats)
			delete(r.homes, id)
		}
	}
	for id, entry := range chosen {
		if r.homes[id] == nil && !avoid[id] {
			r.startHome(ctx, entry)
		}
	}
	running := make([]*home, 0, len(r.homes))
	for _, h := range r.homes {
		running = append(running, h)
	}
	return running
}

func (r *Reporter) startHome(ctx context.Context, entry platform.Instance) {
	h := newHome(r.config, entry)
	r.homes[entry.ID] = h
	r.wg.Go(func() {
		err := h.run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReplaced) {
			r.replaced()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.homes[entry.ID] == h {
			delete(r.homes, entry.ID)
			r.avoid[entry.ID] = r.config.Now().Add(homeBackoff)
			r.reportEarly()
		}
	})
}

func (r *Reporter) replaced() {
	r.mu.Lock()
	first := !r.wasReplaced
	r.wasReplaced = true
	r.leaving = true
	r.mu.Unlock()
	if !first {
		return
	}
	r.config.Log.Error("A later process runs in this daemon's place.")
	if r.config.OnReplaced != nil {
		r.config.OnReplaced()
	}
}

// Homes returns the entries that this daemon reports to, which are also its
// sources of configuration.
func (r *Reporter) Homes() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	avoid := map[core.InstanceID]bool{}
	for id, until := range r.avoid {
		avoid[id] = now.Before(until)
	}
	return r.config.homes().choose(r.config.Self, r.entries, avoid, r.preferred)
}

// Entries returns the entries that the platform's list names.
func (r *Reporter) Entries() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]platform.Instance(nil), r.entries...)
}

// Leave tells the platform's list and the entries that this daemon starts no
// new work. It cannot be undone.
func (r *Reporter) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.reportEarly()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return r.config.InstanceList.Announce(ctx, r.self())
}

// Left tells the entries that this daemon has no work and ends now, so that
// nobody waits for it. Run must go on for a moment afterwards.
func (r *Reporter) Left() {
	r.mu.Lock()
	r.leaving = true
	r.left = true
	r.mu.Unlock()
	r.reportEarly()
}
