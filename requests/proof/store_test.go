package proof

import (
	"context"
	"sort"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

type storeFault int

const (
	storeWorks storeFault = iota
	storeDown
	storeHangs
	storeSlow
	// storeLostAfter applies the transaction and loses the answer.
	storeLostAfter
	// storeLostBefore loses the transaction and the answer.
	storeLostBefore
	// storeLandsLate loses the answer and applies the transaction later.
	storeLandsLate
	storeThrottles
)

const (
	storeLatency = 2 * time.Millisecond
	storeDelay   = 300 * time.Millisecond
)

// store is an in-memory table service with faults.
type store struct {
	mu      sync.Mutex
	rows    map[platform.RowKey]platform.Row
	version uint64
	commits int
	// next chooses the fault of each call; nil means none.
	next func(commit bool) storeFault
}

func newStore() *store { return &store{rows: map[platform.RowKey]platform.Row{}} }

func (s *store) setFault(next func(commit bool) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = next
}

func (s *store) always(f storeFault) { s.setFault(func(bool) storeFault { return f }) }

func (s *store) fault(commit bool) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		return storeWorks
	}
	return s.next(commit)
}

// enter applies the faults that come before the effect.
func (s *store) enter(ctx context.Context, f storeFault) error {
	time.Sleep(storeLatency)
	switch f {
	case storeDown:
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
	case storeThrottles:
		return core.NewRefusal(core.CodeStoreThrottled, 0, "throttled")
	case storeHangs:
		<-ctx.Done()
		return ctx.Err()
	case storeSlow:
		time.Sleep(storeDelay)
	}
	return nil
}

func (s *store) Get(ctx context.Context, keys ...platform.RowKey) ([]platform.Row, error) {
	if err := s.enter(ctx, s.fault(false)); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok {
			found = append(found, row)
		}
	}
	return found, nil
}

func (s *store) Scan(ctx context.Context, tables ...string) ([]platform.Row, error) {
	if err := s.enter(ctx, s.fault(false)); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Row
	for _, table := range tables {
		for key, row := range s.rows {
			if key.Table == table {
				found = append(found, row)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

func (s *store) Commit(ctx context.Context, txn platform.Transaction) error {
	f := s.fault(true)
	if err := s.enter(ctx, f); err != nil {
		return err
	}
	lost := core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "answer lost")
	switch f {
	case storeLostBefore:
		return lost
	case storeLandsLate:
		time.AfterFunc(storeDelay, func() { _ = s.apply(txn) })
		return lost
	case storeLostAfter:
		_ = s.apply(txn)
		return lost
	}
	return s.apply(txn)
}

func (s *store) apply(txn platform.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, p := range txn.Preconditions {
		if s.rows[p.RowKey].Version != p.Version {
			return core.NewFailure(core.CodeStoreConflict, core.ExecutionNotRun, "row %s", p.Key)
		}
	}
	s.version++
	for _, put := range txn.Puts {
		s.rows[put.RowKey] = platform.Row{Table: put.Table, Key: put.Key, Version: s.version, Value: put.Value}
	}
	for _, key := range txn.Deletes {
		delete(s.rows, key)
	}
	return nil
}

func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.rows {
		if key.Table == table {
			n++
		}
	}
	return n
}
