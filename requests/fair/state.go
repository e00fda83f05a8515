package fair

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"currantusher.dev/core"
)

const (
	holdGain = 0.02
	// An arrival is refused by a cautious estimate of its wait, a waiting
	// request only by a hopeful one, so that few are refused after a wait.
	arrivalMargin = 4.0
	waitingMargin = 1.0
	// startMargin is the time, in mean running times, that a request must have
	// left to be worth a place.
	startMargin = 1.5
	// creditHolds is how much capacity, in mean running times, an idle team
	// may save up and use ahead of others.
	creditHolds    = 10
	arrivalTurn    = 16
	windowDecrease = 0.95
	retryJitter    = 0.5
)

type phase uint8

const (
	waiting phase = iota
	granted
	closed
)

// ticket is one request in the queue or running.
type ticket struct {
	item     Request
	arrived  uint64
	phase    phase
	granted  time.Time
	requeues int
	charged  bool
	verdict  chan error
}

type decision struct {
	ticket *ticket
	err    error
}

// team is one team's waiting requests and its place in virtual time.
type team struct {
	name    core.Team
	weight  float64
	waiting []*ticket
	// finish is the virtual time at which the team's granted work is paid.
	finish float64
}

// state is the queue without its lock: no clock and no I/O.
type state struct {
	config   Config
	random   *rand.Rand
	teams    map[core.Team]*team
	backlog  []*team
	virtual  float64
	arrivals uint64
	grants   uint64
	capacity int
	// idleSince is when the capacity became 0; zero while there is any.
	idleSince time.Time
	window    float64
	narrowed  time.Time
	// resume is when places are granted again after a refusal.
	resume  time.Time
	running int
	waiting int
	hold    time.Duration

	decisions []decision
}

func newState(config Config, random *rand.Rand) *state {
	return &state{config: config, random: random, teams: map[core.Team]*team{}, hold: config.ExpectedRunTime}
}

func (s *state) takeDecisions() []decision {
	taken := s.decisions
	s.decisions = nil
	return taken
}

func (s *state) offer(now time.Time, item Request) (*ticket, error) {
	item.Cost = max(item.Cost, 1)
	owner := s.team(item.Team)
	if s.isDown(now) {
		return nil, core.NewRefusal(core.CodeNoBackend, s.retryAfter(item.Team), "no backend server takes requests")
	}
	if len(owner.waiting) >= s.config.MaxQueue {
		return nil, core.NewRefusal(core.CodeQueueFull, s.retryAfter(item.Team), "queue of team %q is full", item.Team)
	}
	t := &ticket{item: item, arrived: s.arrivals, verdict: make(chan error, 1)}
	s.arrivals++
	place := owner.place(t)
	if s.isHopeless(now, owner, item, place, arrivalMargin) {
		return nil, s.deadlineShort(item.Team)
	}
	if s.missesObjective(now, item) {
		return nil, core.NewRefusal(core.CodeDeadlineShort, s.retryAfter(item.Team), "the queue of team %q cannot reach the request within its objective", item.Team)
	}
	s.insert(owner, t, place)
	return t, nil
}

func (s *state) deadlineShort(name core.Team) error {
	return core.NewRefusal(core.CodeDeadlineShort, s.retryAfter(name), "the queue of team %q cannot reach the request before its deadline", name)
}

func (s *state) team(name core.Team) *team {
	known := s.teams[name]
	if known == nil {
		known = &team{name: name}
		s.teams[name] = known
	}
	known.weight = float64(max(s.config.Weights(name), 1))
	return known
}

// place returns the index at which t waits: by priority, then by arrival.
func (o *team) place(t *ticket) int {
	at := len(o.waiting)
	for at > 0 && goesBefore(t, o.waiting[at-1]) {
		at--
	}
	return at
}

func goesBefore(a, b *ticket) bool {
	if a.item.Late != b.item.Late {
		return b.item.Late
	}
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	return a.arrived < b.arrived
}

func (s *state) insert(owner *team, t *ticket, at int) {
	if len(owner.waiting) == 0 {
		s.backlog = append(s.backlog, owner)
	}
	owner.waiting = append(owner.waiting, nil)
	copy(owner.waiting[at+1:], owner.waiting[at:])
	owner.waiting[at] = t
	t.phase = waiting
	s.waiting++
}

func (s *state) remove(owner *team, at int) *ticket {
	t := owner.waiting[at]
	owner.waiting = append(owner.waiting[:at], owner.waiting[at+1:]...)
	s.waiting--
	if len(owner.waiting) > 0 {
		return t
	}
	for i, candidate := range s.backlog {
		if candidate == owner {
			s.backlog = append(s.backlog[:i], s.backlog[i+1:]...)
			break
		}
	}
	return t
}

// sweep refuses requests that can no longer make their deadline, and puts those
// that missed their objective behind the others.
func (s *state) sweep(now time.Time) {
	for _, owner := range s.backlog {
		owner.demote(now)
	}
	for _, owner := range append([]*team(nil), s.backlog...) {
		for at := len(owner.waiting) - 1; at >= 0; at-- {
			if !s.isDown(now) && !s.isHopeless(now, owner, owner.waiting[at].item, at, waitingMargin) {
				continue
			}
			t := s.remove(owner, at)
			s.close(t, s.sweepError(now, owner.name))
		}
	}
}

// demote marks requests that missed their objective as late.
func (o *team) demote(now time.Time) {
	demoted := false
	for _, t := range o.waiting {
		if !t.item.Late && !t.item.Objective.IsZero() && now.After(t.item.Objective) {
			t.item.Late = true
			demoted = true
		}
	}
	if demoted {
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

func (s *state) sweepError(now time.Time, name core.Team) error {
	if s.isDown(now) {
		return core.NewRefusal(core.CodeNoBackend, s.retryAfter(name), "no backend server takes requests")
	}
	return s.deadlineShort(name)
}

func (s *state) close(t *ticket, err error) {
	t.phase = closed
	s.decisions = append(s.decisions, decision{ticket: t, err: err})
}

// fill grants places while there are any.
func (s *state) fill(now time.Time) {
	for s.canGrant(now) {
		owner := s.next()
		t := s.remove(owner, 0)
		if s.isTooLate(now, t.item) {
			s.close(t, s.deadlineShort(owner.name))
			continue
		}
		s.charge(owner, t)
		t.phase = granted
		t.granted = now
		s.running++
		s.decisions = append(s.decisions, decision{ticket: t})
	}
}

func (s *state) canGrant(now time.Time) bool {
	return s.running < s.limit() && len(s.backlog) > 0 && !now.Before(s.resume)
}

// next returns the waiting team with the least virtual start. Every
// arrivalTurn-th place goes to the request that came first, so that no team's
// credit bars the others.
func (s *state) next() *team {
	s.grants++
	precedes := s.precedes
	if s.grants%arrivalTurn == 0 {
		precedes = cameFirst
	}
	best := s.backlog[0]
	for _, candidate := range s.backlog[1:] {
		if precedes(candidate, best) {
			best = candidate
		}
	}
	return best
}

func (s *state) precedes(a, b *team) bool {
	if lateA, lateB := a.waiting[0].item.Late, b.waiting[0].item.Late; lateA != lateB {
		return lateB
	}
	startA, startB := s.start(a), s.start(b)
	if startA != startB {
		return startA < startB
	}
	return cameFirst(a, b)
}

func cameFirst(a, b *team) bool {
	if lateA, lateB := a.waiting[0].item.Late, b.waiting[0].item.Late; lateA != lateB {
		return lateB
	}
	return a.waiting[0].arrived < b.waiting[0].arrived
}

func (s *state) start(t *team) float64 {
	if t.waiting[0].charged {
		return math.Inf(-1)
	}
	return s.begin(t)
}

// begin is the virtual time at which the team's next request starts. A team
// that was idle starts in the past, as far as its credit goes.
func (s *state) begin(t *team) float64 {
	return max(s.virtual-creditHolds*float64(s.limit()), t.finish)
}

// charge moves virtual time on. A request that returned to the queue is not
// charged again.
func (s *state) charge(owner *team, t *ticket) {
	if t.charged {
		return
	}
	t.charged = true
	begin := s.begin(owner)
	s.virtual = max(s.virtual, begin)
	owner.finish = begin + float64(t.item.Cost)/owner.weight
}

func (s *state) abandon(now time.Time, t *ticket) {
	switch t.phase {
	case waiting:
		owner := s.team(t.item.Team)
		for at, candidate := range owner.waiting {
			if candidate == t {
				s.remove(owner, at)
				break
			}
		}
		t.phase = closed
	case granted:
		s.release(now, t, false)
	}
}

func (s *state) release(now time.Time, t *ticket, ran bool) {
	if t.phase != granted {
		return
	}
	t.phase = closed
	s.running--
	if !ran {
		return
	}
	s.hold += time.Duration(holdGain * float64(now.Sub(t.granted)-s.hold))
	s.widen()
}

func (s *state) requeue(now time.Time, t *ticket, full bool) error {
	if t.phase != granted {
		return core.NewRefusal(core.CodeInternal, 0, "request is not running")
	}
	s.release(now, t, false)
	if full {
		s.narrow(now)
	}
	s.resume = now.Add(s.hold / time.Duration(max(s.limit(), 1)))
	name := t.item.Team
	owner := s.team(name)
	t.requeues++
	if t.requeues > s.config.MaxRequeues {
		return core.NewRefusal(core.CodeLimitReached, s.retryAfter(name), "backend servers are full")
	}
	if s.isHopeless(now, owner, t.item, 0, waitingMargin) || s.isDown(now) {
		return s.sweepError(now, name)
	}
	s.insert(owner, t, 0)
	return nil
}

func (s *state) stats() Stats {
	return Stats{Waiting: s.waiting, Running: s.running, Limit: s.limit(), MeanRunTime: s.hold}
}
