// Package lifecycle runs a daemon's tasks and stops them: gracefully, without
// aborting work in progress, immediately, or because a task failed.
package lifecycle

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core/invariant"
)

// leftNoticeTime is the wait after LeaveNotifier.Left for its message to be sent.
const leftNoticeTime = 200 * time.Millisecond

// Task is a long-running part of a daemon. It returns when ctx ends.
type Task func(ctx context.Context) error

// LeaveNotifier announces a planned stop to other daemons.
type LeaveNotifier interface {
	// Leave announces that the daemon accepts no new work.
	Leave(ctx context.Context) error
	// Left announces that the daemon has no work in progress and stops now.
	Left()
}

// Config configures how a daemon stops.
type Config struct {
	Notifier LeaveNotifier
	// NoticePeriod is the time for the leave to become known at other daemons.
	NoticePeriod time.Duration
	// DrainTimeout bounds the wait for work in progress after NoticePeriod.
	DrainTimeout time.Duration
	// Running returns the number of requests that a stop would abort.
	Running func() int
	// Abort closes all connections immediately.
	Abort func()
	Log   *logrus.Entry
}

// Lifecycle runs and stops one daemon process. Work counts the operations for which
// a planned stop waits.
type Lifecycle struct {
	Work WorkTracker

	config       Config
	draining     atomic.Bool
	drainExpired atomic.Bool
	killed       chan struct{}
	kill         func()
	stopped      chan struct{}
	stop         func()
}

// New returns the lifecycle of a daemon that has not started.
func New(config Config) *Lifecycle {
	l := &Lifecycle{config: config, killed: make(chan struct{}), stopped: make(chan struct{})}
	l.kill = sync.OnceFunc(func() { close(l.killed) })
	l.stop = sync.OnceFunc(func() { close(l.stopped) })
	return l
}

// Stop begins a planned stop, like the end of Run's context.
func (l *Lifecycle) Stop() { l.stop() }

// Kill ends Run immediately without draining, like the loss of the instance.
func (l *Lifecycle) Kill() { l.kill() }

// Draining reports whether a planned stop has begun.
func (l *Lifecycle) Draining() bool { return l.draining.Load() }

// Run runs the tasks until a planned stop, which begins with Stop or the end of
// ctx, until Kill, or until a task fails.
func (l *Lifecycle) Run(ctx context.Context, tasks []Task) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	for _, task := range tasks {
		group.Go(func() error { return IgnoreCancelled(task(groupCtx)) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			l.drain()
		case <-l.stopped:
			l.drain()
		case <-l.killed:
			l.config.Abort()
		case <-groupCtx.Done():
		}
		return nil
	})
	err := group.Wait()
	l.checkStopped(ctx)
	return err
}

// IgnoreCancelled returns err, or nil if it is the error of a cancelled context,
// which is the normal end of a task.
func IgnoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain announces the leave, waits until it is known at other daemons, waits for
// work in progress and announces the end.
func (l *Lifecycle) drain() {
	l.draining.Store(true)
	l.config.Log.Info("Leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), l.config.NoticePeriod+l.config.DrainTimeout)
	defer cancel()
	if err := l.config.Notifier.Leave(ctx); err != nil {
		l.config.Log.WithError(err).Warn("Could not announce the leave to the platform's list.")
	}
	time.Sleep(l.config.NoticePeriod)
	if err := l.Work.Wait(ctx); err != nil {
		l.drainExpired.Store(true)
		l.config.Log.WithField("running", l.config.Running()).Warn("Drain timeout expired with work in progress.")
	}
	l.config.Notifier.Left()
	time.Sleep(leftNoticeTime)
}

// checkStopped checks the invariant that a planned stop aborts no requests unless
// the drain timeout expired.
func (l *Lifecycle) checkStopped(ctx context.Context) {
	planned := (ctx.Err() != nil || l.draining.Load()) && !l.drainExpired.Load()
	running := l.config.Running()
	invariant.Check(invariant.GracefulStop, !planned || running == 0, "stopped with %d requests in progress", running)
}
