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
	maxSentCrashes  = 8
	maxSentSuspects = 64
	maxSentStarts   = 32
	// maxSentNews bounds the quarantines that changed lately in one message, and
	// maxSentKnown the others, which are for entries that have just started.
	maxSentNews  = 16
	maxSentKnown = 2
	// knownPeriod is the time between two messages with the same known quarantine.
	knownPeriod = time.Second
)

// Evidence returns what to tell other entries in the next message.
func (s *Set) Evidence(now time.Time) fleet.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := fleet.CrashEvidence{Quarantines: s.sentQuarantines(now)}
	starts := map[fleet.Trait]time.Time{}
	suspects := 0
	for _, c := range slices.Backward(s.crashes.byTime()) {
		if len(e.Crashes) == maxSentCrashes || suspects >= maxSentSuspects {
			break
		}
		report := s.report(now, c, starts, maxSentSuspects-suspects)
		if len(report.Suspects) > 0 {
			suspects += len(report.Suspects)
			e.Crashes = append(e.Crashes, report)
		}
	}
	newestFirst := func(a, b fleet.Trait) int {
		return cmp.Or(starts[b].Compare(starts[a]), compareParts(a, b))
	}
	sorted := slices.SortedFunc(maps.Keys(starts), newestFirst)
	for _, part := range sorted[:min(len(sorted), maxSentStarts)] {
		e.Starts = append(e.Starts, fleet.PartStart{Part: part, Age: now.Sub(s.starts.last(part))})
	}
	return e
}

// report returns what changed lately of a crash, with up to limit suspects: those first that
// are suspect in most crashes. It adds the parts with which an answer is known to have begun
// to starts, with the time of the change.
func (s *Set) report(now time.Time, c *crash, starts map[fleet.Trait]time.Time, limit int) fleet.CrashReport {
	report := fleet.CrashReport{Server: c.lifetime.Server, Incarnation: c.lifetime.Incarnation, Age: now.Sub(c.at)}
	var open []fleet.Trait
	for part, suspicion := range c.suspects {
		if now.Sub(suspicion.changedAt) >= relayPeriod {
			continue
		}
		if !s.starts.last(part).IsZero() {
			if starts[part].Before(suspicion.changedAt) {
				starts[part] = suspicion.changedAt
			}
		}
		if !suspicion.isSound {
			open = append(open, part)
		}
	}
	slices.SortFunc(open, func(a, b fleet.Trait) int {
		return cmp.Or(cmp.Compare(len(s.crashes.open[b]), len(s.crashes.open[a])), compareParts(a, b))
	})
	for _, part := range open {
		suspicion := c.suspects[part]
		for _, request := range suspicion.requests {
			if len(report.Suspects) < limit {
				report.Suspects = append(report.Suspects, fleet.Suspect{Part: part, Request: request, Position: suspicion.position})
			}
		}
	}
	return report
}

func compareParts(a, b fleet.Trait) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
}

// sentQuarantines returns those that changed lately, and the others in turn: with the
// least recently sent first.
func (s *Set) sentQuarantines(now time.Time) []fleet.Quarantine {
	var news, known []fleet.Trait
	for part, q := range s.quarantines {
		switch {
		case now.Sub(q.changedAt) < relayPeriod:
			news = append(news, part)
		case q.isActive(now) && now.Sub(q.sentAt) >= knownPeriod:
			known = append(known, part)
		}
	}
	bySending := func(a, b fleet.Trait) int {
		return cmp.Or(s.quarantines[a].sentAt.Compare(s.quarantines[b].sentAt), compareParts(a, b))
	}
	slices.SortFunc(news, bySending)
	slices.SortFunc(known, bySending)
	var list []fleet.Quarantine
	for _, part := range append(news[:min(len(news), maxSentNews)], known[:min(len(known), maxSentKnown)]...) {
		q := s.quarantines[part]
		q.sentAt = now
		list = append(list, fleet.Quarantine{
			Part: part, Generation: q.generation, Age: now.Sub(q.decidedAt), Crashes: q.crashes, Released: q.released, With: q.with,
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
		isNews = s.recordStart(now, start.Part, now.Add(-max(start.Age, 0))) || isNews
	}
	for _, c := range e.Crashes {
		lifetime := notices.Lifetime{Server: c.Server, Incarnation: c.Incarnation}
		isNew, urgent := s.crashes.record(now, lifetime, now.Add(-max(c.Age, 0)), c.Suspects)
		s.undecided, isNews = s.undecided || isNew, isNews || urgent
	}
	for _, q := range e.Quarantines {
		if change, ok := s.adopt(now, q); ok {
			changes, isNews = append(changes, change), true
		}
	}
	s.quarantined.Store(s.quarantines.countActive(now))
	return changes, isNews
}

// adopt applies the quarantine of a part that another entry knows, and reports whether
// that changed which requests are refused here.
func (s *Set) adopt(now time.Time, other fleet.Quarantine) (Change, bool) {
	if other.Generation == 0 {
		return Change{}, false
	}
	decidedAt := now.Add(-max(other.Age, 0))
	known := s.quarantines[other.Part]
	switch {
	case known == nil || known.isSupersededBy(other):
		return s.replace(now, known, other, decidedAt)
	case known.generation == other.Generation && !known.released && !other.Released:
		isWider := known.join(now, other, decidedAt)
		return known.change(other.Part, Widened), isWider && known.isActive(now)
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
	s.quarantines.put(other.Part, q)
	s.undecided = true
	switch {
	case q.isActive(now):
		return q.change(other.Part, Adopted), true
	case wasActive && q.released:
		return Change{Part: other.Part, Reason: ReleasedElsewhere, Crashes: q.crashes}, true
	default:
		return Change{}, false
	}
}
