package queuewait

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/latency"
)

var start = time.Unix(1_700_000_000, 0)

func sustainedRate() float64 { return latency.MaxRequestsPerSecond(testTiming, testSlots) }

// Entries that stopped sending to older weights 1.2 s before a version had to be in force
// sent requests that began after it, at slow or overfilled servers.
func TestBoundHoldsForAllButOneIn10000Sends(t *testing.T) {
	t.Run("3 entries", func(t *testing.T) { checkBound(t, 1, 3) })
	t.Run("16 entries", func(t *testing.T) { checkBound(t, 1, 16) })
}

func TestBoundHoldsForAllButOneIn10000SendsOfALargeFleet(t *testing.T) { checkBound(t, 2, 60) }

func checkBound(t *testing.T, seed uint64, entries int) {
	const simulated = 3000 * time.Second
	s := newSimulation(seed, entries, episodes{slow: 7, leave: true, burst: true})
	s.run(simulated)
	slices.Sort(s.bounds)
	median := s.bounds[len(s.bounds)/2]
	t.Logf("%d sends, %d beyond the estimate, %d beyond %v; median estimate %v", s.sends, s.late, s.constant, constantMargin, median)
	require.Greater(t, s.sends, 10_000)
	require.Greater(t, 10_000*s.constant, s.sends, "the simulation does not exceed the constant")
	require.Less(t, median, 2*time.Second, "the estimate keeps callers from usable servers")
	require.LessOrEqual(t, 10_000*s.late, s.sends)
}

func TestBoundGrowsWithThePaceOfTheServer(t *testing.T) {
	load := Load{Slots: testSlots, Peers: 4, Timing: testTiming}
	answer := func(e *Estimator, now time.Time, gap time.Duration) time.Time {
		r := e.Sent(now, "s-1", load)
		for range 18 {
			now = now.Add(gap)
			r.Event(now)
		}
		r.Close(true)
		return now
	}
	e := NewEstimator()
	now := answer(e, start, 60*time.Millisecond)
	usual := e.Bound(now, "s-1", load)
	now = answer(e, now, 420*time.Millisecond)
	require.Greater(t, e.Bound(now, "s-1", load), 3*usual)
	require.Greater(t, e.Pace(now, "s-1", load), 3.0)

	load.PeerPace = e.Pace(now, "s-1", load)
	require.Greater(t, NewEstimator().Bound(now, "s-1", load), 3*usual, "another entry learns of the pace")
}

func TestBoundCoversTheAgeOfWaitingRequests(t *testing.T) {
	e, load := NewEstimator(), Load{Slots: testSlots, Timing: testTiming}
	r := e.Sent(start, "s-1", load)
	now := start.Add(5 * time.Second)
	require.Greater(t, e.Bound(now, "s-1", load), 5*time.Second, "not begun yet")
	wait, bound, first := r.Event(now)
	require.True(t, first)
	require.Equal(t, 5*time.Second, wait)
	require.Less(t, bound, wait)
	require.Greater(t, e.Bound(now.Add(time.Second), "s-1", load), 5*time.Second, "begun recently")
	r.Close(true)
	require.Less(t, e.Bound(now.Add(3*recentTime), "s-1", load), 3*time.Second, "long ago")
}

// The requests of entries that leave still hold their slots.
func TestBoundCountsRequestsOfEntriesThatLeft(t *testing.T) {
	e, load := NewEstimator(), Load{Slots: testSlots, Peers: 14, Timing: testTiming}
	e.ObservePeers(start, "s-1", 14)
	before := e.Bound(start, "s-1", load)
	load.Peers = 4
	e.ObservePeers(start.Add(gossipRound), "s-1", 4)
	require.Greater(t, e.Bound(start.Add(gossipRound), "s-1", load), before)
}

// Half of 60 entries returned during a burst while the others still divided the free slots
// among 30.
func TestBoundCountsSlotsClaimedByEntriesWithAnotherMembership(t *testing.T) {
	e, load := NewEstimator(), Load{Slots: testSlots, Timing: testTiming}
	observe := func(now time.Time, entries int) time.Duration {
		e.ObserveDivision(now, "s-1", entries, testSlots)
		return e.Bound(now, "s-1", load)
	}
	stable := observe(start, 60)
	require.Equal(t, stable, observe(start.Add(gossipRound), 60))
	left := observe(start.Add(2*gossipRound), 30)
	require.Greater(t, left, stable+time.Second)
	require.Less(t, observe(start.Add(3*gossipRound), 29), left+200*time.Millisecond)
	require.Equal(t, stable, observe(start.Add(4*gossipRound+memberTTL), 29), "the others are known to have left")
}

func TestBoundOfFullServerIgnoresItsDivision(t *testing.T) {
	e, load := NewEstimator(), Load{Slots: testSlots, Peers: testSlots, Timing: testTiming}
	e.ObserveDivision(start, "s-1", 60, 0)
	stable := e.Bound(start, "s-1", load)
	e.ObserveDivision(start.Add(gossipRound), "s-1", 30, 0)
	require.Equal(t, stable, e.Bound(start.Add(gossipRound), "s-1", load))
}

func TestBoundOfUnknownEngine(t *testing.T) {
	require.Equal(t, UnknownBound, NewEstimator().Bound(start, "s-1", Load{Slots: testSlots}))
}

func TestSweepKeepsServersWithRequests(t *testing.T) {
	e, load := NewEstimator(), Load{Slots: testSlots, Timing: testTiming}
	r := e.Sent(start, "s-1", load)
	e.Sent(start, "s-2", load).Close(false)
	e.Sweep(start.Add(2 * idleTTL))
	require.Contains(t, e.servers, core.InstanceID("s-1"))
	require.NotContains(t, e.servers, core.InstanceID("s-2"))
	_, _, first := r.Event(start.Add(2 * idleTTL))
	require.True(t, first)
}
