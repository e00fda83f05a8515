package staging

import (
	"cmp"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
)

// Agent is the address and the location of an agent, published to other agents.
type Agent struct {
	ID         core.InstanceID   `cbor:"1,keyasint"`
	Addr       string            `cbor:"2,keyasint"`
	DataCentre core.DataCentre   `cbor:"3,keyasint"`
	Region     core.Region       `cbor:"4,keyasint"`
	Service    fleet.ServiceName `cbor:"5,keyasint"`
	// EngineAddr is the address of the agent's engine.
	EngineAddr string `cbor:"6,keyasint,omitempty"`
	// Unlisted is set if the engine is not listed. The agent then fetches nothing.
	Unlisted bool `cbor:"-"`
}

// errOtherID means that a row describes another agent than its key says.
var errOtherID = errors.New("the id of the agent is not that of its row")

// Validate returns an error unless a describes the agent with an id, which others can
// reach.
func (a Agent) Validate(id string) error {
	if string(a.ID) != id {
		return errOtherID
	}
	return netdial.CheckAddr(a.Addr)
}

// MarkUnlisted returns the agents and marks those whose engines are not listed, because
// the row of an agent remains when its instance is lost. If most engines are missing, the
// list itself is taken to be incomplete, as after an outage of the store, and none is
// marked.
func MarkUnlisted(agents []Agent, listed map[string]bool) (marked []Agent, unlisted int) {
	marked = slices.Clone(agents)
	for i := range marked {
		marked[i].Unlisted = !listed[marked[i].EngineAddr]
		if marked[i].Unlisted {
			unlisted++
		}
	}
	if 2*unlisted > len(agents) {
		return agents, 0
	}
	return marked, unlisted
}

// The engines load a version one after the other between these fractions of the
// time within which it must be in force, so that most engines serve requests at
// any time.
const (
	loadWindowStartFraction = 0.45
	loadWindowEndFraction   = 0.85
)

// FetchPlan selects the sources from which an agent fetches each piece.
type FetchPlan struct {
	self         Agent
	originRegion core.Region
	pieces       int
	// agents holds this agent and the other agents of its service whose engines are
	// listed. rings assigns the pieces within each region.
	agents []Agent
	rings  map[core.Region]*ring
}

// NewFetchPlan returns the plan of the agent self for a version with some number of
// pieces. agents lists the agents of all services and may include self; agents of other
// services are ignored.
func NewFetchPlan(self Agent, originRegion core.Region, pieces int, agents []Agent) FetchPlan {
	p := FetchPlan{self: self, originRegion: originRegion, pieces: pieces, agents: []Agent{self}, rings: map[core.Region]*ring{}}
	byRegion := map[core.Region][]Agent{self.Region: {self}}
	for _, a := range agents {
		if a.ID == self.ID || a.Service != self.Service {
			continue
		}
		byRegion[a.Region] = append(byRegion[a.Region], a)
		if !a.Unlisted {
			p.agents = append(p.agents, a)
		}
	}
	for region, members := range byRegion {
		p.rings[region] = newRing(pieces, members)
	}
	return p
}

// Sources returns the agents from which to fetch a piece, in order of preference.
// The origin is the last resort after them, and the only source of the agent
// that fetches the piece into the origin's region.
func (p FetchPlan) Sources(piece int) []Agent { return slices.Concat(p.sourceGroups(piece)...) }

// sourceGroups returns the sources of a piece by region: the agents of this region that
// precede this one, its sender first, then those of the regions from which it is fetched
// into this one.
func (p FetchPlan) sourceGroups(piece int) [][]Agent {
	local := p.rankedAgents(p.self.Region, piece)
	preceding := p.rankedBeforeSelf(local)
	if rank := len(preceding); rank > 0 {
		sender := p.distribution(len(local), piece).senderOf(rank)
		preceding = slices.Concat(preceding[sender:sender+1], preceding[:sender], preceding[sender+1:])
	}
	groups := [][]Agent{preceding}
	for _, region := range p.upstreamRegions(piece) {
		groups = append(groups, p.rankedAgents(region, piece))
	}
	return groups
}

// rank returns this agent's position among those of its region that fetch the piece
// into it: 0 fetches it, and 1 takes over if that one does not get it.
func (p FetchPlan) rank(piece int) int {
	return len(p.rankedBeforeSelf(p.rankedAgents(p.self.Region, piece)))
}

// upstreamRegions returns the regions from which a piece is fetched into this
// region: the previous region in the piece's chain of regions, then the origin's
// region. With a chain the agents in the origin's region need not send each
// piece to every other region. The order of the chain depends on the piece, so
// that the regions share the load.
func (p FetchPlan) upstreamRegions(piece int) []core.Region {
	if p.self.Region == p.originRegion {
		return nil
	}
	var previous core.Region
	for _, region := range p.regionChain(piece) {
		if region == p.self.Region {
			break
		}
		previous = region
	}
	if previous == "" {
		return []core.Region{p.originRegion}
	}
	return []core.Region{previous, p.originRegion}
}

// regionChain returns the regions other than the origin's in the chain order of
// a piece.
func (p FetchPlan) regionChain(piece int) []core.Region {
	var regions []core.Region
	for _, a := range p.agents {
		if a.Region != p.originRegion && !slices.Contains(regions, a.Region) {
			regions = append(regions, a.Region)
		}
	}
	slices.SortFunc(regions, func(a, b core.Region) int {
		return cmp.Or(cmp.Compare(rankHash(core.InstanceID(a), piece), rankHash(core.InstanceID(b), piece)), cmp.Compare(a, b))
	})
	return regions
}

// IsRegionFetcher reports whether this agent fetches the piece into its region.
func (p FetchPlan) IsRegionFetcher(piece int) bool {
	return p.rankedAgents(p.self.Region, piece)[0].ID == p.self.ID
}

// SendsToOthers reports whether other agents wait for the piece from this agent.
func (p FetchPlan) SendsToOthers(piece int) bool {
	return p.rank(piece) < p.distribution(p.localAgentCount(), piece).senders
}

func (p FetchPlan) distribution(agents, piece int) distribution {
	return newDistribution(p.pieces, agents, piece)
}

// localAgentCount returns the number of agents in the region, this one included.
func (p FetchPlan) localAgentCount() int { return len(p.rankedAgents(p.self.Region, 0)) }

// rankedBeforeSelf returns the agents that precede this agent in ranked.
func (p FetchPlan) rankedBeforeSelf(ranked []Agent) []Agent {
	for i, a := range ranked {
		if a.ID == p.self.ID {
			return ranked[:i:i]
		}
	}
	return ranked
}

// rankedAgents returns the listed agents of a region in the order of preference for a
// piece, beginning with the one that fetches it into the region.
func (p FetchPlan) rankedAgents(region core.Region, piece int) []Agent {
	if r := p.rings[region]; r != nil {
		return r.rankedFor(piece)
	}
	return nil
}

func rankHash(id core.InstanceID, piece int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(strconv.Itoa(piece)))
	// Mix the bits, because the last input bytes of FNV-1a hardly affect its
	// high bits.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// LoadDelay returns the time from the request of a version until this agent's
// engine loads it, if the version must be in force after inForceWithin.
func (p FetchPlan) LoadDelay(version fleet.WeightsVersion, inForceWithin time.Duration) time.Duration {
	position := 0
	for _, a := range p.agents {
		if rankHash(a.ID, -int(version)) > rankHash(p.self.ID, -int(version)) {
			position++
		}
	}
	fraction := loadWindowStartFraction + (loadWindowEndFraction-loadWindowStartFraction)*float64(position)/float64(len(p.agents))
	return time.Duration(fraction * float64(inForceWithin))
}
