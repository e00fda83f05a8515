package quarantine

import (
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// candidate is a trait that may be the cause of crashes.
type candidate struct {
	trait    fleet.Trait
	isRepeat bool
	// isKnown is set if the trait is quarantined, or was so rightly.
	isKnown bool
	// hasStarted is set if an answer with the trait is known to have begun at any time.
	hasStarted bool
	// position is the greatest index of the trait in a prompt.
	position uint8
	// crashes are those in which the trait is suspect, in the order of time.
	crashes []*crash
	// moments and requests are the numbers of different times of the crashes and of requests
	// that held the trait.
	moments, requests int
}

// candidates returns the traits that are suspect in enough crashes, by name.
func (s *Set) candidates() []*candidate {
	var list []*candidate
	for t, open := range s.crashes.open {
		isRepeat := s.quarantines[t].isRepeat(open)
		if !isRepeat && len(open) < minMoments {
			continue
		}
		c := &candidate{trait: t, isRepeat: isRepeat, isKnown: s.isKnownCause(t), hasStarted: !s.lastStart(t).IsZero()}
		for _, suspicion := range open {
			c.crashes = append(c.crashes, suspicion.crash)
			c.position = max(c.position, suspicion.position)
		}
		slices.SortFunc(c.crashes, compareCrashes)
		c.count(s.crashes.crashes)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *candidate) int { return compareTraits(a.trait, b.trait) })
	return list
}

// strongest returns the candidate that explains most of the crashes that are not
// explained yet, reduced to these crashes, or nil if none explains enough.
func (s *Set) strongest(candidates []*candidate, explained map[*crash]bool) *candidate {
	var part, request *candidate
	for _, c := range candidates {
		rest := *c
		rest.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(c *crash) bool { return explained[c] })
		rest.count(s.crashes.crashes)
		best := &part
		if c.trait.IsRequest() {
			best = &request
		}
		if rest.isEnough(rest.countOthers(s.crashes.crashes, explained)) && (*best == nil || rest.isStronger(*best)) {
			*best = &rest
		}
	}
	if part == nil || request != nil && !part.explainsMore(request) {
		return request
	}
	return part
}

// isEnough reports whether a candidate explains enough beside a number of crashes with
// other causes.
func (c *candidate) isEnough(others int) bool {
	if c.isRepeat {
		return c.moments > 0
	}
	required := minMoments + additionalMoments(others)
	if c.hasStarted {
		required += startedMoments
	}
	return c.moments >= required && c.requests >= minRequests
}

// additionalMoments returns the number of moments that are required because of crashes with
// other causes.
func additionalMoments(others int) int {
	count := 0
	for rest := others + 1; rest >= momentGrowth; rest /= momentGrowth {
		count++
	}
	return count
}

// isStronger orders two candidates of a kind. A trait with which no answer is known to have
// begun is the likelier cause, also if the other one was in more crashes. Of two that cannot
// be told apart, the later one in the prompt is in fewer requests, and is found to be the
// wrong one with the next request that holds only the other.
func (c *candidate) isStronger(other *candidate) bool {
	if c.hasStarted != other.hasStarted {
		return !c.hasStarted
	}
	if a, b := c.weight(), other.weight(); a != b {
		return a > b
	}
	if c.trait.IsRequest() && c.isKnown != other.isKnown {
		return c.isKnown
	}
	if c.position != other.position {
		return c.position > other.position
	}
	return c.requests > other.requests
}

// weight returns the number of moments for a comparison. A quarantined request has one more: a
// bystander of its crashes is easily in another one.
func (c *candidate) weight() int {
	if c.trait.IsRequest() && c.isKnown {
		return c.moments + 1
	}
	return c.moments
}

// explainsMore reports whether a part is a likelier cause than a whole request. One that is
// repeated with the part is in all of the part's crashes that it caused itself.
func (c *candidate) explainsMore(request *candidate) bool {
	if c.hasStarted != request.hasStarted {
		return !c.hasStarted
	}
	lead := 1
	switch {
	case c.isKnown && !request.isKnown:
		lead = 0
	case c.sharedCrashes(request) == len(request.crashes) && !c.isHeldApart(request):
		lead = partLead
	}
	return len(c.crashes) >= len(request.crashes)+lead
}

// rivalsOf returns the other parts that are suspect in all crashes that a part explains,
// unless an answer with them is known to have begun at any time.
func (s *Set) rivalsOf(cause *candidate) []fleet.Trait {
	if cause.trait.IsRequest() {
		return nil
	}
	var rivals []fleet.Trait
	for t := range cause.crashes[0].suspects {
		if t == cause.trait || t.IsRequest() || !s.lastStart(t).IsZero() != cause.hasStarted {
			continue
		}
		if !slices.ContainsFunc(cause.crashes, func(c *crash) bool { return !c.isSuspect(t) }) {
			rivals = append(rivals, t)
		}
	}
	slices.SortFunc(rivals, compareTraits)
	return rivals[:min(len(rivals), maxRivals)]
}

// equalsOf returns the candidates that are as likely as a whole request to be the cause of its
// crashes: others that waited at all of the servers but one, in about as many crashes.
func (s *Set) equalsOf(cause *candidate, candidates []*candidate) []*candidate {
	if !cause.trait.IsRequest() || cause.isRepeat {
		return nil
	}
	lead := 1 + additionalMoments(cause.countOthers(s.crashes.crashes, nil))
	var equals []*candidate
	for _, c := range candidates {
		switch {
		case c.trait == cause.trait, c.hasStarted != cause.hasStarted, c.requests+equalRequests <= cause.requests,
			len(c.crashes)+lead <= len(cause.crashes), c.sharedCrashes(cause) < len(cause.crashes)-1:
		case c.moments >= minMoments && c.requests >= minRequests && c.isHeldApart(cause):
			equals = append(equals, c)
		}
	}
	return equals
}

// sharedCrashes returns the number of crashes of another candidate in which this one is
// suspect too.
func (c *candidate) sharedCrashes(other *candidate) int {
	count := 0
	for _, crash := range other.crashes {
		if crash.isSuspect(c.trait) {
			count++
		}
	}
	return count
}

// isHeldApart reports whether another request than a repeated one held the candidate's trait
// when both waited at a server that crashed.
func (c *candidate) isHeldApart(request *candidate) bool {
	return slices.ContainsFunc(request.crashes, func(crash *crash) bool {
		known := crash.suspects[request.trait].requests
		return crash.isSuspect(c.trait) && len(known) < maxRequests &&
			slices.ContainsFunc(crash.suspects[c.trait].requests, func(id uint32) bool { return !slices.Contains(known, id) })
	})
}

// countOthers returns the number of crashes with other causes, from shortly before the
// first crash with the trait. For a whole request, which may have waited beside an explained
// cause that is not known everywhere, all crashes without it count.
func (c *candidate) countOthers(crashes []*crash, explained map[*crash]bool) int {
	if len(c.crashes) == 0 {
		return 0
	}
	first := c.crashes[0].at.Add(-comparedPeriod)
	count := 0
	for _, crash := range crashes {
		if (c.trait.IsRequest() || !explained[crash]) && crash.at.After(first) && !crash.isSuspect(c.trait) {
			count++
		}
	}
	return count
}

// countUntil returns the number of the crashes that were not after a time.
func (c *candidate) countUntil(last time.Time) int {
	count := 0
	for _, crash := range c.crashes {
		if !crash.at.After(last) {
			count++
		}
	}
	return count
}

// settled returns the candidate reduced to the crashes until a time.
func (c *candidate) settled(until time.Time, crashes []*crash) *candidate {
	settled := *c
	settled.crashes = c.crashes[:c.countUntil(until)]
	settled.count(crashes)
	return &settled
}

// count sets the numbers of moments and requests.
func (c *candidate) count(crashes []*crash) {
	c.moments = 0
	seen, atMoment := map[uint32]bool{}, map[uint32]bool{}
	var last time.Time
	alone := 0
	for _, crash := range c.crashes {
		requests := crash.suspects[c.trait].requests
		switch {
		case c.moments == 0 || c.isNextMoment(crash, last, atMoment):
			c.moments, last = c.moments+1, crash.at
			clear(atMoment)
		case c.trait.IsRequest() && !c.isBesideOthers(crash, crashes):
			alone++
		}
		for _, id := range requests {
			seen[id], atMoment[id] = true, true
		}
	}
	if c.moments > 1 {
		c.moments += alone
	}
	c.requests = len(seen)
}

// isNextMoment reports whether a crash is at another moment than the last one. Crashes with
// the same request ID are, since the attempts of a request follow each other.
func (c *candidate) isNextMoment(crash *crash, last time.Time, atMoment map[uint32]bool) bool {
	gap := momentGap
	if c.trait.IsRequest() {
		gap = requestMomentGap
	}
	return crash.at.Sub(last) >= gap ||
		slices.ContainsFunc(crash.suspects[c.trait].requests, func(id uint32) bool { return atMoment[id] })
}

// isBesideOthers reports whether a server without the trait crashed at the same moment.
func (c *candidate) isBesideOthers(of *crash, crashes []*crash) bool {
	return slices.ContainsFunc(crashes, func(other *crash) bool {
		return other.at.Sub(of.at).Abs() < requestMomentGap && !other.isSuspect(c.trait)
	})
}
