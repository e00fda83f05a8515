package swarm

import (
	"sync"
)

// offers is the set of verified chunks in the order in which they came. It is
// safe for concurrent use.
type offers struct {
	mu      sync.Mutex
	bits    bitset
	order   []uint32
	changed chan struct{}
}

func newOffers(size int) *offers {
	return &offers{bits: newBitset(size), changed: make(chan struct{})}
}

// add offers a chunk that is verified and staged.
func (o *offers) add(chunk int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.bits.set(chunk) {
		return
	}
	o.order = append(o.order, uint32(chunk))
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *offers) has(chunk int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bits.has(chunk)
}

func (o *offers) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.order)
}

// since returns the chunks added after the first from ones, and a channel that
// is closed at the next addition.
func (o *offers) since(from int) ([]uint32, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]uint32(nil), o.order[from:]...), o.changed
}

// snapshot returns all chunks as bits, and their number.
func (o *offers) snapshot() (bitset, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(bitset(nil), o.bits...), len(o.order)
}
