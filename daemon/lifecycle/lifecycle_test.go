package lifecycle

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/invariant"
)

type recordingNotifier struct{ calls []string }

func (n *recordingNotifier) Leave(context.Context) error {
	n.calls = append(n.calls, "leave")
	return errors.New("list is down")
}

func (n *recordingNotifier) Left() { n.calls = append(n.calls, "left") }

func newTestLifecycle(notifier *recordingNotifier) *Lifecycle {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var l *Lifecycle
	l = New(Config{
		Notifier:     notifier,
		NoticePeriod: time.Second,
		DrainTimeout: 10 * time.Second,
		Running:      func() int { return l.Work.Count() },
		Abort:        func() { notifier.calls = append(notifier.calls, "abort") },
		Log:          logrus.NewEntry(log),
	})
	return l
}

func waitForContext(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestPlannedStopWaitsForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notifier := &recordingNotifier{}
		l := newTestLifecycle(notifier)
		endWork := l.Work.Begin()
		time.AfterFunc(5*time.Second, endWork)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		started := time.Now()
		before := invariant.Violations(invariant.GracefulStop)
		require.NoError(t, l.Run(ctx, []Task{waitForContext}))
		require.Equal(t, []string{"leave", "left"}, notifier.calls)
		require.Equal(t, 5*time.Second+leftNoticeTime, time.Since(started))
		require.Equal(t, before, invariant.Violations(invariant.GracefulStop))
	})
}

func TestStopDrainsWithoutTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notifier := &recordingNotifier{}
		l := newTestLifecycle(notifier)
		time.AfterFunc(5*time.Second, l.Work.Begin())
		l.Stop()
		require.NoError(t, l.Run(t.Context(), []Task{waitForContext}))
		require.Equal(t, []string{"leave", "left"}, notifier.calls)
		require.True(t, l.Draining())
	})
}

func TestDrainTimeoutBoundsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLifecycle(&recordingNotifier{})
		defer l.Work.Begin()()
		ctx, stop := context.WithCancel(t.Context())
		stop()
		started := time.Now()
		before := invariant.Violations(invariant.GracefulStop)
		require.NoError(t, l.Run(ctx, []Task{waitForContext}))
		require.Equal(t, 11*time.Second+leftNoticeTime, time.Since(started))
		require.Equal(t, before, invariant.Violations(invariant.GracefulStop), "an expired drain timeout does not violate the invariant")
	})
}

func TestKillAndFailedTask(t *testing.T) {
	notifier := &recordingNotifier{}
	l := newTestLifecycle(notifier)
	l.Kill()
	l.Kill()
	require.NoError(t, l.Run(t.Context(), []Task{waitForContext}))
	require.Equal(t, []string{"abort"}, notifier.calls)

	taskError := errors.New("task failed")
	err := newTestLifecycle(notifier).Run(t.Context(), []Task{waitForContext, func(context.Context) error { return taskError }})
	require.ErrorIs(t, err, taskError)
}

// TestInvariantGracefulStop calls checkStopped with work in progress, as if a planned
// stop had skipped the drain, and checks that this violates the invariant.
func TestInvariantGracefulStop(t *testing.T) {
	l := newTestLifecycle(&recordingNotifier{})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	before := invariant.Violations(invariant.GracefulStop)
	l.checkStopped(ctx)
	require.Equal(t, before, invariant.Violations(invariant.GracefulStop), "no request is in progress")
	defer l.Work.Begin()()
	l.checkStopped(ctx)
	require.Equal(t, before+1, invariant.Violations(invariant.GracefulStop), "a request was aborted")
}
