package notices

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	testEpoch = time.Unix(1000, 0)
	server    = Lifetime{Server: "s-1", Incarnation: 10}
	successor = Lifetime{Server: "s-1", Incarnation: 11}
	neighbour = Lifetime{Server: "s-2", Incarnation: 10}
)

func after(d time.Duration) time.Time { return testEpoch.Add(d) }

func isListed(listed ...Lifetime) func(Lifetime) bool {
	return func(l Lifetime) bool {
		for _, known := range listed {
			if known == l {
				return true
			}
		}
		return false
	}
}

func TestLeavingServerStaysClosedUntilANewLifetime(t *testing.T) {
	s := NewSet()
	require.True(t, s.Record(testEpoch, server, Notice{Leaving: true}).StartsLeaving)
	require.False(t, s.Record(after(time.Second), server, Notice{Leaving: true}).StartsLeaving)
	require.Equal(t, Change{}, s.Record(after(time.Second), server, Notice{}), "an answer without the header that was overtaken changes nothing")
	for _, later := range []time.Duration{0, time.Second, time.Hour} {
		require.Equal(t, State{Reason: Leaving}, s.State(after(later), server))
		require.Equal(t, State{}, s.State(after(later), successor))
		require.Equal(t, State{}, s.State(after(later), neighbour), "another server at the same address")
	}
}

func TestPauseEndsAtTheLatestTimeAskedFor(t *testing.T) {
	s := NewSet()
	change := s.Record(testEpoch, server, Notice{Pause: 2500 * time.Millisecond})
	require.Equal(t, Change{Pause: 2500 * time.Millisecond, StartsPause: true}, change)
	change = s.Record(after(100*time.Millisecond), server, Notice{Pause: 300 * time.Millisecond})
	require.Equal(t, Change{Pause: 300 * time.Millisecond}, change, "a shorter pause does not end a longer one")
	end := after(2500 * time.Millisecond)
	require.Equal(t, State{Reason: Paused, OpensAt: end}, s.State(after(2499*time.Millisecond), server))
	require.Equal(t, State{}, s.State(end, server))
	require.Equal(t, State{}, s.State(testEpoch, successor))
	require.Equal(t, end, s.PauseEnd(server))
	require.Zero(t, s.PauseEnd(successor))

	require.Equal(t, MaxPause, s.Record(end, server, Notice{Pause: 1000 * time.Hour}).Pause)
	require.Equal(t, State{}, s.State(end.Add(MaxPause), server))
}

func TestLeavingOutlastsAPause(t *testing.T) {
	s := NewSet()
	s.Record(testEpoch, server, Notice{Leaving: true, Pause: time.Second})
	require.Equal(t, State{Reason: Leaving}, s.State(testEpoch, server))
	require.Equal(t, State{Reason: Leaving}, s.State(after(time.Minute), server))
}

// A row that is lost by the store and written again must not reopen a server.
func TestAnnouncementSurvivesAMissingRow(t *testing.T) {
	s := NewSet()
	s.Record(testEpoch, server, Notice{Leaving: true})
	s.Record(testEpoch, neighbour, Notice{Pause: time.Second})
	require.Equal(t, 2, s.Sweep(testEpoch, isListed()))
	require.Equal(t, 1, s.Sweep(after(retention), isListed()))
	require.Equal(t, Leaving, s.State(after(retention), server).Reason)
	require.Equal(t, 1, s.Sweep(after(2*retention), isListed(server)), "a listed server is kept")
	require.Equal(t, Leaving, s.State(after(3*retention), server).Reason)
	require.Zero(t, s.Sweep(after(3*retention+time.Second), isListed()))
	require.True(t, s.IsEmpty())
}

func TestAnnouncementWithoutAStartTimeExpires(t *testing.T) {
	s := NewSet()
	unknown := Lifetime{Server: "s-1"}
	s.Record(testEpoch, unknown, Notice{Leaving: true})
	require.Equal(t, 1, s.Sweep(after(retention), isListed(unknown)))
	require.Zero(t, s.Sweep(after(retention+time.Second), isListed(unknown)))
	require.Equal(t, State{}, s.State(after(retention+time.Second), unknown))
}

func TestClosureNeedsAllServersClosed(t *testing.T) {
	s := NewSet()
	third := Lifetime{Server: "s-3", Incarnation: 1}
	servers := []Server{{Lifetime: server, Slots: 8}, {Lifetime: neighbour, Slots: 6}, {Lifetime: third, Slots: 4}}
	isClosed := func(now time.Time, servers []Server) bool {
		_, ok := s.Closure(now, servers)
		return ok
	}
	require.False(t, isClosed(testEpoch, servers))
	s.Record(testEpoch, server, Notice{Pause: 3 * time.Second})
	s.Record(testEpoch, neighbour, Notice{Leaving: true})
	require.False(t, isClosed(testEpoch, servers))
	require.False(t, isClosed(testEpoch, nil))
	s.Record(testEpoch, third, Notice{Pause: 5 * time.Second})
	closure, ok := s.Closure(testEpoch, servers)
	require.True(t, ok)
	require.Equal(t, Closure{Paused: 2, Leaving: 1, OpensAt: after(3 * time.Second), Slots: 8}, closure)
	require.False(t, isClosed(after(3*time.Second), servers), "the first pause has ended")

	s.Record(after(3*time.Second), server, Notice{Pause: 2500 * time.Millisecond})
	closure, _ = s.Closure(after(3*time.Second), servers)
	require.Equal(t, Closure{Paused: 2, Leaving: 1, OpensAt: after(5 * time.Second), Slots: 12}, closure, "servers that open together count together")

	onlyLeaving, ok := s.Closure(testEpoch, servers[1:2])
	require.True(t, ok)
	require.Equal(t, Closure{Leaving: 1}, onlyLeaving)
}

func TestLimitedServersOpenWithTheirNextPlaces(t *testing.T) {
	s := NewSet()
	s.Record(testEpoch, server, Notice{Pause: 3 * time.Second})
	limited := Server{Lifetime: neighbour, Slots: 6, LimitedUntil: after(time.Second)}
	closure, ok := s.Closure(testEpoch, []Server{{Lifetime: server, Slots: 8}, limited})
	require.True(t, ok)
	require.Equal(t, Closure{Paused: 1, Limited: 1, OpensAt: after(time.Second)}, closure)
	_, ok = s.Closure(after(time.Second), []Server{{Lifetime: server, Slots: 8}, limited})
	require.False(t, ok)
}

// The end of a pause must not send a burst to a server.
func TestLimitGrowsGraduallyAfterAPause(t *testing.T) {
	require.Equal(t, 8, RampLimit(testEpoch, time.Time{}, 8))
	require.Equal(t, 1, RampLimit(testEpoch, testEpoch, 1))
	last := 0
	for elapsed := time.Duration(0); elapsed <= 2*rampTime; elapsed += rampTime / 32 {
		limit := RampLimit(after(elapsed), testEpoch, 32)
		require.LessOrEqual(t, limit-last, 1, "after %v", elapsed)
		require.GreaterOrEqual(t, limit, max(last, 1))
		last = limit
	}
	require.Equal(t, 32, last)
}
