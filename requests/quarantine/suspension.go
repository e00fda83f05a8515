package quarantine

import "time"

const (
	// maxProgressGap is the longest time between two calls of Progress by a process that
	// runs.
	maxProgressGap = time.Second
	// resumePeriod is how long a process that was suspended may read what arrived
	// meanwhile.
	resumePeriod = time.Second
)

// Progress tells that the process runs. It is to be called several times within
// maxProgressGap. After a longer gap the process was suspended: begins of answers that it
// reads may be old and prove nothing for a while, and it decides nothing by itself until it
// knows the traits that are sound, as after its start.
func (s *Set) Progress(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOverdue(now) {
		s.startedAt, s.resumedAt = now, now
	}
	s.progressAt = now
}

func (s *Set) isOverdue(now time.Time) bool {
	return !s.progressAt.IsZero() && now.Sub(s.progressAt) > maxProgressGap
}

func (s *Set) mayReadOldData(now time.Time) bool {
	return s.isOverdue(now) || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumePeriod
}
