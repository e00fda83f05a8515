package fair

import (
	"math"
	"time"

	"currantusher.dev/core"
)

// onTimeReserve is the fraction of the slots that late requests may not use.
const onTimeReserve = 0.1

// earliestReturnFraction is the part of the time for which callers wait after which
// refused requests come back that can no longer meet their objective.
const earliestReturnFraction = 0.5

func (s *state) setCapacity(now time.Time, capacity int) {
	switch {
	case capacity > 0:
		s.noCapacitySince = time.Time{}
	case s.noCapacitySince.IsZero():
		s.noCapacitySince = now
	}
	if capacity > s.capacity && s.window >= float64(s.capacity) {
		s.window = float64(capacity)
	}
	s.capacity = capacity
}

// isUnavailable reports whether requests are refused instead of queued: no server accepts
// one, although this entry may have requests there, or there has been no capacity for OutageWait.
func (s *state) isUnavailable(now time.Time) bool {
	if s.closure != nil {
		return true
	}
	if s.limit() > 0 {
		return false
	}
	return s.config.OutageWait <= 0 || s.noCapacitySince.IsZero() || now.Sub(s.noCapacitySince) >= s.config.OutageWait
}

// limit is the number of requests that may run at once: the smaller of the
// reported capacity and the window, which adapts to refusals by full backend
// servers.
func (s *state) limit() int {
	if s.capacity <= 0 {
		return 0
	}
	return max(1, min(int(s.window), s.capacity))
}

// lateLimit is the number of requests at which a late one gets no slot. The rest of
// the slots is for requests that arrive next and can meet their objective.
func (s *state) lateLimit() int {
	limit := s.limit()
	return limit - int(math.Round(onTimeReserve*float64(limit)))
}

// shrinkWindow reduces the window after a refusal, at most once per mean run
// time.
func (s *state) shrinkWindow(now time.Time) {
	if now.Sub(s.lastShrink) < s.meanRunTime {
		return
	}
	s.lastShrink = now
	s.window = max(1, min(s.window, float64(s.capacity))*windowDecreaseFactor)
}

// growWindow raises the window by about one per mean run time.
func (s *state) growWindow() {
	if s.window < float64(s.capacity) {
		s.window += 1 / max(s.window, 1)
	}
}

// estimateWait estimates how long the request at an index of a team's queue
// waits, from the drain rate and the team's weight relative to all teams with
// waiting requests.
func (s *state) estimateWait(owner *team, index int) time.Duration {
	limit := s.limit()
	if limit == 0 {
		return s.config.MaxRetryAfter
	}
	if s.running+s.waiting < limit {
		return 0
	}
	weights := owner.weight
	for _, other := range s.waitingTeams {
		if other != owner {
			weights += other.weight
		}
	}
	slots := float64(index+1) * weights / owner.weight
	slots = min(slots, float64(s.waiting+1))
	return time.Duration(slots / float64(limit) * float64(s.meanRunTime))
}

// missesDeadline reports whether the estimated wait, multiplied by margin, and
// startMargin mean run times exceed the time to the deadline.
func (s *state) missesDeadline(now time.Time, owner *team, request Request, index int, margin float64) bool {
	if request.Deadline.IsZero() {
		return false
	}
	remaining := request.Deadline.Sub(now)
	wait := s.estimateWait(owner, index)
	if wait == 0 {
		return remaining <= 0
	}
	needed := margin*float64(wait) + startMargin*float64(s.meanRunTime)
	return needed >= float64(remaining)
}

// missesObjective reports whether a request that has to wait would get its slot
// after StartBy. It returns false while there is no capacity, since the wait
// cannot be estimated then.
func (s *state) missesObjective(now time.Time, request Request) bool {
	if request.Late || request.StartBy.IsZero() || s.limit() == 0 {
		return false
	}
	ahead := s.running + s.countNotLate() + 1 - s.limit()
	if ahead <= 0 {
		return false
	}
	wait := time.Duration(float64(ahead) / float64(s.limit()) * float64(s.meanRunTime))
	return now.Add(wait).After(request.StartBy)
}

// countNotLate counts the waiting requests that are not late.
func (s *state) countNotLate() int {
	count := 0
	for _, owner := range s.waitingTeams {
		for _, t := range owner.waiting {
			if t.request.Late {
				break
			}
			count++
		}
	}
	return count
}

// cannotFinish reports whether a request is past its deadline or, while other
// requests are waiting, has too little time left to run to completion.
func (s *state) cannotFinish(now time.Time, request Request) bool {
	if request.Deadline.IsZero() {
		return false
	}
	remaining := request.Deadline.Sub(now)
	return remaining <= 0 || s.waiting > 0 && float64(remaining) <= startMargin*float64(s.meanRunTime)
}

// retryAfterFor returns when the caller of a refused request should send it again. A
// request that can no longer meet its objective is worth the same whenever it is served
// before its deadline. Its return is therefore spread over the later part of the time
// for which callers wait: an overload or outage is then more likely over, and the
// callers refused in it do not come back together.
func (s *state) retryAfterFor(now time.Time, request Request) time.Duration {
	delay := s.retryAfter(request.Team)
	longest := time.Duration(s.config.MaxWaitFraction * float64(s.callerDeadline(request).Sub(now)))
	missesObjective := request.Late || !request.StartBy.IsZero() && now.Add(delay).After(request.StartBy)
	if !missesObjective || longest <= delay {
		return delay
	}
	if s.shed.enabled {
		return s.shedReturn(now, request, longest)
	}
	earliest := max(delay, time.Duration(earliestReturnFraction*float64(longest)))
	return earliest + time.Duration(s.random.Float64()*float64(longest-earliest))
}

// callerDeadline returns when the caller of a request gives up. Queues that do not shed load
// take the deadline of the request for it.
func (s *state) callerDeadline(request Request) time.Time {
	if s.shed.enabled && !request.CallerDeadline.IsZero() {
		return request.CallerDeadline
	}
	return request.Deadline
}

// retryAfter estimates the time until the team's queue is drained, with jitter.
func (s *state) retryAfter(name core.Team) time.Duration {
	owner := s.team(name)
	delay := s.estimateWait(owner, len(owner.waiting))
	delay = min(max(delay, s.config.MinRetryAfter), s.config.MaxRetryAfter)
	return delay + time.Duration(s.random.Float64()*retryJitterFraction*float64(delay))
}
