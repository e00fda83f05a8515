package placement

import (
	"time"
)

const sweepPeriod = time.Minute

// option is a candidate that may be picked, with its load as of now.
type option struct {
	candidate *Candidate
	agent     *agent
	// limit is the agent's limit after the ramp.
	limit  int
	others float64
	probe  bool
}

// load is the agent's use of its limit as this entry sees it.
func (o option) load() float64 {
	return (float64(o.agent.inFlight) + o.others) / float64(o.limit)
}

// hasRoom reports whether this entry's own work leaves room. Where there is an
// agent, it decides about the rest.
func (o option) hasRoom() bool {
	if o.candidate.Direct && !o.probe {
		return o.candidate.FreeSlots > 0
	}
	return o.agent.inFlight < o.limit
}

// capacity is how many requests this entry may have in flight there.
func (o option) capacity() int {
	if o.candidate.Direct && !o.probe {
		return o.agent.inFlight + max(0, o.candidate.FreeSlots)
	}
	return max(0, o.limit-int(othersShare*o.others))
}

// usable returns the options of the subset that may be picked now.
func (p *Placer) usable(now time.Time, request Request, candidates []Candidate) []option {
	p.observeDataCentres(now, candidates)
	chosen := subset{size: p.config.SubsetSize}
	for i := range candidates {
		c := &candidates[i]
		if c.DataCentreOut || c.Leaving || request.Tried[c.ID] || c.Weights != request.Weights {
			continue
		}
		a := p.learn(c)
		if a.isOpen(now) {
			chosen.add(member{candidate: c, agent: a})
		}
	}
	return p.options(now, chosen)
}

func (p *Placer) options(now time.Time, chosen subset) []option {
	var options []option
	for _, centre := range chosen.centres {
		for _, m := range centre.members {
			options = append(options, p.option(now, m.candidate, m.agent))
		}
	}
	return options
}

func (p *Placer) option(now time.Time, c *Candidate, a *agent) option {
	limit := max(1, int(float64(max(a.limit, 1))*p.ramps[c.DataCentre].share(now, p.config)))
	if a.isEjected() {
		limit = 1
	}
	return option{
		candidate: c,
		agent:     a,
		limit:     limit,
		others:    a.others(now, p.config.ReportDecay),
		probe:     a.isEjected(),
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
			r = &ramp{out: c.DataCentreOut}
			p.ramps[c.DataCentre] = r
		}
		r.observe(now, c.DataCentreOut)
	}
}

// learn returns the agent's state, new for a new process in the slot.
func (p *Placer) learn(c *Candidate) *agent {
	a := p.agents[c.ID]
	if a == nil {
		a = &agent{
			incarnation: c.Incarnation,
			rank:        rendezvous(string(p.config.Entry), string(c.ID)),
			hash:        rendezvous(string(c.ID)),
		}
		p.agents[c.ID] = a
	}
	if c.Incarnation > a.incarnation {
		a.incarnation = c.Incarnation
		a.failures = 0
		a.first = first{}
		a.ejections = 0
		a.ejected = time.Time{}
		a.unfit = time.Time{}
		a.limit = 0
		a.reported = time.Time{}
	}
	if c.ReportedAt.After(a.reported) || a.limit == 0 {
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

const distances = 3

// levels returns the options by distance: first the nearest alone while their
// load is under Spill, then with the next distance, then all.
func (p *Placer) levels(options []option) [][]option {
	near := make([]option, 0, len(options))
	var levels [][]option
	for distance := range distances {
		for _, o := range options {
			if p.distance(o.candidate) == distance {
				near = append(near, o)
			}
		}
		if len(near) == len(options) || meanLoad(near) < p.config.SpilloverLoad {
			levels = append(levels, near[:len(near):len(near)])
		}
	}
	return levels
}

// meanLoad is the load over all limits; 1 when there are no options.
func meanLoad(options []option) float64 {
	if len(options) == 0 {
		return 1
	}
	var used, limit float64
	for _, o := range options {
		used += float64(o.agent.inFlight) + o.others
		limit += float64(o.limit)
	}
	return used / limit
}

// lasting returns the options that take requests for as long as the answer is
// expected to take.
func lasting(now time.Time, request Request, options []option) []option {
	list := make([]option, 0, len(options))
	for _, o := range options {
		closes := o.candidate.PauseStart
		if closes.IsZero() || request.ExpectedDuration > 0 && now.Add(request.ExpectedDuration).Before(closes) {
			list = append(list, o)
		}
	}
	return list
}

// chooseNearest picks within the nearest level that has room.
func (p *Placer) chooseNearest(request Request, options []option) (option, bool) {
	for _, level := range p.levels(options) {
		if chosen, ok := p.choose(request, level); ok {
			return chosen, true
		}
	}
	return option{}, false
}

// choose picks within one level: a due probe, then the prefix's agent, then
// the less loaded of two.
func (p *Placer) choose(request Request, options []option) (option, bool) {
	open := make([]option, 0, len(options))
	for _, o := range options {
		if !o.hasRoom() {
			continue
		}
		if o.probe {
			return o, true
		}
		open = append(open, o)
	}
	if len(open) == 0 {
		return option{}, false
	}
	if preferred, ok := p.preferred(request, open); ok {
		return preferred, true
	}
	first := open[p.random.IntN(len(open))]
	second := open[p.random.IntN(len(open))]
	if second.load() < first.load() {
		first = second
	}
	if first.load() < 1 {
		return first, true
	}
	return leastLoaded(open), true
}

func leastLoaded(options []option) option {
	best := options[0]
	for _, o := range options[1:] {
		if o.load() < best.load() {
			best = o
		}
	}
	return best
}

// preferred returns the agent that rendezvous hashing gives the prefix, unless
// its load is beyond the bound.
func (p *Placer) preferred(request Request, options []option) (option, bool) {
	if request.Prefix == 0 {
		return option{}, false
	}
	bound := p.config.AffinityLoadFactor * meanLoad(options)
	var best option
	var bestRank uint64
	for _, o := range options {
		rank := mix(request.Prefix, o.agent.hash)
		if best.agent == nil || rank > bestRank {
			best, bestRank = o, rank
		}
	}
	next := (float64(best.agent.inFlight) + best.others + 1) / float64(best.limit)
	ok := next <= max(bound, 1/float64(best.limit)) && next <= 1
	return best, ok
}

// sweep drops agents that were not used for long.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepPeriod {
		return
	}
	p.swept = now
	for id, a := range p.agents {
		if a.inFlight == 0 && now.Sub(a.lastUsed) > DefaultIdleAgentTTL {
			delete(p.agents, id)
		}
	}
}
