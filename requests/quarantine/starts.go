package quarantine

import (
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// startRetention is the least time for which the begin of an answer is known, as long
	// as there are not too many. It covers the crashes that it refutes.
	startRetention = crashRetention + soundPeriod
	// maxStarts bounds each of the two generations of startTimes, in traits.
	maxStarts = 8192
)

// startTimes holds when an answer to a prompt with a trait last began. It keeps two
// generations and drops the older one when the newer one is full or old enough.
type startTimes struct {
	newer, older map[fleet.Trait]time.Time
	newerSince   time.Time
}

func newStartTimes() startTimes {
	return startTimes{newer: map[fleet.Trait]time.Time{}, older: map[fleet.Trait]time.Time{}}
}

// record stores the begin of an answer unless a later one is known. It reports whether
// it stored the begin.
func (s *startTimes) record(now time.Time, trait fleet.Trait, at time.Time) bool {
	if !at.After(s.last(trait)) {
		return false
	}
	s.expire(now)
	if _, ok := s.newer[trait]; !ok && len(s.newer) >= maxStarts {
		s.rotate(now)
	}
	if _, ok := s.newer[trait]; !ok {
		trait = kept(trait)
	}
	s.newer[trait] = at
	return true
}

func (s *startTimes) rotate(now time.Time) {
	s.older, s.newer, s.newerSince = s.newer, map[fleet.Trait]time.Time{}, now
}

// expire drops the older generation once all of its times are older than the retention.
func (s *startTimes) expire(now time.Time) {
	if len(s.newer)+len(s.older) == 0 {
		s.newerSince = now
		return
	}
	if age := now.Sub(s.newerSince); age > startRetention {
		s.rotate(now)
		if age > 2*startRetention {
			clear(s.older)
		}
	}
}

// last returns when an answer with the trait last began, or the zero time.
func (s *startTimes) last(trait fleet.Trait) time.Time {
	if at, ok := s.newer[trait]; ok {
		return at
	}
	return s.older[trait]
}
