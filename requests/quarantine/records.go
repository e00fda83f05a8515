package quarantine

import (
	"maps"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// MergeRecords adds stored quarantines, when the store's clock showed storeMs. isNews tells
// whether other entries are to hear of them soon; an entry that starts reads what the others
// know. It returns the changes of quarantines.
func (s *Set) MergeRecords(now time.Time, storeMs int64, records []Record, isNews bool) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for _, r := range records {
		stored := r.quarantine(now, storeMs)
		if stored.isExpired(now) {
			continue
		}
		if change, ok := s.adoptRecord(now, r, stored, isNews); ok {
			changes = append(changes, change)
		}
	}
	s.quarantined.Store(s.quarantines.countActive(now))
	return changes
}

func (s *Set) adoptRecord(now time.Time, r Record, stored *quarantine, isNews bool) (Change, bool) {
	known := s.quarantines[r.Trait]
	if known != nil && known.generation <= stored.generation && !known.released && known.decidedAt.After(stored.finishedAt()) {
		// It was decided without knowing the stored one, which had ended.
		known.generation, known.changedAt = max(stored.generation+1, stored.generation), now
		return Change{}, false
	}
	change, ok := s.adopt(now, fleet.Quarantine{
		Trait: r.Trait, Generation: r.Generation, Age: now.Sub(stored.decidedAt), Crashes: r.Crashes, Released: r.Released, With: r.With,
	})
	q := s.quarantines[r.Trait]
	if q == nil || q.generation != stored.generation || q.released != stored.released {
		return change, ok
	}
	if q != known {
		q.releasedAt = stored.releasedAt
		if !isNews {
			q.changedAt = now.Add(-relayPeriod)
		}
	}
	if stored.lifted && !q.lifted {
		q.lifted = true
		s.refuteLifted(now, r.Trait, stored.releasedAt)
	}
	return change, ok
}

// refuteLifted makes the lift of a quarantine count like an answer that began with the trait
// then: the evidence so far does not lead to another quarantine.
func (s *Set) refuteLifted(now time.Time, trait fleet.Trait, at time.Time) {
	s.startsOf(trait).record(now, trait, at)
	s.crashes.refute(now, trait, func(s *suspicion) bool { return provesSound(at, s.crash.at) })
}

// Unstored returns what is to be written to the store so that it holds the newest quarantines,
// as many as a Set keeps, and the keys of records that are to be removed. stored is what the
// store holds, by key.
func (s *Set) Unstored(now time.Time, storeMs int64, stored map[string]Record) (set []Record, remove []string) {
	wanted, written := s.wanted(now, storeMs, stored)
	for key := range stored {
		if _, ok := wanted[key]; !ok {
			remove = append(remove, key)
		}
	}
	for key := range written {
		if r, ok := wanted[key]; ok {
			set = append(set, r)
		}
	}
	slices.SortFunc(set, func(a, b Record) int { return compareTraits(a.Trait, b.Trait) })
	slices.Sort(remove)
	return set, remove
}

// wanted returns the records that are to be in the store, and the keys of those that it does
// not hold. All entries that know the same quarantines choose the same ones.
func (s *Set) wanted(now time.Time, storeMs int64, stored map[string]Record) (wanted map[string]Record, written map[string]bool) {
	wanted, written = map[string]Record{}, map[string]bool{}
	for key, r := range stored {
		if !r.IsExpired(storeMs) {
			wanted[key] = r
		}
	}
	s.mu.Lock()
	for trait, q := range s.quarantines {
		key := RecordKey(trait)
		known, ok := wanted[key]
		if !q.isExpired(now) && (!ok || q.saysMore(known.quarantine(now, storeMs))) {
			wanted[key], written[key] = q.record(trait, now, storeMs), true
		}
	}
	s.mu.Unlock()
	if len(wanted) > maxQuarantines {
		kept := quarantineTable{}
		for _, r := range wanted {
			kept[r.Trait] = r.quarantine(now, storeMs)
		}
		kept.shrink(now)
		maps.DeleteFunc(wanted, func(_ string, r Record) bool { return kept[r.Trait] == nil })
	}
	return wanted, written
}
