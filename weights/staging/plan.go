package staging

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// Agent is an agent as the others find it.
type Agent struct {
	ID         core.InstanceID   `cbor:"1,keyasint"`
	Addr       string            `cbor:"2,keyasint"`
	DataCentre core.DataCentre   `cbor:"3,keyasint"`
	Region     core.Region       `cbor:"4,keyasint"`
	Service    fleet.ServiceName `cbor:"5,keyasint"`
	// EngineAddr is the address of the engine beside the agent.
	EngineAddr string `cbor:"6,keyasint,omitempty"`
}

// LiveAgents returns the agents whose engines are listed: a row of an agent stays
// behind when its instance is lost. While most engines are missing the list
// itself is in doubt, as after an outage of the store, and all agents count.
func LiveAgents(agents []Agent, listed map[string]bool) []Agent {
	living := make([]Agent, 0, len(agents))
	for _, a := range agents {
		if listed[a.EngineAddr] {
			living = append(living, a)
		}
	}
	if 2*len(living) < len(agents) {
		return agents
	}
	return living
}

// Parts of the time in which a version must be in force, within which the
// engines load one after the other, so that most of them serve at any moment.
const (
	loadFrom  = 0.45
	loadUntil = 0.85
)

// FetchPlan says from whom one agent takes each piece.
type FetchPlan struct {
	self   Agent
	home   core.Region
	agents []Agent
}

// NewFetchPlan returns the plan of one agent among agents, which may hold it too.
// home is the origin's region.
func NewFetchPlan(self Agent, home core.Region, agents []Agent) FetchPlan {
	p := FetchPlan{self: self, home: home, agents: []Agent{self}}
	for _, a := range agents {
		if a.ID != self.ID && a.Service == self.Service {
			p.agents = append(p.agents, a)
		}
	}
	return p
}

// Sources returns the agents to ask for a piece, in order; the origin comes
// after them. An agent that brings the piece into the origin's region has none.
func (p FetchPlan) Sources(piece int) []Agent {
	sources := p.before(p.ranked(p.self.Region, piece))
	for _, region := range p.upstream(piece) {
		sources = append(sources, p.ranked(region, piece)...)
	}
	return sources
}

// upstream returns the regions from which a piece comes into this one: the one
// before it in the piece's chain of regions, then the origin's. A chain spares
// the agents in the origin's region, which would send to all others otherwise;
// its order differs by piece, so that the regions share that work.
func (p FetchPlan) upstream(piece int) []core.Region {
	if p.self.Region == p.home {
		return nil
	}
	var before core.Region
	for _, region := range p.chain(piece) {
		if region == p.self.Region {
			break
		}
		before = region
	}
	if before == "" {
		return []core.Region{p.home}
	}
	return []core.Region{before, p.home}
}

// chain orders the regions other than the origin's for a piece.
func (p FetchPlan) chain(piece int) []core.Region {
	var regions []core.Region
	for _, a := range p.agents {
		if a.Region != p.home && !slices.Contains(regions, a.Region) {
			regions = append(regions, a.Region)
		}
	}
	slices.SortFunc(regions, func(a, b core.Region) int {
		return cmp.Or(cmp.Compare(rank(core.InstanceID(a), piece), rank(core.InstanceID(b), piece)), cmp.Compare(a, b))
	})
	return regions
}

// Owns reports whether the agent brings a piece into its region.
func (p FetchPlan) Owns(piece int) bool { return p.ranked(p.self.Region, piece)[0].ID == p.self.ID }

// local counts the agents of the region.
func (p FetchPlan) local() int { return len(p.ranked(p.self.Region, 0)) }

// before returns the agents that rank before this one.
func (p FetchPlan) before(ranked []Agent) []Agent {
	for i, a := range ranked {
		if a.ID == p.self.ID {
			return ranked[:i:i]
		}
	}
	return ranked
}

// ranked orders a region's agents for a piece. The pieces go round the agents,
// so that each brings in as many as the others and their links fill alike.
func (p FetchPlan) ranked(region core.Region, piece int) []Agent {
	var list []Agent
	for _, a := range p.agents {
		if a.Region == region {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	first := (piece%len(list) + len(list)) % len(list)
	return append(list[first:len(list):len(list)], list[:first]...)
}

func rank(id core.InstanceID, piece int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(strconv.Itoa(piece)))
	// The last bytes of FNV-1a change its high bits little.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// LoadDelay is how long after a version was named this agent's engine loads
// it, when it must be in force after inForce.
func (p FetchPlan) LoadDelay(version fleet.WeightsVersion, inForce time.Duration) time.Duration {
	place := 0
	for _, a := range p.agents {
		if rank(a.ID, -int(version)) > rank(p.self.ID, -int(version)) {
			place++
		}
	}
	part := loadFrom + (loadUntil-loadFrom)*float64(place)/float64(len(p.agents))
	return time.Duration(part * float64(inForce))
}
