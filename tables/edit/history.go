package edit

import (
	"context"
	"fmt"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/tables"
)

// historyBatch is the number of history rows read at once.
const historyBatch = 100

// History returns the newest accepted revisions, newest first.
func (e *Editor) History(ctx context.Context, limit int) ([]Record, error) {
	newest, err := e.Head(ctx)
	if err != nil {
		return nil, err
	}
	oldest := core.Revision(1)
	if newest > core.Revision(limit) {
		oldest = newest - core.Revision(limit) + 1
	}
	return e.between(ctx, oldest, newest)
}

// between returns the kept records from oldest to newest, newest first.
func (e *Editor) between(ctx context.Context, oldest, newest core.Revision) ([]Record, error) {
	var records []Record
	for top := newest; top >= oldest && top > 0; {
		var batch []core.Revision
		for len(batch) < historyBatch && top >= oldest && top > 0 {
			batch = append(batch, top)
			top--
		}
		found, err := e.records(ctx, batch)
		if err != nil {
			return nil, err
		}
		records = append(records, found...)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision > records[j].Revision })
	return records, nil
}

// rollback returns the rows of an earlier revision by undoing the records
// after it.
func (e *Editor) rollback(ctx context.Context, v view, to core.Revision) (tables.Set, error) {
	return e.rowsAt(ctx, v.accepted, v.head.Revision, to)
}

func (e *Editor) rowsAt(ctx context.Context, from tables.Set, at, to core.Revision) (tables.Set, error) {
	if to > at || at-to >= e.config.Retention {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "revision %d is not kept; accepted is %d", to, at)
	}
	records, err := e.between(ctx, to+1, at)
	if err != nil {
		return nil, err
	}
	if len(records) != int(at-to) {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "revision %d is not kept: %d of %d records found", to, len(records), at-to)
	}
	rows := from.Clone()
	for _, record := range records {
		rows.Revert(record.Changes)
	}
	return rows, nil
}

// Diff returns the changes that lead from one accepted revision to another.
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

// Absorb accepts direct edits of the tables as a revision, and returns the
// rows that stay out of force. Several callers at once are safe.
func (e *Editor) AcceptDirectEdits(ctx context.Context) ([]tables.RowFault, error) {
	v, err := e.scan(ctx)
	if err != nil {
		return nil, err
	}
	if !v.dirty() {
		return v.faults, nil
	}
	v, err = e.read(ctx, directID(v.head.Revision+1))
	if err != nil || v.first != nil {
		return v.faults, err
	}
	err = e.absorb(ctx, v)
	if core.CodeOf(err) == core.CodeStoreConflict {
		err = nil
	}
	return v.faults, err
}

func directID(revision core.Revision) string {
	return fmt.Sprintf("%s%d", directPrefix, revision)
}

func (e *Editor) absorb(ctx context.Context, v view) error {
	changes := e.bounded(v)
	if len(changes) == 0 {
		return nil
	}
	next := v.head.Revision + 1
	txn, err := v.transaction(Record{
		Revision:   next,
		EditID:     directID(next),
		Author:     directAuthor,
		AcceptedAt: e.config.Now().UTC(),
		Changes:    changes,
	})
	if err != nil {
		return err
	}
	if err := e.config.Tables.Commit(ctx, txn); err != nil {
		return err
	}
	e.log.WithField("revision", next).Infof("Direct edit of %d rows accepted.", len(changes))
	return nil
}

// bounded returns the changes to accept now. When there are more than the
// bound, rows that others refer to go first and the rest waits.
func (e *Editor) bounded(v view) []tables.Change {
	changes := tables.Changes(v.accepted, v.contained)
	if len(changes) <= e.config.MaxChanges {
		return changes
	}
	sort.SliceStable(changes, func(i, j int) bool { return phase(changes[i]) < phase(changes[j]) })
	part := v.accepted.Clone()
	for _, change := range changes[:e.config.MaxChanges] {
		apply(part, change)
	}
	compiled, _ := tables.MergeDirectEdit(v.accepted, part)
	return tables.Changes(v.accepted, compiled)
}

// phase orders changes so that a part of them still joins.
func phase(change tables.Change) int {
	switch {
	case change.After == nil && change.Table == tables.TablePools:
		return 2
	case change.Table == tables.TableRoutes:
		return 1
	default:
		return 0
	}
}

func apply(set tables.Set, change tables.Change) {
	if change.After == nil {
		delete(set, change.RowKey)
		return
	}
	set[change.RowKey] = change.After
}
