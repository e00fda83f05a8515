package fair

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"currantusher.dev/core"
)

const (
	// runTimeGain is the weight of a new run time in the moving average.
	runTimeGain = 0.02
	// initialRuns is the number of runs that the initial estimate counts for. With the weight
	// runTimeGain from the first run on, a new process took some 100 requests to learn that
	// they run for a tenth of the estimate, and refused every third of a busy service.
	initialRuns = 4
	// arrivalMargin and waitingMargin multiply the estimated wait that is compared
	// with the deadline, for arriving and for waiting requests. The margin is
	// larger on arrival, so that few requests are refused after a wait.
	arrivalMargin = 4.0
	waitingMargin = 1.0
	// startMargin is the time to its deadline, in mean run times, that a request
	// must have left to get a slot.
	startMargin = 1.5
	// creditRunTimes bounds the credit of an idle team: the capacity, in mean run
	// times, that it may use ahead of other teams.
	creditRunTimes = 10
	// fifoInterval is the number of grants of which one goes to the request that
	// arrived first; see nextTeam.
	fifoInterval         = 16
	windowDecreaseFactor = 0.95
	retryJitterFraction  = 0.5
)

type phase uint8

const (
	phaseWaiting phase = iota
	phaseGranted
	phaseClosed
)

// ticket is one request in the queue or running.
type ticket struct {
	request      Request
	arrivalOrder uint64
	phase        phase
	grantedAt    time.Time
	arrivedAt    time.Time
	requeues     int
	charged      bool
	// ordersByObjective is set if requests of equal priority are ordered by their
	// objective; see Config.ShedsLoad.
	ordersByObjective bool
	// countsAsLate is set while the request holds a slot that it got as a late one.
	countsAsLate bool
	// isHeldBack is set once a late request waits although a slot is free.
	isHeldBack bool
	result     chan error
}

type decision struct {
	ticket *ticket
	err    error
}

// state is the logic of Queue without locking, clock or I/O.
type state struct {
	config       Config
	random       *rand.Rand
	teams        map[core.Team]*team
	waitingTeams []*team
	virtualTime  float64
	arrivals     uint64
	grants       uint64
	capacity     int
	// noCapacitySince is when the capacity became 0; zero while it is positive.
	noCapacitySince time.Time
	// closure is set while all servers have announced that they accept no requests.
	closure *Closure
	// nextReturn is the next free turn of the callers that return after a closure.
	nextReturn time.Time
	window     float64
	lastShrink time.Time
	// grantsResumeAt is the time until which no slots are granted after a requeue.
	grantsResumeAt time.Time
	running        int
	waiting        int
	meanRunTime    time.Duration
	// runs counts the run times in meanRunTime.
	runs int
	shed shedding

	decisions []decision
}

func newState(config Config, random *rand.Rand) *state {
	return &state{config: config, random: random, teams: map[core.Team]*team{}, meanRunTime: config.ExpectedRunTime}
}

func (s *state) takeDecisions() []decision {
	taken := s.decisions
	s.decisions = nil
	return taken
}

func (s *state) enqueue(now time.Time, request Request) (*ticket, error) {
	if request.Cost <= 0 {
		request.Cost = max(s.config.UsualCost, 1)
	}
	owner := s.team(request.Team)
	s.observeArrival(now, request)
	if s.isUnavailable(now) {
		return nil, s.refuseUnavailable(now, request)
	}
	if len(owner.waiting) >= s.config.MaxQueue {
		s.countRefusal(RefusedQueueFull)
		return nil, core.NewRefusal(core.CodeQueueFull, s.retryAfterFor(now, request), "queue of team %q is full", request.Team)
	}
	t := &ticket{request: request, arrivalOrder: s.arrivals, arrivedAt: now, ordersByObjective: s.shed.enabled, result: make(chan error, 1)}
	s.arrivals++
	position := owner.position(t)
	if s.missesDeadline(now, owner, request, position, arrivalMargin) {
		return nil, s.refuseDeadlineShort(now, request)
	}
	if s.missesLateDeadline(now, request, s.countLate(), 1) {
		return nil, s.refuseLate(now, request)
	}
	if s.missesObjective(now, request) {
		s.countRefusal(RefusedObjective)
		return nil, core.NewRefusal(core.CodeDeadlineShort, s.retryAfterFor(now, request), "queue of team %q cannot serve the request within its latency objective", request.Team)
	}
	s.insert(owner, t, position)
	return t, nil
}

func (s *state) refuseLate(now time.Time, request Request) error {
	s.countRefusal(RefusedLate)
	return core.NewRefusal(core.CodeDeadlineShort, s.retryAfterFor(now, request), "queue of team %q serves requests that can meet their latency objective", request.Team)
}

func (s *state) refuseDeadlineShort(now time.Time, request Request) error {
	s.countRefusal(RefusedDeadline)
	return core.NewRefusal(core.CodeDeadlineShort, s.retryAfterFor(now, request), "queue of team %q cannot serve the request before its deadline", request.Team)
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

// sweep refuses requests that can no longer meet their deadline, and moves those
// that missed their objective behind those that did not.
func (s *state) sweep(now time.Time) {
	for _, owner := range s.waitingTeams {
		owner.markLate(now)
	}
	lateAhead := s.countLate()
	for _, owner := range append([]*team(nil), s.waitingTeams...) {
		for at := len(owner.waiting) - 1; at >= 0; at-- {
			request := owner.waiting[at].request
			if request.Late {
				lateAhead--
			}
			switch {
			case s.isUnavailable(now) || s.missesDeadline(now, owner, request, at, waitingMargin):
				s.reject(s.remove(owner, at), s.refuseWaiting(now, request))
			case s.missesLateDeadline(now, request, lateAhead, waitingMargin):
				s.reject(s.remove(owner, at), s.refuseLate(now, request))
			}
		}
	}
}

func (s *state) refuseWaiting(now time.Time, request Request) error {
	if s.isUnavailable(now) {
		return s.refuseUnavailable(now, request)
	}
	return s.refuseDeadlineShort(now, request)
}

func (s *state) refuseUnavailable(now time.Time, request Request) error {
	s.countRefusal(RefusedUnavailable)
	if s.closure != nil {
		return s.refuseClosed(now, *s.closure, request)
	}
	return core.NewRefusal(core.CodeNoBackend, s.retryAfterFor(now, request), "no backend server accepts requests")
}

func (s *state) reject(t *ticket, err error) {
	t.phase = phaseClosed
	s.decisions = append(s.decisions, decision{ticket: t, err: err})
}

// grantSlots grants slots to waiting requests while the limit allows it.
func (s *state) grantSlots(now time.Time) {
	for s.canGrant(now) {
		owner, index := s.next(now)
		if owner == nil {
			return
		}
		t := s.remove(owner, index)
		if s.cannotFinish(now, t.request) {
			s.reject(t, s.refuseDeadlineShort(now, t.request))
			continue
		}
		s.charge(owner, t)
		t.phase = phaseGranted
		t.grantedAt = now
		s.running++
		s.recordGrant(t)
		s.decisions = append(s.decisions, decision{ticket: t})
	}
}

func (s *state) canGrant(now time.Time) bool {
	return s.running < s.limit() && len(s.waitingTeams) > 0 && !now.Before(s.grantsResumeAt)
}

// nextTeam returns the waiting team with the lowest virtual start. Every
// fifoInterval-th slot goes to the request that arrived first, so that the
// credit of one team cannot starve the other teams.
func (s *state) nextTeam() *team {
	s.grants++
	precedes := s.precedes
	if s.grants%fifoInterval == 0 {
		precedes = arrivedFirst
	}
	best := s.waitingTeams[0]
	for _, candidate := range s.waitingTeams[1:] {
		if precedes(candidate, best) {
			best = candidate
		}
	}
	return best
}

func (s *state) precedes(a, b *team) bool {
	if lateA, lateB := a.waiting[0].request.Late, b.waiting[0].request.Late; lateA != lateB {
		return lateB
	}
	startA, startB := s.virtualStart(a), s.virtualStart(b)
	if startA != startB {
		return startA < startB
	}
	return arrivedFirst(a, b)
}

func arrivedFirst(a, b *team) bool {
	if lateA, lateB := a.waiting[0].request.Late, b.waiting[0].request.Late; lateA != lateB {
		return lateB
	}
	return a.waiting[0].arrivalOrder < b.waiting[0].arrivalOrder
}

func (s *state) virtualStart(t *team) float64 {
	if t.waiting[0].charged {
		return math.Inf(-1)
	}
	return s.nextVirtualStart(t)
}

// nextVirtualStart is the virtual time at which the team's next request starts.
// It may be before the current virtual time by the credit of a team that was
// idle.
func (s *state) nextVirtualStart(t *team) float64 {
	return max(s.virtualTime-creditRunTimes*float64(s.limit()), t.virtualFinish)
}

// charge advances virtual time by the cost of a request. A requeued request is
// not charged again.
func (s *state) charge(owner *team, t *ticket) {
	if t.charged {
		return
	}
	t.charged = true
	start := s.nextVirtualStart(owner)
	s.virtualTime = max(s.virtualTime, start)
	owner.virtualFinish = start + float64(t.request.Cost)/float64(max(s.config.UsualCost, 1))/owner.weight
}

func (s *state) cancel(now time.Time, t *ticket) {
	switch t.phase {
	case phaseWaiting:
		owner := s.team(t.request.Team)
		for at, candidate := range owner.waiting {
			if candidate == t {
				s.remove(owner, at)
				break
			}
		}
		t.phase = phaseClosed
	case phaseGranted:
		s.release(now, t, false)
	}
}

func (s *state) release(now time.Time, t *ticket, ran bool) {
	if t.phase != phaseGranted {
		return
	}
	t.phase = phaseClosed
	s.running--
	if t.countsAsLate {
		t.countsAsLate = false
		s.shed.runningLate--
	}
	if !ran {
		return
	}
	if s.shed.enabled {
		s.observeRunTime(now, now.Sub(t.grantedAt))
		s.growWindow()
		return
	}
	s.runs++
	gain := max(runTimeGain, 1/float64(initialRuns+s.runs))
	s.meanRunTime += time.Duration(gain * float64(now.Sub(t.grantedAt)-s.meanRunTime))
	s.growWindow()
}

func (s *state) requeue(now time.Time, t *ticket, serversFull bool) error {
	if t.phase != phaseGranted {
		return core.NewRefusal(core.CodeInternal, 0, "cannot requeue a request that holds no slot")
	}
	s.release(now, t, false)
	if serversFull {
		s.shrinkWindow(now)
	}
	s.grantsResumeAt = now.Add(s.meanRunTime / time.Duration(max(s.limit(), 1)))
	t.requeues++
	if t.requeues > s.config.MaxRequeues {
		return core.NewRefusal(core.CodeLimitReached, s.retryAfterFor(now, t.request), "backend servers are at their limits")
	}
	return s.readmit(now, t)
}

// readmit makes a request that has returned its slot wait at the head of its team's queue.
func (s *state) readmit(now time.Time, t *ticket) error {
	owner := s.team(t.request.Team)
	if s.missesDeadline(now, owner, t.request, 0, waitingMargin) || s.isUnavailable(now) {
		return s.refuseWaiting(now, t.request)
	}
	s.insert(owner, t, 0)
	return nil
}

func (s *state) stats(now time.Time) Stats {
	stats := Stats{
		Waiting: s.waiting, Running: s.running, Limit: s.limit(), MeanRunTime: s.meanRunTime, LateLimit: s.lateLimit(),
		ShedsLoad: s.shed.enabled, RunningLate: s.shed.runningLate, HeldBack: s.shed.heldBack, Refusals: maps.Clone(s.shed.refusals),
	}
	if s.shed.enabled {
		stats.LateLimit = max(int(s.spareSlots(now)), 0)
		stats.OnTimeRate = s.shed.onTimeRate
	}
	return stats
}
