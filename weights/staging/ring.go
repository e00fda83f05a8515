package staging

import (
	"cmp"
	"slices"
)

// ring assigns the pieces of a version to the agents of a region. The positions on it
// are those of all agents, and a piece of an unlisted one passes to the next listed one.
// Agents that disagree for a moment on which engines are listed therefore agree on most
// assignments.
type ring struct {
	// listed holds the listed agents in the order of the ring, and first the index of the
	// one that fetches each piece.
	listed []Agent
	first  []int
}

// newRing returns the ring of a region's agents.
func newRing(pieces int, agents []Agent) *ring {
	agents = slices.Clone(agents)
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	r := &ring{first: make([]int, pieces)}
	// next holds the index of the first listed agent at or after each position.
	next := make([]int, len(agents))
	for i, a := range agents {
		next[i] = len(r.listed)
		if !a.Unlisted {
			r.listed = append(r.listed, a)
		}
	}
	if len(r.listed) == 0 {
		return r
	}
	assigned := make([]int, len(r.listed))
	var orphans []int
	for piece := range pieces {
		position := newDistribution(pieces, len(agents), piece).first
		r.first[piece] = next[position] % len(r.listed)
		if agents[position].Unlisted {
			orphans = append(orphans, piece)
		} else {
			assigned[r.first[piece]]++
		}
	}
	most := (pieces + len(r.listed) - 1) / len(r.listed)
	for _, piece := range orphans {
		for assigned[r.first[piece]] >= most {
			r.first[piece] = (r.first[piece] + 1) % len(r.listed)
		}
		assigned[r.first[piece]]++
	}
	return r
}

// rankedFor returns the listed agents, beginning with the one that fetches a piece.
func (r *ring) rankedFor(piece int) []Agent {
	first := 0
	if piece >= 0 && piece < len(r.first) {
		first = r.first[piece]
	}
	return slices.Concat(r.listed[first:], r.listed[:first])
}
