package fair

import (
	"time"

	"currantusher.dev/core"
)

func (s *state) setCapacity(now time.Time, capacity int) {
	switch {
	case capacity > 0:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero():
		s.idleSince = now
	}
	if capacity > s.capacity && s.window >= float64(s.capacity) {
		s.window = float64(capacity)
	}
	s.capacity = capacity
}

// isDown reports whether no backend server takes requests, and none is expected
// to within the configured time.
func (s *state) isDown(now time.Time) bool {
	if s.limit() > 0 {
		return false
	}
	return s.config.OutageWait <= 0 || s.idleSince.IsZero() || now.Sub(s.idleSince) >= s.config.OutageWait
}

// limit is how many requests may run at once: the capacity as far as it is
// known, and the window that refusals of full backend servers teach.
func (s *state) limit() int {
	if s.capacity <= 0 {
		return 0
	}
	return max(1, min(int(s.window), s.capacity))
}

// narrow reduces the window after a refusal, at most once in a running time.
func (s *state) narrow(now time.Time) {
	if now.Sub(s.narrowed) < s.hold {
		return
	}
	s.narrowed = now
	s.window = max(1, min(s.window, float64(s.capacity))*windowDecrease)
}

// widen raises the window by one in about a running time.
func (s *state) widen() {
	if s.window < float64(s.capacity) {
		s.window += 1 / max(s.window, 1)
	}
}

// wait estimates how long the request at index at of a team's queue waits,
// from the drain rate and the team's share among the teams that wait now.
func (s *state) wait(owner *team, at int) time.Duration {
	limit := s.limit()
	if limit == 0 {
		return s.config.MaxRetryAfter
	}
	if s.running+s.waiting < limit {
		return 0
	}
	weights := owner.weight
	for _, other := range s.backlog {
		if other != owner {
			weights += other.weight
		}
	}
	slots := float64(at+1) * weights / owner.weight
	slots = min(slots, float64(s.waiting+1))
	return time.Duration(slots / float64(limit) * float64(s.hold))
}

// isHopeless reports whether the wait, scaled by margin, and a running time
// are beyond the deadline.
func (s *state) isHopeless(now time.Time, owner *team, item Request, at int, margin float64) bool {
	if item.Deadline.IsZero() {
		return false
	}
	left := item.Deadline.Sub(now)
	wait := s.wait(owner, at)
	if wait == 0 {
		return left <= 0
	}
	needed := margin*float64(wait) + startMargin*float64(s.hold)
	return needed >= float64(left)
}

// missesObjective reports whether a request that would wait behind others gets
// its place after its objective. While all servers refuse for a moment nothing
// is known of the wait.
func (s *state) missesObjective(now time.Time, item Request) bool {
	if item.Late || item.Objective.IsZero() || s.limit() == 0 {
		return false
	}
	ahead := s.running + s.inTime() + 1 - s.limit()
	if ahead <= 0 {
		return false
	}
	wait := time.Duration(float64(ahead) / float64(s.limit()) * float64(s.hold))
	return now.Add(wait).After(item.Objective)
}

// inTime counts the waiting requests that go before late ones.
func (s *state) inTime() int {
	count := 0
	for _, owner := range s.backlog {
		for _, t := range owner.waiting {
			if t.item.Late {
				break
			}
			count++
		}
	}
	return count
}

// isTooLate reports whether a request that others wait behind could no longer
// run to its end.
func (s *state) isTooLate(now time.Time, item Request) bool {
	if item.Deadline.IsZero() {
		return false
	}
	left := item.Deadline.Sub(now)
	return left <= 0 || s.waiting > 0 && float64(left) <= startMargin*float64(s.hold)
}

// retryAfter is the time in which the team's queue drains, with jitter.
func (s *state) retryAfter(name core.Team) time.Duration {
	owner := s.team(name)
	drain := s.wait(owner, len(owner.waiting))
	drain = min(max(drain, s.config.MinRetryAfter), s.config.MaxRetryAfter)
	return drain + time.Duration(s.random.Float64()*retryJitter*float64(drain))
}
