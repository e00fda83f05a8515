package quarantine

import (
	"cmp"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// EvidenceVersion changes when the evidence does that StoredEvidence returns.
func (s *Set) EvidenceVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.version
}

// StoredEvidence returns the crashes with their open suspects that no quarantined trait
// explains, for entries that start when no other one is left: at most a number of suspects,
// those in most crashes first.
func (s *Set) StoredEvidence(now time.Time, limit int) []fleet.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*suspicion
	for _, c := range s.crashes.crashes {
		if s.isExplained(c) {
			continue
		}
		for _, suspect := range c.suspects {
			if !suspect.isSound {
				open = append(open, suspect)
			}
		}
	}
	slices.SortFunc(open, func(a, b *suspicion) int {
		return cmp.Or(
			cmp.Compare(len(s.crashes.open[b.trait]), len(s.crashes.open[a.trait])),
			-compareCrashes(a.crash, b.crash), cmp.Compare(b.position, a.position), compareTraits(a.trait, b.trait),
		)
	})
	var list []fleet.CrashReport
	index := map[*crash]int{}
	for _, suspect := range open {
		if limit < len(suspect.requests) {
			break
		}
		i, ok := index[suspect.crash]
		if !ok {
			i = len(list)
			index[suspect.crash] = i
			lifetime := suspect.crash.lifetime
			list = append(list, fleet.CrashReport{Server: lifetime.Server, Incarnation: lifetime.Incarnation, Age: now.Sub(suspect.crash.at)})
		}
		limit -= len(suspect.requests)
		list[i].Suspects = append(list[i].Suspects, suspect.reports()...)
	}
	return list
}

// reports returns the suspicion as it is told to other entries.
func (s *suspicion) reports() []fleet.Suspect {
	list := make([]fleet.Suspect, len(s.requests))
	for i, request := range s.requests {
		list[i] = fleet.Suspect{Trait: s.trait, Request: request, Position: s.position}
	}
	return list
}
