package quarantine

import (
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// minMoments is the least number of moments of crashes that a trait must explain to be
	// quarantined. Two faults of another kind at about the same time are not rare.
	minMoments = 3
	// momentGrowth is the factor of the crashes with other causes by which one more
	// moment is required: the more there are, the more often a rare trait is in several.
	momentGrowth = 4
	// startedMoments is the number of additional moments for a trait with which an answer is
	// known to have begun: new weights may make it deadly, but most often it is sound.
	startedMoments = 2
	// comparedPeriod is how long before the first crash with a trait the crashes with other
	// causes count.
	comparedPeriod = 10 * time.Second
	// minRequests is the number of requests that must have held the trait then. A
	// request that is sent again may be near several crashes by chance.
	minRequests = 2
	// momentGap is the least time between two moments. Servers that share a rack or a
	// link may fail at the same one.
	momentGap = 200 * time.Millisecond
	// requestMomentGap is momentGap for whole requests. Their retries are no chance, so that
	// less time suffices.
	requestMomentGap = 50 * time.Millisecond
	// equalMoments is the number of additional moments for a whole request if another cause
	// is as likely.
	equalMoments = 2
	// equalRequests is the difference in the number of requests from which the cause with
	// more of them is likelier.
	equalRequests = 2
	// partLead is the number of crashes that a part must explain more than a whole request
	// to be the likelier cause.
	partLead = 2
	// maxRivals bounds the parts that are kept as possible causes beside the likeliest one.
	maxRivals = 8
	// startPeriod is the time after the first call of Decide in which a Set quarantines
	// nothing by itself, because it knows few of the traits that are sound.
	startPeriod = 3 * time.Second
	// soundPeriod is how long before a crash an answer must have begun that proves a
	// trait sound.
	soundPeriod = 5 * time.Second
)

// Reason is why the state of a trait changed.
type Reason uint8

// Values of Reason.
const (
	// Decided means that this entry has quarantined the trait.
	Decided Reason = iota
	// Adopted means that another entry has quarantined the trait.
	Adopted
	// ProvedSound means that an answer with the trait has begun.
	ProvedSound
	// ExplainedOtherwise means that another trait explains all of the trait's crashes.
	ExplainedOtherwise
	// ReleasedElsewhere means that another entry has released the trait.
	ReleasedElsewhere
	// Widened means that fewer other traits may be the cause instead, so that more requests
	// with the trait are refused.
	Widened
	// Ended means that the time of the quarantine has passed.
	Ended
)

// String returns the reason in words.
func (r Reason) String() string {
	return [...]string{
		"decided here", "decided by another entry", "an answer with it has begun",
		"another cause explains the crashes", "released by another entry",
		"fewer other causes are possible", "its time has passed",
	}[r]
}

// Change is a change of the state of a trait.
type Change struct {
	Trait  fleet.Trait
	Reason Reason
	// Until is the end of the quarantine that begins or is widened, or the zero time.
	Until time.Time
	// With are the traits that a refused request holds too.
	With []fleet.Trait
	// Crashes is the number of crashes for which the trait was quarantined.
	Crashes int
}

// AppliesTo reports whether requests with these traits are refused from the change on.
func (c Change) AppliesTo(traits []fleet.Trait) bool {
	return !c.Until.IsZero() && slices.Contains(traits, c.Trait) && holdsAll(traits, c.With)
}

// Decide quarantines and releases traits according to the evidence, and drops what has
// expired. settle is how long the evidence that a trait is sound takes to arrive here
// from any entry. Decide is to be called often.
func (s *Set) Decide(now time.Time, settle time.Duration) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.crashes.expire(now, s.isKnownCause)
	s.partStarts.expire(now)
	s.requestStarts.expire(now)
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
	for trait, q := range s.quarantines {
		if !q.released && !q.endReported && !q.isActive(now) {
			q.endReported = true
			changes = append(changes, Change{Trait: trait, Reason: Ended, Crashes: q.crashes})
		}
	}
	return changes
}

// isKnownCause reports whether a trait is quarantined, or was so rightly.
func (s *Set) isKnownCause(t fleet.Trait) bool {
	q := s.quarantines[t]
	return q != nil && !q.released
}

func (s *Set) decide(now time.Time, settle time.Duration) []Change {
	s.undecided = false
	changes := s.releaseSound(now)
	candidates := s.candidates()
	causes := map[fleet.Trait]bool{}
	explained := map[*crash]bool{}
	for {
		best := s.strongest(candidates, explained)
		if best == nil {
			break
		}
		causes[best.trait] = true
		equals := s.equalsOf(best.settled(now.Add(-settle/2), s.crashes.crashes), candidates)
		for _, c := range best.crashes {
			explained[c] = true
		}
		for _, other := range equals {
			causes[other.trait] = true
		}
		changes = append(changes, s.decideOn(now, settle, best, equals)...)
	}
	return append(changes, s.releaseExplained(now, candidates, causes, explained)...)
}

// decideOn quarantines the likeliest cause of some crashes, or none as long as another one
// is as likely.
func (s *Set) decideOn(now time.Time, settle time.Duration, best *candidate, equals []*candidate) []Change {
	rivals := s.rivalsOf(best)
	if q := s.quarantines[best.trait]; q != nil && q.isActive(now) {
		return widenTo(now, q, best, rivals)
	} else if q != nil && !q.released && !best.crashes[len(best.crashes)-1].at.After(q.end()) {
		return nil
	}
	if !best.isRepeat && (now.Sub(s.startedAt) < startPeriod || !s.hasSettled(now, settle, best)) {
		s.undecided = true
		return nil
	}
	if len(equals) > 0 && best.moments < minMoments+equalMoments {
		return nil
	}
	changes := s.quarantine(now, best, rivals)
	for _, other := range equals {
		if other.trait.IsRequest() && !other.isKnown && len(other.crashes) >= len(best.crashes) {
			changes = append(changes, s.quarantine(now, other, nil)...)
		}
	}
	return changes
}

// hasSettled reports whether what other entries know of the crashes had time to arrive. Whole
// requests are decided on few crashes, so that all of these must have settled.
func (s *Set) hasSettled(now time.Time, settle time.Duration, best *candidate) bool {
	if !best.trait.IsRequest() {
		return now.Sub(best.crashes[0].at) >= settle
	}
	settled := best.settled(now.Add(-settle/2), s.crashes.crashes)
	return settled.isEnough(settled.countOthers(s.crashes.crashes, nil))
}

// quarantine quarantines a trait, unless as many as can be kept are in force for longer.
func (s *Set) quarantine(now time.Time, cause *candidate, rivals []fleet.Trait) []Change {
	q := &quarantine{generation: 1, with: rivals, decidedAt: now, crashes: len(cause.crashes), changedAt: now}
	if previous := s.quarantines[cause.trait]; previous != nil {
		q.generation = max(previous.generation+1, previous.generation)
		if cause.isRepeat {
			q.widen(now, func(p fleet.Trait) bool { return !slices.Contains(previous.with, p) })
		}
	}
	if !s.quarantines.put(cause.trait, q) {
		return nil
	}
	return []Change{q.change(cause.trait, Decided)}
}

// change describes that a quarantine begins or is widened.
func (q *quarantine) change(trait fleet.Trait, reason Reason) Change {
	return Change{Trait: trait, Reason: reason, Until: q.end(), With: q.with, Crashes: q.crashes}
}

// widenTo widens a quarantine to what is known of its crashes now. An entry that does not
// know the crashes for which the trait was quarantined cannot tell.
func widenTo(now time.Time, q *quarantine, cause *candidate, rivals []fleet.Trait) []Change {
	if cause.countUntil(q.decidedAt) < q.crashes ||
		!q.widen(now, func(p fleet.Trait) bool { return !slices.Contains(rivals, p) }) {
		return nil
	}
	return []Change{q.change(cause.trait, Widened)}
}

// releaseSound releases the traits with which an answer began shortly before the decision
// or later, also those whose quarantine has ended. Parts that such an answer began with
// are no longer taken for the cause in place of another one.
func (s *Set) releaseSound(now time.Time) []Change {
	var changes []Change
	for trait, q := range s.quarantines {
		switch {
		case q.released:
		case s.isSound(trait, q.decidedAt):
			changes = append(changes, release(now, trait, q, ProvedSound))
		case q.widen(now, func(p fleet.Trait) bool { return s.isSound(p, q.decidedAt) }) && q.isActive(now):
			changes = append(changes, q.change(trait, Widened))
		}
	}
	return changes
}

// releaseExplained releases the quarantined traits of which all crashes are explained by
// other traits. An entry that does not know the crashes for which a trait was quarantined
// cannot tell.
func (s *Set) releaseExplained(now time.Time, candidates []*candidate, causes map[fleet.Trait]bool, explained map[*crash]bool) []Change {
	var changes []Change
	for _, c := range candidates {
		q := s.quarantines[c.trait]
		if q == nil || !q.isActive(now) || causes[c.trait] || c.countUntil(q.decidedAt) < q.crashes {
			continue
		}
		if !slices.ContainsFunc(c.crashes, func(c *crash) bool { return !explained[c] }) {
			changes = append(changes, release(now, c.trait, q, ExplainedOtherwise))
		}
	}
	return changes
}

func release(now time.Time, trait fleet.Trait, q *quarantine, reason Reason) Change {
	q.released, q.releasedAt, q.changedAt = true, now, now
	return Change{Trait: trait, Reason: reason, Crashes: q.crashes}
}
