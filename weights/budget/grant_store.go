package budget

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// TableName is the name of the table of grants.
const TableName = "origin-grants"

// maxCommitAttempts bounds the attempts to commit a grant when concurrent grants
// conflict with it.
const maxCommitAttempts = 8

// GrantStore grants origin fetches with a compare-and-swap on one row per extent.
// It is safe for concurrent use.
type GrantStore struct {
	tables platform.Tables
}

// NewGrantStore returns a GrantStore that keeps its grants in tables.
func NewGrantStore(tables platform.Tables) *GrantStore { return &GrantStore{tables: tables} }

// Acquire requests origin fetches. After an error no fetch may be made.
func (s *GrantStore) Acquire(ctx context.Context, request GrantRequest) (Grant, error) {
	for range maxCommitAttempts {
		granted, err := s.tryAcquire(ctx, request)
		if core.CodeOf(err) != core.CodeStoreConflict {
			return granted, err
		}
	}
	return Grant{}, core.NewRefusal(core.CodeStoreConflict, 0, "grant of extent %d of %s: too many conflicting grants", request.Extent, request.Root.Short())
}

func (s *GrantStore) tryAcquire(ctx context.Context, request GrantRequest) (Grant, error) {
	key := rowKey(request)
	row, version, err := s.readRow(ctx, key)
	if err != nil {
		return Grant{}, err
	}
	next, granted := row.grant(request)
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
		err = s.confirmCommit(ctx, key, next.Nonce)
	}
	if err != nil {
		return Grant{}, err
	}
	return granted, nil
}

// confirmCommit reports whether a commit whose response was lost took effect, by
// comparing the nonce of the row. If another downloader has overwritten the
// nonce since, the commit counts as failed: its fetches remain counted in the row
// but are not made.
func (s *GrantStore) confirmCommit(ctx context.Context, key platform.RowKey, nonce string) error {
	row, _, err := s.readRow(ctx, key)
	if err != nil {
		return err
	}
	if row.Nonce != nonce {
		return core.NewRefusal(core.CodeStoreConflict, 0, "grant %s was not committed or has been overwritten by a later grant", key.Key)
	}
	return nil
}

func (s *GrantStore) readRow(ctx context.Context, key platform.RowKey) (extentRow, uint64, error) {
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

func rowKey(request GrantRequest) platform.RowKey {
	part := fmt.Sprintf("%05d", request.Extent)
	if request.Manifest {
		part = "manifest"
	}
	return platform.RowKey{Table: TableName, Key: request.Root.String() + "/" + part}
}
