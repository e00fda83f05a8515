package roster

import (
	"context"

	"currantusher.dev/core"
	"currantusher.dev/platform/rowstore"
)

// maxWriteAttempts bounds the attempts of a write whose preconditions do not hold.
const maxWriteAttempts = 5

// rowWriter writes the row of this daemon, each time on condition that the row is as it
// was last known to be. The store may perform an unanswered write after later ones, but
// only if its preconditions still hold.
//
// A row that does not exist has no revision, so the creation of a row could still be
// performed after its removal. The creation therefore depends on another row too, that of
// the table's departures, which a daemon changes when it leaves while one of its creations
// is unanswered.
type rowWriter struct {
	store *rowstore.Client
	// revision is that of the row as last known, and departures that of the row of
	// departures; 0 if the row does not exist.
	revision, departures uint64
	// mayCreate is whether the store may still perform an unanswered creation.
	mayCreate bool
}

// write writes a row, or removes it if it is marked as deleted, and returns the era in
// which the store accepted that.
func (w *rowWriter) write(ctx context.Context, row rowstore.Row) (era uint64, err error) {
	for range maxWriteAttempts {
		tx := w.transaction(row)
		var outcome rowstore.Outcome
		outcome, err = w.store.Commit(ctx, tx)
		switch {
		case err == nil:
			w.accepted(row, tx, outcome)
			return outcome.Era, nil
		case core.CodeOf(err) != core.CodeStoreConflict:
			isCreation := w.revision == 0 && !row.Deleted
			w.mayCreate = w.mayCreate || isCreation && core.ExecutionOf(err) == core.ExecutionUnknown
			return 0, err
		}
		w.revision = outcome.RevisionOf(row.Table, row.Key)
		if len(tx.Expected) > 1 {
			w.departures = outcome.RevisionOf(departuresTable, row.Table)
		}
	}
	return 0, err
}

func (w *rowWriter) transaction(row rowstore.Row) rowstore.Transaction {
	expected := rowstore.Row{Table: row.Table, Key: row.Key, Revision: w.revision}
	departures := rowstore.Row{Table: departuresTable, Key: row.Table}
	tx := rowstore.Transaction{Expected: []rowstore.Row{expected}}
	if !row.Deleted {
		tx.Set = []rowstore.Row{row}
		if w.revision == 0 {
			departures.Revision = w.departures
			tx.Expected = append(tx.Expected, departures)
		}
		return tx
	}
	tx.Remove = []rowstore.Row{{Table: row.Table, Key: row.Key}}
	if w.mayCreate {
		departures.Value = []byte(row.Key)
		tx.Set = []rowstore.Row{departures}
	}
	return tx
}

func (w *rowWriter) accepted(row rowstore.Row, tx rowstore.Transaction, outcome rowstore.Outcome) {
	switch {
	case !row.Deleted:
		w.revision = outcome.Revision
	case len(tx.Set) > 0:
		w.revision, w.departures, w.mayCreate = 0, outcome.Revision, false
	default:
		w.revision = 0
	}
}
