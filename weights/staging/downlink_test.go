package staging

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func TestDownlinkNarrowsOnSlowTransfersAndWidensAgain(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	ctx := context.Background()
	for range fewTransfers {
		require.NoError(t, d.acquire(ctx, false))
	}
	// All four were slow together: one halving.
	for range fewTransfers {
		now = now.Add(time.Millisecond)
		d.release(now, "a-1", time.Second)
	}
	require.InDelta(t, 2, d.bound, 0)
	now = now.Add(2 * time.Second)
	require.NoError(t, d.acquire(ctx, false))
	d.release(now, "a-1", time.Second)
	require.InDelta(t, 1, d.bound, 0)
	now = now.Add(2 * time.Second)
	require.NoError(t, d.acquire(ctx, false))
	d.release(now, "a-1", time.Second)
	require.InDelta(t, 1, d.bound, 0, "one transfer is always let through")

	require.NoError(t, d.acquire(ctx, false))
	full, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, d.acquire(full, false), context.Canceled)
	d.release(now, "a-1", time.Millisecond)
	for range 20 {
		require.NoError(t, d.acquire(ctx, false))
		d.release(now, "a-1", time.Millisecond)
	}
	require.InDelta(t, fewTransfers, d.bound, 0)
}

// Slow senders do not make the receiver's link narrow.
func TestLinkIsNarrowWhenAllSourcesAreSlow(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	d.release(now, "a-1", time.Second)
	require.False(t, d.isNarrow(now), "the sender may be the slow one")
	d.release(now, "a-2", time.Second)
	require.True(t, d.isNarrow(now))
	require.False(t, d.isNarrow(now.Add(narrowFor)), "the link may be sound again")
	d.release(now, "a-3", time.Millisecond)
	require.False(t, d.isNarrow(now))
}

func TestDownlinkWidensWithNeighbours(t *testing.T) {
	d := newDownlink()
	d.widen(19)
	for range 19 {
		require.NoError(t, d.acquire(context.Background(), false))
	}
	d.widen(3)
	require.InDelta(t, fewTransfers, d.bound, 0)
}

// A sender that never began must not pass for a fast transfer.
func TestAbandonedTransferTellsNothing(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	for _, from := range []core.InstanceID{"a-1", "a-2"} {
		require.NoError(t, d.acquire(context.Background(), false))
		d.release(now, from, time.Second)
	}
	require.NoError(t, d.acquire(context.Background(), false))
	d.abandon()
	require.True(t, d.isNarrow(now))
	require.Zero(t, d.used)
}
