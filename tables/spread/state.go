package spread

import (
	"math"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/tables"
)

// Timing holds the intervals and timeouts of a State. Zero fields take their
// defaults.
type Timing struct {
	// PollInterval is the time between two reads of the head revision by a
	// relay.
	PollInterval time.Duration
	// DirectEditInterval is the time between two checks for direct edits.
	DirectEditInterval time.Duration
	// PeerGrace is how long a relay waits for a peer to send the rows of a new
	// head revision before it loads them from the table service.
	PeerGrace time.Duration
	// PullWait is the maximum time for which a pull is held while there is no
	// newer revision.
	PullWait time.Duration
	// MinPullInterval is the minimum time between a reply and the next pull of
	// the parent loop. RetryInterval replaces it after several consecutive
	// failures, and is the time between two hedged pulls.
	MinPullInterval time.Duration
	RetryInterval   time.Duration
	// SurveyTimeout bounds a survey's wait for the replies of its peers.
	SurveyTimeout time.Duration
	// SnapshotInterval is the minimum time between two snapshots.
	SnapshotInterval time.Duration
	// InFlightTimeout is the time after which an action without an outcome
	// counts as failed.
	InFlightTimeout time.Duration
}

func (t *Timing) applyDefaults() {
	setDefault(&t.PollInterval, 500*time.Millisecond)
	setDefault(&t.DirectEditInterval, time.Second)
	setDefault(&t.PeerGrace, 300*time.Millisecond)
	setDefault(&t.PullWait, 500*time.Millisecond)
	setDefault(&t.MinPullInterval, 50*time.Millisecond)
	setDefault(&t.RetryInterval, 250*time.Millisecond)
	setDefault(&t.SurveyTimeout, 2*time.Second)
	setDefault(&t.SnapshotInterval, 2*time.Second)
	setDefault(&t.InFlightTimeout, 5*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

const (
	defaultMaxAge = 4 * time.Second
	defaultRelays = 3
	maxHeldPulls  = 1024
	// immediateParentRetries is the number of consecutive failures after which
	// the next parent is still pulled after only MinPullInterval.
	immediateParentRetries = 2
	// longStaleFactor is the multiple of the maximum age above which hedged
	// pulls become less frequent, and the factor by which they do.
	longStaleFactor = 4
	// pollsPerWitnessPull is the interval between two pulls from the witnesses,
	// in poll intervals.
	pollsPerWitnessPull = 2
	// unknownAge is the age of a configuration that was never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// Settings holds the settings of a State.
type Settings struct {
	Self Neighbour
	// StoreRegion is the region of the table service. "" means any.
	StoreRegion core.Region
	// MinRelays is the minimum number of relays in each data centre.
	MinRelays int
	// MaxAge is the age above which the configuration is stale.
	MaxAge time.Duration
	Timing Timing
}

func (s *Settings) applyDefaults() {
	setDefault(&s.MinRelays, defaultRelays)
	setDefault(&s.MaxAge, defaultMaxAge)
	s.Timing.applyDefaults()
}

// heldPull is a pull from a peer to which this daemon has not replied yet.
type heldPull struct {
	token        uint64
	peerRevision core.Revision
	deadline     time.Time
}

// witnessReport is a witness's last reply about the table service.
type witnessReport struct {
	sentAt      time.Time
	storeDown   bool
	storeDownAt time.Time
}

// State decides how a daemon obtains the accepted configuration. Its methods
// take the current time and an event, and return the actions to carry out. Times
// must have a monotonic clock reading, so that ages include the time for which
// the process was suspended. State is not safe for concurrent use.
type State struct {
	settings Settings
	topology topology

	config    *tables.Config
	adoptedAt time.Time
	// confirmedAt is the latest time at which config was confirmed to be the
	// accepted revision.
	confirmedAt time.Time

	// Schedule of this daemon's reads of the table service.
	headReadDue, headReadSentAt, directEditsDue time.Time
	// headRevision is the highest head revision read. Its rows are loaded at
	// loadDue unless a peer sends them before.
	headRevision        core.Revision
	loadDue, loadSentAt time.Time
	pushAfterLoad       bool
	storeDown           bool
	storeDownAt         time.Time

	// State of the parent loop, and of other pulls in flight. parentFailures
	// counts consecutive replies that did not keep this daemon fresh.
	parentIndex      int
	parentFailures   int
	parentPullDue    time.Time
	parentPullSentAt time.Time
	pullWithoutWait  bool
	hedgeIndex       int
	hedgeDue         time.Time
	sidePulls        map[core.InstanceID]time.Time
	witnessReports   map[core.InstanceID]witnessReport
	witnessPullDue   time.Time

	survey     survey
	surveyDone bool

	heldPulls     []heldPull
	snapshotDue   time.Time
	savedRevision core.Revision

	// allowLowerRevision disables the first check in adopt, for tests.
	allowLowerRevision bool
}

// NewState returns the state of a process that has just started.
func NewState(settings Settings) *State {
	settings.applyDefaults()
	return &State{
		settings:        settings,
		sidePulls:       map[core.InstanceID]time.Time{},
		witnessReports:  map[core.InstanceID]witnessReport{},
		pullWithoutWait: true,
	}
}

// Config returns the current configuration of this daemon, or nil.
func (s *State) Config() *tables.Config { return s.config }

// Revision returns the current revision of this daemon, or 0.
func (s *State) Revision() core.Revision {
	if s.config == nil {
		return 0
	}
	return s.config.Revision()
}

// SurveyDone reports whether the survey at process start has ended: all its
// peers have replied or its timeout has passed.
func (s *State) SurveyDone() bool { return s.surveyDone }

// Confirmed returns the last time at which the configuration was confirmed to be
// the accepted one, or zero.
func (s *State) Confirmed() time.Time { return s.confirmedAt }

// IsRelay reports whether this daemon polls the table service.
func (s *State) IsRelay() bool { return s.topology.isRelay }

// SetNeighbours replaces the list of daemons and recomputes the topology.
func (s *State) SetNeighbours(neighbours []Neighbour) {
	s.topology = newTopology(s.settings.Self, neighbours, s.settings.StoreRegion, s.settings.MinRelays)
	for id := range s.witnessReports {
		if !containsID(s.topology.witnesses, id) {
			delete(s.witnessReports, id)
		}
	}
}

func containsID(neighbours []Neighbour, id core.InstanceID) bool {
	for _, n := range neighbours {
		if n.ID == id {
			return true
		}
	}
	return false
}

// Tick returns the actions that are due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, s.surveyOnStart(now)...)
	actions = append(actions, s.pollStore(now)...)
	actions = append(actions, s.pullParent(now)...)
	actions = append(actions, s.pullHedged(now)...)
	actions = append(actions, s.pullWitnesses(now)...)
	actions = append(actions, s.answerExpiredPulls(now)...)
	return append(actions, s.saveSnapshot(now)...)
}

func (s *State) inFlight(now, sentAt time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < s.settings.Timing.InFlightTimeout
}

func (s *State) pullParent(now time.Time) []Action {
	parents := s.topology.parents
	if len(parents) == 0 || now.Before(s.parentPullDue) || s.inFlight(now, s.parentPullSentAt) {
		return nil
	}
	s.parentPullSentAt = now
	wait := s.settings.Timing.PullWait
	if s.pullWithoutWait {
		wait = 0
	}
	s.pullWithoutWait = false
	return []Action{PullFrom{Peer: parents[s.parentIndex%len(parents)], Wait: wait, Parent: true}}
}

// sidePull pulls from a peer without waiting for a newer revision, outside the
// parent loop. There is at most one such pull in flight for each peer.
func (s *State) sidePull(now time.Time, peer Neighbour) []Action {
	if s.inFlight(now, s.sidePulls[peer.ID]) {
		return nil
	}
	s.sidePulls[peer.ID] = now
	return []Action{PullFrom{Peer: peer}}
}

func (s *State) saveSnapshot(now time.Time) []Action {
	if !s.topology.acceptsDirectEdits || s.Revision() <= s.savedRevision || now.Before(s.snapshotDue) {
		return nil
	}
	s.savedRevision = s.Revision()
	s.snapshotDue = now.Add(s.settings.Timing.SnapshotInterval)
	return []Action{SaveSnapshot{Config: s.config}}
}

// SnapshotRead adopts the configuration of the snapshot object without
// confirming it.
func (s *State) SnapshotRead(now time.Time, config *tables.Config) []Action {
	if config == nil {
		return nil
	}
	s.savedRevision = max(s.savedRevision, config.Revision())
	return s.adopt(now, config)
}

// PublishEdit adopts the revision of an edit that was accepted through this
// daemon and announces it to the relays.
func (s *State) PublishEdit(now time.Time, config *tables.Config) []Action {
	actions := s.adopt(now, config)
	if len(actions) == 0 {
		return nil
	}
	return append(actions, s.pushToRelays()...)
}

// Refresh reads the accepted rows without delay and announces a new revision to
// the relays.
func (s *State) Refresh(now time.Time) []Action {
	s.pushAfterLoad = true
	return s.startLoad(now)
}

func (s *State) pushToRelays() []Action {
	actions := make([]Action, 0, len(s.topology.relays))
	for _, relay := range s.topology.relays {
		actions = append(actions, PushTo{Peer: relay, Revision: s.Revision()})
	}
	return actions
}

// adopt makes a higher revision the current one and replies to the held pulls of
// peers with an older revision.
func (s *State) adopt(now time.Time, config *tables.Config) []Action {
	if config.Revision() <= s.Revision() && !s.allowLowerRevision {
		return nil
	}
	isHigher := config.Revision() > s.Revision()
	if !invariant.Check(invariant.NoRevert, isHigher, "revision %d after %d", config.Revision(), s.Revision()) {
		return nil
	}
	s.config = config
	s.adoptedAt = now
	actions := []Action{Adopt{Config: config}}
	return append(actions, s.answerOutdatedPulls(now)...)
}

func (s *State) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Age returns the time since the configuration was last confirmed to be the
// accepted one.
func (s *State) Age(now time.Time) time.Duration { return age(now, s.confirmedAt) }

func age(now, confirmedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(confirmedAt))
}
