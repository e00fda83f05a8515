package gossip

import "time"

// Known describes all entries that this one knows, active or not, as if all of them used
// shares.
func (s *State) Known(now time.Time) Senders {
	known := Senders{Count: 1, IsIsolated: s.IsIsolated(now)}
	addrs := map[string]bool{}
	for _, p := range s.peers {
		addrs[p.member.PeerAddr] = true
		known.Count++
		known.Others = append(known.Others, p.member)
	}
	for addr := range s.discoveredAt {
		if !addrs[addr] {
			known.Count++
		}
	}
	return known
}

// Known describes all entries that this one knows, active or not, as if all of them used
// shares.
func (n *Node) Known() Senders {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Known(n.config.Now())
}
