package placement

import (
	"slices"

	"currantusher.dev/core"
)

// member is a candidate that may be picked, with the observed state of its agent.
type member struct {
	candidate *Candidate
	agent     *agentState
}

// dataCentreSubset holds the members of one data centre, highest rank first.
type dataCentreSubset struct {
	name    core.DataCentre
	members []member
}

// subset keeps the size highest ranked members of each data centre.
type subset struct {
	size        int
	dataCentres []*dataCentreSubset
}

func (s *subset) add(m member) {
	c := s.dataCentre(m.candidate.DataCentre)
	full := len(c.members) == s.size
	if full && m.agent.subsetRank <= c.members[s.size-1].agent.subsetRank {
		return
	}
	at, _ := slices.BinarySearchFunc(c.members, m.agent.subsetRank, func(other member, rank uint64) int {
		if other.agent.subsetRank > rank {
			return -1
		}
		return 1
	})
	if full {
		c.members = c.members[:s.size-1]
	}
	c.members = slices.Insert(c.members, at, m)
}

func (s *subset) dataCentre(name core.DataCentre) *dataCentreSubset {
	for _, known := range s.dataCentres {
		if known.name == name {
			return known
		}
	}
	added := &dataCentreSubset{name: name, members: make([]member, 0, s.size)}
	s.dataCentres = append(s.dataCentres, added)
	return added
}
