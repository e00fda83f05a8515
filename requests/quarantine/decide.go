package quarantine

import (
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// minMoments is the least number of moments of crashes that a part must explain to be
	// quarantined. Two faults of another kind at about the same time are not rare.
	minMoments = 3
	// momentGrowth is the factor of the crashes with other causes by which one more
	// moment is required: the more there are, the more often a rare part is in several.
	momentGrowth = 4
	// startedMoments is the number of additional moments for a part with which an answer is
	// known to have begun: new weights may make it deadly, but most often it is sound.
	startedMoments = 2
	// comparedPeriod is how long before the first crash with a part the crashes with other
	// causes count.
	comparedPeriod = 10 * time.Second
	// minRequests is the number of requests that must have held the part then. A
	// request that is sent again may be near several crashes by chance.
	minRequests = 2
	// momentGap is the least time between two moments. Servers that share a rack or a
	// link may fail at the same one.
	momentGap = 200 * time.Millisecond
	// maxRivals bounds the parts that are kept as possible causes beside the likeliest one.
	maxRivals = 8
	// startPeriod is the time after the first call of Decide in which a Set quarantines
	// nothing by itself, because it knows few of the parts that are sound.
	startPeriod = 3 * time.Second
	// soundPeriod is how long before a crash an answer must have begun that proves a
	// part sound.
	soundPeriod = 5 * time.Second
)

// Reason is why the state of a part changed.
type Reason uint8

// Values of Reason.
const (
	// Decided means that this entry has quarantined the part.
	Decided Reason = iota
	// Adopted means that another entry has quarantined the part.
	Adopted
	// ProvedSound means that an answer with the part has begun.
	ProvedSound
	// ExplainedOtherwise means that another part explains all of the part's crashes.
	ExplainedOtherwise
	// ReleasedElsewhere means that another entry has released the part.
	ReleasedElsewhere
	// Widened means that fewer other parts may be the cause instead, so that more requests
	// with the part are refused.
	Widened
	// Ended means that the time of the quarantine has passed.
	Ended
)

// String returns the reason in words.
func (r Reason) String() string {
	return [...]string{
		"decided here", "decided by another entry", "an answer with it has begun",
		"another part explains the crashes", "released by another entry",
		"fewer other parts may be the cause", "its time has passed",
	}[r]
}

// Change is a change of the state of a part.
type Change struct {
	Part   fleet.Trait
	Reason Reason
	// Until is the end of the quarantine that begins or is widened, or the zero time.
	Until time.Time
	// With are the parts that a refused request holds too.
	With []fleet.Trait
	// Crashes is the number of crashes for which the part was quarantined.
	Crashes int
}

// AppliesTo reports whether requests with these parts are refused from the change on.
func (c Change) AppliesTo(parts []fleet.Trait) bool {
	return !c.Until.IsZero() && slices.Contains(parts, c.Part) && holdsAll(parts, c.With)
}

// Decide quarantines and releases parts according to the evidence, and drops what has
// expired. settle is how long the evidence that a part is sound takes to arrive here
// from any entry. Decide is to be called often.
func (s *Set) Decide(now time.Time, settle time.Duration) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.crashes.expire(now)
	s.starts.expire(now)
	changes := s.endQuarantines(now)
	s.quarantines.expire(now)
	if s.undecided {
		changes = append(changes, s.decide(now, settle)...)
	}
	s.quarantined.Store(s.quarantines.countActive(now))
	return changes
}

func (s *Set) endQuarantines(now time.Time) []Change {
	var changes []Change
	for part, q := range s.quarantines {
		if !q.released && !q.endReported && !q.isActive(now) {
			q.endReported = true
			changes = append(changes, Change{Part: part, Reason: Ended, Crashes: q.crashes})
		}
	}
	return changes
}

func (s *Set) decide(now time.Time, settle time.Duration) []Change {
	s.undecided = false
	changes := s.releaseSound(now)
	candidates := s.candidates()
	causes := map[fleet.Trait]bool{}
	explained := map[*crash]bool{}
	for {
		best := strongest(candidates, explained, s.crashes.crashes)
		if best == nil {
			break
		}
		causes[best.part] = true
		rivals := s.rivalsOf(best)
		for _, c := range best.crashes {
			explained[c] = true
		}
		if q := s.quarantines[best.part]; q != nil && q.isActive(now) {
			changes = append(changes, widenTo(now, q, best, rivals)...)
			continue
		}
		hasSettled := now.Sub(best.crashes[0].at) >= settle && now.Sub(s.startedAt) >= startPeriod
		if !hasSettled && !best.isRepeat {
			s.undecided = true
			continue
		}
		changes = append(changes, s.quarantine(now, best, rivals))
	}
	return append(changes, s.releaseExplained(now, candidates, causes, explained)...)
}

func (s *Set) quarantine(now time.Time, cause *candidate, rivals []fleet.Trait) Change {
	q := &quarantine{generation: 1, with: rivals, decidedAt: now, crashes: len(cause.crashes), changedAt: now}
	if previous := s.quarantines[cause.part]; previous != nil {
		q.generation = max(previous.generation+1, previous.generation)
		if cause.isRepeat {
			q.widen(now, func(p fleet.Trait) bool { return !slices.Contains(previous.with, p) })
		}
	}
	s.quarantines.put(cause.part, q)
	return q.change(cause.part, Decided)
}

// change describes that a quarantine begins or is widened.
func (q *quarantine) change(part fleet.Trait, reason Reason) Change {
	return Change{Part: part, Reason: reason, Until: q.end(), With: q.with, Crashes: q.crashes}
}

// widenTo widens a quarantine to what is known of its crashes now. An entry that does not
// know the crashes for which the part was quarantined cannot tell.
func widenTo(now time.Time, q *quarantine, cause *candidate, rivals []fleet.Trait) []Change {
	if cause.countUntil(q.decidedAt) < q.crashes ||
		!q.widen(now, func(p fleet.Trait) bool { return !slices.Contains(rivals, p) }) {
		return nil
	}
	return []Change{q.change(cause.part, Widened)}
}

// releaseSound releases the parts with which an answer began shortly before the decision
// or later, also those whose quarantine has ended. Parts that such an answer began with
// are no longer taken for the cause in place of another one.
func (s *Set) releaseSound(now time.Time) []Change {
	var changes []Change
	for part, q := range s.quarantines {
		switch {
		case q.released:
		case s.isSound(part, q.decidedAt):
			changes = append(changes, release(now, part, q, ProvedSound))
		case q.widen(now, func(p fleet.Trait) bool { return s.isSound(p, q.decidedAt) }) && q.isActive(now):
			changes = append(changes, q.change(part, Widened))
		}
	}
	return changes
}

// releaseExplained releases the quarantined parts of which all crashes are explained by
// other parts. An entry that does not know the crashes for which a part was quarantined
// cannot tell.
func (s *Set) releaseExplained(now time.Time, candidates []*candidate, causes map[fleet.Trait]bool, explained map[*crash]bool) []Change {
	var changes []Change
	for _, c := range candidates {
		q := s.quarantines[c.part]
		if q == nil || !q.isActive(now) || causes[c.part] || c.countUntil(q.decidedAt) < q.crashes {
			continue
		}
		if !slices.ContainsFunc(c.crashes, func(c *crash) bool { return !explained[c] }) {
			changes = append(changes, release(now, c.part, q, ExplainedOtherwise))
		}
	}
	return changes
}

func release(now time.Time, part fleet.Trait, q *quarantine, reason Reason) Change {
	q.released, q.releasedAt, q.changedAt = true, now, now
	return Change{Part: part, Reason: reason, Crashes: q.crashes}
}

// candidate is a part that may be the cause of crashes.
type candidate struct {
	part     fleet.Trait
	isRepeat bool
	// hasStarted is set if an answer with the part is known to have begun at any time.
	hasStarted bool
	// position is the greatest index of the part in a prompt.
	position uint8
	// crashes are those in which the part is suspect, in the order of time.
	crashes []*crash
}

// candidates returns the parts that are suspect in enough crashes, by name.
func (s *Set) candidates() []*candidate {
	var list []*candidate
	for p, open := range s.crashes.open {
		isRepeat := s.quarantines[p].isRepeat(open)
		if !isRepeat && len(open) < minMoments {
			continue
		}
		c := &candidate{part: p, isRepeat: isRepeat, hasStarted: !s.starts.last(p).IsZero()}
		for _, suspicion := range open {
			c.crashes = append(c.crashes, suspicion.crash)
			c.position = max(c.position, suspicion.position)
		}
		slices.SortFunc(c.crashes, compareCrashes)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *candidate) int { return compareParts(a.part, b.part) })
	return list
}

// strongest returns the candidate that explains most of the crashes that are not
// explained yet, reduced to these crashes, or nil if none explains enough.
func strongest(candidates []*candidate, explained map[*crash]bool, crashes []*crash) *candidate {
	var best *candidate
	var bestMoments, bestRequests int
	for _, c := range candidates {
		rest := *c
		rest.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(c *crash) bool { return explained[c] })
		moments, requests := rest.moments(), rest.requests()
		if !isEnough(&rest, moments, requests, rest.countOthers(crashes, explained)) {
			continue
		}
		if best == nil || isStronger(&rest, moments, requests, best, bestMoments, bestRequests) {
			best, bestMoments, bestRequests = &rest, moments, requests
		}
	}
	return best
}

// rivalsOf returns the other parts that are suspect in all crashes that a cause explains,
// unless an answer with them is known to have begun at any time.
func (s *Set) rivalsOf(cause *candidate) []fleet.Trait {
	var rivals []fleet.Trait
	for p := range cause.crashes[0].suspects {
		if p == cause.part || !s.starts.last(p).IsZero() != cause.hasStarted {
			continue
		}
		if !slices.ContainsFunc(cause.crashes, func(c *crash) bool { return !c.isSuspect(p) }) {
			rivals = append(rivals, p)
		}
	}
	slices.SortFunc(rivals, compareParts)
	return rivals[:min(len(rivals), maxRivals)]
}

// isEnough reports whether a candidate explains enough beside a number of crashes with
// other causes.
func isEnough(c *candidate, moments, requests, others int) bool {
	if c.isRepeat {
		return moments > 0
	}
	required := minMoments
	if c.hasStarted {
		required += startedMoments
	}
	for rest := others + 1; rest >= momentGrowth; rest /= momentGrowth {
		required++
	}
	return moments >= required && requests >= minRequests
}

// isStronger orders two candidates. A part with which no answer is known to have begun is
// the likelier cause, also if the other one was in more crashes. Of two that cannot be told
// apart, the later one in the prompt is in fewer requests, and is found to be the wrong one
// with the next request that holds only the other.
func isStronger(a *candidate, momentsA, requestsA int, b *candidate, momentsB, requestsB int) bool {
	if a.hasStarted != b.hasStarted {
		return !a.hasStarted
	}
	if momentsA != momentsB {
		return momentsA > momentsB
	}
	if a.position != b.position {
		return a.position > b.position
	}
	return requestsA > requestsB
}

// countOthers returns the number of crashes with other causes, from shortly before the
// first crash with the part.
func (c *candidate) countOthers(crashes []*crash, explained map[*crash]bool) int {
	if len(c.crashes) == 0 {
		return 0
	}
	first := c.crashes[0].at.Add(-comparedPeriod)
	count := 0
	for _, crash := range crashes {
		if !explained[crash] && crash.at.After(first) {
			count++
		}
	}
	return count - len(c.crashes)
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

// moments returns the number of different times of the crashes.
func (c *candidate) moments() int {
	count := 0
	var last time.Time
	for _, crash := range c.crashes {
		if count == 0 || crash.at.Sub(last) >= momentGap {
			count, last = count+1, crash.at
		}
	}
	return count
}

// requests returns the number of different requests that held the part.
func (c *candidate) requests() int {
	seen := map[uint32]bool{}
	for _, crash := range c.crashes {
		for _, request := range crash.suspects[c.part].requests {
			seen[request] = true
		}
	}
	return len(seen)
}
