package staging

import (
	"context"
	"sync"
	"time"

	"currantusher.dev/core/pause"
)

// stageSettleTime is how long a call that stages a piece may take effect if it had no
// answer: such a call may be performed seconds after its end.
const stageSettleTime = 10 * time.Second

// stageArea admits changes to the staged pieces of the engine one at a time. While it is
// reserved for a version, pieces of other versions are not staged early.
type stageArea struct {
	// slot has capacity 1.
	slot chan struct{}

	mu          sync.Mutex
	reservedFor VersionKey
	// unsettledUntil holds the versions of which a call that stages a piece had no answer,
	// and when it can no longer take effect.
	unsettledUntil map[VersionKey]time.Time
}

func newStageArea() *stageArea {
	return &stageArea{slot: make(chan struct{}, 1), unsettledUntil: map[VersionKey]time.Time{}}
}

// admit waits for other changes and admits one of a version. It returns nil without
// waiting if the area is reserved for another version.
func (a *stageArea) admit(ctx context.Context, key VersionKey) (done func()) {
	if !a.isOpenTo(key) {
		return nil
	}
	select {
	case a.slot <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	if !a.isOpenTo(key) {
		<-a.slot
		return nil
	}
	return func() { <-a.slot }
}

// reserve reserves the area for a version and waits for a change in progress, and until no
// unanswered call can stage a piece of another version.
func (a *stageArea) reserve(ctx context.Context, key VersionKey) error {
	a.mu.Lock()
	a.reservedFor = key
	a.mu.Unlock()
	select {
	case a.slot <- struct{}{}:
		<-a.slot
	case <-ctx.Done():
		return ctx.Err()
	}
	pause.For(ctx, time.Until(a.settledAt(key)))
	return ctx.Err()
}

// noteUnanswered notes that a call that stages a piece of a version had no answer.
func (a *stageArea) noteUnanswered(key VersionKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsettledUntil[key] = time.Now().Add(stageSettleTime)
}

// settledAt returns when no call without an answer can stage a piece of a version other
// than key.
func (a *stageArea) settledAt(key VersionKey) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var settled time.Time
	for other, until := range a.unsettledUntil {
		switch {
		case !time.Now().Before(until):
			delete(a.unsettledUntil, other)
		case other != key && until.After(settled):
			settled = until
		}
	}
	return settled
}

func (a *stageArea) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reservedFor = VersionKey{}
}

func (a *stageArea) isReservedFor(key VersionKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reservedFor == key
}

func (a *stageArea) isOpenTo(key VersionKey) bool {
	return a.isReservedFor(VersionKey{}) || a.isReservedFor(key)
}
