package lease

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// fakeTables is an in-memory table service with faults.
type fakeTables struct {
	mu      sync.Mutex
	rows    map[platform.RowKey]platform.Row
	version uint64
	writes  int

	down  bool
	delay time.Duration
	// replyDelay is the delay of the reply after a commit took effect.
	replyDelay time.Duration
	// loseReplies is the number of commits that take effect but whose reply is
	// lost.
	loseReplies int
	// dropCommits is the number of commits that are lost without effect.
	dropCommits int
}

func newFakeTables() *fakeTables {
	return &fakeTables{rows: map[platform.RowKey]platform.Row{}}
}

func (f *fakeTables) injectFault(ctx context.Context) error {
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return core.Wrap(ctx.Err(), core.CodeStoreUnavailable, core.ExecutionNotRun, "slow")
		case <-time.After(delay):
		}
	}
	if down {
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
	}
	return nil
}

func (f *fakeTables) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	if err := f.injectFault(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *fakeTables) Scan(context.Context, ...string) ([]platform.Row, error) { return nil, nil }

func (f *fakeTables) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := f.injectFault(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	replyDelay := f.delay + f.replyDelay
	defer func() { time.Sleep(replyDelay) }()
	defer f.mu.Unlock()
	if f.dropCommits > 0 {
		f.dropCommits--
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost before")
	}
	for _, p := range txn.Preconditions {
		if f.rows[p.RowKey].Version != p.Version {
			return core.NewRefusal(core.CodeStoreConflict, 0, "version %d", p.Version)
		}
	}
	for _, p := range txn.Puts {
		f.version++
		f.writes++
		f.rows[p.RowKey] = platform.Row{Table: p.Table, Key: p.Key, Version: f.version, Value: p.Value}
	}
	if f.loseReplies > 0 {
		f.loseReplies--
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost after")
	}
	return nil
}

// pausableTables blocks the calls of one holder, as if its process were paused
// before and after them.
type pausableTables struct {
	platform.Tables
	mu          sync.Mutex
	pausedUntil time.Time
}

func (p *pausableTables) pause(d time.Duration) {
	p.mu.Lock()
	p.pausedUntil = time.Now().Add(d)
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *pausableTables) waitUntilResumed() {
	p.mu.Lock()
	until := p.pausedUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (p *pausableTables) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	p.waitUntilResumed()
	defer p.waitUntilResumed()
	return p.Tables.Get(ctx, keys...)
}

func (p *pausableTables) Commit(ctx context.Context, txn platform.Transaction) error {
	p.waitUntilResumed()
	defer p.waitUntilResumed()
	return p.Tables.Commit(ctx, txn)
}

func (f *fakeTables) update(change func(f *fakeTables)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeEngine ignores fencing tokens. It counts the commands of an earlier
// holder that arrive after a command of a later holder.
type fakeEngine struct {
	mu           sync.Mutex
	highest      core.FencingToken
	commandCount int
	staleCount   int
}

func (e *fakeEngine) execute(fence core.FencingToken) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commandCount++
	if fence < e.highest {
		e.staleCount++
	}
	e.highest = max(e.highest, fence)
}
