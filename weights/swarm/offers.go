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
func (o *verifiedSet) add(chunk int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.bits.set(chunk) {
		return
	}
	o.order = append(o.order, uint32(chunk))
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *verifiedSet) has(chunk int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bits.has(chunk)
}

func (o *verifiedSet) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.order)
}

// since returns the chunks added after the first from additions, and a channel
// that is closed at the next addition.
func (o *verifiedSet) since(from int) ([]uint32, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]uint32(nil), o.order[from:]...), o.changed
}

// snapshot returns a copy of the set and the number of chunks in it.
func (o *verifiedSet) snapshot() (bitset, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(bitset(nil), o.bits...), len(o.order)
}
