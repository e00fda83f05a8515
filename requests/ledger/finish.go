package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// Finish writes the result of a claimed request. It returns once the write
// waits to be committed: the caller of the request need not wait for it. The
// write is tried again until FinishTimeout. It must not be called for a claim
// that is released.
func (l *Ledger) Finish(claim Claim, result Result) error {
	return l.finish(claim, result, nil)
}

// FinishWait is Finish that waits until the row is committed or ctx ends.
func (l *Ledger) FinishWait(ctx context.Context, claim Claim, result Result) error {
	done := make(chan outcome, 1)
	if err := l.finish(claim, result, done); err != nil {
		return err
	}
	select {
	case o := <-done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) finish(claim Claim, result Result, done chan outcome) error {
	tooMuch := l.held.Load()+int64(len(result.Body)) > int64(l.config.MaxPendingResultBytes)
	if len(result.Body) > l.config.MaxResultBytes || tooMuch {
		result.Body = nil
		result.BodyOmitted = true
	}
	claim.row.State = stateFinished
	claim.row.Result = &result
	w := &write{
		key:     claim.rowKey,
		value:   claim.row.encode(),
		expires: l.config.Now().Add(l.config.FinishTimeout),
		held:    &l.held,
		done:    done,
	}
	l.held.Add(int64(len(w.value)))
	err := l.submit(w)
	if err != nil {
		l.held.Add(-int64(len(w.value)))
	}
	return err
}

// Release lets the key be claimed again. The caller must hold a proof that no
// attempt of the claim ran or will run: each was refused as not run, barred by
// a tombstone or never sent. A release that fails is tried again in the
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
		return core.NewFailure(core.CodeUnknownEntity, core.ExecutionNotRun, "the claim is not there")
	}
	held, err := decodeRow(rows[0].Value)
	if err != nil {
		return err
	}
	if held.State != stateClaimed || held.AttemptID != claim.row.AttemptID {
		return core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the claim is not held")
	}
	held.State = stateReleased
	w := &write{
		key:         claim.rowKey,
		value:       held.encode(),
		conditional: true,
		version:     rows[0].Version,
		done:        make(chan outcome, 1),
	}
	if err := l.submit(w); err != nil {
		return err
	}
	return l.await(ctx, w)
}

func (l *Ledger) await(ctx context.Context, w *write) error {
	select {
	case o := <-w.done:
		if o.found != nil {
			return core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the claim changed")
		}
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) get(ctx context.Context, key platform.RowKey) ([]platform.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, l.config.CommitTimeout)
	defer cancel()
	return l.config.Tables.Get(bounded, key)
}

func encodeIndex(claims index) []byte {
	encoded, err := cbor.Marshal(claims)
	if err != nil {
		panic(err)
	}
	return encoded
}

const sweepRows = 128

// sweepHours is how many hours beyond the retention period a sweep looks at.
const sweepHours = 6

// DeleteExpired deletes the claims of the hours that have left the retention period,
// about limit rows at most, and returns how many it deleted. Claims older than
// the hours that it looks at stay when no sweep ran for that long. Two sweeps
// at once are safe.
func (l *Ledger) DeleteExpired(ctx context.Context, limit int) (int, error) {
	tables := make([]string, 0, sweepHours)
	for hours := 1; hours <= sweepHours; hours++ {
		due := l.config.Now().Add(-l.config.Retention - time.Duration(hours)*time.Hour)
		tables = append(tables, indexTable(due))
	}
	entries, err := l.config.Tables.Scan(ctx, tables...)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, entry := range entries {
		if deleted >= limit {
			break
		}
		count, err := l.sweepEntry(ctx, entry)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// sweepEntry deletes the claims of one index row, then the row itself.
func (l *Ledger) sweepEntry(ctx context.Context, entry platform.Row) (int, error) {
	var claims index
	if err := cbor.Unmarshal(entry.Value, &claims); err != nil {
		return 0, err
	}
	deleted := 0
	for start := 0; start < len(claims.Keys); start += sweepRows {
		keys := claims.Keys[start:min(start+sweepRows, len(claims.Keys))]
		count, err := l.sweepKeys(ctx, keys)
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	own := platform.RowKey{Table: entry.Table, Key: entry.Key}
	return deleted, l.config.Tables.Commit(ctx, platform.Transaction{Deletes: []platform.RowKey{own}})
}

func (l *Ledger) sweepKeys(ctx context.Context, names []string) (int, error) {
	keys := make([]platform.RowKey, 0, len(names))
	for _, name := range names {
		keys = append(keys, platform.RowKey{Table: ClaimsTable, Key: name})
	}
	rows, err := l.config.Tables.Get(ctx, keys...)
	if err != nil {
		return 0, err
	}
	var txn platform.Transaction
	for _, found := range rows {
		if !l.isExpired(found) {
			continue
		}
		key := platform.RowKey{Table: found.Table, Key: found.Key}
		txn.Preconditions = append(txn.Preconditions, platform.Precondition{RowKey: key, Version: found.Version})
		txn.Deletes = append(txn.Deletes, key)
	}
	if len(txn.Deletes) == 0 {
		return 0, nil
	}
	return len(txn.Deletes), l.config.Tables.Commit(ctx, txn)
}

func (l *Ledger) isExpired(found platform.Row) bool {
	held, err := decodeRow(found.Value)
	if err != nil {
		return false
	}
	return l.config.Now().Sub(time.UnixMilli(held.ClaimedAt)) >= l.config.Retention
}
