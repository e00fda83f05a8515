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

type leaver struct{ told []string }

func (l *leaver) Leave(context.Context) error {
	l.told = append(l.told, "leave")
	return errors.New("list is down")
}

func (l *leaver) Left() { l.told = append(l.told, "left") }

func newLife(told *leaver) *Lifecycle {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var l *Lifecycle
	l = New(Config{
		Notifier:     told,
		NoticePeriod: time.Second,
		DrainTimeout: 10 * time.Second,
		Running:      func() int { return l.Work.Count() },
		Abort:        func() { told.told = append(told.told, "abort") },
		Log:          logrus.NewEntry(log),
	})
	return l
}

func waitForEnd(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestPlannedStopWaitsForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := &leaver{}
		l := newLife(told)
		leave := l.Work.Begin()
		time.AfterFunc(5*time.Second, leave)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		started := time.Now()
		before := invariant.Count(invariant.GracefulStop)
		require.NoError(t, l.Run(ctx, []Task{waitForEnd}))
		require.Equal(t, []string{"leave", "left"}, told.told)
		require.Equal(t, 5*time.Second+leftNotice, time.Since(started))
		require.Equal(t, before, invariant.Count(invariant.GracefulStop))
	})
}

func TestStopDrainsWithoutTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := &leaver{}
		l := newLife(told)
		time.AfterFunc(5*time.Second, l.Work.Begin())
		l.Stop()
		require.NoError(t, l.Run(t.Context(), []Task{waitForEnd}))
		require.Equal(t, []string{"leave", "left"}, told.told)
		require.True(t, l.Draining())
	})
}

func TestDrainTimeBoundsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLife(&leaver{})
		defer l.Work.Begin()()
		ctx, stop := context.WithCancel(t.Context())
		stop()
		started := time.Now()
		before := invariant.Count(invariant.GracefulStop)
		require.NoError(t, l.Run(ctx, []Task{waitForEnd}))
		require.Equal(t, 11*time.Second+leftNotice, time.Since(started))
		require.Equal(t, before, invariant.Count(invariant.GracefulStop), "an expired drain is not a broken promise")
	})
}

func TestKillAndFailedDuty(t *testing.T) {
	told := &leaver{}
	l := newLife(told)
	l.Kill()
	l.Kill()
	require.NoError(t, l.Run(t.Context(), []Task{waitForEnd}))
	require.Equal(t, []string{"abort"}, told.told)

	broken := errors.New("broken")
	err := newLife(told).Run(t.Context(), []Task{waitForEnd, func(context.Context) error { return broken }})
	require.ErrorIs(t, err, broken)
}

// TestInvariantGracefulStop leaves out the wait for work in progress.
func TestInvariantGracefulStop(t *testing.T) {
	l := newLife(&leaver{})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	before := invariant.Count(invariant.GracefulStop)
	l.checkStopped(ctx)
	require.Equal(t, before, invariant.Count(invariant.GracefulStop), "nothing runs")
	defer l.Work.Begin()()
	l.checkStopped(ctx)
	require.Equal(t, before+1, invariant.Count(invariant.GracefulStop), "a request was cut")
}
