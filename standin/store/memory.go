// Package store is a stand-in for the platform: a transactional table service, an
// object store and a list of instances that lags, with the faults of the real
// services.
package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
	defaultListRetention   = 30 * time.Second
)

// Config configures a Memory. Zero rates, ListRetention and Now mean the defaults.
type Config struct {
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are
	// refused.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ListLag is the delay until an announcement appears in the list.
	ListLag time.Duration
	// ListRetention is the time after its last announcement for which an instance
	// stays in the list.
	ListRetention time.Duration
	// Seed is the seed of the random choice of lost answers.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) applyDefaults() {
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = defaultReadsPerSecond
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = defaultWritesPerSecond
	}
	if c.ListRetention == 0 {
		c.ListRetention = defaultListRetention
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Faults are the injected faults. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call to the tables, the objects and the list.
	Down bool `json:"down"`
	// ObjectsDown and ListDown refuse every call to one service.
	ObjectsDown bool `json:"objects_down"`
	ListDown    bool `json:"list_down"`
	// SlowMillis delays every call to the tables and the objects.
	SlowMillis int64 `json:"slow_millis"`
	// LoseAnswers is the fraction of commits that take effect but get no answer.
	LoseAnswers float64 `json:"lose_answers"`
	// Throttle refuses every read and write as over the rate limit.
	Throttle bool `json:"throttle"`
	// StaleReads serves reads from the state at the time when it was set.
	StaleReads bool `json:"old_reads"`
	// ListLagMillis replaces Config.ListLag if it is not 0.
	ListLagMillis int64 `json:"list_lag_millis"`
}

// Stats counts the calls to the tables and the objects.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Throttled int64 `json:"throttled"`
	// LostAnswers counts the commits that took effect but got no answer.
	LostAnswers int64 `json:"lost"`
}

type rowMap map[platform.RowKey]platform.Row

type announcement struct {
	instance platform.Instance
	at       time.Time
}

// Memory is an in-process stand-in. It implements platform.Tables, platform.Objects
// and platform.InstanceList. It is safe for concurrent use.
type Memory struct {
	config       Config
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu            sync.Mutex
	random        *rand.Rand
	faults        Faults
	stats         Stats
	version       uint64
	rows          rowMap
	staleRows     rowMap
	objects       map[string][]byte
	announcements map[core.InstanceID][]announcement
}

var (
	_ platform.Tables       = (*Memory)(nil)
	_ platform.Objects      = (*Memory)(nil)
	_ platform.InstanceList = (*Memory)(nil)
)

// NewMemory returns an empty, healthy stand-in.
func NewMemory(config Config) *Memory {
	config.applyDefaults()
	return &Memory{
		config:        config,
		readLimiter:   rate.NewLimiter(rate.Limit(config.ReadsPerSecond), int(config.ReadsPerSecond)),
		writeLimiter:  rate.NewLimiter(rate.Limit(config.WritesPerSecond), int(config.WritesPerSecond)),
		random:        rand.New(rand.NewPCG(config.Seed, config.Seed)),
		rows:          rowMap{},
		objects:       map[string][]byte{},
		announcements: map[core.InstanceID][]announcement{},
	}
}

// SetFaults replaces all faults.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.StaleReads && !m.faults.StaleReads {
		m.staleRows = m.rows.clone()
	}
	m.faults = faults
}

// Faults returns the current faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Stats returns the counts since the start.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

func (s rowMap) clone() rowMap {
	copied := make(rowMap, len(s))
	for key, row := range s {
		copied[key] = row
	}
	return copied
}

// admit counts a call and applies the injected delay. It returns an error if a fault
// or the rate limit refuses the call.
func (m *Memory) admit(ctx context.Context, write bool) error {
	m.mu.Lock()
	faults := m.faults
	m.mu.Unlock()
	if faults.SlowMillis > 0 {
		if err := sleep(ctx, time.Duration(faults.SlowMillis)*time.Millisecond); err != nil {
			return core.Wrap(err, core.CodeStoreUnavailable, core.ExecutionNotRun, "slow")
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	limiter := m.readLimiter
	if write {
		limiter = m.writeLimiter
		m.stats.Writes++
	} else {
		m.stats.Reads++
	}
	if faults.Down {
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
	}
	if faults.Throttle || !limiter.AllowN(m.config.Now(), 1) {
		m.stats.Throttled++
		return core.NewRefusal(core.CodeStoreThrottled, 0, "over the rate")
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readableRows returns the rows that reads return. The caller must hold m.mu.
func (m *Memory) readableRows() rowMap {
	if m.faults.StaleReads {
		return m.staleRows
	}
	return m.rows
}

// Get implements platform.Tables.
func (m *Memory) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	if err := m.admit(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := m.readableRows()[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements platform.Tables.
func (m *Memory) Scan(ctx context.Context, tables ...string) ([]platform.Row, error) {
	if err := m.admit(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(tables))
	for _, table := range tables {
		wanted[table] = true
	}
	var rows []platform.Row
	for _, row := range m.readableRows() {
		if wanted[row.Table] {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Table != rows[j].Table {
			return rows[i].Table < rows[j].Table
		}
		return rows[i].Key < rows[j].Key
	})
	return rows, nil
}

// Commit implements platform.Tables.
func (m *Memory) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := m.admit(ctx, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range txn.Preconditions {
		if m.rows[condition.RowKey].Version != condition.Version {
			m.stats.Conflicts++
			return core.NewRefusal(core.CodeStoreConflict, 0, "%s %q has version %d, not %d", condition.Table,
				condition.Key, m.rows[condition.RowKey].Version, condition.Version)
		}
	}
	m.apply(txn)
	if m.faults.LoseAnswers > 0 && m.random.Float64() < m.faults.LoseAnswers {
		m.stats.LostAnswers++
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "answer lost")
	}
	return nil
}

func (m *Memory) apply(txn platform.Transaction) {
	m.version++
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	for _, put := range txn.Puts {
		m.rows[put.RowKey] = platform.Row{
			Table:   put.Table,
			Key:     put.Key,
			Version: m.version,
			Value:   append([]byte(nil), put.Value...),
		}
	}
}

// GetObject implements platform.Objects.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.admitObject(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[name]
	if !ok {
		return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "no object %q", name)
	}
	return append([]byte(nil), content...), nil
}

// PutObject implements platform.Objects.
func (m *Memory) PutObject(ctx context.Context, name string, content []byte) error {
	if err := m.admitObject(ctx, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = append([]byte(nil), content...)
	return nil
}

func (m *Memory) admitObject(ctx context.Context, write bool) error {
	if m.Faults().ObjectsDown {
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "objects down")
	}
	return m.admit(ctx, write)
}
