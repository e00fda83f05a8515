package ledger

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// rowWrite is a queued write of one row.
type rowWrite struct {
	key   platform.RowKey
	value []byte
	// conditional writes succeed only if the row has the given version. attemptID
	// is the id stored in the row of a claim.
	conditional bool
	version     uint64
	attemptID   string
	// indexed writes are also listed in the index table of the hour.
	indexed bool
	// expires is the time until which an unconditional write is retried.
	expires   time.Time
	submitted time.Time
	// pendingBytes, if not nil, includes the length of value until the write is
	// complete.
	pendingBytes *atomic.Int64
	done         chan outcome
}

// outcome is the result of a write. It succeeded if both fields are nil.
// existing is the row that a conditional write conflicts with.
type outcome struct {
	existing *platform.Row
	err      error
}

func (w *rowWrite) complete(o outcome) {
	if w.pendingBytes != nil {
		w.pendingBytes.Add(-int64(len(w.value)))
	}
	if w.done != nil {
		w.done <- o
	}
}

const (
	// maxCommitRounds bounds the commits of one batch before it fails.
	maxCommitRounds = 8
	// retryDelay is the pause before unconditional writes are retried.
	retryDelay = 20 * time.Millisecond
	// throttleDelay is the pause after the table service throttled a commit.
	throttleDelay = 25 * time.Millisecond
)

// Run commits queued writes until ctx ends, then commits those that are still
// queued. End ctx only after the last request is answered.
func (l *Ledger) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		l.reap(ctx)
		return nil
	})
	for id := range l.config.Writers {
		writer := &writer{ledger: l, id: id}
		group.Go(func() error {
			writer.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// writer commits one transaction at a time.
type writer struct {
	ledger      *Ledger
	id          int
	indexSerial uint64
	// pending holds the writes taken from the queue and not yet completed.
	pending []*rowWrite
}

func (w *writer) run(ctx context.Context) {
	for {
		if ctx.Err() != nil {
			w.drain()
			return
		}
		if len(w.pending) == 0 {
			select {
			case next := <-w.ledger.writes:
				w.pending = append(w.pending, next)
			case <-ctx.Done():
				continue
			}
		}
		time.Sleep(w.ledger.pacer.reserve(w.ledger.config.Now()))
		w.collectBatch()
		w.commit(context.WithoutCancel(ctx))
	}
}

// drain commits the queued writes when the ledger stops.
func (w *writer) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), w.ledger.config.DrainTimeout)
	defer cancel()
	for w.collectBatch(); len(w.pending) > 0 && ctx.Err() == nil; w.collectBatch() {
		w.commit(ctx)
	}
}

// collectBatch takes writes from the queue up to MaxBatchRows, without waiting.
func (w *writer) collectBatch() {
	for len(w.pending) < w.ledger.config.MaxBatchRows {
		select {
		case next := <-w.ledger.writes:
			w.pending = append(w.pending, next)
		default:
			return
		}
	}
}

// commit writes one batch with at most one write per key. Further writes stay
// pending.
func (w *writer) commit(ctx context.Context) {
	batch, rest := splitBatch(w.pending, w.ledger.config.MaxBatchRows)
	w.pending = rest
	batch = w.failClaimsBeforeFailure(batch)
	var err error
	for range maxCommitRounds {
		if len(batch) == 0 {
			return
		}
		err = w.commitOnce(ctx, batch)
		w.ledger.breaker.recordResult(w.ledger.config.Now(), err)
		if err == nil {
			completeAll(batch, outcome{})
			return
		}
		undecided, retry := w.resolveFailedCommit(ctx, batch, err)
		if !retry {
			w.failOrRetryLater(undecided, err)
			return
		}
		batch = undecided
	}
	w.failOrRetryLater(batch, err)
}

// failClaimsBeforeFailure fails the conditional writes that were queued before
// the last failure of the table service, so that they do not wait for another
// timeout. It returns the other writes.
func (w *writer) failClaimsBeforeFailure(batch []*rowWrite) []*rowWrite {
	failedAt := w.ledger.breaker.lastFailure()
	kept := batch[:0]
	for _, next := range batch {
		if next.conditional && !failedAt.IsZero() && !next.submitted.After(failedAt) {
			next.complete(outcome{err: core.NewFailure(core.CodeStoreUnavailable, core.ExecutionNotRun, "the table service failed while the write was queued")})
			continue
		}
		kept = append(kept, next)
	}
	return kept
}

func splitBatch(pending []*rowWrite, limit int) (batch, rest []*rowWrite) {
	batchKeys := map[platform.RowKey]bool{}
	for _, next := range pending {
		if batchKeys[next.key] || len(batch) >= limit {
			rest = append(rest, next)
			continue
		}
		batchKeys[next.key] = true
		batch = append(batch, next)
	}
	return batch, rest
}

func (w *writer) commitOnce(ctx context.Context, batch []*rowWrite) error {
	boundedCtx, cancel := context.WithTimeout(ctx, w.ledger.config.CommitTimeout)
	defer cancel()
	return w.ledger.config.Tables.Commit(boundedCtx, w.transaction(batch))
}

func (w *writer) transaction(batch []*rowWrite) platform.Transaction {
	var txn platform.Transaction
	var claims claimIndex
	for _, next := range batch {
		if next.conditional {
			txn.Preconditions = append(txn.Preconditions, platform.Precondition{RowKey: next.key, Version: next.version})
		}
		if next.indexed {
			claims.Keys = append(claims.Keys, next.key.Key)
		}
		txn.Puts = append(txn.Puts, platform.Put{RowKey: next.key, Value: next.value})
	}
	if len(claims.Keys) > 0 {
		txn.Puts = append(txn.Puts, w.indexPut(claims))
	}
	return txn
}

func (w *writer) indexPut(claims claimIndex) platform.Put {
	w.indexSerial++
	key := w.ledger.config.Entry + "/" + strconv.Itoa(w.id) + "/" + strconv.FormatUint(w.indexSerial, 10)
	return platform.Put{
		RowKey: platform.RowKey{Table: indexTableName(w.ledger.config.Now()), Key: key},
		Value:  encodeIndex(claims),
	}
}

// resolveFailedCommit compares a batch with the stored rows after a failed
// commit. It completes the writes whose outcome is decided and returns the
// others. retry reports whether to commit those again.
func (w *writer) resolveFailedCommit(ctx context.Context, batch []*rowWrite, err error) (undecided []*rowWrite, retry bool) {
	code := core.CodeOf(err)
	switch code {
	case core.CodeStoreThrottled:
		time.Sleep(throttleDelay)
		return batch, true
	case core.CodeStoreUnavailable:
		return batch, false
	}
	if !anyConditional(batch) {
		return batch, false
	}
	rows, readErr := w.readRows(ctx, batch)
	if readErr != nil {
		return batch, false
	}
	w.ledger.breaker.recordResult(w.ledger.config.Now(), nil)
	for _, next := range batch {
		if decided, o := next.compareWithStored(rows[next.key]); decided {
			next.complete(o)
			continue
		}
		undecided = append(undecided, next)
	}
	return undecided, true
}

func anyConditional(batch []*rowWrite) bool {
	for _, next := range batch {
		if next.conditional {
			return true
		}
	}
	return false
}

// compareWithStored determines the outcome of a conditional write from the
// stored row. decided is false if the write can still be committed.
func (w *rowWrite) compareWithStored(existing *platform.Row) (decided bool, o outcome) {
	if !w.conditional {
		return false, outcome{}
	}
	version := uint64(0)
	if existing != nil {
		version = existing.Version
	}
	if version == w.version {
		return false, outcome{}
	}
	if existing == nil {
		// The row with the required version was deleted after it expired.
		return true, outcome{err: core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the row was deleted")}
	}
	// If the stored row equals the written one, the commit succeeded although its
	// answer was lost.
	if stored, err := decodeRow(existing.Value); err == nil && string(stored.encode()) == string(w.value) {
		return true, outcome{}
	}
	return true, outcome{existing: existing}
}

func (w *writer) readRows(ctx context.Context, batch []*rowWrite) (map[platform.RowKey]*platform.Row, error) {
	boundedCtx, cancel := context.WithTimeout(ctx, w.ledger.config.CommitTimeout)
	defer cancel()
	keys := make([]platform.RowKey, 0, len(batch))
	for _, next := range batch {
		keys = append(keys, next.key)
	}
	rows, err := w.ledger.config.Tables.Get(boundedCtx, keys...)
	if err != nil {
		return nil, err
	}
	byKey := make(map[platform.RowKey]*platform.Row, len(rows))
	for i := range rows {
		byKey[platform.RowKey{Table: rows[i].Table, Key: rows[i].Key}] = &rows[i]
	}
	return byKey, nil
}

// failOrRetryLater fails all conditional writes with err, including the queued
// ones. Unconditional writes stay pending and are retried until they expire.
func (w *writer) failOrRetryLater(batch []*rowWrite, err error) {
	w.pending = append(w.pending, batch...)
	w.collectAll()
	now := w.ledger.config.Now()
	kept := w.pending[:0]
	for _, next := range w.pending {
		if next.conditional || !now.Before(next.expires) {
			next.complete(outcome{err: err})
			continue
		}
		kept = append(kept, next)
	}
	w.pending = kept
	if len(kept) > 0 {
		time.Sleep(retryDelay)
	}
}

// collectAll takes writes from the queue up to MaxQueuedWrites, without waiting.
func (w *writer) collectAll() {
	for len(w.pending) < w.ledger.config.MaxQueuedWrites {
		select {
		case next := <-w.ledger.writes:
			w.pending = append(w.pending, next)
		default:
			return
		}
	}
}

func completeAll(batch []*rowWrite, o outcome) {
	for _, next := range batch {
		next.complete(o)
	}
}
