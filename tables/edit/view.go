package edit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
)

const (
	tableHead      = "config-head"
	tableHistory   = "config-history"
	tableEdits     = "config-edits"
	acceptedPrefix = "accepted-"
)

var headKey = platform.RowKey{Table: tableHead, Key: "head"}

// headRow is the value of the head row, which each accepted revision replaces.
type headRow struct {
	Revision core.Revision `json:"revision"`
	EditID   string        `json:"edit_id"`
}

// Record is one accepted revision in the history.
type Record struct {
	Revision      core.Revision   `json:"revision"`
	EditID        string          `json:"edit_id"`
	Author        string          `json:"author,omitempty"`
	AcceptedAt    time.Time       `json:"accepted_at"`
	RequestDigest core.Digest     `json:"request,omitzero"`
	Changes       []tables.Change `json:"changes"`
}

// editRow is the value of a row that maps an edit id to its revision.
type editRow struct {
	Revision core.Revision `json:"revision"`
}

func historyKey(revision core.Revision) platform.RowKey {
	return platform.RowKey{Table: tableHistory, Key: fmt.Sprintf("%020d", revision)}
}

func editKey(id string) platform.RowKey {
	return platform.RowKey{Table: tableEdits, Key: id}
}

func acceptedKey(key platform.RowKey) platform.RowKey {
	return platform.RowKey{Table: acceptedPrefix + key.Table, Key: key.Key}
}

// view is the content of the table service as read by one attempt of an edit.
type view struct {
	head        headRow
	headVersion uint64
	// accepted holds the accepted rows at head. direct holds the rows that
	// automation may have written, and versions their versions.
	accepted tables.Set
	direct   tables.Set
	versions map[platform.RowKey]uint64
	// merged holds the accepted rows with all valid direct edits; faults lists
	// the rejected ones.
	merged tables.Set
	faults []tables.RowFault
	// firstRecord is the record of an earlier edit with the same id, if any.
	firstRecord *Record
	// expiring is the record that the next revision removes from the history,
	// if any.
	expiring *Record
}

// hasDirectEdits reports whether there are direct edits to accept.
func (v view) hasDirectEdits() bool { return !v.merged.Equal(v.accepted) }

// scan reads the head row and all configuration rows in one atomic read.
func (e *Editor) scan(ctx context.Context) (view, error) {
	names := []string{tableHead}
	for _, name := range tables.Names() {
		names = append(names, name, acceptedPrefix+name)
	}
	rows, err := e.config.Tables.Scan(ctx, names...)
	if err != nil {
		return view{}, err
	}
	return newView(rows)
}

func newView(rows []platform.Row) (view, error) {
	v := view{accepted: tables.Set{}, direct: tables.Set{}, versions: map[platform.RowKey]uint64{}}
	acceptedTables := map[string]string{}
	for _, name := range tables.Names() {
		acceptedTables[acceptedPrefix+name] = name
	}
	for _, row := range rows {
		if row.Table == tableHead {
			if err := v.setHead(row); err != nil {
				return view{}, err
			}
			continue
		}
		if name, ok := acceptedTables[row.Table]; ok {
			v.accepted[platform.RowKey{Table: name, Key: row.Key}] = row.Value
			continue
		}
		key := platform.RowKey{Table: row.Table, Key: row.Key}
		v.direct[key] = row.Value
		v.versions[key] = row.Version
	}
	v.merged, v.faults = tables.MergeDirectEdit(v.accepted, v.direct)
	return v, nil
}

func (v *view) setHead(row platform.Row) error {
	if err := json.Unmarshal(row.Value, &v.head); err != nil {
		return core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode head row")
	}
	v.headVersion = row.Version
	return nil
}

// scanForEdit calls scan, then reads the record of the edit id and the record
// that will expire. Records are immutable, so that it is safe to read them after
// the scan.
func (e *Editor) scanForEdit(ctx context.Context, id string) (view, error) {
	v, err := e.scan(ctx)
	if err != nil {
		return view{}, err
	}
	keys := []platform.RowKey{editKey(id)}
	nextRevision := v.head.Revision + 1
	if nextRevision > e.config.Retention {
		keys = append(keys, historyKey(nextRevision-e.config.Retention))
	}
	rows, err := e.config.Tables.Get(ctx, keys...)
	if err != nil {
		return view{}, err
	}
	for _, row := range rows {
		if err := e.setLookedUpRow(ctx, &v, row); err != nil {
			return view{}, err
		}
	}
	return v, nil
}

func (e *Editor) setLookedUpRow(ctx context.Context, v *view, row platform.Row) error {
	if row.Table == tableHistory {
		record, err := decodeRecord(row)
		v.expiring = &record
		return err
	}
	var found editRow
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode edit row %q", row.Key)
	}
	records, err := e.readRecords(ctx, []core.Revision{found.Revision})
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return core.NewRefusal(core.CodeUnreadableRow, 0, "edit row %q refers to revision %d, which is not in the history", row.Key, found.Revision)
	}
	v.firstRecord = &records[0]
	return nil
}

func decodeRecord(row platform.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode history row %q", row.Key)
	}
	return record, nil
}

func (e *Editor) readRecords(ctx context.Context, revisions []core.Revision) ([]Record, error) {
	keys := make([]platform.RowKey, 0, len(revisions))
	for _, revision := range revisions {
		keys = append(keys, historyKey(revision))
	}
	rows, err := e.config.Tables.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		record, err := decodeRecord(row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Head returns the accepted revision, or 0 if none has been accepted yet.
func (e *Editor) Head(ctx context.Context) (core.Revision, error) {
	rows, err := e.headReader.Get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	var v view
	err = v.setHead(rows[0])
	return v.head.Revision, err
}

// Load returns the accepted rows, and the rejected rows of direct edits.
func (e *Editor) Load(ctx context.Context) (tables.Rows, []tables.RowFault, error) {
	v, err := e.scan(ctx)
	if err != nil {
		return tables.Rows{}, nil, err
	}
	rows, err := v.accepted.Rows(v.head.Revision)
	return rows, v.faults, err
}
