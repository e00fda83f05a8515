package watch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

// lapseGrace is how long a backend server whose row lapsed while the store was
// away stays usable after the store's return. The platform gives live servers
// two seconds to write their rows again.
const lapseGrace = 2 * time.Second

// keptTargets is how many named versions of a model are kept: an origin gives
// only the two newest.
const keptTargets = 4

// ServersTable and OperatorTable are the tables that State knows.
const (
	OperatorTable = records.TableOperator
	ServersTable  = records.TableServers
)

// Event is one change of what a daemon knows, for its log.
type Event struct {
	Subject string
	Key     string
	Detail  string
	// Revision is the store's revision of the row.
	Revision uint64
	// Ignored says that the row changed nothing.
	Ignored bool
}

// table is the rows of one table as last known.
type table struct {
	rows map[string]rowstore.Row
	// content is the revision of the newest change that is known.
	content uint64
	// cursor is the revision up to which the store was read.
	cursor uint64
	loaded bool
}

// Snapshot is a table's rows as one daemon hands them to another.
type Snapshot struct {
	Table          string         `cbor:"1,keyasint"`
	NewestRevision uint64         `cbor:"2,keyasint"`
	Cursor         uint64         `cbor:"3,keyasint"`
	Rows           []rowstore.Row `cbor:"4,keyasint"`
}

// known is a backend server's place in the state.
type known struct {
	server Server
	// lapsed is when the row went away during an outage of the store; zero
	// while there is a row.
	lapsed time.Time
}

// State is a daemon's knowledge. It has no clock and does no I/O, and is not
// safe for concurrent use.
type State struct {
	tables  map[string]*table
	config  *fleet.Table
	servers map[core.InstanceID]*known
	out     map[core.DataCentre]bool
	targets map[fleet.Model][]TargetVersion
	// regained is when the store last answered again after an outage, and away
	// says that it does not answer now.
	regained time.Time
	away     bool
	events   []Event
}

// NewState returns a State that knows nothing.
func NewState() *State {
	return &State{
		tables: map[string]*table{
			OperatorTable: {rows: map[string]rowstore.Row{}},
			ServersTable:  {rows: map[string]rowstore.Row{}},
		},
		servers: map[core.InstanceID]*known{},
		out:     map[core.DataCentre]bool{},
		targets: map[fleet.Model][]TargetVersion{},
	}
}

// TakeEvents returns the changes since the last call.
func (s *State) TakeEvents() []Event {
	taken := s.events
	s.events = nil
	return taken
}

// Cursor returns the revision up to which a table was read, and whether it was
// read at all.
func (s *State) Cursor(name string) (uint64, bool) {
	t := s.tables[name]
	return t.cursor, t.loaded
}

// Content returns the revision of the newest known change of a table.
func (s *State) Content(name string) uint64 { return s.tables[name].content }

// StoreAway notes that the store does not answer this daemon nor, as far as it
// knows, any other.
func (s *State) StoreAway() { s.away = true }

// StoreBack notes that the store answers.
func (s *State) StoreBack(now time.Time) {
	if s.away {
		s.away = false
		s.regained = now
	}
}

// Replace takes all rows of a table as read at a revision. An older state than
// the known one is ignored; the result says whether it was taken.
func (s *State) Replace(now time.Time, name string, page rowstore.Page) bool {
	t := s.tables[name]
	if t.loaded && page.Revision < t.cursor {
		return false
	}
	first := !t.loaded
	seen := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		seen[row.Key] = true
		s.apply(now, t, row, first)
	}
	for key, row := range t.rows {
		if !seen[key] {
			s.apply(now, t, rowstore.Row{Table: name, Key: key, Revision: row.Revision, Deleted: true}, first)
		}
	}
	t.cursor = page.Revision
	t.loaded = true
	return true
}

// Apply takes changed rows in their order.
func (s *State) Apply(now time.Time, name string, page rowstore.Page) {
	t := s.tables[name]
	for _, row := range page.Rows {
		s.apply(now, t, row, false)
	}
	t.cursor = max(t.cursor, page.Revision)
}

// Export returns a table for a peer.
func (s *State) Export(name string) Snapshot {
	t := s.tables[name]
	return Snapshot{
		Table:          name,
		NewestRevision: t.content,
		Cursor:         t.cursor,
		Rows:           slices.SortedFunc(maps.Values(t.rows), func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) }),
	}
}

// Import takes a peer's table when it is newer than the own one.
func (s *State) Import(now time.Time, snapshot Snapshot) bool {
	t := s.tables[snapshot.Table]
	if t == nil || snapshot.NewestRevision <= t.content {
		return false
	}
	revision := max(snapshot.Cursor, t.cursor)
	s.Replace(now, snapshot.Table, rowstore.Page{Rows: snapshot.Rows, Revision: revision})
	t.content = max(t.content, snapshot.NewestRevision)
	return true
}

func (s *State) apply(now time.Time, t *table, row rowstore.Row, first bool) {
	old, ok := t.rows[row.Key]
	if ok && row.Revision < old.Revision || ok && row.Revision == old.Revision && !row.Deleted {
		return
	}
	if row.Deleted && !ok {
		t.content = max(t.content, row.Revision)
		return
	}
	if row.Deleted {
		delete(t.rows, row.Key)
	} else {
		t.rows[row.Key] = row
	}
	t.content = max(t.content, row.Revision)
	if row.Table == ServersTable {
		s.applyServer(now, row, first)
		return
	}
	s.applyOperator(now, row, first)
}

// ignore notes a row that changes nothing.
func (s *State) ignore(row rowstore.Row, subject, reason string) {
	s.note(row, subject, "ignored: "+reason)
	s.events[len(s.events)-1].Ignored = true
}

func (s *State) note(row rowstore.Row, subject, detail string) {
	s.events = append(s.events, Event{Subject: subject, Key: row.Key, Detail: detail, Revision: row.Revision})
}

// Expire drops backend servers whose row did not come back in time. It
// reports whether anything changed.
func (s *State) Expire(now time.Time) bool {
	if s.away {
		return false
	}
	changed := false
	for id, k := range s.servers {
		if !k.lapsed.IsZero() && now.Sub(s.regained) >= lapseGrace {
			delete(s.servers, id)
			s.events = append(s.events, Event{Subject: "server", Key: string(id), Detail: "did not come back after the store's outage"})
			changed = true
		}
	}
	return changed
}

// LearnSince takes since when another daemon knows of a version that was named
// before this one started.
func (s *State) LearnSince(model fleet.Model, version fleet.WeightsVersion, since time.Time) bool {
	for i, target := range s.targets[model] {
		if target.Version != version || !target.Since.IsZero() {
			continue
		}
		list := slices.Clone(s.targets[model])
		list[i].Since = since
		s.targets[model] = list
		s.events = append(s.events, Event{
			Subject: "weights", Key: string(model), Detail: fmt.Sprintf("a peer knows since when version %d is named", version),
		})
		return true
	}
	return false
}

// HasLapsed reports whether Expire has servers to look at.
func (s *State) HasLapsed() bool {
	for _, k := range s.servers {
		if !k.lapsed.IsZero() {
			return true
		}
	}
	return false
}

// View returns the knowledge as an immutable value.
func (s *State) View() *View {
	v := &View{
		Table:            s.config,
		Servers:          map[fleet.ServiceName][]*Server{},
		OutDataCentres:   maps.Clone(s.out),
		Targets:          maps.Clone(s.targets),
		OperatorRevision: s.tables[OperatorTable].content,
		ServerRevision:   s.tables[ServersTable].content,
		Loaded:           s.tables[OperatorTable].loaded && s.tables[ServersTable].loaded,
	}
	for _, k := range s.servers {
		server := k.server
		v.Servers[server.Service] = append(v.Servers[server.Service], &server)
	}
	for _, list := range v.Servers {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
