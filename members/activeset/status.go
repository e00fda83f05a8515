package activeset

import "time"

// Timing holds the times of a Status.
type Timing struct {
	// Hold is how long an entry that is no longer selected stays active, since callers
	// may still use an earlier response of the directory.
	Hold time.Duration
	// Settle is how long an entry is active before it uses its share of common limits.
	// Meanwhile the other entries learn of it and reduce their own shares.
	Settle time.Duration
}

// Status tracks whether this entry takes callers' requests, and whether it may use
// its share of the limits that the active entries divide among them. The zero value
// is a standby entry. It is not safe for concurrent use.
type Status struct {
	isActive    bool
	holdsShares bool
	// selectedAt is when the entry was last selected, and settlingSince when the
	// time began after which it holds shares.
	selectedAt    time.Time
	settlingSince time.Time
}

// Update records whether the entry is selected now, and whether it is isolated: it
// reaches so few of the others that they cannot learn of its activity. An isolated
// entry gets no shares, and keeps those that it has, because the others still count
// it.
func (s *Status) Update(now time.Time, selected, isolated bool, timing Timing) {
	switch {
	case selected && !s.isActive:
		s.isActive = true
		s.settlingSince = now
	case !selected && now.Sub(s.selectedAt) >= timing.Hold:
		*s = Status{}
	}
	if selected {
		s.selectedAt = now
	}
	if isolated {
		s.settlingSince = now
	}
	if s.isActive && now.Sub(s.settlingSince) >= timing.Settle {
		s.holdsShares = true
	}
}

// IsActive reports whether the entry counts as active.
func (s *Status) IsActive() bool { return s.isActive }

// IsSettling reports whether the entry is active and may not use its share yet.
func (s *Status) IsSettling() bool { return s.isActive && !s.holdsShares }

// HoldsShares reports whether the entry may use its share of common limits.
func (s *Status) HoldsShares() bool { return s.holdsShares }
