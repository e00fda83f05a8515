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

// write is one row to be written.
type write struct {
	key   platform.RowKey
	value []byte
	// conditional writes need the row to have version; attemptID tells whether
	// a write whose answer was lost has landed.
	conditional bool
	version     uint64
	attemptID   string
	// indexed writes are listed in the index of the hour.
	indexed bool
	// expires ends the attempts of an unconditional write.
	expires   time.Time
	submitted time.Time
	// held counts the value's bytes while the write waits, or is nil.
	held *atomic.Int64
	done chan outcome
}

// outcome is how a write ended: landed when both fields are nil.
type outcome struct {
	found *platform.Row
	err   error
}

func (w *write) finish(o outcome) {
	if w.held != nil {
		w.held.Add(-int64(len(w.value)))
	}
	if w.done != nil {
		w.done <- o
	}
}

const (
	maxCommitRounds = 8
	retryPause      = 20 * time.Millisecond
	throttlePause   = 25 * time.Millisecond
)

// Run commits writes until ctx ends, then commits what still waits. End it
// after the last request has its answer.
func (l *Ledger) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		l.reap(ctx)
		return nil
	})
	for number := range l.config.Writers {
		writer := &writer{ledger: l, number: number}
		group.Go(func() error {
			writer.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// writer commits one transaction at a time.
type writer struct {
	ledger *Ledger
	number int
	serial uint64
	// pending are writes to be committed with the next transaction.
	pending []*write
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
		time.Sleep(w.ledger.pacer.wait(w.ledger.config.Now()))
		w.collect()
		w.commit(context.WithoutCancel(ctx))
	}
}

// drain commits what waits when the ledger stops.
func (w *writer) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), w.ledger.config.DrainTimeout)
	defer cancel()
	for w.collect(); len(w.pending) > 0 && ctx.Err() == nil; w.collect() {
		w.commit(ctx)
	}
}

// collect takes waiting writes without waiting for more.
func (w *writer) collect() {
	for len(w.pending) < w.ledger.config.MaxBatchRows {
		select {
		case next := <-w.ledger.writes:
			w.pending = append(w.pending, next)
		default:
			return
		}
	}
}

// commit writes one batch: at most one write of each key, the rest stays
// pending.
func (w *writer) commit(ctx context.Context) {
	batch, rest := split(w.pending, w.ledger.config.MaxBatchRows)
	w.pending = rest
	batch = w.failStale(batch)
	var err error
	for range maxCommitRounds {
		if len(batch) == 0 {
			return
		}
		err = w.try(ctx, batch)
		w.ledger.breaker.observe(w.ledger.config.Now(), err)
		if err == nil {
			finishAll(batch, outcome{})
			return
		}
		left, again := w.settle(ctx, batch, err)
		if !again {
			w.giveUp(left, err)
			return
		}
		batch = left
	}
	w.giveUp(batch, err)
}

// failStale answers the claims that were waiting when the table service last
// failed, so that they do not wait for another failure.
func (w *writer) failStale(batch []*write) []*write {
	failedAt := w.ledger.breaker.failure()
	kept := batch[:0]
	for _, next := range batch {
		if next.conditional && !failedAt.IsZero() && !next.submitted.After(failedAt) {
			next.finish(outcome{err: core.NewFailure(core.CodeStoreUnavailable, core.ExecutionNotRun, "the table service failed")})
			continue
		}
		kept = append(kept, next)
	}
	return kept
}

func split(pending []*write, limit int) (batch, rest []*write) {
	taken := map[platform.RowKey]bool{}
	for _, next := range pending {
		if taken[next.key] || len(batch) >= limit {
			rest = append(rest, next)
			continue
		}
		taken[next.key] = true
		batch = append(batch, next)
	}
	return batch, rest
}

func (w *writer) try(ctx context.Context, batch []*write) error {
	bounded, cancel := context.WithTimeout(ctx, w.ledger.config.CommitTimeout)
	defer cancel()
	return w.ledger.config.Tables.Commit(bounded, w.transaction(batch))
}

func (w *writer) transaction(batch []*write) platform.Transaction {
	var txn platform.Transaction
	var claims index
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

func (w *writer) indexPut(claims index) platform.Put {
	w.serial++
	key := w.ledger.config.Entry + "/" + strconv.Itoa(w.number) + "/" + strconv.FormatUint(w.serial, 10)
	return platform.Put{
		RowKey: platform.RowKey{Table: indexTable(w.ledger.config.Now()), Key: key},
		Value:  encodeIndex(claims),
	}
}

// settle sorts a batch after a failed commit: writes that are decided are
// answered, the others are returned. again says whether to commit them again.
func (w *writer) settle(ctx context.Context, batch []*write, err error) (left []*write, again bool) {
	code := core.CodeOf(err)
	switch code {
	case core.CodeStoreThrottled:
		time.Sleep(throttlePause)
		return batch, true
	case core.CodeStoreUnavailable:
		return batch, false
	}
	if !anyConditional(batch) {
		return batch, false
	}
	rows, readErr := w.read(ctx, batch)
	if readErr != nil {
		return batch, false
	}
	w.ledger.breaker.observe(w.ledger.config.Now(), nil)
	for _, next := range batch {
		if decided, o := next.compare(rows[next.key]); decided {
			next.finish(o)
			continue
		}
		left = append(left, next)
	}
	return left, true
}

func anyConditional(batch []*write) bool {
	for _, next := range batch {
		if next.conditional {
			return true
		}
	}
	return false
}

// compare decides a write by the row that is there now.
func (w *write) compare(found *platform.Row) (decided bool, o outcome) {
	if !w.conditional {
		return false, outcome{}
	}
	version := uint64(0)
	if found != nil {
		version = found.Version
	}
	if version == w.version {
		return false, outcome{}
	}
	if found == nil {
		// The row that the write builds on was swept.
		return true, outcome{err: core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "the row is gone")}
	}
	if held, err := decodeRow(found.Value); err == nil && string(held.encode()) == string(w.value) {
		return true, outcome{}
	}
	return true, outcome{found: found}
}

func (w *writer) read(ctx context.Context, batch []*write) (map[platform.RowKey]*platform.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, w.ledger.config.CommitTimeout)
	defer cancel()
	keys := make([]platform.RowKey, 0, len(batch))
	for _, next := range batch {
		keys = append(keys, next.key)
	}
	rows, err := w.ledger.config.Tables.Get(bounded, keys...)
	if err != nil {
		return nil, err
	}
	byKey := make(map[platform.RowKey]*platform.Row, len(rows))
	for i := range rows {
		byKey[platform.RowKey{Table: rows[i].Table, Key: rows[i].Key}] = &rows[i]
	}
	return byKey, nil
}

// giveUp answers conditional writes with the error, also those that wait
// behind the batch. Unconditional ones are tried again until they expire.
func (w *writer) giveUp(batch []*write, err error) {
	w.pending = append(w.pending, batch...)
	w.collectAll()
	now := w.ledger.config.Now()
	kept := w.pending[:0]
	for _, next := range w.pending {
		if next.conditional || !now.Before(next.expires) {
			next.finish(outcome{err: err})
			continue
		}
		kept = append(kept, next)
	}
	w.pending = kept
	if len(kept) > 0 {
		time.Sleep(retryPause)
	}
}

// collectAll takes waiting writes up to the queue's bound.
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

func finishAll(batch []*write, o outcome) {
	for _, next := range batch {
		next.finish(o)
	}
}
