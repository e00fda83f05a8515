// Package membudget bounds the memory that other parties can make a process hold. Each
// connection, request or answer has an account in a budget. When the budget is exhausted, the
// accounts that hold most without recent progress are closed. The package has no clock and does
// no I/O.
package membudget

import (
	"sync"
	"time"
)

const (
	// QuietTime is the time without progress after which an account may be closed. It
	// exceeds the pauses of a transfer that loses a packet.
	QuietTime = 500 * time.Millisecond
	// SmallBytes is the most that an account may hold to use the whole budget. Larger
	// accounts share LargeShare of it, so that they cannot keep out ordinary requests.
	SmallBytes = 64 << 10
	// LargeShare is the share of the budget within which accounts grow beyond SmallBytes.
	LargeShare = 0.75
)

// Owner ends what an account pays for, for example by closing a connection. It is called at most
// once, without locks of the budget, and must not block. A nil Owner means that the account is
// never closed.
type Owner func()

// Budget counts the bytes that accounts hold. It is safe for concurrent use. A nil Budget has no
// limit.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	closed   int64
	refused  int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}}
}

// Used returns the bytes that all accounts hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the most bytes that accounts may hold together.
func (b *Budget) Limit() int64 { return b.limit }

// Closed returns how many accounts were closed to make room for others.
func (b *Budget) Closed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// Refused returns how often an account could not grow.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Account holds bytes of a budget. A nil Account grows without limit.
type Account struct {
	budget *Budget
	owner  Owner

	// The budget's lock guards these fields.
	held       int64
	progressAt time.Time
	isBusy     bool
	isEnded    bool
}

// Open returns an account that holds nothing. Release must be called when its owner ends.
func (b *Budget) Open(owner Owner) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, owner: owner}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Grow adds bytes to the account. It returns false, and adds nothing, if the account was closed
// or if the budget is exhausted and no other account can be closed.
func (a *Account) Grow(now time.Time, bytes int64) bool {
	if a == nil {
		return true
	}
	closed, ok := a.grow(now, bytes)
	for _, account := range closed {
		account.owner()
	}
	return ok
}

func (a *Account) grow(now time.Time, bytes int64) (closed []*Account, ok bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isEnded {
		return nil, false
	}
	if a.progressAt.IsZero() {
		a.progressAt = now
	}
	limit := b.limit
	if a.held+bytes > SmallBytes {
		limit = int64(LargeShare * float64(b.limit))
	}
	for b.used+bytes > limit {
		victim := b.largestQuiet(now, a)
		if victim == nil {
			b.refused++
			return closed, false
		}
		b.end(victim)
		b.closed++
		closed = append(closed, victim)
	}
	a.held += bytes
	b.used += bytes
	return closed, true
}

// largestQuiet returns the account other than self that may be closed and holds most, or nil.
func (b *Budget) largestQuiet(now time.Time, self *Account) *Account {
	var largest *Account
	for a := range b.accounts {
		if a == self || a.owner == nil || a.isBusy || a.held == 0 || now.Sub(a.progressAt) < QuietTime {
			continue
		}
		if largest == nil || a.held > largest.held {
			largest = a
		}
	}
	return largest
}

// end removes an account. The caller holds the lock.
func (b *Budget) end(a *Account) {
	if a.isEnded {
		return
	}
	a.isEnded = true
	b.used -= a.held
	a.held = 0
	delete(b.accounts, a)
}

// Shrink returns bytes of the account to the budget, at most those that it holds.
func (a *Account) Shrink(bytes int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	bytes = min(bytes, a.held)
	a.held -= bytes
	a.budget.used -= bytes
}

// Progress records that the account's owner made progress.
func (a *Account) Progress(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressAt = now
}

// SetBusy sets whether the process itself needs what the account holds, for example for a request
// that runs. A busy account is not closed.
func (a *Account) SetBusy(isBusy bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.isBusy = isBusy
}

// Release returns all bytes to the budget. The account cannot grow any more. It may be called
// more than once.
func (a *Account) Release() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.end(a)
}

// IsClosed reports whether the account was closed or released.
func (a *Account) IsClosed() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isEnded
}
