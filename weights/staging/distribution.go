package staging

// distribution describes how a piece spreads over the agents of a region. The agent at
// position first fetches it into the region and sends it to the other senders, which
// follow it; each sender then sends it to a part of the remaining agents. Over all pieces
// each agent sends about the same number, since the busiest link determines when all
// agents have a version.
type distribution struct {
	// agents is the number of agents in the region, and senders that of those that send
	// the piece.
	agents, first, senders int
	// start and length are the part of the circle of agents that shares the sending: an
	// agent sends in proportion to its overlap.
	start, length float64
}

// newDistribution returns the distribution of one of a version's pieces in a region with
// some number of agents, at least 1. As many pieces as possible are assigned round-robin
// and have a single sender. The remaining pieces, which are fewer than the agents, divide
// the circle of agents evenly. They come first, because they take a hop more.
func newDistribution(pieces, agents, piece int) distribution {
	remaining := pieces % agents
	if piece < 0 || piece >= remaining {
		first := ((piece-remaining)%agents + agents) % agents
		return distribution{agents: agents, first: first, senders: 1, start: float64(first), length: 1}
	}
	first := piece * agents / remaining
	last := ((piece+1)*agents - 1) / remaining
	return distribution{
		agents: agents, first: first, senders: last - first + 1,
		start: float64(piece*agents) / float64(remaining), length: float64(agents) / float64(remaining),
	}
}

// senderOf returns the rank of the agent that sends the piece to the agent with a rank
// above 0. Ranks count from the agent at position first.
func (d distribution) senderOf(rank int) int {
	if rank < d.senders {
		return 0
	}
	fraction := (float64(rank-d.senders) + 0.5) / float64(d.agents-d.senders)
	return min(int(d.start+fraction*d.length)-d.first, d.senders-1)
}
