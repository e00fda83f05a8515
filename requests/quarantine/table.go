package quarantine

import (
	"cmp"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// basePeriod is how long the first quarantine of a trait lasts. Each following one
	// lasts twice as long, up to maxPeriod.
	basePeriod = 5 * time.Minute
	maxPeriod  = time.Hour
	// strikeRetention is how long an ended quarantine is known: until then one crash
	// suffices for another one.
	strikeRetention = time.Hour
	// releaseRetention is the least time for which a release is known, so that other entries
	// learn of it. It is longer than any entry is cut off from all others and keeps serving.
	releaseRetention = 10 * time.Minute
	// maxQuarantines bounds the traits with a current, ended or released quarantine as long as
	// few are in force. maxInForce bounds those that are in force, and minPast is the number of
	// ended and released ones that are kept beside any number of them.
	maxQuarantines = 256
	maxInForce     = 1024
	minPast        = 128
)

// quarantine is the last quarantine of a trait.
type quarantine struct {
	generation uint32
	// with are the traits that cannot be told apart from this one as the cause. Only
	// requests with all of them are refused, so that a sound one of them can be found.
	with       []fleet.Trait
	decidedAt  time.Time
	crashes    int
	released   bool
	releasedAt time.Time
	// lifted is set if an operator released the trait.
	lifted bool
	// changedAt is when this state became known here.
	changedAt time.Time
	// sentAt is when it was last sent to other entries.
	sentAt time.Time
	// endReported is set once the end has been reported as a Change.
	endReported bool
}

func (q *quarantine) end() time.Time {
	period := basePeriod
	for range min(q.generation-1, 16) {
		period = min(2*period, maxPeriod)
	}
	return q.decidedAt.Add(period)
}

func (q *quarantine) isActive(now time.Time) bool { return !q.released && now.Before(q.end()) }

// isRepeat reports whether the trait has been quarantined before and rightly so, and
// whether the crashes in which it is suspect now fit that.
func (q *quarantine) isRepeat(open []*suspicion) bool {
	if q == nil || q.released {
		return false
	}
	for _, p := range q.with {
		if slices.ContainsFunc(open, func(s *suspicion) bool { return s.crash.suspects[p] == nil }) {
			return false
		}
	}
	return true
}

func (q *quarantine) isExpired(now time.Time) bool {
	if q.released {
		// Until its end, an entry that has not heard of the release may bring it back.
		return now.Sub(q.releasedAt) >= releaseRetention && !now.Before(q.end())
	}
	return now.Sub(q.end()) >= strikeRetention
}

// isSupersededBy reports whether a quarantine that another entry knows replaces this one:
// it is a later one of the same trait, or the same one released.
func (q *quarantine) isSupersededBy(other fleet.Quarantine) bool {
	if other.Generation != q.generation {
		return other.Generation > q.generation
	}
	return other.Released && !q.released
}

// join merges what another entry knows of the same quarantine. The earlier decision counts,
// but an age by which an active quarantine would have ended is not believed. It reports
// whether more requests are refused then.
func (q *quarantine) join(now time.Time, other fleet.Quarantine, decidedAt time.Time) bool {
	earlier := quarantine{generation: q.generation, decidedAt: decidedAt}
	if decidedAt.Before(q.decidedAt) && (earlier.isActive(now) || !q.isActive(now)) {
		q.decidedAt = decidedAt
	}
	return q.widen(now, func(p fleet.Trait) bool { return !slices.Contains(other.With, p) })
}

// widen drops the traits that matches applies to from those that a refused request holds
// too. It reports whether there were any.
func (q *quarantine) widen(now time.Time, matches func(fleet.Trait) bool) bool {
	var rest []fleet.Trait
	for _, p := range q.with {
		if !matches(p) {
			rest = append(rest, p)
		}
	}
	if len(rest) == len(q.with) {
		return false
	}
	q.with, q.changedAt = rest, now
	return true
}

// appliesTo reports whether requests with these traits are refused.
func (q *quarantine) appliesTo(now time.Time, traits []fleet.Trait) bool {
	return q.isActive(now) && holdsAll(traits, q.with)
}

func holdsAll(traits, wanted []fleet.Trait) bool {
	return !slices.ContainsFunc(wanted, func(p fleet.Trait) bool { return !slices.Contains(traits, p) })
}

// quarantineTable holds the last quarantine of each trait.
type quarantineTable map[fleet.Trait]*quarantine

func (t quarantineTable) expire(now time.Time) {
	for trait, q := range t {
		if q.isExpired(now) {
			delete(t, trait)
		}
	}
	t.shrink(now)
}

// put stores a quarantine whose changedAt is the present time. When the table is full, it
// forgets another one or this one, and reports whether it keeps this one.
func (t quarantineTable) put(trait fleet.Trait, q *quarantine) bool {
	t[trait] = q
	t.shrink(q.changedAt)
	return t[trait] == q
}

// shrink forgets the quarantines beyond the bounds: of those that are in force the ones that
// end first, and of the past ones those that are past for longest. A past one never displaces
// one that is in force.
func (t quarantineTable) shrink(now time.Time) {
	if len(t) <= maxQuarantines {
		return
	}
	var inForce, past []finish
	for trait, q := range t {
		f := finish{trait: trait, at: q.finishedAt(), changedAt: q.changedAt}
		if q.isActive(now) {
			inForce = append(inForce, f)
		} else {
			past = append(past, f)
		}
	}
	t.forget(inForce, maxInForce)
	t.forget(past, max(maxQuarantines-len(inForce), minPast))
}

// finish is when requests with a trait are or were no longer refused.
type finish struct {
	trait         fleet.Trait
	at, changedAt time.Time
}

// forget drops the first ones of a list, so that at most limit of them remain.
func (t quarantineTable) forget(list []finish, limit int) {
	if len(list) <= limit {
		return
	}
	slices.SortFunc(list, func(a, b finish) int {
		return cmp.Or(a.at.Compare(b.at), a.changedAt.Compare(b.changedAt), compareTraits(a.trait, b.trait))
	})
	for _, f := range list[:len(list)-limit] {
		delete(t, f.trait)
	}
}

func (t quarantineTable) countActive(now time.Time) int64 {
	count := int64(0)
	for _, q := range t {
		if q.isActive(now) {
			count++
		}
	}
	return count
}
