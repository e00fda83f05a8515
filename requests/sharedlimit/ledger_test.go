package sharedlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(100, 0)

func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func trySend(l *Ledger, now time.Time, parts ...Part) bool {
	r, ok := l.Reserve(now, "s-1", parts)
	if ok {
		r.Sent(now)
	}
	return ok
}

// No sliding window may contain more requests than the part of the entry.
func TestEverySlidingWindowStaysUnderThePart(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	part := Part{Requests: 8, Window: time.Second}
	var sent []time.Time
	for step := range 3000 {
		now := after(10 * step)
		if trySend(l, now, part) {
			sent = append(sent, now)
		}
	}
	require.Greater(t, len(sent), 200)
	for i := range sent {
		inWindow := 0
		for _, other := range sent[i:] {
			if other.Sub(sent[i]) <= part.Window {
				inWindow++
			}
		}
		require.LessOrEqual(t, inWindow, 8)
	}
	_, ok := l.Reserve(testStart, "s-2", []Part{part})
	require.True(t, ok, "requests are counted by server")
	_, ok = l.Reserve(testStart, "s-3", []Part{{Window: time.Second}})
	require.False(t, ok)
}

// Two requests that are placed at the same moment must not both pass before either is
// counted.
func TestRequestsPlacedAtOnceDoNotShareAPlace(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	parts := []Part{{Requests: 1, Window: time.Second}}
	first, ok := l.Reserve(testStart, "s-1", parts)
	require.True(t, ok)
	_, ok = l.Reserve(testStart, "s-1", parts)
	require.False(t, ok)

	first.Cancel()
	second, ok := l.Reserve(after(10), "s-1", parts)
	require.True(t, ok, "a request that was not sent takes no place")
	second.Sent(after(300))
	opensAt, ok := l.OpensAt(after(400), "s-1", parts)
	require.True(t, ok)
	require.Equal(t, after(1300).Add(time.Nanosecond), opensAt, "the request counts from when it was sent")
}

func TestRequestsBeforeTheLimitCount(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	require.True(t, trySend(l, after(0)))
	require.True(t, trySend(l, after(100)))
	require.False(t, trySend(l, after(900), Part{Requests: 2, Window: time.Second}))
	require.False(t, trySend(l, after(1000), Part{Requests: 2, Window: time.Second}), "a window includes its ends")
	require.True(t, trySend(l, after(1001), Part{Requests: 2, Window: time.Second}))
}

func TestPacedRequestsAreSpread(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	part := Part{Requests: 4, Window: 4 * time.Second, Interval: 500 * time.Millisecond}
	require.True(t, trySend(l, after(0), part))
	require.False(t, trySend(l, after(400), part))
	require.True(t, trySend(l, after(500), part))
}

func TestServerMustBeOpenInAllLimits(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	cold, rate := Part{Requests: 1, Window: time.Second}, Part{Requests: 3, Window: 4 * time.Second, IsLendable: true}
	require.True(t, trySend(l, after(0), cold, rate))
	require.False(t, trySend(l, after(900), cold, rate))
	l.Receive(after(900), "s-1", after(1100))
	require.False(t, trySend(l, after(900), cold, rate), "a place that another entry gave counts in one limit only")
	require.True(t, trySend(l, after(1001), cold, rate))
}

func TestPlaceOfAnotherEntryIsUsedOnceAndInTime(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	empty := Part{Window: time.Second, IsLendable: true}
	require.False(t, trySend(l, after(0), empty))
	l.Receive(after(0), "s-1", after(200))
	require.True(t, trySend(l, after(100), empty))
	require.False(t, trySend(l, after(110), empty))
	l.Receive(after(300), "s-1", after(400))
	require.False(t, trySend(l, after(500), empty))
	_, ok := l.OpensAt(after(500), "s-1", []Part{empty})
	require.False(t, ok)
}

func TestGivenPlacesCountInThePart(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	part := Part{Requests: 2, Window: time.Second, IsLendable: true}
	given, _ := l.Give(after(0), "s-1", part, "e-2")
	require.True(t, given)
	require.True(t, trySend(l, after(100), part))
	require.False(t, trySend(l, after(200), part))
	given, opensAt := l.Give(after(200), "s-1", part, "e-3")
	require.False(t, given)
	require.Equal(t, after(1000).Add(time.Nanosecond), opensAt)
	given, opensAt = l.Give(after(200), "s-1", Part{IsLendable: true}, "e-3")
	require.False(t, given)
	require.Zero(t, opensAt)
}

// An entry that holds a part and has requests all the time must not keep the others
// from the server.
func TestEntriesGetPlacesInTheOrderInWhichTheyBeganToWait(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	part := Part{Requests: 1, Window: time.Second, IsLendable: true}
	require.True(t, trySend(l, after(0), part))
	given, _ := l.Give(after(300), "s-1", part, "e-2")
	require.False(t, given)
	l.Await(after(400), "s-1")
	require.False(t, trySend(l, after(1000), part), "e-2 has waited for longer")
	given, _ = l.Give(after(1050), "s-1", part, "e-2")
	require.True(t, given)
	given, _ = l.Give(after(1100), "s-1", part, "e-2")
	require.False(t, given)
	given, _ = l.Give(after(2050), "s-1", part, "e-2")
	require.False(t, given, "e-1 waits since before")
	require.True(t, trySend(l, after(2051), part))
	require.False(t, trySend(l, after(3090), part), "the place is kept for e-2 for a moment")
	require.True(t, trySend(l, after(3160), part))
}

func TestSweepDropsIdleServers(t *testing.T) {
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	require.True(t, trySend(l, after(0)))
	l.Sweep(after(0))
	require.Len(t, l.accounts, 1)
	l.Sweep(after(0).Add(2 * historyTime))
	require.Empty(t, l.accounts)
}

// The entry that had the places before may learn of the new division later.
func TestPlacesOfANewDivisionOpenAfterAWindow(t *testing.T) {
	small, large := Part{Requests: 1, Window: time.Second, IsLendable: true}, Part{Requests: 3, Window: time.Second, IsLendable: true}
	l := NewLedger("e-1", testStart.Add(-time.Hour))
	require.True(t, trySend(l, after(0), small))
	require.False(t, trySend(l, after(500), large))
	require.True(t, trySend(l, after(1001), large))
	require.False(t, trySend(l, after(1400), large))
	require.True(t, trySend(l, after(1501), large))
	require.True(t, trySend(l, after(1510), large))

	started := NewLedger("e-1", after(0))
	require.False(t, trySend(started, after(500), small), "another process may have had the place")
	require.True(t, trySend(started, after(1501), small))

	higher := Part{Requests: 3, Window: 900 * time.Millisecond, IsLendable: true}
	l = NewLedger("e-1", testStart.Add(-time.Hour))
	require.True(t, trySend(l, after(0), small))
	require.True(t, trySend(l, after(500), higher), "the limit has risen")
}
