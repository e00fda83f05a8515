package sharedlimit

import (
	"slices"
	"time"

	"currantusher.dev/core"
)

const (
	// maxClaimTime is how long a place that has become free is kept at most for each
	// entry that has waited for longer than the one that asks, and claimFraction the
	// fraction of the mean time between two places for which it is kept for all of them.
	maxClaimTime  = 100 * time.Millisecond
	claimFraction = 0.1
	// waitTimeout is how long an entry that asks no more still counts as waiting.
	waitTimeout = 2 * time.Second
	// historyTime is how long requests are kept. It is at least the longest window of a
	// limit.
	historyTime = 10 * time.Second
)

// useKind is on whose account a request counts.
type useKind uint8

const (
	// ownUse is a request of this entry in its own part.
	ownUse useKind = iota
	// givenUse is a place of this entry's part that another entry got.
	givenUse
	// receivedUse is a request of this entry in the part of another one.
	receivedUse
)

// countsIn reports whether a request counts in a part.
func (k useKind) countsIn(part Part) bool {
	if part.IsLendable {
		return k != receivedUse
	}
	return k != givenUse
}

type use struct {
	at   time.Time
	kind useKind
}

// waiter is an entry that was denied a place.
type waiter struct {
	entry   core.InstanceID
	askedAt time.Time
}

// assumedUse is a number of places that have become this entry's by a new division. The
// entries that had them may have used them just before.
type assumedUse struct {
	at    time.Time
	count int
}

// account holds the requests to one server.
type account struct {
	uses    []use
	assumed []assumedUse
	// part is the part that was observed last at observedAt.
	part       Part
	observedAt time.Time
	// reserved counts the requests that are about to be sent, by kind.
	reserved map[useKind]int
	// received holds until when each place may be used that another entry gave away.
	received []time.Time
	// waiting is ordered by the time since which the entries have waited.
	waiting []waiter
}

func (a *account) prune(now time.Time) {
	for len(a.uses) > 0 && now.Sub(a.uses[0].at) > historyTime {
		a.uses = a.uses[1:]
	}
	a.assumed = slices.DeleteFunc(a.assumed, func(u assumedUse) bool { return now.Sub(u.at) > historyTime })
	a.received = slices.DeleteFunc(a.received, func(until time.Time) bool { return now.After(until) })
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return now.Sub(w.askedAt) > waitTimeout })
}

func (a *account) isEmpty() bool {
	for _, n := range a.reserved {
		if n > 0 {
			return false
		}
	}
	return len(a.uses)+len(a.assumed)+len(a.received)+len(a.waiting) == 0
}

// never is the time at which an empty part opens.
var never = time.Unix(1<<60, 0)

// opensAt returns when an entry may next use all parts, which may be in the past.
func (a *account) opensAt(now time.Time, parts []Part, entry core.InstanceID) time.Time {
	var opensAt time.Time
	for _, part := range parts {
		t := a.partOpensAt(now, part)
		if t != never && part.IsLendable {
			t = t.Add(part.claimTime(a.waitingBefore(entry)))
		}
		if t.After(opensAt) {
			opensAt = t
		}
	}
	return opensAt
}

// endOfWindow returns the first moment at which a request no longer counts. A window
// includes both of its ends.
func (p Part) endOfWindow(at time.Time) time.Time { return at.Add(p.Window + time.Nanosecond) }

// claimTime returns how long a free place is kept for entries that have waited for longer.
func (p Part) claimTime(waiting int) time.Duration {
	longest := time.Duration(claimFraction * float64(p.Window) / float64(p.Requests))
	return min(time.Duration(waiting)*maxClaimTime, longest)
}

// partOpensAt returns when the part has a free place.
func (a *account) partOpensAt(now time.Time, part Part) time.Time {
	if part.Requests <= 0 {
		return never
	}
	part, assumedUntil := a.withoutAssumed(now, part)
	if part.Requests <= 0 {
		return assumedUntil
	}
	free := part.Requests
	for kind, n := range a.reserved {
		if kind.countsIn(part) {
			free -= n
		}
	}
	if free <= 0 {
		return now.Add(part.Window)
	}
	var opensAt time.Time
	if free < part.Requests && part.Interval > 0 {
		opensAt = now.Add(part.Interval)
	}
	for i := len(a.uses) - 1; i >= 0; i-- {
		u := a.uses[i]
		if !u.kind.countsIn(part) {
			continue
		}
		if opensAt.IsZero() {
			opensAt = u.at.Add(part.Interval)
		}
		if free--; free == 0 {
			if end := part.endOfWindow(u.at); end.After(opensAt) {
				opensAt = end
			}
			break
		}
	}
	return opensAt
}

// withoutAssumed returns the part without the places that are assumed to be in use, and
// when the first of these is free.
func (a *account) withoutAssumed(now time.Time, part Part) (Part, time.Time) {
	var until time.Time
	for _, u := range a.assumed {
		end := part.endOfWindow(u.at)
		if !part.IsLendable || !end.After(now) {
			continue
		}
		part.Requests -= u.count
		if until.IsZero() {
			until = end
		}
	}
	return part, until
}

// waitingBefore returns how many entries have waited for longer than one of them.
func (a *account) waitingBefore(entry core.InstanceID) int {
	for i, w := range a.waiting {
		if w.entry == entry {
			return i
		}
	}
	return len(a.waiting)
}

func (a *account) wait(now time.Time, entry core.InstanceID) {
	for i := range a.waiting {
		if a.waiting[i].entry == entry {
			a.waiting[i].askedAt = now
			return
		}
	}
	a.waiting = append(a.waiting, waiter{entry: entry, askedAt: now})
}

func (a *account) stopWaiting(entry core.InstanceID) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.entry == entry })
}

// notLendable returns the parts in which places of other entries do not count.
func notLendable(parts []Part) []Part {
	var list []Part
	for _, part := range parts {
		if !part.IsLendable {
			list = append(list, part)
		}
	}
	return list
}
