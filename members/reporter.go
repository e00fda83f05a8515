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
	defaultHeartbeatPeriod        = time.Second
	defaultAnnouncePeriod         = 2 * time.Second
	defaultMaxReceivers           = 3
	defaultReceiversPerDataCentre = 1
	receiverBackoff               = 5 * time.Second
	leaveTimeout                  = 2 * time.Second
)

// ReporterConfig configures a Reporter. Zero values take defaults.
type ReporterConfig struct {
	Self         platform.Instance
	Incarnation  core.Incarnation
	Peer         *wire.Endpoint
	InstanceList platform.InstanceList
	// BuildHeartbeat returns the daemon's current state. The Reporter sets
	// Incarnation, Sequence, Leaving, Left, Acknowledge and Instance.
	BuildHeartbeat func() wire.Heartbeat
	// Directory is set on entries only. It receives the heartbeats in place of
	// other entries, to which the exchange of summaries spreads them.
	Directory *Directory
	// OnReplaced is called once when an entry reports that a later process has
	// replaced this daemon. From then on the daemon reports that it is leaving;
	// it should start no new work.
	OnReplaced func()
	// HeartbeatPeriod is the time between two heartbeats.
	HeartbeatPeriod time.Duration
	// AnnouncePeriod is the minimum time between two announcements to the
	// platform's instance list, and between two reads of it. Both periods grow
	// with the number of daemons.
	AnnouncePeriod time.Duration
	// ReceiversPerDataCentre is the number of entries in each data centre that
	// receive heartbeats; MaxReceivers is the maximum in all data centres
	// together.
	ReceiversPerDataCentre int
	MaxReceivers           int
	// Now is the clock. The default is time.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

func (c *ReporterConfig) applyDefaults() error {
	if c.Self.ID == "" || c.Self.PeerAddr == "" {
		return errors.New("members: Self must have an ID and a PeerAddr")
	}
	if c.Incarnation == 0 {
		return errors.New("members: Incarnation must not be 0")
	}
	if c.Peer == nil || c.InstanceList == nil || c.BuildHeartbeat == nil {
		return errors.New("members: Peer, InstanceList and BuildHeartbeat are required")
	}
	setDefault(&c.HeartbeatPeriod, defaultHeartbeatPeriod)
	setDefault(&c.AnnouncePeriod, defaultAnnouncePeriod)
	if c.ReceiversPerDataCentre == 0 {
		c.ReceiversPerDataCentre = defaultReceiversPerDataCentre
	}
	if c.MaxReceivers == 0 {
		c.MaxReceivers = defaultMaxReceivers
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger().WithField("part", "members")
	}
	return nil
}

func (c *ReporterConfig) receiverPolicy() receiverPolicy {
	return receiverPolicy{perDataCentre: c.ReceiversPerDataCentre, maxTotal: c.MaxReceivers}
}

// Reporter announces a daemon in the platform's instance list and reports its
// state to a few entries. It is safe for concurrent use.
type Reporter struct {
	config ReporterConfig

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	left     bool
	// wasReplaced is set when an entry reports a later incarnation.
	wasReplaced bool

	listedEntries []platform.Instance
	listedCount   int
	// preferred contains the receivers from the balanced assignment.
	preferred map[core.InstanceID]bool
	senders   map[core.InstanceID]*heartbeatSender
	// avoidUntil maps each entry that failed to the end of its backoff.
	avoidUntil map[core.InstanceID]time.Time

	wakeup chan struct{}
	wg     sync.WaitGroup
}

// NewReporter returns a reporter. It is idle until Run is called.
func NewReporter(config ReporterConfig) (*Reporter, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Reporter{
		config:     config,
		senders:    map[core.InstanceID]*heartbeatSender{},
		avoidUntil: map[core.InstanceID]time.Time{},
		wakeup:     make(chan struct{}, 1),
	}, nil
}

// Run announces the daemon and reports its state until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	r.wg.Go(func() { r.runAnnouncements(ctx) })
	if r.config.Directory == nil {
		r.wg.Go(func() { r.pollInstanceList(ctx) })
	}
	r.runReports(ctx)
	r.wg.Wait()
	return nil
}

func (r *Reporter) runAnnouncements(ctx context.Context) {
	for {
		r.announce(ctx)
		if !sleep(ctx, jitter(scaledPeriod(r.config.AnnouncePeriod, announcePeriodPerDaemon, r.fleetSize()))) {
			return
		}
	}
}

func (r *Reporter) pollInstanceList(ctx context.Context) {
	for {
		r.readInstanceList(ctx)
		period := r.config.AnnouncePeriod
		if r.hasReceiver() {
			period = scaledPeriod(period, agentListPeriodPerDaemon, r.fleetSize())
		}
		if !sleep(ctx, jitter(period)) {
			return
		}
	}
}

// hasReceiver reports whether heartbeats are sent to at least one entry.
func (r *Reporter) hasReceiver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.senders) > 0
}

func (r *Reporter) fleetSize() int {
	if r.config.Directory != nil {
		return r.config.Directory.fleetSize()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedCount
}

func (r *Reporter) announce(ctx context.Context) {
	if err := r.config.InstanceList.Announce(ctx, r.ownInstance()); err != nil && ctx.Err() == nil {
		r.config.Log.WithError(err).Warn("Cannot announce this instance to the platform; will retry.")
	}
}

func (r *Reporter) ownInstance() platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	instance := r.config.Self
	instance.State = platform.InstanceLive
	if r.leaving {
		instance.State = platform.InstanceLeaving
	}
	return instance
}

func (r *Reporter) readInstanceList(ctx context.Context) {
	instances, err := r.config.InstanceList.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.config.Log.WithError(err).Warn("Cannot read the platform's instance list; the previous list stays in use.")
		}
		return
	}
	var entries []platform.Instance
	for _, instance := range instances {
		if instance.Role == platform.RoleEntry && instance.State == platform.InstanceLive {
			entries = append(entries, instance)
		}
	}
	preferred := r.config.receiverPolicy().assign(r.config.Self, instances)
	r.mu.Lock()
	first := len(r.listedEntries) == 0
	r.preferred = preferred
	r.listedEntries = entries
	r.listedCount = len(instances)
	r.mu.Unlock()
	if first {
		r.triggerReport()
	}
}

func (r *Reporter) runReports(ctx context.Context) {
	ticker := time.NewTicker(r.config.HeartbeatPeriod)
	defer ticker.Stop()
	for {
		r.sendReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeup:
		}
	}
}

func (r *Reporter) triggerReport() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// ReportNow sends a heartbeat without waiting for the end of the period. It is
// meant for changes that other daemons should receive soon.
func (r *Reporter) ReportNow() { r.triggerReport() }

// sendReport sends one heartbeat to all receivers, or applies it to the
// Directory.
func (r *Reporter) sendReport(ctx context.Context) {
	heartbeat := r.nextHeartbeat()
	if r.config.Directory != nil {
		if r.config.Directory.applyOwnHeartbeat(heartbeat) {
			r.handleReplaced()
		}
		return
	}
	for _, sender := range r.updateSenders(ctx) {
		sender.enqueue(heartbeat)
	}
}

// nextHeartbeat returns the next heartbeat of this incarnation.
func (r *Reporter) nextHeartbeat() wire.Heartbeat {
	heartbeat := r.config.BuildHeartbeat()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	heartbeat.Incarnation = r.config.Incarnation
	heartbeat.Sequence = r.sequence
	heartbeat.Leaving = r.leaving
	heartbeat.Left = r.left
	return heartbeat
}

// updateSenders starts and stops senders so that they match the chosen
// receivers, and returns the running senders.
func (r *Reporter) updateSenders(ctx context.Context) []*heartbeatSender {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	avoided := map[core.InstanceID]bool{}
	for id, until := range r.avoidUntil {
		if now.Before(until) {
			avoided[id] = true
		} else {
			delete(r.avoidUntil, id)
		}
	}
	chosen := map[core.InstanceID]platform.Instance{}
	for _, entry := range r.config.receiverPolicy().choose(r.config.Self, r.listedEntries, avoided, r.preferred) {
		chosen[entry.ID] = entry
	}
	for id, sender := range r.senders {
		if entry, ok := chosen[id]; !ok || entry.PeerAddr != sender.entry.PeerAddr {
			close(sender.pending)
			delete(r.senders, id)
		}
	}
	for id, entry := range chosen {
		if r.senders[id] == nil && !avoided[id] {
			r.startSender(ctx, entry)
		}
	}
	running := make([]*heartbeatSender, 0, len(r.senders))
	for _, sender := range r.senders {
		running = append(running, sender)
	}
	return running
}

func (r *Reporter) startSender(ctx context.Context, entry platform.Instance) {
	sender := newHeartbeatSender(r.config, entry)
	r.senders[entry.ID] = sender
	r.wg.Go(func() {
		err := sender.run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReplaced) {
			r.handleReplaced()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.senders[entry.ID] == sender {
			delete(r.senders, entry.ID)
			r.avoidUntil[entry.ID] = r.config.Now().Add(receiverBackoff)
			r.triggerReport()
		}
	})
}

func (r *Reporter) handleReplaced() {
	r.mu.Lock()
	first := !r.wasReplaced
	r.wasReplaced = true
	r.leaving = true
	r.mu.Unlock()
	if !first {
		return
	}
	r.config.Log.Error("A later process has replaced this daemon, which now reports that it is leaving.")
	if r.config.OnReplaced != nil {
		r.config.OnReplaced()
	}
}

// Receivers returns the entries that receive this daemon's heartbeats.
func (r *Reporter) Receivers() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	avoided := map[core.InstanceID]bool{}
	for id, until := range r.avoidUntil {
		avoided[id] = now.Before(until)
	}
	return r.config.receiverPolicy().choose(r.config.Self, r.listedEntries, avoided, r.preferred)
}

// Entries returns the live entries in the platform's instance list.
func (r *Reporter) Entries() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]platform.Instance(nil), r.listedEntries...)
}

// Leave reports to the platform and to the receivers that this daemon starts no
// new work. It cannot be undone.
func (r *Reporter) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.triggerReport()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return r.config.InstanceList.Announce(ctx, r.ownInstance())
}

// Left reports to the receivers that this daemon has no work in progress and
// exits, so that InForce and other waits do not include it. Run must continue
// until the report has been sent.
func (r *Reporter) Left() {
	r.mu.Lock()
	r.leaving = true
	r.left = true
	r.mu.Unlock()
	r.triggerReport()
}
