package placement

import (
	"time"
)

const sweepPeriod = time.Minute

// option is a candidate that may be picked, with its current load.
type option struct {
	candidate *Candidate
	agent     *agentState
	// limit is the agent's limit scaled by the recovery ramp of its data centre.
	limit            int
	otherEntriesLoad float64
	probe            bool
}

// utilization is the fraction of the agent's limit in use, as estimated by this
// entry.
func (o option) utilization() float64 {
	return (float64(o.agent.inFlight) + o.otherEntriesLoad) / float64(o.limit)
}

// hasCapacity reports whether this entry may send another request, counting only
// its own requests. Those of other entries are counted by the agent, which
// decides at admission.
func (o option) hasCapacity() bool {
	if o.candidate.Direct && !o.probe {
		return o.candidate.FreeSlots > 0
	}
	return o.agent.inFlight < o.limit
}

// capacity is the number of requests that this entry may have in flight at the
// candidate.
func (o option) capacity() int {
	if o.candidate.Direct && !o.probe {
		return o.agent.inFlight + max(0, o.candidate.FreeSlots)
	}
	return max(0, o.limit-int(otherEntriesWeight*o.otherEntriesLoad))
}

// eligibleOptions returns the candidates of the subset that may be picked now.
func (p *Placer) eligibleOptions(now time.Time, request Request, candidates []Candidate) []option {
	p.observeDataCentres(now, candidates)
	selected := subset{size: p.config.SubsetSize}
	for i := range candidates {
		c := &candidates[i]
		if c.DataCentreOut || c.Leaving || request.Tried[c.ID] || c.Weights != request.Weights {
			continue
		}
		a := p.updateAgent(c)
		if a.isEligible(now) {
			selected.add(member{candidate: c, agent: a})
		}
	}
	return p.options(now, selected)
}

func (p *Placer) options(now time.Time, selected subset) []option {
	var options []option
	for _, centre := range selected.dataCentres {
		for _, m := range centre.members {
			options = append(options, p.option(now, m.candidate, m.agent))
		}
	}
	return options
}

func (p *Placer) option(now time.Time, c *Candidate, a *agentState) option {
	limit := max(1, int(float64(max(a.limit, 1))*p.ramps[c.DataCentre].limitFraction(now, p.config)))
	if a.isEjected() {
		limit = 1
	}
	return option{
		candidate:        c,
		agent:            a,
		limit:            limit,
		otherEntriesLoad: a.otherEntriesLoad(now, p.config.ReportDecay),
		probe:            a.isEjected(),
	}
}

func (p *Placer) observeDataCentres(now time.Time, candidates []Candidate) {
	var last *Candidate
	for i := range candidates {
		c := &candidates[i]
		if last != nil && last.DataCentre == c.DataCentre {
			continue
		}
		last = c
		r := p.ramps[c.DataCentre]
		if r == nil {
			r = &recoveryRamp{out: c.DataCentreOut}
			p.ramps[c.DataCentre] = r
		}
		r.observe(now, c.DataCentreOut)
	}
}

// updateAgent applies the candidate's report and returns the state of its agent.
// A new incarnation of the agent resets what was observed of the previous one.
func (p *Placer) updateAgent(c *Candidate) *agentState {
	a := p.agents[c.ID]
	if a == nil {
		a = &agentState{
			incarnation: c.Incarnation,
			subsetRank:  rendezvousHash(string(p.config.Entry), string(c.ID)),
			idHash:      rendezvousHash(string(c.ID)),
		}
		p.agents[c.ID] = a
	}
	if c.Incarnation > a.incarnation {
		a.incarnation = c.Incarnation
		a.consecutiveFailures = 0
		a.firstEvent = firstEventLatency{}
		a.ejections = 0
		a.ejectedUntil = time.Time{}
		a.unavailableUntil = time.Time{}
		a.limit = 0
		a.reportedAt = time.Time{}
	}
	if c.ReportedAt.After(a.reportedAt) || a.limit == 0 {
		a.report(c.ReportedAt, c.Running, c.Limit)
	}
	return a
}

// distance is 0 in the entry's data centre, 1 in its region and 2 elsewhere.
func (p *Placer) distance(c *Candidate) int {
	switch {
	case c.DataCentre == p.config.DataCentre:
		return 0
	case c.Region == p.config.Region:
		return 1
	default:
		return 2
	}
}

const distanceCount = 3

// localityLevels returns nested lists of options: those at distance 0, those up
// to distance 1, then all. A list other than the full one is included only while
// its mean utilization is below SpilloverLoad.
func (p *Placer) localityLevels(options []option) [][]option {
	included := make([]option, 0, len(options))
	var levels [][]option
	for distance := range distanceCount {
		for _, o := range options {
			if p.distance(o.candidate) == distance {
				included = append(included, o)
			}
		}
		if len(included) == len(options) || meanUtilization(included) < p.config.SpilloverLoad {
			levels = append(levels, included[:len(included):len(included)])
		}
	}
	return levels
}

// meanUtilization is the total load divided by the total limit; 1 when there are
// no options.
func meanUtilization(options []option) float64 {
	if len(options) == 0 {
		return 1
	}
	var used, limit float64
	for _, o := range options {
		used += float64(o.agent.inFlight) + o.otherEntriesLoad
		limit += float64(o.limit)
	}
	return used / limit
}

// withoutUpcomingPause returns the options with no pause ahead and those whose
// pause starts after the expected end of the request.
func withoutUpcomingPause(now time.Time, request Request, options []option) []option {
	list := make([]option, 0, len(options))
	for _, o := range options {
		pauseStart := o.candidate.PauseStart
		if pauseStart.IsZero() || request.ExpectedDuration > 0 && now.Add(request.ExpectedDuration).Before(pauseStart) {
			list = append(list, o)
		}
	}
	return list
}

// chooseWithinLevel picks from one level: first an ejected agent that is due for
// a probe, then the agent preferred for the prefix, then the one with the soonest
// predicted first event, or without predictions the less utilized of two random options
// (power of two choices).
func (p *Placer) chooseWithinLevel(request Request, options []option) (option, bool) {
	available := make([]option, 0, len(options))
	for _, o := range options {
		if !o.hasCapacity() || o.candidate.Prediction.ExceedsMemory {
			continue
		}
		if o.probe {
			return o, true
		}
		available = append(available, o)
	}
	if len(available) == 0 {
		return option{}, false
	}
	if preferred, ok := p.prefixAgent(request, available); ok {
		return preferred, true
	}
	if soonest, ok := p.choosePredicted(available); ok {
		return soonest, true
	}
	first := available[p.random.IntN(len(available))]
	second := available[p.random.IntN(len(available))]
	if second.utilization() < first.utilization() {
		first = second
	}
	if first.utilization() < 1 {
		return first, true
	}
	return leastUtilized(available), true
}

func leastUtilized(options []option) option {
	best := options[0]
	for _, o := range options[1:] {
		if o.utilization() < best.utilization() {
			best = o
		}
	}
	return best
}

// prefixAgent returns the option that rendezvous hashing selects for the prefix.
// It returns false when the request would take the agent's utilization above the
// bound set by AffinityLoadFactor.
func (p *Placer) prefixAgent(request Request, options []option) (option, bool) {
	if request.Prefix == 0 {
		return option{}, false
	}
	maxUtilization := p.config.AffinityLoadFactor * meanUtilization(options)
	var best option
	var bestHash uint64
	for _, o := range options {
		hash := combineHashes(request.Prefix, o.agent.idHash)
		if best.agent == nil || hash > bestHash {
			best, bestHash = o, hash
		}
	}
	nextUtilization := (float64(best.agent.inFlight) + best.otherEntriesLoad + 1) / float64(best.limit)
	ok := nextUtilization <= max(maxUtilization, 1/float64(best.limit)) && nextUtilization <= 1
	return best, ok
}

// sweep drops agents that were not used for DefaultIdleAgentTTL.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepPeriod {
		return
	}
	p.lastSweep = now
	for id, a := range p.agents {
		if a.inFlight == 0 && now.Sub(a.lastUsed) > DefaultIdleAgentTTL {
			delete(p.agents, id)
		}
	}
}
