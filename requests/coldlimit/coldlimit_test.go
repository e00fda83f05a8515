package coldlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func TestShareDividesTheWidenedLimit(t *testing.T) {
	limit := Limit{PerSecond: 36, Overshoot: 1.5, Slack: 5}
	require.Equal(t, 59, limit.Share("s-1", NewSharers("e-1", nil, 1)))
	require.Equal(t, 8, limit.Share("s-1", NewSharers("e-1", nil, 7)))
	require.Equal(t, 59, limit.Share("s-1", NewSharers("e-1", nil, 0)))
}

// A limit of 26 must stay usable with 45 or 149 entries.
func TestSharesAddUpToTheLimit(t *testing.T) {
	limit := Limit{PerSecond: 14, Overshoot: 1.5, Slack: 5}
	for _, entries := range []int{1, 2, 9, 15, 45, 149, 350} {
		var ids []core.InstanceID
		for i := range entries {
			ids = append(ids, core.InstanceID(fmt.Sprintf("e-%d", i)))
		}
		for server := range 20 {
			id := core.InstanceID(fmt.Sprintf("s-%d", server))
			sum := 0
			for i := range ids {
				others := append(append([]core.InstanceID(nil), ids[:i]...), ids[i+1:]...)
				sum += limit.Share(id, NewSharers(ids[i], others, entries))
			}
			require.LessOrEqual(t, sum, 26)
			require.GreaterOrEqual(t, sum, 23, "%d entries", entries)
		}
	}
}

// No sliding window may contain more requests than the limit of the entry.
func TestEverySlidingWindowStaysUnderTheLimit(t *testing.T) {
	counter := NewCounter()
	start := time.Unix(100, 0)
	var sent []time.Time
	for step := range 3000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if counter.HasCapacity(now, "s-1", 8) {
			counter.Record(now, "s-1")
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
	require.True(t, counter.HasCapacity(start, "s-2", 1), "requests are counted per server")
	require.False(t, counter.HasCapacity(start, "s-2", 0))
}

func TestSweepDropsIdleServers(t *testing.T) {
	counter := NewCounter()
	start := time.Unix(100, 0)
	counter.Record(start, "s-1")
	counter.Sweep(start)
	require.False(t, counter.HasCapacity(start, "s-1", 1))
	counter.Sweep(start.Add(2 * window))
	require.Empty(t, counter.sent)
}
