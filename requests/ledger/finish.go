package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Finish stores the result of a claimed request. It returns once the write is
// queued, so that the answer to the caller does not wait for the commit. The
// write is retried until FinishTimeout. Finish must not be called for a released
// claim.
func (l *Ledger) Finish(claim Claim, result Result) error {
	return l.enqueueResult(claim, result, nil)
}

// FinishWait is like Finish, but waits until the row is committed or ctx ends.
func (l *Ledger) FinishWait(ctx context.Context, claim Claim, result Result) error {
	done := make(chan outcome, 1)
	if err := l.enqueueResult(claim, result, done); err != nil {
		return err
	}
	select {
	case o := <-done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) enqueueResult(claim Claim, result Result, done chan outcome) error {
	overPendingLimit := l.pendingResultBytes.Load()+int64(len(result.Body)) > int64(l.config.MaxPendingResultBytes)
	if len(result.Body) > l.config.MaxResultBytes || overPendingLimit {
		result.Body = nil
		result.BodyOmitted = true
	}
	claim.row.State = stateFinished
	claim.row.Result = &result
	w := &rowWrite{
		key:          claim.rowKey,
		value:        claim.row.encode(),
		expires:      l.config.Now().Add(l.config.FinishTimeout),
		pendingBytes: &l.pendingResultBytes,
		done:         done,
	}
	l.pendingResultBytes.Add(int64(len(w.value)))
	err := l.submit(w)
	if err != nil {
		l.pendingResultBytes.Add(-int64(len(w.value)))
	}
	return err
}

// Release allows the key to be claimed again. The caller must be certain that no
// attempt of the claim ran or will run: each was refused as not run, cancelled
// by a confirmed tombstone, or never sent. A failed release is retried in the
// background.
func (l *Ledger) Release(ctx context.Context, claim Claim) error {
	err := l.release(ctx, claim)
	if err != nil && core.CodeOf(err) != core.CodeStoreConflict {
		l.reapLater(claim)
	}
	return err
}

func (l *Ledger) release(ctx context.Context, claim Claim) error {
	rows, err := l.get(ctx, claim.rowKey)
	if err != nil {
		return err
	}
	if len(rows) != 1 {
		return core.NewFailure(core.CodeUnknownEntity, core.ExecutionNotRun, "the claim row does not exist")
	}
	stored, err := decodeRow(rows[0].Value)
	if err != nil {
		return err
	}
	if stored.State != stateClaimed || stored.AttemptID != claim.row.AttemptID {
		return core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the claim is finished, released or held by another attempt")
	}
	stored.State = stateReleased
	w := &rowWrite{
		key:         claim.rowKey,
		value:       stored.encode(),
		conditional: true,
		version:     rows[0].Version,
		done:        make(chan outcome, 1),
	}
	if err := l.submit(w); err != nil {
		return err
	}
	return l.awaitCommit(ctx, w)
}

func (l *Ledger) awaitCommit(ctx context.Context, w *rowWrite) error {
	select {
	case o := <-w.done:
		if o.existing != nil {
			return core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the claim row changed before the release was committed")
		}
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) get(ctx context.Context, key platform.RowKey) ([]platform.Row, error) {
	boundedCtx, cancel := context.WithTimeout(ctx, l.config.CommitTimeout)
	defer cancel()
	return l.config.Tables.Get(boundedCtx, key)
}

func encodeIndex(claims claimIndex) []byte {
	encoded, err := cbor.Marshal(claims)
	if err != nil {
		panic(err)
	}
	return encoded
}

// deleteBatchRows bounds the claim rows deleted in one transaction.
const deleteBatchRows = 128

// expiredHours is the number of hours before the retention period whose claims
// DeleteExpired deletes.
const expiredHours = 6

// DeleteExpired deletes claims older than the retention period and returns how
// many it deleted. It stops at the first index row after limit claims. It
// looks back expiredHours only: if it is not called for longer than that, older
// claims are never deleted. Concurrent calls are safe.
func (l *Ledger) DeleteExpired(ctx context.Context, limit int) (int, error) {
	tables := make([]string, 0, expiredHours)
	for hours := 1; hours <= expiredHours; hours++ {
		expiredHour := l.config.Now().Add(-l.config.Retention - time.Duration(hours)*time.Hour)
		tables = append(tables, indexTableName(expiredHour))
	}
	indexRows, err := l.config.Tables.Scan(ctx, tables...)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, indexRow := range indexRows {
		if deleted >= limit {
			break
		}
		count, err := l.deleteIndexed(ctx, indexRow)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// deleteIndexed deletes the expired claims listed in an index row, then the
// index row.
func (l *Ledger) deleteIndexed(ctx context.Context, indexRow platform.Row) (int, error) {
	var claims claimIndex
	if err := cbor.Unmarshal(indexRow.Value, &claims); err != nil {
		return 0, err
	}
	deleted := 0
	for start := 0; start < len(claims.Keys); start += deleteBatchRows {
		keys := claims.Keys[start:min(start+deleteBatchRows, len(claims.Keys))]
		count, err := l.deleteExpiredClaims(ctx, keys)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	indexKey := platform.RowKey{Table: indexRow.Table, Key: indexRow.Key}
	return deleted, l.config.Tables.Commit(ctx, platform.Transaction{Deletes: []platform.RowKey{indexKey}})
}

func (l *Ledger) deleteExpiredClaims(ctx context.Context, rowKeys []string) (int, error) {
	keys := make([]platform.RowKey, 0, len(rowKeys))
	for _, rowKey := range rowKeys {
		keys = append(keys, platform.RowKey{Table: ClaimsTable, Key: rowKey})
	}
	rows, err := l.config.Tables.Get(ctx, keys...)
	if err != nil {
		return 0, err
	}
	var txn platform.Transaction
	for _, row := range rows {
		if !l.isExpired(row) {
			continue
		}
		key := platform.RowKey{Table: row.Table, Key: row.Key}
		txn.Preconditions = append(txn.Preconditions, platform.Precondition{RowKey: key, Version: row.Version})
		txn.Deletes = append(txn.Deletes, key)
	}
	if len(txn.Deletes) == 0 {
		return 0, nil
	}
	return len(txn.Deletes), l.config.Tables.Commit(ctx, txn)
}

func (l *Ledger) isExpired(row platform.Row) bool {
	stored, err := decodeRow(row.Value)
	if err != nil {
		return false
	}
	return l.config.Now().Sub(time.UnixMilli(stored.ClaimedAt)) >= l.config.Retention
}
