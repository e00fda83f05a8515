package quarantine

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core/fleet"
)

func (s *simulation) isLarge() bool { return len(s.entries)-1 > simFanout }

func (s *simulation) settle() time.Duration {
	if s.isLarge() {
		return time.Second
	}
	return simRound
}

func (e *simEntry) isSuspended(now time.Time) bool { return now.Before(e.suspendedUntil) }

func (e *simEntry) isCutOff(now time.Time) bool { return now.Before(e.cutUntil) }

func (e *simEntry) isInTouch(now time.Time) bool { return !now.Before(e.cutUntil.Add(simRejoin)) }

func (s *simulation) decide(e *simEntry) {
	if e.isSuspended(s.now) {
		return
	}
	e.set.Progress(s.now)
	changes := e.set.Decide(s.now, s.settle())
	s.apply(e, changes)
	if len(changes) > 0 {
		s.sendSoon(e)
	}
	if s.onStep != nil {
		s.onStep(e)
	}
}

// apply recalls the waiting requests with a part that has become quarantined.
func (s *simulation) apply(e *simEntry, changes []Change) {
	for _, change := range changes {
		isDeadly := s.deadlyRequests[change.Trait.ID] || slices.ContainsFunc(s.config.deadly, func(d simDeadly) bool { return d.id == change.Trait.ID })
		if change.Until.IsZero() {
			if since, ok := e.quarantinedSince[change.Trait]; ok {
				s.endSoundQuarantine(change.Trait, since)
				delete(e.quarantinedSince, change.Trait)
			}
			continue
		}
		for _, a := range sortedAttempts(e.waiting) {
			if change.AppliesTo(a.traits) {
				s.leave(a)
				a.done = true
				s.refuse(a)
			}
		}
		if _, known := e.quarantinedSince[change.Trait]; !isDeadly && !s.holdsDeadly(change.With) && !known {
			s.result.soundQuarantines++
			e.quarantinedSince[change.Trait] = s.now
		}
	}
}

// refuse counts a refused attempt.
func (s *simulation) refuse(a *simAttempt) {
	switch {
	case a.deadly >= 0:
	case a.entry.isInTouch(s.now):
		s.result.soundRefused++
	default:
		s.result.refusedApart++
	}
}

func (s *simulation) holdsDeadly(parts []fleet.Trait) bool {
	return slices.ContainsFunc(parts, func(p fleet.Trait) bool {
		return slices.ContainsFunc(s.config.deadly, func(d simDeadly) bool { return d.id == p.ID })
	})
}

func sortedAttempts(set map[*simAttempt]bool) []*simAttempt {
	list := make([]*simAttempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *simAttempt) int { return compareStrings(a.id, b.id) })
	return list
}

func (s *simulation) endSoundQuarantine(part fleet.Trait, since time.Time) {
	length := s.now.Sub(since)
	if part.IsRequest() {
		s.result.wrongRequests[part.ID] = max(s.result.wrongRequests[part.ID], length)
		return
	}
	s.result.longestSound = max(s.result.longestSound, length)
	s.result.wrongParts[part.ID] = max(s.result.wrongParts[part.ID], length)
}

func (s *simulation) sendSoon(e *simEntry) {
	if e.sendPlanned {
		return
	}
	e.sendPlanned = true
	s.after(max(0, simUrgentDelay-s.now.Sub(e.lastSent)), func() {
		e.sendPlanned = false
		s.sendRound(e)
	})
}

// sendRound sends a message as members/gossip does.
func (s *simulation) sendRound(e *simEntry) {
	if e.isSuspended(s.now) {
		return
	}
	e.lastSent = s.now
	evidence := e.set.Evidence(s.now)
	targets := s.targets(e)
	s.result.messages += len(targets)
	if evidence.IsEmpty() {
		return
	}
	s.measure(evidence, len(targets))
	for _, target := range targets {
		if s.random.Float64() < s.config.loss || e.isCutOff(s.now) || target.isCutOff(s.now) {
			continue
		}
		delay := s.between(time.Millisecond, 5*time.Millisecond)
		if target.dataCentre != e.dataCentre {
			delay = s.between(5*time.Millisecond, 30*time.Millisecond)
		}
		s.after(delay, func() { s.receive(target, evidence) })
	}
}

func (s *simulation) measure(evidence fleet.CrashEvidence, targets int) {
	if s.isLarge() && s.random.IntN(10) > 0 {
		return
	}
	encoded, err := cbor.Marshal(evidence)
	if err != nil {
		panic(err)
	}
	s.result.maxMessageBytes = max(s.result.maxMessageBytes, len(encoded))
	if s.isLarge() {
		targets *= 10
	}
	s.result.messageBytes += len(encoded) * targets
	if s.now.Sub(s.result.lastCrash) > simCalmDelay {
		s.result.calmBytes += len(encoded) * targets
	}
}

func (s *simulation) receive(e *simEntry, evidence fleet.CrashEvidence) {
	if e.isSuspended(s.now) {
		// The message waits in the socket's buffer.
		s.after(e.suspendedUntil.Sub(s.now), func() { s.receive(e, evidence) })
		return
	}
	changes, isNews := e.set.Merge(s.now, evidence)
	s.apply(e, changes)
	if isNews {
		s.result.news++
		if s.isLarge() {
			s.sendSoon(e)
		}
	}
}

func (s *simulation) targets(e *simEntry) []*simEntry {
	if !s.isLarge() {
		return slices.DeleteFunc(slices.Clone(s.entries), func(o *simEntry) bool { return o == e })
	}
	var targets []*simEntry
	for len(targets) < simLocalFanout {
		other := s.entries[s.random.IntN(len(s.entries))]
		if other != e && other.dataCentre == e.dataCentre && !slices.Contains(targets, other) {
			targets = append(targets, other)
		}
	}
	for {
		other := s.entries[s.random.IntN(len(s.entries))]
		if other.dataCentre != e.dataCentre {
			return append(targets, other)
		}
	}
}
