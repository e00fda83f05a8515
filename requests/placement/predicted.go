package placement

import (
	"time"

	"currantusher.dev/requests/backlog"
)

const (
	// tieFraction and minTie are by how much a predicted time may exceed the shortest one
	// to count as equal to it. Entries choose at random among these servers: those with the
	// same reports would otherwise all choose the same one until the next report.
	tieFraction = 0.1
	minTie      = 10 * time.Millisecond
	// deadlineFraction is the part of the time until the caller's deadline from which a
	// predicted end may be too late, since the length of an answer is known only within a
	// factor of two.
	deadlineFraction = 0.7
)

// Prediction is the expected course of the request at a candidate.
type Prediction struct {
	backlog.Prediction
	// ObjectiveIn and DeadlineIn are the times until the request's objective and its
	// deadline pass; 0 means none.
	ObjectiveIn, DeadlineIn time.Duration
}

// meetsObjective reports whether the first event is expected within the objective.
func (p Prediction) meetsObjective() bool {
	return p.ObjectiveIn == 0 || p.FirstEvent <= p.ObjectiveIn
}

// mayMissDeadline reports whether the answer may end after the deadline.
func (p Prediction) mayMissDeadline() bool {
	return p.DeadlineIn > 0 && float64(p.End) > deadlineFraction*float64(p.DeadlineIn)
}

// choosePredicted returns the option with the soonest expected first event, or with the
// soonest expected end if the answer might miss the deadline there. It returns false if an
// option has no prediction.
func (p *Placer) choosePredicted(options []option) (option, bool) {
	soonest := -1
	for i, o := range options {
		prediction := o.candidate.Prediction
		if !prediction.Known {
			return option{}, false
		}
		if soonest < 0 || prediction.FirstEvent < options[soonest].candidate.Prediction.FirstEvent {
			soonest = i
		}
	}
	if soonest < 0 {
		return option{}, false
	}
	if options[soonest].candidate.Prediction.mayMissDeadline() {
		return p.soonest(options, func(prediction Prediction) time.Duration { return prediction.End }), true
	}
	return p.soonest(options, func(prediction Prediction) time.Duration { return prediction.FirstEvent }), true
}

// soonest returns one of the options whose time is shortest within the tolerance.
func (p *Placer) soonest(options []option, timeOf func(Prediction) time.Duration) option {
	shortest := timeOf(options[0].candidate.Prediction)
	for _, o := range options[1:] {
		shortest = min(shortest, timeOf(o.candidate.Prediction))
	}
	limit := shortest + max(minTie, time.Duration(tieFraction*float64(shortest)))
	chosen, ties := options[0], 0
	for _, o := range options {
		if timeOf(o.candidate.Prediction) > limit {
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			chosen = o
		}
	}
	return chosen
}

// chooseOnTime picks from the nearest level at which the request is expected to meet its
// objective. If there is none, it picks from the nearest level that has capacity.
func (p *Placer) chooseOnTime(request Request, options []option) (option, bool) {
	var nearest option
	found := false
	for _, level := range p.localityLevels(options) {
		chosen, ok := p.chooseWithinLevel(request, level)
		if !ok {
			continue
		}
		prediction := chosen.candidate.Prediction
		switch isPredicted := prediction.Known && !chosen.probe; {
		case !isPredicted && !found, isPredicted && prediction.meetsObjective():
			return chosen, true
		case !found:
			nearest, found = chosen, true
		}
	}
	return nearest, found
}
