package watch

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

// LostRows names the operators' rows that the store has lost and that are still in force,
// for the exchange between daemons. Its revision is the number of rows.
const LostRows = "lost"

// lapsedEvacuation is an evacuation whose row the store has lost.
type lapsedEvacuation struct {
	key string
	// at is when a daemon learned of the loss.
	at time.Time
}

// noteLost records that the store has lost a row, or replaced it by an earlier one.
func (s *State) noteLost(row rowstore.Row) {
	if _, known := s.lostRows[row.Key]; row.Table == OperatorTable && !known {
		s.lostRows[row.Key] = row
	}
}

// noteWritten records that a row that was lost was written again.
func (s *State) noteWritten(row rowstore.Row) {
	if row.Table == OperatorTable {
		delete(s.lostRows, row.Key)
	}
}

// noteRead records a row of a later era.
func (s *State) noteRead(row rowstore.Row) {
	if lost, ok := s.lostRows[row.Key]; ok && bytes.Equal(lost.Value, row.Value) {
		s.noteWritten(row)
	}
}

// exportAt returns a table's rows, or LostRows, for a peer.
func (s *State) exportAt(now time.Time, name string) Snapshot {
	if name == LostRows {
		return s.exportLost(now)
	}
	return s.Export(name)
}

// exportLost returns the lost rows for a peer that has started since.
func (s *State) exportLost(now time.Time) Snapshot {
	snapshot := Snapshot{
		Table: LostRows, NewestRevision: uint64(len(s.lostRows)), Era: s.tables[OperatorTable].era,
		Rows: slices.SortedFunc(maps.Values(s.lostRows), func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) }),
	}
	for _, lapsed := range s.lapsedEvacuations {
		snapshot.LostFor = max(snapshot.LostFor, now.Sub(lapsed.at))
	}
	return snapshot
}

// importLost takes over the lost rows that a peer knows, and reports whether there were any
// that this daemon did not know.
func (s *State) importLost(now time.Time, snapshot Snapshot) bool {
	t := s.tables[OperatorTable]
	if !t.loaded || t.era < s.era || snapshot.Era != t.era {
		return false
	}
	s.lostRowsSeen = max(s.lostRowsSeen, snapshot.NewestRevision)
	changed := false
	for _, row := range snapshot.Rows {
		row.Table = OperatorTable
		lost, known := s.lostRows[row.Key]
		if known && bytes.Equal(lost.Value, row.Value) {
			continue
		}
		if s.adoptLost(now, row, now.Add(-max(0, snapshot.LostFor))) {
			s.lostRows[row.Key] = row
			changed = true
		}
	}
	return changed
}

// adoptLost lets a row be in force that the store lost before this daemon started. It reports
// false if a later one is.
func (s *State) adoptLost(now time.Time, row rowstore.Row, lostAt time.Time) bool {
	before := len(s.events)
	switch kind, name := records.ClassifyKey(row.Key); kind {
	case records.EvacuationRow:
		centre := core.DataCentre(name)
		if s.outDataCentres[centre] || now.Sub(lostAt) >= lapsedEvacuationGrace {
			return false
		}
		s.outDataCentres[centre] = true
		s.lapsedEvacuations[centre] = lapsedEvacuation{key: row.Key, at: lostAt}
		s.addEvent(row, "data-centre", "out for now: the store has lost the row")
	case records.ConfigRow:
		s.applyConfig(row)
	case records.VersionRow:
		s.applyVersion(now, row, fleet.Model(name), true)
	case records.UnknownRow:
	}
	return slices.ContainsFunc(s.events[before:], func(e Event) bool { return !e.Ignored })
}
