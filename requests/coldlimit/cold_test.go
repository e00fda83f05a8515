package coldlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShareIsAPartOfTheWidenedLimit(t *testing.T) {
	limit := Limit{PerSecond: 36, Overshoot: 1.5, Slack: 5}
	require.Equal(t, 59, limit.PerEntry(1))
	require.Equal(t, 8, limit.PerEntry(7))
	require.Equal(t, 59, limit.PerEntry(0))
}

// Entries that each keep to their share stay under the limit in any window.
func TestWindowSlides(t *testing.T) {
	ledger := NewCounter()
	start := time.Unix(100, 0)
	var sent []time.Time
	for step := range 3000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if ledger.HasCapacity(now, "s-1", 8) {
			ledger.Record(now, "s-1")
			sent = append(sent, now)
		}
	}
	require.Greater(t, len(sent), 200)
	for i := range sent {
		inWindow := 0
		for _, other := range sent[i:] {
			if other.Sub(sent[i]) <= window {
				inWindow++
			}
		}
		require.LessOrEqual(t, inWindow, 8)
	}
	require.True(t, ledger.HasCapacity(start, "s-2", 1), "servers are counted apart")
	require.False(t, ledger.HasCapacity(start, "s-2", 0))
}

func TestSweepForgetsIdleServers(t *testing.T) {
	ledger := NewCounter()
	start := time.Unix(100, 0)
	ledger.Record(start, "s-1")
	ledger.Sweep(start)
	require.False(t, ledger.HasCapacity(start, "s-1", 1))
	ledger.Sweep(start.Add(2 * window))
	require.Empty(t, ledger.sent)
}
