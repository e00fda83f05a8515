package watch

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

// lapsedEvacuationGrace is how long a data centre stays out of service after the store
// has lost the row that took it out. Operators write lost rows again, and a request
// to a data centre that is out is worse than one that another data centre serves.
const lapsedEvacuationGrace = 5 * time.Second

// EraChange describes the transition to a later era of the store.
type EraChange struct {
	From, To uint64
	// Dropped counts the known rows that the later era does not have, and Replaced
	// those with another value there.
	Dropped, Replaced int
}

// Era returns the latest era of which rows are known.
func (s *State) Era() uint64 { return s.era }

// beginEra records that the store, or a peer, replied with rows of a later era.
func (s *State) beginEra(now time.Time, era uint64) {
	if s.isLoaded() {
		if s.eraChange == nil {
			s.eraChange = &EraChange{From: s.era}
		}
		s.eraChange.To = era
		// Writers of lost rows need the same time as after an outage.
		s.storeDown = false
		s.storeUpAt = now
	}
	s.era, s.lostRowsSeen = era, 0
}

func (s *State) isLoaded() bool {
	for _, t := range s.tables {
		if t.loaded {
			return true
		}
	}
	return false
}

// replaceInLaterEra replaces all rows of a table by those of a later era. Only values
// are compared, because revisions of the two eras are not comparable.
func (s *State) replaceInLaterEra(now time.Time, name string, page rowstore.Page) {
	t := s.tables[name]
	lost := t.rows
	t.rows = make(map[string]rowstore.Row, len(page.Rows))
	t.newestRevision = 0
	for _, row := range page.Rows {
		s.noteRead(row)
		old, isKnown := lost[row.Key]
		delete(lost, row.Key)
		t.rows[row.Key] = row
		t.newestRevision = max(t.newestRevision, row.Revision)
		if isKnown && bytes.Equal(old.Value, row.Value) {
			continue
		}
		if isKnown {
			s.eraChange.Replaced++
			s.noteLost(old)
		}
		s.applyRow(now, row, false)
	}
	s.eraChange.Dropped += len(lost)
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		s.noteLost(lost[key])
		s.applyLoss(now, rowstore.Row{Table: name, Key: key, Deleted: true})
	}
	t.era = page.Era
	t.cursor = page.Revision
	s.finishEraChange()
}

// finishEraChange adds the event of a transition when all tables have rows of the
// latest era.
func (s *State) finishEraChange() {
	for _, t := range s.tables {
		if t.loaded && t.era < s.era {
			return
		}
	}
	s.eraChanges++
	s.droppedRows += uint64(s.eraChange.Dropped)
	s.events = append(s.events, Event{
		Subject: "store", Detail: "The store has lost its latest rows; rows of the later era adopted.", EraChange: s.eraChange,
	})
	s.eraChange = nil
}

// applyLoss handles a row that a later era does not have. An evacuation holds for
// lapsedEvacuationGrace more, and all other rows have the effect of a deleted row.
func (s *State) applyLoss(now time.Time, row rowstore.Row) {
	kind, name := records.ClassifyKey(row.Key)
	if row.Table != OperatorTable || kind != records.EvacuationRow {
		s.applyRow(now, row, false)
		return
	}
	s.lapsedEvacuations[core.DataCentre(name)] = lapsedEvacuation{key: row.Key, at: now}
	s.addEvent(row, "data-centre", "the store has lost the row; the data centre stays out for now")
}

// expireEvacuations brings data centres in whose rows were not written again. It is
// called when the operators' rows were read: a daemon that cannot read them does not
// know whether they were written again.
func (s *State) expireEvacuations(now time.Time) {
	if now.Sub(s.storeUpAt) < lapsedEvacuationGrace {
		return
	}
	for _, centre := range slices.Sorted(maps.Keys(s.lapsedEvacuations)) {
		lapsed := s.lapsedEvacuations[centre]
		if now.Sub(lapsed.at) < lapsedEvacuationGrace {
			continue
		}
		delete(s.lostRows, lapsed.key)
		s.bringIn(now, centre)
		s.events = append(s.events, Event{Subject: "data-centre", Key: string(centre), Detail: "in: the lost row was not written again"})
	}
}
