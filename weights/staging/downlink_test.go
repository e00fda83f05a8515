package staging

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func TestDownlinkLimitHalvesOnSlowTransfersAndRecovers(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	ctx := context.Background()
	for range baseMaxTransfers {
		require.NoError(t, d.acquire(ctx, false))
	}
	// All four transfers ran concurrently, so the limit is halved only once.
	for range baseMaxTransfers {
		now = now.Add(time.Millisecond)
		d.release(now, "a-1", time.Second)
	}
	require.InDelta(t, 2, d.limit, 0)
	now = now.Add(2 * time.Second)
	require.NoError(t, d.acquire(ctx, false))
	d.release(now, "a-1", time.Second)
	require.InDelta(t, 1, d.limit, 0)
	now = now.Add(2 * time.Second)
	require.NoError(t, d.acquire(ctx, false))
	d.release(now, "a-1", time.Second)
	require.InDelta(t, 1, d.limit, 0, "one transfer is always allowed")

	require.NoError(t, d.acquire(ctx, false))
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, d.acquire(cancelled, false), context.Canceled)
	d.release(now, "a-1", time.Millisecond)
	for range 20 {
		require.NoError(t, d.acquire(ctx, false))
		d.release(now, "a-1", time.Millisecond)
	}
	require.InDelta(t, baseMaxTransfers, d.limit, 0)
}

// Guards against taking the receiver's link for slow when only some senders are
// slow.
func TestLinkIsSlowWhenAllSourcesAreSlow(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	d.release(now, "a-1", time.Second)
	require.False(t, d.isLinkSlow(now), "the link of the sender may be the slow one")
	d.release(now, "a-2", time.Second)
	require.True(t, d.isLinkSlow(now))
	require.False(t, d.isLinkSlow(now.Add(slowLinkWindow)), "the link may have recovered")
	d.release(now, "a-3", time.Millisecond)
	require.False(t, d.isLinkSlow(now))
}

func TestDownlinkLimitGrowsWithNeighbours(t *testing.T) {
	d := newDownlink()
	d.setNeighbours(19)
	for range 19 {
		require.NoError(t, d.acquire(context.Background(), false))
	}
	d.setNeighbours(3)
	require.InDelta(t, baseMaxTransfers, d.limit, 0)
}

// Guards against counting a transfer without data as a fast transfer, which
// would reset the slow sources.
func TestUnusedTransferDoesNotCountAsFast(t *testing.T) {
	d := newDownlink()
	now := time.Unix(100, 0)
	for _, from := range []core.InstanceID{"a-1", "a-2"} {
		require.NoError(t, d.acquire(context.Background(), false))
		d.release(now, from, time.Second)
	}
	require.NoError(t, d.acquire(context.Background(), false))
	d.releaseUnused()
	require.True(t, d.isLinkSlow(now))
	require.Equal(t, int(d.limit), d.slots.available, "no transfer is active")
}

func TestSourceIsSlowWhileOthersAreFast(t *testing.T) {
	now := time.Unix(100, 0)
	d := newDownlink()
	d.release(now, "a-1", time.Second)
	require.False(t, d.isSourceSlow(now, "a-1"), "this agent's link may be the slow one")
	d.release(now, "a-2", time.Millisecond)
	require.True(t, d.isSourceSlow(now, "a-1"))
	require.False(t, d.isSourceSlow(now, "a-2"))
	require.False(t, d.isSourceSlow(now.Add(slowLinkWindow), "a-1"), "the next transfer shows whether the link has recovered")
	d.release(now, "a-3", time.Second)
	require.True(t, d.isSourceSlow(now, "a-3"))
	d.release(now, "a-1", time.Millisecond)
	require.False(t, d.isSourceSlow(now, "a-1"))
}

// Waiting transfers used to start in a random order, so that a piece could wait while
// others that were requested later arrived.
func TestWaitingTransfersStartInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDownlink()
		for range baseMaxTransfers {
			require.NoError(t, d.acquire(t.Context(), false))
		}
		order := make(chan int, 20)
		for i := range cap(order) {
			go func() {
				if d.acquire(t.Context(), false) == nil {
					order <- i
				}
			}()
			synctest.Wait()
		}
		for want := range cap(order) {
			d.releaseUnused()
			require.Equal(t, want, <-order)
		}
	})
}

// A limit that falls below the number of active transfers must not admit another one
// until enough of them have ended.
func TestLoweredLimitWaitsForActiveTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDownlink()
		for range baseMaxTransfers {
			require.NoError(t, d.acquire(t.Context(), false))
		}
		started := false
		go func() { started = d.acquire(t.Context(), true) == nil }()
		synctest.Wait()
		d.release(time.Now(), "a-1", time.Second)
		synctest.Wait()
		require.False(t, started, "three transfers are active, two are allowed")
		d.releaseUnused()
		synctest.Wait()
		require.False(t, started)
		d.releaseUnused()
		synctest.Wait()
		require.True(t, started)
	})
}
