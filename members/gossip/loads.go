package gossip

import (
	"time"

	"currantusher.dev/core"
)

// Loads returns the sum of the alive peers' requests in flight by backend
// server.
func (s *State) Loads(now time.Time) map[core.InstanceID]int {
	sum := map[core.InstanceID]int{}
	for _, p := range s.peers {
		if now.Sub(p.loadsAt) >= AliveTimeout {
			continue
		}
		for server, load := range p.loads {
			sum[server] += load
		}
	}
	return sum
}

// Paces returns the largest pace of each backend server that the alive peers observe to
// be slower than usual.
func (s *State) Paces(now time.Time) map[core.InstanceID]float64 {
	slowest := map[core.InstanceID]float64{}
	for _, p := range s.peers {
		if now.Sub(p.loadsAt) >= AliveTimeout {
			continue
		}
		for server, pace := range p.paces {
			slowest[server] = max(slowest[server], pace)
		}
	}
	return slowest
}
