package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestWaitEndsWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group WorkTracker
		require.NoError(t, group.Wait(t.Context()), "idle at first")
		leave := group.Begin()
		done := make(chan error, 1)
		go func() { done <- group.Wait(t.Context()) }()
		synctest.Wait()
		second := group.Begin()
		leave()
		leave()
		synctest.Wait()
		require.Empty(t, done, "new work keeps the group busy")
		second()
		require.NoError(t, <-done)
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	var group WorkTracker
	defer group.Begin()()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, group.Wait(ctx), context.Canceled)
	require.Equal(t, 1, group.Count())
}
