package spread

import (
	"math"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/tables"
)

// Timing holds the periods of State.
type Timing struct {
	// Poll is the time between a relay's reads of the head.
	Poll time.Duration
	// Absorb is the time between looks for direct edits.
	Absorb time.Duration
	// Grace is the time that a peer has to send the rows of a new head.
	Grace time.Duration
	// Wait is how long a pull is held back without news.
	Wait time.Duration
	// Pace is the least time between two pulls of one loop, Retry the one
	// after several useless pulls in a row.
	Pace  time.Duration
	Retry time.Duration
	// Survey bounds the wait for the peers that are asked at start.
	Survey time.Duration
	// Snapshot is the least time between two snapshots.
	Snapshot time.Duration
	// InFlight is the time after which an action without an outcome is taken
	// as failed.
	InFlight time.Duration
}

func (t *Timing) applyDefaults() {
	setDefault(&t.Poll, 500*time.Millisecond)
	setDefault(&t.Absorb, time.Second)
	setDefault(&t.Grace, 300*time.Millisecond)
	setDefault(&t.Wait, 500*time.Millisecond)
	setDefault(&t.Pace, 50*time.Millisecond)
	setDefault(&t.Retry, 250*time.Millisecond)
	setDefault(&t.Survey, 2*time.Second)
	setDefault(&t.Snapshot, 2*time.Second)
	setDefault(&t.InFlight, 5*time.Second)
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
	// quickParents is the number of parents that are tried without delay.
	quickParents = 2
	// longStale is the multiple of the age limit after which a stale daemon
	// asks less often, and by how much.
	longStale = 4
	// witnessPolls is the number of polls between two questions to the
	// witnesses.
	witnessPolls = 2
	// unknownAge is the age of a configuration that was never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// Settings configure a State.
type Settings struct {
	Self Neighbour
	// StoreRegion is the region of the table service. "" means any.
	StoreRegion core.Region
	// Relays is the least number of relays in each data centre.
	Relays int
	// MaxAge is the age over which the configuration is stale.
	MaxAge time.Duration
	Timing Timing
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Relays, defaultRelays)
	setDefault(&s.MaxAge, defaultMaxAge)
	s.Timing.applyDefaults()
}

type held struct {
	token uint64
	asker core.Revision
	until time.Time
}

// witness is what another witness said of the table service.
type witness struct {
	heardAt time.Time
	down    bool
	downAt  time.Time
}

// State decides what a daemon does to know the accepted configuration. Its
// methods take the present time and an event, and return the actions to take.
// Times must carry a monotonic reading, so that pauses count.
type State struct {
	settings Settings
	topology topology

	config    *tables.Config
	adoptedAt time.Time
	// confirmed is the latest time at which config was known to be the
	// accepted revision.
	confirmed time.Time

	// Reads of the table service by this daemon.
	headDue, headSent, absorbDue time.Time
	// head is the highest revision read; rows are loaded at loadDue when they
	// have not come from a peer.
	head              core.Revision
	loadDue, loadSent time.Time
	pushAfterLoad     bool
	storeDown         bool
	storeDownAt       time.Time

	// The parent loop and other pulls in flight.
	parent     int
	useless    int
	parentDue  time.Time
	parentSent time.Time
	askNow     bool
	hedge      int
	hedgeDue   time.Time
	sidePulls  map[core.InstanceID]time.Time
	witnesses  map[core.InstanceID]witness
	witnessDue time.Time

	survey   survey
	surveyed bool

	held        []held
	snapshotDue time.Time
	snapshotted core.Revision

	// adoptLower disables the guard in adopt, for tests.
	adoptLower bool
}

// NewState returns the state of a fresh process.
func NewState(settings Settings) *State {
	settings.applyDefaults()
	return &State{
		settings:  settings,
		sidePulls: map[core.InstanceID]time.Time{},
		witnesses: map[core.InstanceID]witness{},
		askNow:    true,
	}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *tables.Config { return s.config }

// Revision returns the revision in force; 0 when there is none.
func (s *State) Revision() core.Revision {
	if s.config == nil {
		return 0
	}
	return s.config.Revision()
}

// Surveyed reports whether the peers asked at start have answered.
func (s *State) Surveyed() bool { return s.surveyed }

// Confirmed returns when the configuration was last known to be the accepted
// one; zero when never.
func (s *State) Confirmed() time.Time { return s.confirmed }

// Relay reports whether this daemon asks the table service.
func (s *State) Relay() bool { return s.topology.relay }

// SetNeighbours tells which daemons there are.
func (s *State) SetNeighbours(neighbours []Neighbour) {
	s.topology = newTopology(s.settings.Self, neighbours, s.settings.StoreRegion, s.settings.Relays)
	for id := range s.witnesses {
		if !contains(s.topology.witnesses, id) {
			delete(s.witnesses, id)
		}
	}
}

func contains(neighbours []Neighbour, id core.InstanceID) bool {
	for _, n := range neighbours {
		if n.ID == id {
			return true
		}
	}
	return false
}

// Tick starts what is due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, s.surveyAtStart(now)...)
	actions = append(actions, s.askStore(now)...)
	actions = append(actions, s.askParent(now)...)
	actions = append(actions, s.askHedged(now)...)
	actions = append(actions, s.askWitnesses(now)...)
	actions = append(actions, s.expireHeld(now)...)
	return append(actions, s.snapshot(now)...)
}

func (s *State) inFlight(now, sent time.Time) bool {
	return !sent.IsZero() && now.Sub(sent) < s.settings.Timing.InFlight
}

func (s *State) askParent(now time.Time) []Action {
	parents := s.topology.parents
	if len(parents) == 0 || now.Before(s.parentDue) || s.inFlight(now, s.parentSent) {
		return nil
	}
	s.parentSent = now
	wait := s.settings.Timing.Wait
	if s.askNow {
		wait = 0
	}
	s.askNow = false
	return []Action{PullFrom{To: parents[s.parent%len(parents)], Wait: wait, Parent: true}}
}

// sidePull pulls at once, outside the parent loop.
func (s *State) sidePull(now time.Time, peer Neighbour) []Action {
	if s.inFlight(now, s.sidePulls[peer.ID]) {
		return nil
	}
	s.sidePulls[peer.ID] = now
	return []Action{PullFrom{To: peer}}
}

func (s *State) snapshot(now time.Time) []Action {
	if !s.topology.absorber || s.Revision() <= s.snapshotted || now.Before(s.snapshotDue) {
		return nil
	}
	s.snapshotted = s.Revision()
	s.snapshotDue = now.Add(s.settings.Timing.Snapshot)
	return []Action{SaveSnapshot{Config: s.config}}
}

// SnapshotRead takes the snapshot object. It confirms nothing.
func (s *State) SnapshotRead(now time.Time, config *tables.Config) []Action {
	if config == nil {
		return nil
	}
	s.snapshotted = max(s.snapshotted, config.Revision())
	return s.adopt(now, config)
}

// Offer takes a revision that an edit through this daemon made, and passes it
// on.
func (s *State) Offer(now time.Time, config *tables.Config) []Action {
	actions := s.adopt(now, config)
	if len(actions) == 0 {
		return nil
	}
	return append(actions, s.push()...)
}

// Nudge reads the accepted rows at once and passes a new revision on.
func (s *State) Nudge(now time.Time) []Action {
	s.pushAfterLoad = true
	return s.load(now)
}

func (s *State) push() []Action {
	actions := make([]Action, 0, len(s.topology.relays))
	for _, relay := range s.topology.relays {
		actions = append(actions, PushTo{To: relay, Revision: s.Revision()})
	}
	return actions
}

// adopt puts a higher revision in force and answers the pulls that wait for it.
func (s *State) adopt(now time.Time, config *tables.Config) []Action {
	if config.Revision() <= s.Revision() && !s.adoptLower {
		return nil
	}
	holds := config.Revision() > s.Revision()
	if !invariant.Check(invariant.NoRevert, holds, "revision %d after %d", config.Revision(), s.Revision()) {
		return nil
	}
	s.config = config
	s.adoptedAt = now
	actions := []Action{Adopt{Config: config}}
	return append(actions, s.answerHeld(now)...)
}

func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Age returns how long ago the configuration was known to be the accepted one.
func (s *State) Age(now time.Time) time.Duration { return age(now, s.confirmed) }

func age(now, confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(confirmed))
}
