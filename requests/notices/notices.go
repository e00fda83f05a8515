// Package notices keeps what backend servers announce about themselves in their
// answers: that they are leaving, and that they want no requests from this entry for
// some time. An announcement belongs to one lifetime of a server, so that a server
// that restarts and another server at the same address start without any. The package
// has no clock and does no I/O.
package notices

import (
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
)

const (
	// MaxPause bounds the pause that a server may ask for. One that wants a longer
	// pause is sent a single request after MaxPause and can ask again, so that a wrong
	// value cannot take a server out of use until it restarts.
	MaxPause = 10 * time.Minute
	// retention is how long the announcements of a server are kept after it was last
	// listed. A row may disappear and return within the same lifetime.
	retention = 10 * time.Minute
)

// Lifetime identifies one process of a backend server.
type Lifetime struct {
	Server      core.InstanceID
	Incarnation core.Incarnation
}

// Notice is what one answer of a server announces.
type Notice struct {
	// Leaving means that the server is leaving.
	Leaving bool
	// Pause is how long the server wants no requests from this entry; 0 if the answer
	// does not say so.
	Pause time.Duration
}

// Reason is why a server gets no requests.
type Reason uint8

// Values of Reason.
const (
	Open Reason = iota
	Paused
	Leaving
	// Limited means that the limit that the server names permits no request now.
	Limited
)

// String returns "open", "paused", "leaving" or "limited".
func (r Reason) String() string {
	switch r {
	case Paused:
		return "paused"
	case Leaving:
		return "leaving"
	case Limited:
		return "limited"
	default:
		return "open"
	}
}

// State is whether a server accepts requests from this entry.
type State struct {
	Reason Reason
	// OpensAt is when the server opens; zero unless Reason is Paused or Limited.
	OpensAt time.Time
}

// Change is what an announcement changed.
type Change struct {
	// StartsLeaving means that the server had not announced its leaving before.
	StartsLeaving bool
	// Pause is the bounded pause that the server asked for, or 0.
	Pause time.Duration
	// StartsPause means that the server was not paused before.
	StartsPause bool
}

// Set holds the announcements of all servers. It is safe for concurrent use.
type Set struct {
	// count is the number of announcements, so that the usual case of none needs no
	// lock.
	count atomic.Int64

	mu         sync.Mutex
	byLifetime map[Lifetime]*announcement
}

type announcement struct {
	leaving bool
	// pausedUntil is the end of the last pause, also after it has passed.
	pausedUntil time.Time
	// listedAt is when the server was last listed, or the time of the announcement.
	listedAt time.Time
}

// NewSet returns a Set without announcements.
func NewSet() *Set { return &Set{byLifetime: map[Lifetime]*announcement{}} }

// Record records the notice in an answer that was received at now. A shorter pause
// does not end a longer one that the server has asked for before: each refusal stands
// for itself, and answers may overtake each other.
func (s *Set) Record(now time.Time, server Lifetime, notice Notice) Change {
	if !notice.Leaving && notice.Pause <= 0 {
		return Change{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byLifetime[server]
	if a == nil {
		a = &announcement{}
		s.byLifetime[server] = a
		s.count.Add(1)
	}
	a.listedAt = now
	change := Change{StartsLeaving: notice.Leaving && !a.leaving}
	a.leaving = a.leaving || notice.Leaving
	if notice.Pause <= 0 {
		return change
	}
	change.Pause = min(notice.Pause, MaxPause)
	change.StartsPause = !now.Before(a.pausedUntil)
	if end := now.Add(change.Pause); end.After(a.pausedUntil) {
		a.pausedUntil = end
	}
	return change
}

// State returns whether a server accepts requests from this entry.
func (s *Set) State(now time.Time, server Lifetime) State {
	if s.count.Load() == 0 {
		return State{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byLifetime[server]
	if a == nil {
		return State{}
	}
	return a.state(now)
}

func (a *announcement) state(now time.Time) State {
	switch {
	case a.leaving:
		return State{Reason: Leaving}
	case now.Before(a.pausedUntil):
		return State{Reason: Paused, OpensAt: a.pausedUntil}
	default:
		return State{}
	}
}

// PauseEnd returns when the last pause of a server ended or ends, or the zero time.
func (s *Set) PauseEnd(server Lifetime) time.Time {
	if s.count.Load() == 0 {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byLifetime[server]; a != nil {
		return a.pausedUntil
	}
	return time.Time{}
}

// IsEmpty reports whether there is no announcement of any server.
func (s *Set) IsEmpty() bool { return s.count.Load() == 0 }

// Sweep drops the announcements of servers that have not been listed for the
// retention time, and ended pauses of that age. It returns the number of servers that
// get no requests.
func (s *Set) Sweep(now time.Time, isListed func(Lifetime) bool) (closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, a := range s.byLifetime {
		// Without a start time a restart cannot be told, so the announcement expires.
		if server.Incarnation != 0 && isListed(server) {
			a.listedAt = now
		}
		expired := now.Sub(a.listedAt) > retention || !a.leaving && now.Sub(a.pausedUntil) > retention
		switch {
		case expired && a.state(now).Reason != Paused:
			delete(s.byLifetime, server)
			s.count.Add(-1)
		case a.state(now).Reason != Open:
			closed++
		}
	}
	return closed
}
