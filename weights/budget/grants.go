package budget

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// TableName is the table that holds the grants.
const TableName = "origin-grants"

// maxConflicts bounds how often a grant is tried again after a concurrent one.
const maxConflicts = 8

// GrantStore grants origin fetches by compare-and-set on one row for each extent.
type GrantStore struct {
	tables platform.Tables
}

// NewGrantStore returns the grants that tables holds.
func NewGrantStore(tables platform.Tables) *GrantStore { return &GrantStore{tables: tables} }

// Acquire asks for origin fetches. An error means that none may be made.
func (s *GrantStore) Acquire(ctx context.Context, ask GrantRequest) (Grant, error) {
	for range maxConflicts {
		granted, err := s.try(ctx, ask)
		if core.CodeOf(err) != core.CodeStoreConflict {
			return granted, err
		}
	}
	return Grant{}, core.NewRefusal(core.CodeStoreConflict, 0, "extent %d of %s: too many concurrent grants", ask.Extent, ask.Root.Short())
}

func (s *GrantStore) try(ctx context.Context, ask GrantRequest) (Grant, error) {
	key := rowKey(ask)
	row, version, err := s.read(ctx, key)
	if err != nil {
		return Grant{}, err
	}
	next, granted := row.grant(ask)
	if len(granted.Chunks) == 0 {
		return granted, nil
	}
	next.Nonce = uuid.NewString()
	value, err := cbor.Marshal(next)
	if err != nil {
		return Grant{}, err
	}
	err = s.tables.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: key, Version: version}},
		Puts:          []platform.Put{{RowKey: key, Value: value}},
	})
	if core.CodeOf(err) == core.CodeStoreOutcomeLost {
		err = s.confirm(ctx, key, next.Nonce)
	}
	if err != nil {
		return Grant{}, err
	}
	return granted, nil
}

// confirm decides a commit whose answer was lost. A later grant by another
// downloader hides the nonce; the fetches then stay counted but are not made.
func (s *GrantStore) confirm(ctx context.Context, key platform.RowKey, nonce string) error {
	row, _, err := s.read(ctx, key)
	if err != nil {
		return err
	}
	if row.Nonce != nonce {
		return core.NewRefusal(core.CodeStoreConflict, 0, "grant %s was not committed or was overtaken", key.Key)
	}
	return nil
}

func (s *GrantStore) read(ctx context.Context, key platform.RowKey) (extentRow, uint64, error) {
	var row extentRow
	rows, err := s.tables.Get(ctx, key)
	if err != nil || len(rows) == 0 {
		return row, 0, err
	}
	if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
		return row, 0, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "row %s", key.Key)
	}
	return row, rows[0].Version, nil
}

func rowKey(ask GrantRequest) platform.RowKey {
	part := fmt.Sprintf("%05d", ask.Extent)
	if ask.Manifest {
		part = "manifest"
	}
	return platform.RowKey{Table: TableName, Key: ask.Root.String() + "/" + part}
}
