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
	// storeLosesAnswer applies the transaction and loses the answer.
	storeLosesAnswer
	// storeLosesTransaction loses the transaction and the answer.
	storeLosesTransaction
	// storeAppliesLate loses the answer and applies the transaction later.
	storeAppliesLate
	storeThrottles
)

const (
	storeLatency = 2 * time.Millisecond
	storeDelay   = 300 * time.Millisecond
)

// store is an in-memory table service with injected faults.
type store struct {
	mu      sync.Mutex
	rows    map[platform.RowKey]platform.Row
	version uint64
	commits int
	// nextFault chooses the fault of each call; nil means no faults.
	nextFault func(commit bool) storeFault
}

func newStore() *store { return &store{rows: map[platform.RowKey]platform.Row{}} }

func (s *store) setFault(nextFault func(commit bool) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFault = nextFault
}

func (s *store) setConstantFault(f storeFault) { s.setFault(func(bool) storeFault { return f }) }

func (s *store) drawFault(commit bool) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault == nil {
		return storeWorks
	}
	return s.nextFault(commit)
}

// injectBeforeEffect applies the faults that happen before a call takes effect.
func (s *store) injectBeforeEffect(ctx context.Context, f storeFault) error {
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
	if err := s.injectBeforeEffect(ctx, s.drawFault(false)); err != nil {
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
	if err := s.injectBeforeEffect(ctx, s.drawFault(false)); err != nil {
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
	f := s.drawFault(true)
	if err := s.injectBeforeEffect(ctx, f); err != nil {
		return err
	}
	lost := core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "answer lost")
	switch f {
	case storeLosesTransaction:
		return lost
	case storeAppliesLate:
		time.AfterFunc(storeDelay, func() { _ = s.apply(txn) })
		return lost
	case storeLosesAnswer:
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

func (s *store) rowCount(table string) int {
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
