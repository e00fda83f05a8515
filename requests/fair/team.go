package fair

import (
	"slices"
	"time"

	"currantusher.dev/core"
)

// team holds the waiting requests of one team and its position in virtual time.
type team struct {
	name    core.Team
	weight  float64
	waiting []*ticket
	// virtualFinish is the virtual time at which the team's granted requests are
	// fully charged.
	virtualFinish float64
}

// position returns the index at which t is inserted into the team's queue, as
// ordered by goesBefore.
func (o *team) position(t *ticket) int {
	at := len(o.waiting)
	for at > 0 && goesBefore(t, o.waiting[at-1]) {
		at--
	}
	return at
}

func goesBefore(a, b *ticket) bool {
	if a.request.Late != b.request.Late {
		return b.request.Late
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if a.ordersByObjective && b.ordersByObjective {
		return compareObjectives(a, b) < 0
	}
	return a.arrivalOrder < b.arrivalOrder
}

func (s *state) insert(owner *team, t *ticket, index int) {
	if len(owner.waiting) == 0 {
		s.waitingTeams = append(s.waitingTeams, owner)
	}
	owner.waiting = append(owner.waiting, nil)
	copy(owner.waiting[index+1:], owner.waiting[index:])
	owner.waiting[index] = t
	t.phase = phaseWaiting
	s.waiting++
}

func (s *state) remove(owner *team, index int) *ticket {
	t := owner.waiting[index]
	owner.waiting = append(owner.waiting[:index], owner.waiting[index+1:]...)
	s.waiting--
	if len(owner.waiting) > 0 {
		return t
	}
	for i, candidate := range s.waitingTeams {
		if candidate == owner {
			s.waitingTeams = append(s.waitingTeams[:i], s.waitingTeams[i+1:]...)
			break
		}
	}
	return t
}

// markLate marks the requests that missed their objective as late and reorders
// the queue.
func (o *team) markLate(now time.Time) {
	changed := false
	for _, t := range o.waiting {
		if !t.request.Late && !t.request.StartBy.IsZero() && now.After(t.request.StartBy) {
			t.request.Late = true
			changed = true
		}
	}
	if changed {
		slices.SortStableFunc(o.waiting, func(a, b *ticket) int {
			switch {
			case goesBefore(a, b):
				return -1
			case goesBefore(b, a):
				return 1
			default:
				return 0
			}
		})
	}
}
