package swarm

// bitset is a set of chunk indexes.
type bitset []byte

func newBitset(size int) bitset { return make(bitset, (size+7)/8) }

func (b bitset) has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// set adds i and reports whether i was absent. It ignores an i out of range.
func (b bitset) set(i int) bool {
	if i < 0 || i>>3 >= len(b) || b.has(i) {
		return false
	}
	b[i>>3] |= 1 << (i & 7)
	return true
}

// clear removes i.
func (b bitset) clear(i int) {
	if b.has(i) {
		b[i>>3] &^= 1 << (i & 7)
	}
}
