package placement

import (
	"slices"

	"currantusher.dev/core"
)

// member is a candidate that may be picked, with what was learned of it.
type member struct {
	candidate *Candidate
	agent     *agent
}

// centre holds the members of one data centre, best rank first.
type centre struct {
	name    core.DataCentre
	members []member
}

// subset keeps the best ranked members of each data centre.
type subset struct {
	size    int
	centres []*centre
}

func (s *subset) add(m member) {
	c := s.centre(m.candidate.DataCentre)
	full := len(c.members) == s.size
	if full && m.agent.rank <= c.members[s.size-1].agent.rank {
		return
	}
	at, _ := slices.BinarySearchFunc(c.members, m.agent.rank, func(other member, rank uint64) int {
		if other.agent.rank > rank {
			return -1
		}
		return 1
	})
	if full {
		c.members = c.members[:s.size-1]
	}
	c.members = slices.Insert(c.members, at, m)
}

func (s *subset) centre(name core.DataCentre) *centre {
	for _, known := range s.centres {
		if known.name == name {
			return known
		}
	}
	added := &centre{name: name, members: make([]member, 0, s.size)}
	s.centres = append(s.centres, added)
	return added
}
