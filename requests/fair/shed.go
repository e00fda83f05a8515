package fair

import (
	"cmp"
	"math"
	"time"
)

const (
	// demandTime is the time constant of the estimated rate of on-time arrivals. It bounds
	// how long late requests are held back after an overload.
	demandTime = time.Second
	// lateGrantInterval is the number of grants of which at least one goes to a late
	// request while one waits, so that late requests don't starve in a long overload.
	lateGrantInterval = 25
	// shedRunTimeConstant is the time constant of the mean run time. With few grants a
	// second a constant weight for each took 12 s to follow the load.
	shedRunTimeConstant = 3 * time.Second
	// shedRunTimeSamples is the number of run times from which the mean is taken at first.
	shedRunTimeSamples = 8
	// returnSpread is the part of the longest wait over which callers return that cannot
	// be served within it.
	returnSpread = 0.1
)

// shedding holds what the queue needs to serve requests on time or refuse them; see
// Config.ShedsLoad.
type shedding struct {
	enabled bool
	// onTimeRate is the rate of arrivals, in requests a second, that may still meet their
	// objective, as of ratedAt.
	onTimeRate float64
	ratedAt    time.Time
	// runningLate is the number of late requests that hold a slot, and grantsSinceLate the
	// number of grants since a late one got a slot or none waited.
	runningLate, grantsSinceLate int
	// nextReturn is the next free turn of the callers that return after a refusal.
	nextReturn time.Time
	// runTimes is the number of observed run times, up to shedRunTimeSamples, and
	// lastRunTime when the last one was observed.
	runTimes    int
	lastRunTime time.Time
	// heldBack and refusals count since the start; see Stats.
	heldBack int64
	refusals map[RefusalReason]int64
}

// RefusalReason tells why the queue refused a request.
type RefusalReason string

// The reasons of refusals.
const (
	RefusedQueueFull   RefusalReason = "queue_full"
	RefusedDeadline    RefusalReason = "deadline"
	RefusedObjective   RefusalReason = "objective"
	RefusedLate        RefusalReason = "late"
	RefusedUnavailable RefusalReason = "unavailable"
)

// observeArrival updates the rate of on-time arrivals.
func (s *state) observeArrival(now time.Time, request Request) {
	s.shed.decay(now)
	if !request.Late {
		s.shed.onTimeRate += 1 / demandTime.Seconds()
	}
}

func (d *shedding) decay(now time.Time) {
	if !d.ratedAt.IsZero() {
		d.onTimeRate *= math.Exp(-now.Sub(d.ratedAt).Seconds() / demandTime.Seconds())
	}
	d.ratedAt = now
}

// observeRunTime updates the mean run time with a weight that depends on the time since the
// last one.
func (s *state) observeRunTime(now time.Time, took time.Duration) {
	d := &s.shed
	if d.runTimes < shedRunTimeSamples {
		d.runTimes++
	}
	gain := max(1-math.Exp(-now.Sub(d.lastRunTime).Seconds()/shedRunTimeConstant.Seconds()), runTimeGain)
	if d.runTimes < shedRunTimeSamples {
		gain = 1 / float64(d.runTimes)
	}
	d.lastRunTime = now
	s.meanRunTime += time.Duration(min(gain, 1/float64(d.runTimes)) * float64(took-s.meanRunTime))
}

// spareSlots returns the number of slots that the on-time requests which arrive within a run
// time are not expected to need. The margin covers the variation of their number.
func (s *state) spareSlots(now time.Time) float64 {
	s.shed.decay(now)
	needed := s.shed.onTimeRate * s.meanRunTime.Seconds()
	return float64(s.limit()) - needed - math.Sqrt(needed)
}

// mayGrantLate reports whether a late request may get the next slot.
func (s *state) mayGrantLate(now time.Time) bool {
	if !s.shed.enabled {
		return s.running < s.lateLimit()
	}
	return s.shed.grantsSinceLate >= lateGrantInterval || float64(s.shed.runningLate+1) <= s.spareSlots(now)
}

// lateRate returns how many late requests a second get a slot.
func (s *state) lateRate(now time.Time) float64 {
	drained := 1 / max(s.meanRunTime.Seconds(), 1e-3)
	return drained * max(s.spareSlots(now), float64(s.limit())/lateGrantInterval)
}

// lateWait estimates the wait of a late request that has a number of late ones before it.
func (s *state) lateWait(now time.Time, ahead int) time.Duration {
	if s.limit() == 0 {
		return s.config.MaxRetryAfter
	}
	if ahead == 0 && s.running < s.limit() && s.mayGrantLate(now) {
		return 0
	}
	return time.Duration(float64(ahead+1) / s.lateRate(now) * float64(time.Second))
}

// missesLateDeadline reports whether a late request is not expected to get a slot in time.
func (s *state) missesLateDeadline(now time.Time, request Request, ahead int, margin float64) bool {
	if !s.shed.enabled || !request.Late || request.Deadline.IsZero() {
		return false
	}
	wait := s.lateWait(now, ahead)
	return wait > 0 && margin*float64(wait) >= float64(request.Deadline.Sub(now))-startMargin*float64(s.meanRunTime)
}

// countLate counts the waiting late requests.
func (s *state) countLate() int { return s.waiting - s.countNotLate() }

// oldestLate returns the team whose late request arrived first, and the request's index.
func (s *state) oldestLate() (owner *team, index int) {
	for _, candidate := range s.waitingTeams {
		for at, t := range candidate.waiting {
			if t.request.Late && (owner == nil || t.arrivalOrder < owner.waiting[index].arrivalOrder) {
				owner, index = candidate, at
			}
		}
	}
	return owner, index
}

// oldest returns the team whose on-time request arrived first, and the request's index.
func (s *state) oldest() (owner *team, index int) {
	for _, candidate := range s.waitingTeams {
		for at, t := range candidate.waiting {
			if !t.request.Late && (owner == nil || t.arrivalOrder < owner.waiting[index].arrivalOrder) {
				owner, index = candidate, at
			}
		}
	}
	return owner, index
}

// next returns the team and the index of the request that gets the next slot; owner is nil if
// only late requests wait and none of them may get it.
func (s *state) next(now time.Time) (owner *team, index int) {
	if !s.shed.enabled {
		owner = s.nextTeam()
		if owner.waiting[0].request.Late && !s.mayGrantLate(now) {
			return nil, 0
		}
		return owner, 0
	}
	if s.shed.grantsSinceLate >= lateGrantInterval {
		if owner, index = s.oldestLate(); owner != nil {
			return owner, index
		}
	}
	owner = s.nextTeam()
	if owner.waiting[0].request.Late {
		if !s.mayGrantLate(now) {
			s.countHeldBack(owner.waiting[0])
			return nil, 0
		}
		return owner, 0
	}
	if s.grants%fifoInterval == 0 {
		// The order within a team must not starve a request either.
		return s.oldest()
	}
	return owner, 0
}

func (s *state) countHeldBack(t *ticket) {
	if !t.isHeldBack {
		t.isHeldBack = true
		s.shed.heldBack++
	}
}

// recordGrant counts a grant for the interval of late requests.
func (s *state) recordGrant(t *ticket) {
	if t.request.Late {
		t.countsAsLate = true
		s.shed.runningLate++
		s.shed.grantsSinceLate = 0
		return
	}
	s.shed.grantsSinceLate++
	if s.countLate() == 0 {
		s.shed.grantsSinceLate = 0
	}
}

// compareObjectives orders requests of the same priority by the latest time at which they may
// start. Requests without an objective count as if they had to start on arrival.
func compareObjectives(a, b *ticket) int {
	return cmp.Or(a.startOrder().Compare(b.startOrder()), cmp.Compare(a.arrivalOrder, b.arrivalOrder))
}

func (t *ticket) startOrder() time.Time {
	if t.request.StartBy.IsZero() || t.request.Late {
		return t.arrivedAt
	}
	return t.request.StartBy
}

// shedReturn returns when the caller of a refused request that misses its objective should
// send it again. Callers get turns at the rate at which late requests are served. One whose
// turn comes after the time for which it waits returns near the end of that time.
func (s *state) shedReturn(now time.Time, request Request, longest time.Duration) time.Duration {
	earliest := now.Add(time.Duration(earliestReturnFraction * float64(longest)))
	turn := s.shed.nextReturn
	if turn.Before(earliest) {
		turn = earliest
	}
	if delay := turn.Sub(now); delay < longest && !request.Late && s.limit() > 0 {
		s.shed.nextReturn = turn.Add(time.Duration(float64(time.Second) / s.lateRate(now)))
		return delay
	}
	return longest - time.Duration(returnSpread*s.random.Float64()*float64(longest))
}

func (s *state) countRefusal(reason RefusalReason) {
	if s.shed.refusals == nil {
		s.shed.refusals = map[RefusalReason]int64{}
	}
	s.shed.refusals[reason]++
}
