package fair

import (
	"time"

	"currantusher.dev/core"
)

// returnFraction is the fraction of the slots that callers who return after a closure
// may use; the rest is for new callers.
const returnFraction = 0.5

// Closure says that all backend servers that could serve a request have announced
// that they accept none.
type Closure struct {
	// OpensAt is when the first server accepts requests again; zero if unknown.
	OpensAt time.Time
	// Slots is the number of requests that this entry may then start at once.
	Slots int
	// Detail names the reason for logs and refusals.
	Detail string
}

// Refuse returns the refusal of a request all of whose servers are closed. It tells
// the caller to return after the first server opens. Returns are spread.
func (q *Queue) Refuse(closure Closure, request Request) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.refuseClosed(q.config.Now(), closure, request)
}

func (s *state) refuseClosed(now time.Time, closure Closure, request Request) error {
	return core.NewRefusal(core.CodeServerClosed, s.returnDelay(now, closure, request), "%s", closure.Detail)
}

// setClosure sets the closure after setCapacity. An outage starts at the end of a
// closure if the servers that have opened have no free slot yet.
func (s *state) setClosure(now time.Time, closure *Closure) {
	if s.closure != nil && closure == nil && s.capacity <= 0 {
		s.noCapacitySince = now
	}
	s.closure = closure
}

// hasReopened reports whether the first server has opened since the closure was set.
func (s *state) hasReopened(now time.Time) bool {
	return s.closure != nil && !s.closure.OpensAt.IsZero() && !now.Before(s.closure.OpensAt)
}

// returnDelay returns when the caller of a request that is refused because of a
// closure should send it again. Callers return one after the other, at a fraction of
// the rate at which the servers can start requests. One that waits less long returns at
// a random time between the opening and the end of its wait. One that returns before
// the opening in any case takes no turn.
func (s *state) returnDelay(now time.Time, closure Closure, request Request) time.Duration {
	opensAt := closure.OpensAt
	if !opensAt.After(now) {
		opensAt = now.Add(s.config.MaxRetryAfter)
	}
	opensIn := opensAt.Sub(now)
	longest := time.Duration(s.config.MaxWaitFraction * float64(request.Deadline.Sub(now)))
	if !request.Deadline.IsZero() && s.config.MaxWaitFraction > 0 && longest <= opensIn {
		return opensIn
	}
	turn := opensAt
	if s.nextReturn.After(turn) {
		turn = s.nextReturn
	}
	delay := turn.Sub(now)
	if !request.Deadline.IsZero() && s.config.MaxWaitFraction > 0 && delay > longest {
		return opensIn + time.Duration(s.random.Float64()*float64(longest-opensIn))
	}
	interval := float64(s.meanRunTime) / (returnFraction * float64(max(closure.Slots, 1)))
	s.nextReturn = turn.Add(time.Duration(interval))
	return delay
}
