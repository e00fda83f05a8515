package staging

import (
	"context"
	"sync"
)

// stageArea admits changes to the staged pieces of the engine one at a time. While it is
// reserved for a version, pieces of other versions are not staged early.
type stageArea struct {
	// slot has capacity 1.
	slot chan struct{}

	mu          sync.Mutex
	reservedFor VersionKey
}

func newStageArea() *stageArea { return &stageArea{slot: make(chan struct{}, 1)} }

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

// reserve reserves the area for a version and waits for a change in progress.
func (a *stageArea) reserve(ctx context.Context, key VersionKey) error {
	a.mu.Lock()
	a.reservedFor = key
	a.mu.Unlock()
	select {
	case a.slot <- struct{}{}:
		<-a.slot
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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
