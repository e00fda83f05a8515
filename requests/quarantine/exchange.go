package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

const (
	// relayPeriod is how long news is sent to other entries after it became known here.
	// News that is relayed by four messages a round reaches 350 entries within it.
	relayPeriod = 3 * time.Second
	// maxSentCrashes, maxSentSuspects and maxSentStarts bound the news in one message.
	maxSentCrashes  = 16
	maxSentSuspects = 64
	maxSentStarts   = 64
	// maxSentOld bounds the older suspicions of whole requests in one message, which are for
	// entries that have just started or were cut off.
	maxSentOld = 2
	// maxSentNews bounds the quarantines that changed lately in one message, and
	// maxSentKnown the others, which are for entries that have just started.
	maxSentNews  = 16
	maxSentKnown = 2
	// knownPeriod and oldPeriod are the times between two messages with the same known
	// quarantine and the same older suspicion.
	knownPeriod = time.Second
	oldPeriod   = 3 * time.Second
	// rejoinPeriod is how long after a crash a quarantined suspect is sent, for entries that
	// were cut off and would take others for the cause.
	rejoinPeriod = 15 * time.Second
)

// Evidence returns what to tell other entries in the next message.
func (s *Set) Evidence(now time.Time) fleet.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news, known []*suspicion
	starts := map[fleet.Trait]*suspicion{}
	for _, c := range s.crashes.crashes {
		isExplained := s.isExplained(c)
		for trait, suspect := range c.suspects {
			isNew := now.Sub(suspect.changedAt) < relayPeriod
			if isNew && !s.lastStart(trait).IsZero() && (starts[trait] == nil || starts[trait].changedAt.Before(suspect.changedAt)) {
				starts[trait] = suspect
			}
			switch {
			case suspect.isSound:
			case isNew:
				news = append(news, suspect)
			case now.Sub(suspect.sentAt) < oldPeriod:
			case trait.IsRequest() && !isExplained, s.isKnownCause(trait) && now.Sub(c.at) < rejoinPeriod:
				known = append(known, suspect)
			}
		}
	}
	e := fleet.CrashEvidence{Quarantines: s.sentQuarantines(now), Starts: s.sentStarts(now, starts)}
	e.Starts = append(e.Starts, s.releasingStarts(now, e)...)
	reports := reports{now: now, index: map[*crash]int{}}
	reports.add(s.inTurn(news), maxSentSuspects)
	known = s.inTurn(known)
	reports.add(known[:min(len(known), maxSentOld)], maxSentOld*maxRequests)
	e.Crashes = reports.list
	return e
}

// isExplained reports whether a quarantined trait is suspect in a crash.
func (s *Set) isExplained(c *crash) bool {
	if len(s.quarantines) == 0 {
		return false
	}
	for trait, suspect := range c.suspects {
		if !suspect.isSound && s.isKnownCause(trait) {
			return true
		}
	}
	return false
}

// inTurn sorts suspicions: first those of traits in most crashes, of these the least recently
// sent.
func (s *Set) inTurn(list []*suspicion) []*suspicion {
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(
			cmp.Compare(len(s.crashes.open[b.trait]), len(s.crashes.open[a.trait])), a.sentAt.Compare(b.sentAt),
			-compareCrashes(a.crash, b.crash), compareTraits(a.trait, b.trait),
		)
	})
	return list
}

// sentStarts returns the begun answers to send: the least recently sent first, and of these
// the latest news.
func (s *Set) sentStarts(now time.Time, starts map[fleet.Trait]*suspicion) []fleet.TraitStart {
	list := slices.SortedFunc(maps.Values(starts), func(a, b *suspicion) int {
		return cmp.Or(a.startSentAt.Compare(b.startSentAt), b.changedAt.Compare(a.changedAt), compareTraits(a.trait, b.trait))
	})
	var sent []fleet.TraitStart
	for _, suspect := range list[:min(len(list), maxSentStarts)] {
		suspect.startSentAt = now
		sent = append(sent, fleet.TraitStart{Trait: suspect.trait, Age: now.Sub(s.lastStart(suspect.trait))})
	}
	return sent
}

// releasingStarts returns the begun answers, not yet in a message, that prove its released
// traits sound. Without them, an entry that knows the crashes would quarantine the trait anew.
func (s *Set) releasingStarts(now time.Time, e fleet.CrashEvidence) []fleet.TraitStart {
	var sent []fleet.TraitStart
	for _, q := range e.Quarantines {
		at := s.lastStart(q.Trait)
		isSent := slices.ContainsFunc(e.Starts, func(start fleet.TraitStart) bool { return start.Trait == q.Trait })
		if q.Released && !at.IsZero() && !isSent {
			sent = append(sent, fleet.TraitStart{Trait: q.Trait, Age: now.Sub(at)})
		}
	}
	return sent
}

// reports are the crash reports of a message.
type reports struct {
	now   time.Time
	list  []fleet.CrashReport
	index map[*crash]int
}

// add adds suspicions, up to a number of suspects.
func (r *reports) add(list []*suspicion, limit int) {
	for _, suspect := range list {
		i, ok := r.index[suspect.crash]
		if !ok && len(r.list) >= maxSentCrashes {
			continue
		}
		if limit < len(suspect.requests) {
			return
		}
		if !ok {
			c := suspect.crash
			i = len(r.list)
			r.index[c] = i
			r.list = append(r.list, fleet.CrashReport{Server: c.lifetime.Server, Incarnation: c.lifetime.Incarnation, Age: r.now.Sub(c.at)})
		}
		suspect.sentAt = r.now
		limit -= len(suspect.requests)
		r.list[i].Suspects = append(r.list[i].Suspects, suspect.reports()...)
	}
}

func compareTraits(a, b fleet.Trait) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
}

// sentQuarantines returns those that changed lately, and the others in turn: with the
// least recently sent first.
func (s *Set) sentQuarantines(now time.Time) []fleet.Quarantine {
	var news, known []fleet.Trait
	for trait, q := range s.quarantines {
		switch {
		case now.Sub(q.changedAt) < relayPeriod:
			news = append(news, trait)
		case !q.released && now.Sub(q.sentAt) >= knownPeriod:
			known = append(known, trait)
		}
	}
	bySending := func(a, b fleet.Trait) int {
		if active := s.quarantines[a].isActive(now); active != s.quarantines[b].isActive(now) {
			if active {
				return -1
			}
			return 1
		}
		return cmp.Or(s.quarantines[a].sentAt.Compare(s.quarantines[b].sentAt), compareTraits(a, b))
	}
	slices.SortFunc(news, bySending)
	slices.SortFunc(known, bySending)
	var list []fleet.Quarantine
	for _, trait := range append(news[:min(len(news), maxSentNews)], known[:min(len(known), maxSentKnown)]...) {
		q := s.quarantines[trait]
		q.sentAt = now
		list = append(list, fleet.Quarantine{
			Trait: trait, Generation: q.generation, Age: now.Sub(q.decidedAt), Crashes: q.crashes, Released: q.released, With: q.with,
		})
	}
	return list
}

// Merge adds what another entry tells. It returns the changes of quarantines, and
// whether there is news that should be passed on soon.
func (s *Set) Merge(now time.Time, e fleet.CrashEvidence) (changes []Change, isNews bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range e.Starts {
		isNews = s.recordStart(now, start.Trait, now.Add(-max(start.Age, 0))) || isNews
	}
	for _, c := range e.Crashes {
		lifetime := notices.Lifetime{Server: c.Server, Incarnation: c.Incarnation}
		isNew, urgent := s.crashes.record(now, lifetime, now.Add(-max(c.Age, 0)), c.Suspects)
		s.undecided, isNews = s.undecided || isNew, isNews || urgent
		isNews = isNew && s.tellAgain(now, c.Suspects) || isNews
	}
	for _, q := range e.Quarantines {
		if change, ok := s.adopt(now, q); ok {
			changes, isNews = append(changes, change), true
		}
	}
	s.quarantined.Store(s.quarantines.countActive(now))
	return changes, isNews
}

// tellAgain makes the quarantines of suspects news again, because the entry that met the crash
// does not know them. It reports whether there are any.
func (s *Set) tellAgain(now time.Time, suspects []fleet.Suspect) bool {
	isNews := false
	for _, suspect := range suspects {
		if q := s.quarantines[suspect.Trait]; q != nil && q.isActive(now) && now.Sub(q.changedAt) >= relayPeriod {
			q.changedAt, isNews = now, true
		}
	}
	return isNews
}

// adopt applies the quarantine of a trait that another entry knows, and reports whether
// that changed which requests are refused here.
func (s *Set) adopt(now time.Time, other fleet.Quarantine) (Change, bool) {
	if other.Generation == 0 {
		return Change{}, false
	}
	decidedAt := now.Add(-max(other.Age, 0))
	known := s.quarantines[other.Trait]
	switch {
	case known == nil || known.isSupersededBy(other):
		return s.replace(now, known, other, decidedAt)
	case known.generation == other.Generation && !known.released && !other.Released:
		isWider := known.join(now, other, decidedAt)
		return known.change(other.Trait, Widened), isWider && known.isActive(now)
	case known.released && known.generation >= other.Generation && !other.Released && now.Sub(known.changedAt) >= relayPeriod:
		// The sender has missed the release.
		known.changedAt = now
		return Change{}, false
	default:
		return Change{}, false
	}
}

func (s *Set) replace(now time.Time, known *quarantine, other fleet.Quarantine, decidedAt time.Time) (Change, bool) {
	wasActive := known != nil && known.isActive(now)
	q := &quarantine{
		generation: other.Generation, with: other.With[:min(len(other.With), maxRivals)], decidedAt: decidedAt,
		crashes: other.Crashes, released: other.Released, changedAt: now,
	}
	if q.released {
		q.releasedAt = now
	}
	q.endReported = !q.released && !q.isActive(now)
	isKept := s.quarantines.put(other.Trait, q)
	s.undecided = true
	switch {
	case !isKept && q.isActive(now):
		return Change{}, false
	case q.isActive(now):
		return q.change(other.Trait, Adopted), true
	case wasActive && q.released:
		return Change{Trait: other.Trait, Reason: ReleasedElsewhere, Crashes: q.crashes}, true
	default:
		return Change{}, false
	}
}
