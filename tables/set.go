package tables

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Names of the configuration tables. Operators' automation may write to them
// directly.
const (
	TableRoutes      = "routes"
	TablePools       = "pools"
	TableDataCentres = "data-centres"
	TableTeams       = "teams"
)

// Names returns the names of the configuration tables.
func Names() []string {
	return []string{TableDataCentres, TablePools, TableRoutes, TableTeams}
}

// Row is one row of a configuration table.
type Row interface {
	// Key returns the row's table and key.
	Key() platform.RowKey
	// Validate checks the row's fields, but not its references to other rows.
	Validate() error
}

// Key implements Row.
func (r Route) Key() platform.RowKey {
	return platform.RowKey{Table: TableRoutes, Key: string(r.Name)}
}

// Key implements Row.
func (p Pool) Key() platform.RowKey {
	return platform.RowKey{Table: TablePools, Key: string(p.Name)}
}

// Key implements Row.
func (d DataCentreRow) Key() platform.RowKey {
	return platform.RowKey{Table: TableDataCentres, Key: string(d.Name)}
}

// Key implements Row.
func (t TeamRow) Key() platform.RowKey {
	return platform.RowKey{Table: TableTeams, Key: string(t.Name)}
}

// All returns the rows of all tables.
func (r Rows) All() []Row {
	all := make([]Row, 0, len(r.Routes)+len(r.Pools)+len(r.DataCentres)+len(r.Teams))
	for _, row := range r.Routes {
		all = append(all, row)
	}
	for _, row := range r.Pools {
		all = append(all, row)
	}
	for _, row := range r.DataCentres {
		all = append(all, row)
	}
	for _, row := range r.Teams {
		all = append(all, row)
	}
	return all
}

func (r *Rows) add(row Row) {
	switch typed := row.(type) {
	case Route:
		r.Routes = append(r.Routes, typed)
	case Pool:
		r.Pools = append(r.Pools, typed)
	case DataCentreRow:
		r.DataCentres = append(r.DataCentres, typed)
	case TeamRow:
		r.Teams = append(r.Teams, typed)
	}
}

// Set maps each row's table and key to its canonical JSON encoding.
type Set map[platform.RowKey]json.RawMessage

// Set returns the rows in canonical encoding.
func (r Rows) Set() (Set, error) {
	set := Set{}
	for _, row := range r.All() {
		if err := set.Put(row); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// Put adds or replaces a row.
func (s Set) Put(row Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("%s %q: %w", row.Key().Table, row.Key().Key, err)
	}
	s[row.Key()] = value
	return nil
}

// Clone returns a copy that can be modified independently.
func (s Set) Clone() Set {
	copied := make(Set, len(s))
	for key, value := range s {
		copied[key] = value
	}
	return copied
}

// Keys returns the keys ordered by table and key.
func (s Set) Keys() []platform.RowKey {
	keys := make([]platform.RowKey, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	sortKeys(keys)
	return keys
}

func sortKeys(keys []platform.RowKey) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Table != keys[j].Table {
			return keys[i].Table < keys[j].Table
		}
		return keys[i].Key < keys[j].Key
	})
}

// Rows decodes all rows and returns them as the content of a revision.
func (s Set) Rows(revision core.Revision) (Rows, error) {
	rows := Rows{Revision: revision}
	for _, key := range s.Keys() {
		row, err := DecodeRow(key, s[key])
		if err != nil {
			return Rows{}, err
		}
		rows.add(row)
	}
	return rows, nil
}

// Equal reports whether both sets hold the same rows.
func (s Set) Equal(other Set) bool {
	if len(s) != len(other) {
		return false
	}
	for key, value := range s {
		if !s.hasSameValue(other, key, value) {
			return false
		}
	}
	return true
}

func (s Set) hasSameValue(other Set, key platform.RowKey, value json.RawMessage) bool {
	found, ok := other[key]
	return ok && bytes.Equal(found, value)
}

// DecodeRow decodes and validates one row of the table service. The error
// carries CodeUnreadableRow or CodeInvalidRow.
func DecodeRow(key platform.RowKey, value []byte) (Row, error) {
	row, err := decodeTyped(key.Table, value)
	if err != nil {
		return nil, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "%s %q", key.Table, key.Key)
	}
	if row.Key() != key {
		return nil, core.NewRefusal(core.CodeInvalidRow, 0, "%s %q: name %q differs from the key", key.Table, key.Key, row.Key().Key)
	}
	if err := row.Validate(); err != nil {
		return nil, core.Wrap(err, core.CodeInvalidRow, core.ExecutionNotRun, "%s %q", key.Table, key.Key)
	}
	return row, nil
}

func decodeTyped(table string, value []byte) (Row, error) {
	switch table {
	case TableRoutes:
		return decodeAs[Route](value)
	case TablePools:
		return decodeAs[Pool](value)
	case TableDataCentres:
		return decodeAs[DataCentreRow](value)
	case TableTeams:
		return decodeAs[TeamRow](value)
	default:
		return nil, fmt.Errorf("unknown table %q", table)
	}
}

func decodeAs[T Row](value []byte) (Row, error) {
	var row T
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, err
	}
	return row, nil
}
