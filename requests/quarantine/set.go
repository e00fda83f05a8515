package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// Set holds the evidence on prompt parts and the quarantined parts of one entry. It is
// safe for concurrent use.
type Set struct {
	// quarantined is the number of quarantined parts, so that the usual case of none
	// needs no lock.
	quarantined atomic.Int64

	mu          sync.Mutex
	starts      startTimes
	crashes     crashLog
	quarantines quarantineTable
	// undecided is set while evidence may lead to a decision.
	undecided bool
}

// NewSet returns a Set without evidence.
func NewSet() *Set {
	return &Set{starts: newStartTimes(), crashes: crashLog{}, quarantines: quarantineTable{}}
}

// Quarantined returns the first quarantined one of the parts with the end of its
// quarantine.
func (s *Set) Quarantined(now time.Time, parts []fleet.PromptPart) (part fleet.PromptPart, until time.Time, found bool) {
	if s.quarantined.Load() == 0 {
		return fleet.PromptPart{}, time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		if q := s.quarantines[p]; q != nil && q.isActive(now) {
			return p, q.end(), true
		}
	}
	return fleet.PromptPart{}, time.Time{}, false
}

// Started records that an answer to a prompt with these parts has begun, which proves
// them sound. It reports whether the other entries should know soon, because one of the
// parts was suspect or quarantined.
func (s *Set) Started(now time.Time, parts []fleet.PromptPart) (urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		urgent = s.recordStart(now, p, now) || urgent
	}
	return urgent
}

// recordStart records when an answer with a part began, and reports whether the part
// was suspect or quarantined until now.
func (s *Set) recordStart(now time.Time, p fleet.PromptPart, at time.Time) bool {
	cleared := false
	if q := s.quarantines[p]; q != nil && !q.released && at.After(q.decidedAt.Add(-soundPeriod)) {
		cleared = true
	}
	for _, c := range s.crashes {
		if _, ok := c.suspects[p]; ok && !s.isSound(p, c.at) && at.After(c.at.Add(-soundPeriod)) {
			c.changedAt = now
			cleared = true
		}
	}
	s.starts.record(now, p, at)
	s.undecided = s.undecided || cleared
	return cleared
}

// Crashed records the crash of a server with the requests that were waiting there. It
// reports whether that is new evidence.
func (s *Set) Crashed(now time.Time, server notices.Lifetime, at time.Time, waiting []fleet.Suspect) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.crashes.record(now, server, at, waiting)
	s.undecided = s.undecided || changed
	return changed
}

// Counts describes the size of a Set, for metrics.
type Counts struct {
	Quarantined, Crashes int
}

// Counts returns the number of quarantined parts and of crashes that count as evidence.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Quarantined: int(s.quarantined.Load()), Crashes: len(s.crashes)}
}

// isSound reports whether a part is no suspect in a crash at a time: an answer began
// with it shortly before the crash or later.
func (s *Set) isSound(p fleet.PromptPart, crashedAt time.Time) bool {
	return s.starts.last(p).After(crashedAt.Add(-soundPeriod))
}
