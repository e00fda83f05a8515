package watch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

// lapsedRowGrace is how long after an outage of the store a backend server stays
// usable although its row expired during the outage. The platform allows live
// servers two seconds to write their rows again.
const lapsedRowGrace = 2 * time.Second

// maxReasonBytes bounds the reason for which a row is ignored in an event.
const maxReasonBytes = 256

// OperatorTable and ServersTable are the tables that State processes.
const (
	OperatorTable = records.TableOperator
	ServersTable  = records.TableServers
)

// Event describes a change of the state, for the daemon's log.
type Event struct {
	Subject string
	Key     string
	Detail  string
	// Revision is the store's revision of the row.
	Revision uint64
	// Ignored means that the row is invalid or outdated and was not applied.
	Ignored bool
	// VersionSource is set if the event is a new age of a version, and VersionSince is the
	// time since when the version has been configured, or zero if it is not known.
	VersionSource VersionSource
	VersionSince  time.Time
	// EraChange is set if the event is a transition to a later era.
	EraChange *EraChange
}

// table holds the last known rows of a table.
type table struct {
	rows map[string]rowstore.Row
	// era is the store's era to which rows, newestRevision and cursor belong.
	era uint64
	// newestRevision is the revision of the newest known change.
	newestRevision uint64
	// cursor is the revision up to which the store was read.
	cursor uint64
	loaded bool
}

// Snapshot holds a table's rows for the exchange between daemons.
type Snapshot struct {
	Table          string         `cbor:"1,keyasint"`
	NewestRevision uint64         `cbor:"2,keyasint"`
	Cursor         uint64         `cbor:"3,keyasint"`
	Rows           []rowstore.Row `cbor:"4,keyasint"`
	Era            uint64         `cbor:"5,keyasint,omitempty"`
	// LostFor is the time since the store lost the evacuations among LostRows.
	LostFor time.Duration `cbor:"6,keyasint,omitempty"`
}

// serverState is the state of one backend server.
type serverState struct {
	server Server
	// lapsedAt is when the row was deleted during an outage of the store; zero
	// while the row exists.
	lapsedAt time.Time
}

// State holds the rows that a daemon has read, and derives views from them. It
// has no clock, does no I/O and is not safe for concurrent use.
type State struct {
	tables  map[string]*table
	config  *fleet.Table
	servers map[core.InstanceID]*serverState
	// invalidRows holds the servers whose row is invalid, and the reasons. They are in no
	// view.
	invalidRows    map[core.InstanceID]string
	outDataCentres map[core.DataCentre]bool
	// lapsedEvacuations holds those of outDataCentres whose rows the store has lost.
	lapsedEvacuations map[core.DataCentre]lapsedEvacuation
	// lostRows holds the last values of the operators' rows that the store has lost and that
	// are still in force.
	lostRows map[string]rowstore.Row
	// lostRowsSeen is the greatest number of lost rows of a peer in this era.
	lostRowsSeen uint64
	targets      map[fleet.Model][]TargetVersion
	maxTargets   int
	// versionInForce returns the time after which a version must be in force; nil if this
	// daemon does not know it.
	versionInForce func() time.Duration
	// era is the latest era in any table. Rows of earlier eras are ignored.
	era uint64
	// eraChange is the transition to era while not all tables were read in it.
	eraChange *EraChange
	// eraChanges and droppedRows count the transitions and the rows that they dropped.
	eraChanges, droppedRows uint64
	// storeUpAt is when the store last replied again after an outage; storeDown
	// is set during an outage.
	storeUpAt time.Time
	storeDown bool
	// standstill is the time span of the standstills after which the operators' table
	// has not been read yet; zero if there is none.
	standstill timeSpan
	// resumedAt is the end of the last standstill.
	resumedAt time.Time
	// lastRead is the last read of the operators' table.
	lastRead lastRead
	events   []Event
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		tables: map[string]*table{
			OperatorTable: {rows: map[string]rowstore.Row{}},
			ServersTable:  {rows: map[string]rowstore.Row{}},
		},
		servers:           map[core.InstanceID]*serverState{},
		invalidRows:       map[core.InstanceID]string{},
		outDataCentres:    map[core.DataCentre]bool{},
		lapsedEvacuations: map[core.DataCentre]lapsedEvacuation{},
		lostRows:          map[string]rowstore.Row{},
		targets:           map[fleet.Model][]TargetVersion{},
		maxTargets:        maxTargets,
	}
}

// TakeEvents returns the changes since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// Cursor returns the position up to which a table was read, and whether it was
// read from the store or a peer at all.
func (s *State) Cursor(name string) (rowstore.Position, bool) {
	t := s.tables[name]
	return rowstore.Position{Era: t.era, Revision: t.cursor}, t.loaded
}

// NewestChange returns the position of the newest known change of a table.
func (s *State) NewestChange(name string) rowstore.Position {
	t := s.tables[name]
	return rowstore.Position{Era: t.era, Revision: t.newestRevision}
}

// MarkStoreDown records that the store replies neither to this daemon nor, as
// far as known, to any other.
func (s *State) MarkStoreDown() { s.storeDown = true }

// MarkStoreUp records that the store replies.
func (s *State) MarkStoreUp(now time.Time) {
	if s.storeDown {
		s.storeDown = false
		s.storeUpAt = now
	}
}

// Replace replaces all rows of a table by those read at a position. It ignores a
// page that is older than the known rows, and reports whether it applied it.
func (s *State) Replace(now time.Time, name string, page rowstore.Page) bool {
	t := s.tables[name]
	cursor, _ := s.Cursor(name)
	if page.Era < s.era || t.loaded && page.Position().Compare(cursor) < 0 {
		return false
	}
	if page.Era > s.era {
		s.beginEra(now, page.Era)
	}
	if t.loaded && page.Era > t.era {
		s.replaceInLaterEra(now, name, page)
		return true
	}
	isFirstRead := !t.loaded
	seen := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		seen[row.Key] = true
		s.apply(now, t, row, isFirstRead)
	}
	for key, row := range t.rows {
		if !seen[key] {
			s.apply(now, t, rowstore.Row{Table: name, Key: key, Revision: row.Revision, Deleted: true}, isFirstRead)
		}
	}
	t.era = page.Era
	t.cursor = page.Revision
	t.loaded = true
	if name == OperatorTable {
		s.expireEvacuations(now)
	}
	return true
}

// Apply applies changed rows in order. It ignores changes in another era than that of
// the known rows, and reports whether it applied them.
func (s *State) Apply(now time.Time, name string, page rowstore.Page) bool {
	t := s.tables[name]
	if page.Era != t.era || page.Era < s.era {
		return false
	}
	for _, row := range page.Rows {
		// Deleted rows are forgotten, so that an earlier change would bring them back.
		if row.Revision > t.cursor {
			s.apply(now, t, row, false)
		}
	}
	t.cursor = max(t.cursor, page.Revision)
	if name == OperatorTable {
		s.expireEvacuations(now)
	}
	return true
}

// Export returns a table's rows for a peer.
func (s *State) Export(name string) Snapshot {
	t := s.tables[name]
	return Snapshot{
		Table:          name,
		NewestRevision: t.newestRevision,
		Cursor:         t.cursor,
		Era:            t.era,
		Rows:           slices.SortedFunc(maps.Values(t.rows), func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) }),
	}
}

// Import takes over a peer's table if that is newer than the known rows, and
// reports whether it did.
func (s *State) Import(now time.Time, snapshot Snapshot) bool {
	if snapshot.Table == LostRows {
		return s.importLost(now, snapshot)
	}
	t := s.tables[snapshot.Table]
	newest := rowstore.Position{Era: snapshot.Era, Revision: snapshot.NewestRevision}
	if t == nil || newest.Compare(s.NewestChange(snapshot.Table)) <= 0 {
		return false
	}
	if snapshot.Era == t.era && snapshot.Cursor < t.cursor {
		// The known rows are later although the revision of their newest change is not
		// known: a page with all rows does not tell of deletions.
		t.newestRevision = snapshot.NewestRevision
		return false
	}
	page := rowstore.Page{Rows: snapshot.Rows, Revision: snapshot.Cursor, Era: snapshot.Era}
	if !s.Replace(now, snapshot.Table, page) {
		return false
	}
	t.newestRevision = max(t.newestRevision, snapshot.NewestRevision)
	return true
}

func (s *State) apply(now time.Time, t *table, row rowstore.Row, isFirstRead bool) {
	old, ok := t.rows[row.Key]
	if ok && row.Revision < old.Revision || ok && row.Revision == old.Revision && !row.Deleted {
		return
	}
	if row.Deleted && !ok {
		t.newestRevision = max(t.newestRevision, row.Revision)
		return
	}
	if row.Deleted {
		delete(t.rows, row.Key)
	} else {
		t.rows[row.Key] = row
	}
	t.newestRevision = max(t.newestRevision, row.Revision)
	s.noteWritten(row)
	s.applyRow(now, row, isFirstRead)
}

// applyRow changes what is derived from a row.
func (s *State) applyRow(now time.Time, row rowstore.Row, isFirstRead bool) {
	if row.Table == ServersTable {
		s.applyServer(now, row, isFirstRead)
		return
	}
	s.applyOperator(now, row, isFirstRead)
}

// addIgnoredEvent adds an event for a row that was not applied. The reason may contain
// text of the row, of any length.
func (s *State) addIgnoredEvent(row rowstore.Row, subject, reason string) {
	s.addEvent(row, subject, "ignored: "+reason[:min(len(reason), maxReasonBytes)])
	s.events[len(s.events)-1].Ignored = true
}

func (s *State) addEvent(row rowstore.Row, subject, detail string) {
	s.events = append(s.events, Event{Subject: subject, Key: row.Key, Detail: detail, Revision: row.Revision})
}

// Expire removes backend servers whose rows were not written again within
// lapsedRowGrace after an outage or a loss of the store. It reports whether it removed
// any.
func (s *State) Expire(now time.Time) bool {
	if s.storeDown {
		return false
	}
	changed := false
	for id, state := range s.servers {
		if !state.lapsedAt.IsZero() && now.Sub(s.storeUpAt) >= lapsedRowGrace {
			delete(s.servers, id)
			s.events = append(s.events, Event{Subject: "server", Key: string(id), Detail: "removed: its row was not written again after the store's outage"})
			changed = true
		}
	}
	return changed
}

// HasLapsedServers reports whether there are servers that Expire may remove.
func (s *State) HasLapsedServers() bool {
	for _, state := range s.servers {
		if !state.lapsedAt.IsZero() {
			return true
		}
	}
	return false
}

// View returns the current state as an immutable value.
func (s *State) View() *View {
	v := &View{
		Table:            s.config,
		Servers:          map[fleet.ServiceName][]*Server{},
		OutDataCentres:   maps.Clone(s.outDataCentres),
		Targets:          maps.Clone(s.targets),
		OperatorPosition: s.NewestChange(OperatorTable),
		ServersPosition:  s.NewestChange(ServersTable),
		Era:              s.era,
		EraChanges:       s.eraChanges,
		DroppedRows:      s.droppedRows,
		LostRows:         uint64(len(s.lostRows)),
		LostRowsSeen:     max(s.lostRowsSeen, uint64(len(s.lostRows))),
		Loaded:           s.tables[OperatorTable].loaded && s.tables[ServersTable].loaded,
	}
	newest := s.newestStarts()
	for id, state := range s.servers {
		if _, isHidden := s.invalidRows[id]; isHidden || state.server.isReplaced(newest) {
			continue
		}
		server := state.server
		v.Servers[server.Service] = append(v.Servers[server.Service], &server)
	}
	for _, list := range v.Servers {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
