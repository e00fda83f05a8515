package quarantinerows

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/quarantine"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with
	// each failure.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// feedWait is how long a call waits for changes. A feed that the store has lost is noticed
	// after rowstore.CallTimeout more.
	feedWait = 3 * time.Second
	// maxReadAge is the age of the last reply from which the rows are not known well enough
	// to write.
	maxReadAge = feedWait + rowstore.CallTimeout + time.Second
	// batchDelay is the time in which decisions are collected for one transaction.
	batchDelay = 50 * time.Millisecond
	// callInterval is the least time between two such transactions, and between two reads of
	// changes, so that many decisions cost few calls.
	callInterval = 200 * time.Millisecond
	// checkPeriod is how often an entry that keeps the rows compares them with its Set.
	checkPeriod = time.Second
	// rankDelay is the time for which an entry leaves a write to each of those of a lower rank,
	// and maxRankDelays bounds these.
	rankDelay     = 2 * time.Second
	maxRankDelays = 4
)

// Store is the platform's store.
type Store interface {
	ReadAll(ctx context.Context, table string) (rowstore.Page, error)
	Changes(ctx context.Context, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error)
	Commit(ctx context.Context, tx rowstore.Transaction) (rowstore.Outcome, error)
}

// Config holds the dependencies of a Keeper.
type Config struct {
	Store Store
	Set   *quarantine.Set
	// Rank returns this entry's place among the few that keep the rows, from 0, or false if
	// it is none of them. The others learn from these by gossip.
	Rank func() (rank int, isKeeper bool)
	// Apply handles changes of quarantines that the store brought.
	Apply func([]quarantine.Change)
	// Now is the clock of the Set.
	Now func() time.Time
	Log *logrus.Entry
}

// Keeper reads the stored quarantines when an entry starts. At the few entries that keep the
// rows it follows them afterwards, and writes what they lack. It is safe for concurrent use.
type Keeper struct {
	config Config
	loaded atomic.Bool
	wake   chan struct{}

	mu   sync.Mutex
	rows rows
	// isStale is set if all rows must be read before the next write.
	isStale bool
	// missingSince is when the store was first found to lack something, and retryAt when a
	// write is allowed after a failed one.
	missingSince, retryAt time.Time
	failures              int
	evidence              evidenceState
}

// NewKeeper returns a Keeper without rows.
func NewKeeper(config Config) *Keeper {
	return &Keeper{config: config, wake: make(chan struct{}, 1), isStale: true}
}

// HasLoaded reports whether the stored quarantines have been read.
func (k *Keeper) HasLoaded() bool { return k.loaded.Load() }

// Wake makes the Keeper compare the rows with the Set soon.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Follow reads the rows until ctx ends.
func (k *Keeper) Follow(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if _, isKeeper := k.config.Rank(); k.HasLoaded() && !isKeeper {
			pause.For(ctx, checkPeriod)
			continue
		}
		err := k.read(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if ctx.Err() == nil {
			k.config.Log.WithError(err).Warn("Could not read the stored quarantines; retrying.")
		}
		pause.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// read reads all rows, or waits for their changes if they are known.
func (k *Keeper) read(ctx context.Context) error {
	k.mu.Lock()
	position, isStale := k.rows.position, k.isStale
	k.mu.Unlock()
	if !isStale {
		page, err := k.config.Store.Changes(ctx, Table, position, feedWait)
		if err == nil {
			k.adoptChanges(page, position)
			if len(page.Rows) > 0 {
				pause.For(ctx, callInterval)
			}
			return nil
		}
		if !errors.Is(err, rowstore.ErrHistoryGone) {
			return err
		}
	}
	page, err := k.config.Store.ReadAll(ctx, Table)
	if err != nil {
		return err
	}
	if !k.HasLoaded() {
		if err := k.readEvidence(ctx); err != nil {
			return err
		}
	}
	return k.adoptAll(page)
}

// adoptAll takes all rows of the table.
func (k *Keeper) adoptAll(page rowstore.Page) error {
	now := k.config.Now()
	k.mu.Lock()
	if page.Era < k.rows.position.Era {
		k.mu.Unlock()
		return rowstore.ErrEarlierEra
	}
	records := k.rows.replace(now, page, k.config.Log)
	k.isStale = false
	k.mu.Unlock()
	k.merge(now, page, records)
	if !k.loaded.Swap(true) {
		k.config.Log.WithFields(logrus.Fields{"rows": len(page.Rows), "era": page.Era, "revision": page.Revision}).Info("Read the stored quarantines.")
	}
	return nil
}

// adoptChanges takes the changes since position, unless all rows must be read.
func (k *Keeper) adoptChanges(page rowstore.Page, position rowstore.Position) {
	now := k.config.Now()
	k.mu.Lock()
	if k.isStale || k.rows.position != position {
		k.mu.Unlock()
		return
	}
	records := k.rows.add(now, page, k.config.Log)
	k.mu.Unlock()
	k.merge(now, page, records)
}

func (k *Keeper) merge(now time.Time, page rowstore.Page, records []quarantine.Record) {
	k.config.Apply(k.config.Set.MergeRecords(now, page.NowMillis, records, k.HasLoaded()))
	k.Wake()
}

// Write writes what the store lacks until ctx ends.
func (k *Keeper) Write(ctx context.Context) error {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
			pause.For(ctx, batchDelay)
		case <-ticker.C:
		}
		isWritten := false
		for k.write(ctx) {
			isWritten = true
		}
		k.writeEvidence(ctx)
		if isWritten {
			pause.For(ctx, callInterval)
		}
	}
}

// write writes one transaction if one is due. It reports whether it was accepted.
func (k *Keeper) write(ctx context.Context) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Now()
	rank, isKeeper := k.config.Rank()
	if !isKeeper || k.isStale || now.Sub(k.rows.readAt) > maxReadAge {
		return false
	}
	set, remove := k.config.Set.Unstored(now, k.rows.clock(now), k.rows.records)
	if len(set)+len(remove) == 0 {
		k.missingSince = time.Time{}
		return false
	}
	if k.missingSince.IsZero() {
		k.missingSince = now
	}
	if now.Sub(k.missingSince) < time.Duration(min(rank, maxRankDelays))*rankDelay || now.Before(k.retryAt) {
		return false
	}
	tx, err := k.rows.transaction(set, remove)
	if err != nil {
		k.failed(now, err)
		return false
	}
	return k.commit(ctx, set, tx)
}

// commit performs a transaction. The caller holds mu.
func (k *Keeper) commit(ctx context.Context, set []quarantine.Record, tx rowstore.Transaction) bool {
	k.mu.Unlock()
	outcome, err := k.config.Store.Commit(ctx, tx)
	k.mu.Lock()
	switch {
	case core.CodeOf(err) == core.CodeStoreConflict:
		// Another entry or an operator has written meanwhile.
		k.isStale = true
		return false
	case err != nil:
		k.failed(k.config.Now(), err)
		return false
	case outcome.Era != k.rows.position.Era:
		k.isStale = true
		return false
	}
	k.failures = 0
	k.rows.committed(set, tx)
	k.config.Log.WithFields(logrus.Fields{"written": len(tx.Set), "removed": len(tx.Remove), "revision": outcome.Revision}).Info("Stored quarantines.")
	return true
}

// failed delays the next write. The caller holds mu.
func (k *Keeper) failed(now time.Time, err error) {
	delay := min(minRetryDelay<<min(k.failures, 8), maxRetryDelay)
	k.retryAt = now.Add(delay/2 + rand.N(delay))
	k.failures++
	if k.failures == 1 {
		k.config.Log.WithError(err).Warn("Could not store quarantines; retrying.")
	}
}
