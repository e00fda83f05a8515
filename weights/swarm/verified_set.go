package swarm

import (
	"sync"
)

// verifiedSet is the set of chunks that are verified and staged, with the order
// in which they were added. It is safe for concurrent use.
type verifiedSet struct {
	mu    sync.Mutex
	bits  bitset
	order []uint32
	// changed is closed and replaced at each addition.
	changed chan struct{}
}

func newVerifiedSet(size int) *verifiedSet {
	return &verifiedSet{bits: newBitset(size), changed: make(chan struct{})}
}

// add adds a chunk that is verified and staged.
func (v *verifiedSet) add(chunk int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.bits.set(chunk) {
		return
	}
	v.order = append(v.order, uint32(chunk))
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *verifiedSet) has(chunk int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.bits.has(chunk)
}

func (v *verifiedSet) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.order)
}

// since returns the chunks in the order of their addition, skipping the first
// from, and a channel that is closed at the next addition.
func (v *verifiedSet) since(from int) ([]uint32, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]uint32(nil), v.order[from:]...), v.changed
}

// snapshot returns a copy of the set and the number of chunks in it.
func (v *verifiedSet) snapshot() (bitset, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append(bitset(nil), v.bits...), len(v.order)
}
