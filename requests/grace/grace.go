// Package grace decides whether a request can still be answered before its entry stops.
// It has no clock and does no I/O.
package grace

import "time"

// Schedule holds the times of a planned stop.
type Schedule struct {
	// LastAnswer is when requests end whose answer has not begun.
	LastAnswer time.Time
	// Stop is when the entry stops, and streams that have begun end.
	Stop time.Time
	// Close is when the connections of requests are closed that have not ended by then.
	Close time.Time
}

// Request is what the decision on a request depends on.
type Request struct {
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Repeatable requests may run more than once.
	Repeatable bool
	// Stream marks requests whose answer may go on until the entry stops.
	Stream bool
	// Objective is the operator's objective for the time to the answer; 0 means none.
	Objective time.Duration
	// Predicted is the time that this request probably takes; 0 means unknown.
	Predicted time.Duration
	// Durations are those of earlier requests of its kind.
	Durations Durations
}

// End returns when the answer to a request must be complete.
func (s Schedule) End(stream bool) time.Time {
	if stream {
		return s.Stop
	}
	return s.LastAnswer
}

// CloseAt returns when connections are closed if requests without an answer were ended at
// waitsEnded and all others at allEnded. It is later than Close if the process did not run
// when they should have been ended, so that they have the same time to write their answers.
func (s Schedule) CloseAt(waitsEnded, allEnded time.Time) time.Time {
	closeAt := s.Close
	for _, at := range []time.Time{waitsEnded.Add(s.Close.Sub(s.LastAnswer)), allEnded.Add(s.Close.Sub(s.Stop))} {
		if at.After(closeAt) {
			closeAt = at
		}
	}
	return closeAt
}

// LastStart returns the latest time at which a server may begin with a request. A
// repeatable request can be repeated at another entry if it takes longer than usual; any
// other one needs the longest time that requests of its kind take. A stream must also begin
// before LastAnswer.
func (s Schedule) LastStart(r Request) time.Time {
	if !r.Deadline.After(s.LastAnswer) {
		return r.Deadline
	}
	duration, known := r.usual(), true
	if !r.Repeatable {
		duration, known = r.longest()
	}
	switch {
	case !known:
		return time.Time{}
	case !r.Stream:
		return s.LastAnswer.Add(-duration)
	}
	lastStart := s.LastAnswer.Add(-r.untilData(duration))
	if whole := s.Stop.Add(-duration); r.Deadline.After(s.Stop) && whole.Before(lastStart) {
		return whole
	}
	return lastStart
}

// untilData returns the time within which a stream that takes duration begins.
func (r Request) untilData(duration time.Duration) time.Duration {
	if !r.Repeatable {
		return duration
	}
	return min(duration, r.Objective)
}

// usual returns the time within which most requests of this kind are answered.
func (r Request) usual() time.Duration {
	usual, known := r.Durations.usual()
	if !known {
		usual = r.Objective
	}
	return max(usual, r.Predicted)
}

// longest returns the longest time that requests of this kind take, if enough of them are
// known. One request may take as long as the objective although none has.
func (r Request) longest() (longest time.Duration, known bool) {
	longest, known = r.Durations.longest()
	return max(longest, r.Objective, r.Predicted), known
}
