package sharedlimit

import (
	"sync"
	"time"

	"currantusher.dev/core"
)

// Ledger counts the requests of this entry to each server. Check and count are one step.
// It is safe for concurrent use.
type Ledger struct {
	self      core.InstanceID
	startedAt time.Time

	mu       sync.Mutex
	accounts map[core.InstanceID]*account
}

// NewLedger returns the empty ledger of an entry that starts at a time.
func NewLedger(self core.InstanceID, startedAt time.Time) *Ledger {
	return &Ledger{self: self, startedAt: startedAt, accounts: map[core.InstanceID]*account{}}
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
		if isFirst && now.Sub(l.startedAt) > historyTime || !isFirst && a.part.Window != part.Window {
			hadBefore = part.Requests
		}
		if added := part.Requests - hadBefore; added > 0 {
			a.assumed = append(a.assumed, assumedUse{at: now, count: added})
		}
		a.part, a.observedAt = part, now
	}
}
