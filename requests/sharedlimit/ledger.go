package sharedlimit

import (
	"slices"
	"sync"
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

// Ledger counts the requests of this entry to each server. Check and count are one step.
// It is safe for concurrent use.
type Ledger struct {
	self      core.InstanceID
	createdAt time.Time

	mu       sync.Mutex
	accounts map[core.InstanceID]*account
}

// NewLedger returns the empty ledger of an entry that starts at a time.
func NewLedger(self core.InstanceID, startedAt time.Time) *Ledger {
	return &Ledger{self: self, createdAt: startedAt, accounts: map[core.InstanceID]*account{}}
}

// Reservation is a request that is about to be sent. Exactly one of its methods must be
// called.
type Reservation struct {
	ledger *Ledger
	server core.InstanceID
	kind   useKind
}

// Sent counts the request from now on.
func (r *Reservation) Sent(now time.Time) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	a := r.ledger.account(now, r.server)
	a.reserved[r.kind]--
	a.uses = append(a.uses, use{at: now, kind: r.kind})
}

// Cancel returns the place of a request that is not sent.
func (r *Reservation) Cancel() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if a := r.ledger.accounts[r.server]; a != nil {
		a.reserved[r.kind]--
	}
}

// Reserve reserves a place for a request of this entry, within all of its parts of the
// limits of the server. Without parts it always succeeds: the request counts in limits
// that are named later.
func (l *Ledger) Reserve(now time.Time, server core.InstanceID, parts []Part) (*Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, server)
	l.observe(now, a, parts)
	kind := ownUse
	if a.opensAt(now, parts, l.self).After(now) {
		if len(a.received) == 0 || a.opensAt(now, notLendable(parts), l.self).After(now) {
			return nil, false
		}
		a.received = a.received[1:]
		kind = receivedUse
	}
	a.stopWaiting(l.self)
	a.reserved[kind]++
	return &Reservation{ledger: l, server: server, kind: kind}, true
}

// OpensAt returns when this entry may next send a request to the server, which is not
// after now if it may at once. It returns false if one of its parts is empty.
func (l *Ledger) OpensAt(now time.Time, server core.InstanceID, parts []Part) (opensAt time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, server)
	l.observe(now, a, parts)
	if len(a.received) > 0 {
		parts = notLendable(parts)
	}
	opensAt = a.opensAt(now, parts, l.self)
	return opensAt, opensAt != never
}

// Await records that a request of this entry was refused for lack of a place.
func (l *Ledger) Await(now time.Time, server core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(now, server).wait(now, l.self)
}

// Give gives a place of this entry's part to another one. If there is none, it returns
// when the entry should ask again, or the zero time if this entry has no part.
func (l *Ledger) Give(now time.Time, server core.InstanceID, part Part, to core.InstanceID) (given bool, opensAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, server)
	l.observe(now, a, []Part{part})
	opensAt = a.opensAt(now, []Part{part}, to)
	switch {
	case opensAt == never:
		return false, time.Time{}
	case opensAt.After(now):
		a.wait(now, to)
		return false, opensAt
	}
	a.stopWaiting(to)
	a.uses = append(a.uses, use{at: now, kind: givenUse})
	return true, now
}

// Receive adds a place that another entry has given away. It may be used until a time.
func (l *Ledger) Receive(now time.Time, server core.InstanceID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, server)
	a.received = append(a.received, until)
}

// Sweep drops the accounts of servers without a recent request.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, a := range l.accounts {
		a.prune(now)
		if a.isEmpty() && now.Sub(a.observedAt) > historyTime {
			delete(l.accounts, server)
		}
	}
}

// account returns the account of a server without what is too old to count.
func (l *Ledger) account(now time.Time, server core.InstanceID) *account {
	a := l.accounts[server]
	if a == nil {
		a = &account{reserved: map[useKind]int{}}
		l.accounts[server] = a
	}
	a.prune(now)
	return a
}

// observe compares the lendable part with the one that was observed before. What this
// entry has in addition because of a new division opens after a window: the entries that
// had it before may learn of the division later. The part of a limit that has changed
// counts at once.
func (l *Ledger) observe(now time.Time, a *account, parts []Part) {
	for _, part := range parts {
		if !part.IsLendable {
			continue
		}
		isFirst := a.observedAt.IsZero()
		hadBefore := a.part.Requests
		if isFirst && now.Sub(l.createdAt) > historyTime || !isFirst && a.part.Window != part.Window {
			hadBefore = part.Requests
		}
		if added := part.Requests - hadBefore; added > 0 {
			a.assumed = append(a.assumed, assumedUse{at: now, count: added})
		}
		a.part, a.observedAt = part, now
	}
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
			if end := u.at.Add(part.Window); end.After(opensAt) {
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
		end := u.at.Add(part.Window)
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
