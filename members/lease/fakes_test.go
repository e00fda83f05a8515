package lease

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// memoryTables is a table service with one fault at a time.
type memoryTables struct {
	mu      sync.Mutex
	rows    map[platform.RowKey]platform.Row
	version uint64
	writes  int

	down  bool
	delay time.Duration
	// answerDelay holds back answers of commits.
	answerDelay time.Duration
	// loseAnswers is the number of commits that take effect without answer.
	loseAnswers int
	// dropCommits is the number of commits that are lost with their answer.
	dropCommits int
}

func newMemoryTables() *memoryTables {
	return &memoryTables{rows: map[platform.RowKey]platform.Row{}}
}

func (m *memoryTables) enter(ctx context.Context) error {
	m.mu.Lock()
	delay, down := m.delay, m.down
	m.mu.Unlock()
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

func (m *memoryTables) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (m *memoryTables) Scan(context.Context, ...string) ([]platform.Row, error) { return nil, nil }

func (m *memoryTables) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := m.enter(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	answerDelay := m.delay + m.answerDelay
	defer func() { time.Sleep(answerDelay) }()
	defer m.mu.Unlock()
	if m.dropCommits > 0 {
		m.dropCommits--
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost before")
	}
	for _, p := range txn.Preconditions {
		if m.rows[p.RowKey].Version != p.Version {
			return core.NewRefusal(core.CodeStoreConflict, 0, "version %d", p.Version)
		}
	}
	for _, p := range txn.Puts {
		m.version++
		m.writes++
		m.rows[p.RowKey] = platform.Row{Table: p.Table, Key: p.Key, Version: m.version, Value: p.Value}
	}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost after")
	}
	return nil
}

// pausable holds back the calls of one holder, as if its process were paused
// around them.
type pausable struct {
	platform.Tables
	mu    sync.Mutex
	until time.Time
}

func (p *pausable) pause(d time.Duration) {
	p.mu.Lock()
	p.until = time.Now().Add(d)
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *pausable) wait() {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (p *pausable) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	p.wait()
	defer p.wait()
	return p.Tables.Get(ctx, keys...)
}

func (p *pausable) Commit(ctx context.Context, txn platform.Transaction) error {
	p.wait()
	defer p.wait()
	return p.Tables.Commit(ctx, txn)
}

func (m *memoryTables) set(change func(m *memoryTables)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// engine ignores fencing tokens; it counts orders of an earlier holder that
// arrive after a later holder's.
type engine struct {
	mu      sync.Mutex
	highest core.FencingToken
	orders  int
	stale   int
}

func (e *engine) order(fence core.FencingToken) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if fence < e.highest {
		e.stale++
	}
	e.highest = max(e.highest, fence)
}
