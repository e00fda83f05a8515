package notices

import (
	"fmt"
	"time"
)

// openingWindow is the time after the first end of a pause within which other servers
// count as opening together with the first.
const openingWindow = time.Second

// Server is a server that could run a request if it accepted any.
type Server struct {
	Lifetime Lifetime
	// Slots is the number of requests that it runs at once.
	Slots int
	// LimitedUntil is when the limit that the server names permits the next request; zero
	// if it permits one now.
	LimitedUntil time.Time
}

// Closure describes servers none of which accepts requests from this entry.
type Closure struct {
	// Paused, Leaving and Limited count the servers by reason.
	Paused, Leaving, Limited int
	// OpensAt is when the first server opens; zero if all are leaving.
	OpensAt time.Time
	// Slots is the number of requests that the servers run at once that open first.
	Slots int
}

// String describes the closure for log lines and refusals.
func (c Closure) String() string {
	text := fmt.Sprintf("no server accepts requests from this entry: %d want a pause, %d are leaving", c.Paused, c.Leaving)
	if c.Limited > 0 {
		text += fmt.Sprintf(", %d are at the limits that they name", c.Limited)
	}
	return text
}

// Closure returns the closure of servers. It returns false if one of them accepts
// requests or if there are none.
func (s *Set) Closure(now time.Time, servers []Server) (Closure, bool) {
	if len(servers) == 0 {
		return Closure{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Closure
	for _, server := range servers {
		state := s.stateOf(now, server)
		switch state.Reason {
		case Open:
			return Closure{}, false
		case Leaving:
			c.Leaving++
			continue
		case Limited:
			c.Limited++
		case Paused:
			c.Paused++
		}
		if c.OpensAt.IsZero() || state.OpensAt.Before(c.OpensAt) {
			c.OpensAt = state.OpensAt
		}
	}
	for _, server := range servers {
		state := s.stateOf(now, server)
		if state.Reason == Paused && !state.OpensAt.After(c.OpensAt.Add(openingWindow)) {
			c.Slots += server.Slots
		}
	}
	return c, true
}

// stateOf returns the state of a server with regard to its announcements and its limit.
// The caller holds the lock.
func (s *Set) stateOf(now time.Time, server Server) State {
	var state State
	if a := s.byLifetime[server.Lifetime]; a != nil {
		state = a.state(now)
	}
	if state.Reason == Open && server.LimitedUntil.After(now) {
		return State{Reason: Limited, OpensAt: server.LimitedUntil}
	}
	return state
}
