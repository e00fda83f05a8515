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
}

// Closure describes servers none of which accepts requests from this entry.
type Closure struct {
	// Paused and Leaving count the servers by reason.
	Paused, Leaving int
	// OpensAt is when the first pause ends; zero if no server is paused.
	OpensAt time.Time
	// Slots is the number of requests that the servers run at once that open first.
	Slots int
}

// String describes the closure for log lines and refusals.
func (c Closure) String() string {
	return fmt.Sprintf("no server accepts requests from this entry: %d want a pause, %d are leaving", c.Paused, c.Leaving)
}

// Closure returns the closure of servers. It returns false if one of them accepts
// requests or if there are none.
func (s *Set) Closure(now time.Time, servers []Server) (Closure, bool) {
	if s.IsEmpty() || len(servers) == 0 {
		return Closure{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Closure
	for _, server := range servers {
		a := s.byLifetime[server.Lifetime]
		if a == nil {
			return Closure{}, false
		}
		state := a.state(now)
		switch state.Reason {
		case Open:
			return Closure{}, false
		case Leaving:
			c.Leaving++
			continue
		}
		c.Paused++
		if c.OpensAt.IsZero() || state.OpensAt.Before(c.OpensAt) {
			c.OpensAt = state.OpensAt
		}
	}
	for _, server := range servers {
		state := s.byLifetime[server.Lifetime].state(now)
		if state.Reason == Paused && !state.OpensAt.After(c.OpensAt.Add(openingWindow)) {
			c.Slots += server.Slots
		}
	}
	return c, true
}
