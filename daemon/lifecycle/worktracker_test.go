package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestWaitReturnsWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker WorkTracker
		require.NoError(t, tracker.Wait(t.Context()), "nothing is in progress at the start")
		endFirst := tracker.Begin()
		done := make(chan error, 1)
		go func() { done <- tracker.Wait(t.Context()) }()
		synctest.Wait()
		endSecond := tracker.Begin()
		endFirst()
		endFirst()
		synctest.Wait()
		require.Empty(t, done, "Wait must not return while new work is in progress")
		endSecond()
		require.NoError(t, <-done)
	})
}

func TestWaitReturnsWhenContextEnds(t *testing.T) {
	var tracker WorkTracker
	defer tracker.Begin()()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, tracker.Wait(ctx), context.Canceled)
	require.Equal(t, 1, tracker.Count())
}
