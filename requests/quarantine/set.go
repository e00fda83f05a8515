package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// Set holds the evidence on prompt parts and the quarantined traits of one entry. It is
// safe for concurrent use.
type Set struct {
	// quarantined is the number of quarantined traits, so that the usual case of none
	// needs no lock.
	quarantined atomic.Int64

	mu sync.Mutex
	// partStarts and requestStarts are apart, so that the many whole requests do not displace
	// those of parts.
	partStarts    startTimes
	requestStarts startTimes
	crashes       crashLog
	quarantines   quarantineTable
	// startedAt is when the first decision was due.
	startedAt time.Time
	// progressAt is when Progress was last called, and resumedAt when it was called after a
	// suspension.
	progressAt, resumedAt time.Time
	// undecided is set while evidence may lead to a decision.
	undecided bool
}

// NewSet returns a Set without evidence.
func NewSet() *Set {
	s := &Set{partStarts: newStartTimes(), requestStarts: newStartTimes(), quarantines: quarantineTable{}}
	s.crashes = newCrashLog(s.isSound)
	return s
}

// Quarantined returns the first one of a request's traits for which the request is to be
// refused, with the end of its quarantine.
func (s *Set) Quarantined(now time.Time, traits []fleet.Trait) (trait fleet.Trait, until time.Time, found bool) {
	if s.quarantined.Load() == 0 {
		return fleet.Trait{}, time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range traits {
		if q := s.quarantines[p]; q != nil && q.appliesTo(now, traits) {
			return p, q.end(), true
		}
	}
	return fleet.Trait{}, time.Time{}, false
}

// Started records that an answer to a request with these traits has begun, which proves
// them sound. It reports whether the other entries should know soon, because one of the
// traits was suspect or quarantined.
func (s *Set) Started(now time.Time, traits []fleet.Trait) (urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range traits {
		urgent = s.recordStart(now, p, now) || urgent
	}
	return urgent
}

// recordStart records when an answer with a trait began, and reports whether the trait
// was suspect in several crashes or quarantined until now.
func (s *Set) recordStart(now time.Time, p fleet.Trait, at time.Time) (urgent bool) {
	if s.mayReadOldData(now) {
		return false
	}
	s.startsOf(p).record(now, p, at)
	if len(s.quarantines) > 0 {
		q := s.quarantines[p]
		urgent = q != nil && !q.released && provesSound(at, q.decidedAt)
	}
	if len(s.crashes.open) > 0 && len(s.crashes.open[p]) > 0 {
		refuted := s.crashes.refute(now, p, func(s *suspicion) bool { return provesSound(at, s.crash.at) })
		urgent = urgent || len(refuted) >= urgentSuspicions
		s.undecided = s.undecided || len(refuted) > 0
	}
	s.undecided = s.undecided || urgent
	return urgent
}

// Crashed records the crash of a server with the requests that were waiting there. It
// reports whether that is new evidence against a trait, which the other entries should know
// soon.
func (s *Set) Crashed(now time.Time, server notices.Lifetime, at time.Time, waiting []fleet.Suspect) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew, _ = s.crashes.record(now, server, at, waiting)
	s.undecided = s.undecided || isNew
	return isNew
}

// Counts describes the size of a Set, for metrics.
type Counts struct {
	Quarantined, Crashes int
}

// Counts returns the number of quarantined traits and of crashes that count as evidence.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Quarantined: int(s.quarantined.Load()), Crashes: len(s.crashes.crashes)}
}

// isSound reports whether a trait is no suspect in a crash at a time: an answer began
// with it shortly before the crash or later.
func (s *Set) isSound(p fleet.Trait, crashedAt time.Time) bool {
	return provesSound(s.lastStart(p), crashedAt)
}

// lastStart returns when an answer with a trait is known to have begun last, or the zero
// time.
func (s *Set) lastStart(t fleet.Trait) time.Time { return s.startsOf(t).last(t) }

func (s *Set) startsOf(t fleet.Trait) *startTimes {
	if t.IsRequest() {
		return &s.requestStarts
	}
	return &s.partStarts
}

// provesSound reports whether a trait whose answer began at a time is no suspect in a
// crash.
func provesSound(startedAt, crashedAt time.Time) bool {
	return startedAt.After(crashedAt.Add(-soundPeriod))
}
