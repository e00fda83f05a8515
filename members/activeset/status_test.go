package activeset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTiming = Timing{Hold: 6 * time.Second, Settle: 2 * time.Second}

func TestEntryHoldsSharesOnceOthersKnowOfIt(t *testing.T) {
	start := time.Unix(1000, 0)
	var status Status
	require.False(t, status.IsActive())
	status.Update(start, true, false, testTiming)
	require.True(t, status.IsActive(), "it takes requests at once")
	require.False(t, status.HoldsShares())
	status.Update(start.Add(testTiming.Settle), true, false, testTiming)
	require.True(t, status.HoldsShares())
}

// Every entry that is cut off from the others selects itself.
func TestIsolatedEntryGetsNoSharesAndKeepsItsOwn(t *testing.T) {
	start := time.Unix(1000, 0)
	var standby, active Status
	active.Update(start, true, false, testTiming)
	active.Update(start.Add(testTiming.Settle), true, false, testTiming)
	for elapsed := 2 * testTiming.Settle; elapsed < 10*testTiming.Settle; elapsed += testTiming.Settle {
		standby.Update(start.Add(elapsed), true, true, testTiming)
		active.Update(start.Add(elapsed), true, true, testTiming)
		require.True(t, standby.IsActive())
		require.False(t, standby.HoldsShares())
		require.True(t, active.HoldsShares())
	}
}

func TestEntryStaysActiveWhileCallersMayUseIt(t *testing.T) {
	start := time.Unix(1000, 0)
	var status Status
	status.Update(start, true, false, testTiming)
	status.Update(start.Add(testTiming.Hold-time.Millisecond), false, false, testTiming)
	require.True(t, status.IsActive())
	require.True(t, status.HoldsShares())
	status.Update(start.Add(testTiming.Hold), false, false, testTiming)
	require.False(t, status.IsActive())
	require.False(t, status.HoldsShares())
	status.Update(start.Add(2*testTiming.Hold), true, false, testTiming)
	require.False(t, status.HoldsShares(), "an earlier term does not count")
}

func TestPeakRateIsForgottenAfterItsWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	var rate PeakRate
	require.Zero(t, rate.PerSecond(start))
	for range 30 {
		rate.Record(start)
	}
	rate.Record(start.Add(3 * time.Second))
	require.InDelta(t, 30, rate.PerSecond(start.Add(9*time.Second)), 0)
	require.InDelta(t, 1, rate.PerSecond(start.Add(10*time.Second)), 0)
	require.Zero(t, rate.PerSecond(start.Add(time.Hour)))
}
