package netlimit

import (
	"cmp"
	"net/netip"
	"slices"
)

// victims returns up to count connections to close. If one address holds more than its fair
// share, they are its own, so that other addresses can connect. Those without a request come
// first, the oldest first; at most one connection with a request is returned. The caller
// holds the lock.
func (l *Listener) victims(count int) []*conn {
	addr, isUnfair := l.largestHolder()
	var candidates []*conn
	for c := range l.conns {
		if !isUnfair || c.addr == addr {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), a.since.Compare(b.since))
	})
	end := 1
	for end < min(count, len(candidates)) && candidates[end].phase == phaseWaiting {
		end++
	}
	return candidates[:min(end, len(candidates))]
}

func (l *Listener) largestHolder() (largest netip.Addr, isUnfair bool) {
	counts := map[netip.Addr]int{}
	for c := range l.conns {
		counts[c.addr]++
	}
	for addr, count := range counts {
		if count > counts[largest] {
			largest = addr
		}
	}
	return largest, float64(counts[largest]) > fairFraction*float64(l.limits.Conns)
}
