package fair

import (
	"cmp"
	"time"

	"currantusher.dev/core"
)

// returnFraction is the fraction of the slots that callers who return after a closure
// may use; the rest is for new callers.
const returnFraction = 0.5

// Closure says that no backend server that could serve a request accepts one: each has
// announced that it accepts none, or names a limit that permits none now.
type Closure struct {
	// Code is the result code of refusals; 0 means core.CodeServerClosed.
	Code core.Code
	// OpensAt is when the first server accepts requests again; zero if unknown.
	OpensAt time.Time
	// Slots is the number of requests that this entry may then start at once.
	Slots int
	// Interval is the mean time between two requests that this entry may start; 0 means
	// that it depends on Slots and on how long requests run.
	Interval time.Duration
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
	return core.NewRefusal(cmp.Or(closure.Code, core.CodeServerClosed), s.returnDelay(now, closure, request), "%s", closure.Detail)
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
	interval := closure.Interval
	if interval <= 0 {
		interval = s.meanRunTime / time.Duration(max(closure.Slots, 1))
	}
	s.nextReturn = turn.Add(time.Duration(float64(interval) / returnFraction))
	return delay
}
