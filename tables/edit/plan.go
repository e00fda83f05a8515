package edit

import (
	"context"
	"encoding/json"
	"fmt"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
)

// plan is a transaction and the result of its commit.
type plan struct {
	txn    platform.Transaction
	result Result
}

func (e *Editor) plan(ctx context.Context, v view, request Request) (plan, error) {
	if request.IfRevision != 0 && request.IfRevision != v.head.Revision {
		return plan{}, core.NewRefusal(core.CodeRevisionConflict, 0, "edit is based on revision %d, but the accepted revision is %d", request.IfRevision, v.head.Revision)
	}
	target, err := e.targetRows(ctx, v, request)
	if err != nil {
		return plan{}, err
	}
	nextRevision := v.head.Revision + 1
	rows, err := target.Rows(nextRevision)
	if err != nil {
		return plan{}, err
	}
	if _, err := tables.Compile(rows); err != nil {
		return plan{}, err
	}
	changes := tables.Changes(v.accepted, target)
	if len(changes) > e.config.MaxChanges {
		return plan{}, core.NewRefusal(core.CodeInvalidField, 0, "edit changes %d rows, at most %d are allowed", len(changes), e.config.MaxChanges)
	}
	if request.DryRun {
		return plan{result: Result{Revision: v.head.Revision, Changes: tables.Describe(changes)}}, nil
	}
	digest, err := request.digest()
	if err != nil {
		return plan{}, err
	}
	record := Record{
		Revision:      nextRevision,
		EditID:        request.ID,
		Author:        request.Author,
		AcceptedAt:    e.config.Now().UTC(),
		RequestDigest: digest,
		Changes:       changes,
	}
	txn, err := v.transaction(record)
	if err != nil {
		return plan{}, err
	}
	v.addDirectWrites(&txn, changes, request)
	result := Result{Revision: nextRevision, Changes: tables.Describe(changes), Rows: rows}
	return plan{txn: txn, result: result}, nil
}

// targetRows returns the rows after the edit.
func (e *Editor) targetRows(ctx context.Context, v view, request Request) (tables.Set, error) {
	if request.RollbackTo != 0 {
		return e.rollback(ctx, v, request.RollbackTo)
	}
	target := v.accepted.Clone()
	for _, key := range request.deletes() {
		_, accepted := v.accepted[key]
		_, direct := v.direct[key]
		if !accepted && !direct {
			return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "%s %q does not exist", key.Table, key.Key)
		}
		delete(target, key)
	}
	seen := map[platform.RowKey]bool{}
	for _, row := range request.Set.All() {
		if seen[row.Key()] {
			return nil, core.NewRefusal(core.CodeInvalidRow, 0, "%s %q is set twice", row.Key().Table, row.Key().Key)
		}
		seen[row.Key()] = true
		if err := row.Validate(); err != nil {
			return nil, core.Wrap(err, core.CodeInvalidRow, core.ExecutionNotRun, "%s %q", row.Key().Table, row.Key().Key)
		}
		if err := target.Put(row); err != nil {
			return nil, core.Wrap(err, core.CodeInvalidRow, core.ExecutionNotRun, "%s %q", row.Key().Table, row.Key().Key)
		}
	}
	return target, nil
}

// transaction returns a transaction that writes the accepted rows, the head, the
// history and the edit id. It commits only if the head row has not changed since
// v was read, and the edit id is new.
func (v view) transaction(record Record) (platform.Transaction, error) {
	txn := platform.Transaction{
		Preconditions: []platform.Precondition{
			{RowKey: headKey, Version: v.headVersion},
			{RowKey: editKey(record.EditID)},
		},
	}
	values := []struct {
		key   platform.RowKey
		value any
	}{
		{headKey, headRow{Revision: record.Revision, EditID: record.EditID}},
		{historyKey(record.Revision), record},
		{editKey(record.EditID), editRow{Revision: record.Revision}},
	}
	for _, item := range values {
		value, err := json.Marshal(item.value)
		if err != nil {
			return platform.Transaction{}, fmt.Errorf("encode %s: %w", item.key.Table, err)
		}
		txn.Puts = append(txn.Puts, platform.Put{RowKey: item.key, Value: value})
	}
	for _, change := range record.Changes {
		addWrite(&txn, acceptedKey(change.RowKey), change.After)
	}
	if v.expiring != nil {
		txn.Deletes = append(txn.Deletes, historyKey(v.expiring.Revision), editKey(v.expiring.EditID))
	}
	return txn, nil
}

// addDirectWrites adds the writes to the tables that automation may write. The
// transaction fails if one of these rows has changed there since v was read.
func (v view) addDirectWrites(txn *platform.Transaction, changes []tables.Change, request Request) {
	writes := map[platform.RowKey]json.RawMessage{}
	for _, key := range request.deletes() {
		writes[key] = nil
	}
	for _, row := range request.Set.All() {
		writes[row.Key()] = v.accepted[row.Key()]
	}
	for _, change := range changes {
		writes[change.RowKey] = change.After
	}
	for key, value := range writes {
		txn.Preconditions = append(txn.Preconditions, platform.Precondition{RowKey: key, Version: v.versions[key]})
		addWrite(txn, key, value)
	}
}

func addWrite(txn *platform.Transaction, key platform.RowKey, value json.RawMessage) {
	if value == nil {
		txn.Deletes = append(txn.Deletes, key)
		return
	}
	txn.Puts = append(txn.Puts, platform.Put{RowKey: key, Value: value})
}

// digest returns the digest of the request without its id.
func (r Request) digest() (core.Digest, error) {
	r.ID = ""
	r.Set.Revision = 0
	content, err := json.Marshal(r)
	if err != nil {
		return core.Digest{}, core.Wrap(err, core.CodeInvalidField, core.ExecutionNotRun, "encode edit")
	}
	return core.DigestOf(content), nil
}
