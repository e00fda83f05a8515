package edit

import (
	"context"
	"fmt"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// historyBatchSize is the number of history rows in one read.
const historyBatchSize = 100

// History returns up to limit of the newest accepted revisions, newest first.
func (e *Editor) History(ctx context.Context, limit int) ([]Record, error) {
	newest, err := e.Head(ctx)
	if err != nil {
		return nil, err
	}
	oldest := core.Revision(1)
	if newest > core.Revision(limit) {
		oldest = newest - core.Revision(limit) + 1
	}
	return e.recordsBetween(ctx, oldest, newest)
}

// recordsBetween returns the kept records of the revisions from oldest to
// newest, newest first.
func (e *Editor) recordsBetween(ctx context.Context, oldest, newest core.Revision) ([]Record, error) {
	var records []Record
	for revision := newest; revision >= oldest && revision > 0; {
		var batch []core.Revision
		for len(batch) < historyBatchSize && revision >= oldest && revision > 0 {
			batch = append(batch, revision)
			revision--
		}
		found, err := e.readRecords(ctx, batch)
		if err != nil {
			return nil, err
		}
		records = append(records, found...)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision > records[j].Revision })
	return records, nil
}

// rollback returns the rows of an earlier revision.
func (e *Editor) rollback(ctx context.Context, v view, to core.Revision) (tables.Set, error) {
	return e.rowsAt(ctx, v.accepted, v.head.Revision, to)
}

// rowsAt returns the rows of a target revision. It undoes the records after that
// in the rows of the current revision.
func (e *Editor) rowsAt(ctx context.Context, current tables.Set, currentRevision, target core.Revision) (tables.Set, error) {
	if target > currentRevision || currentRevision-target >= e.config.Retention {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "revision %d is not in the history; the accepted revision is %d", target, currentRevision)
	}
	records, err := e.recordsBetween(ctx, target+1, currentRevision)
	if err != nil {
		return nil, err
	}
	if len(records) != int(currentRevision-target) {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "revision %d cannot be restored: only %d of %d later records are in the history", target, len(records), currentRevision-target)
	}
	rows := current.Clone()
	for _, record := range records {
		rows.Revert(record.Changes)
	}
	return rows, nil
}

// Diff returns the changes from one accepted revision to another.
func (e *Editor) Diff(ctx context.Context, from, to core.Revision) ([]string, error) {
	v, err := e.scan(ctx)
	if err != nil {
		return nil, err
	}
	before, err := e.rowsAt(ctx, v.accepted, v.head.Revision, from)
	if err != nil {
		return nil, err
	}
	after, err := e.rowsAt(ctx, v.accepted, v.head.Revision, to)
	if err != nil {
		return nil, err
	}
	return tables.Describe(tables.Changes(before, after)), nil
}

// AcceptDirectEdits accepts direct edits of the tables as a revision, and
// returns the rejected rows. Concurrent calls are safe.
func (e *Editor) AcceptDirectEdits(ctx context.Context) ([]tables.RowFault, error) {
	v, err := e.scan(ctx)
	if err != nil {
		return nil, err
	}
	if !v.hasDirectEdits() {
		return v.faults, nil
	}
	v, err = e.scanForEdit(ctx, directEditID(v.head.Revision+1))
	if err != nil || v.firstRecord != nil {
		return v.faults, err
	}
	err = e.commitDirectEdits(ctx, v)
	if core.CodeOf(err) == core.CodeStoreConflict {
		err = nil
	}
	return v.faults, err
}

func directEditID(revision core.Revision) string {
	return fmt.Sprintf("%s%d", directEditPrefix, revision)
}

func (e *Editor) commitDirectEdits(ctx context.Context, v view) error {
	changes := e.limitChanges(v)
	if len(changes) == 0 {
		return nil
	}
	nextRevision := v.head.Revision + 1
	txn, err := v.transaction(Record{
		Revision:   nextRevision,
		EditID:     directEditID(nextRevision),
		Author:     directEditAuthor,
		AcceptedAt: e.config.Now().UTC(),
		Changes:    changes,
	})
	if err != nil {
		return err
	}
	if err := e.config.Tables.Commit(ctx, txn); err != nil {
		return err
	}
	e.log.WithField("revision", nextRevision).Infof("Accepted a direct edit of %d rows.", len(changes))
	return nil
}

// limitChanges returns the changes to accept in the next revision. If there are
// more than MaxChanges, rows to which other rows refer come first, and the
// remaining changes are left for later revisions.
func (e *Editor) limitChanges(v view) []tables.Change {
	changes := tables.Changes(v.accepted, v.merged)
	if len(changes) <= e.config.MaxChanges {
		return changes
	}
	sort.SliceStable(changes, func(i, j int) bool { return commitOrder(changes[i]) < commitOrder(changes[j]) })
	partial := v.accepted.Clone()
	for _, change := range changes[:e.config.MaxChanges] {
		applyChange(partial, change)
	}
	valid, _ := tables.MergeDirectEdit(v.accepted, partial)
	return tables.Changes(v.accepted, valid)
}

// commitOrder returns the position of a change, such that the first changes in
// this order leave no route without its pool.
func commitOrder(change tables.Change) int {
	switch {
	case change.After == nil && change.Table == tables.TablePools:
		return 2
	case change.Table == tables.TableRoutes:
		return 1
	default:
		return 0
	}
}

func applyChange(set tables.Set, change tables.Change) {
	if change.After == nil {
		delete(set, change.RowKey)
		return
	}
	set[change.RowKey] = change.After
}
