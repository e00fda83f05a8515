// Package lifecycle runs a daemon's duties and ends them: by a planned stop that
// cuts no work, at once, or because a duty failed.
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

// leftNotice leaves time for the last report to be sent.
const leftNotice = 200 * time.Millisecond

// Task is one job of a daemon. It returns when ctx ends.
type Task func(ctx context.Context) error

// LeaveNotifier tells others of a planned stop.
type LeaveNotifier interface {
	// Leave says that the daemon starts no new work.
	Leave(ctx context.Context) error
	// Left says that it has no work and ends now.
	Left()
}

// Config describes how a daemon ends.
type Config struct {
	Notifier LeaveNotifier
	// NoticePeriod is how long others may take to learn of the leave.
	NoticePeriod time.Duration
	// DrainTimeout bounds the wait for work in progress after Notice.
	DrainTimeout time.Duration
	// Running counts work that a stop would cut.
	Running func() int
	// Abort ends all connections at once.
	Abort func()
	Log   *logrus.Entry
}

// Lifecycle is the life of one daemon process. Work counts what a planned stop
// waits for.
type Lifecycle struct {
	Work WorkTracker

	config   Config
	draining atomic.Bool
	expired  atomic.Bool
	killed   chan struct{}
	kill     func()
	stopped  chan struct{}
	stop     func()
}

// New returns a daemon's life before its start.
func New(config Config) *Lifecycle {
	l := &Lifecycle{config: config, killed: make(chan struct{}), stopped: make(chan struct{})}
	l.kill = sync.OnceFunc(func() { close(l.killed) })
	l.stop = sync.OnceFunc(func() { close(l.stopped) })
	return l
}

// Stop begins a planned stop, as the end of Run's context does.
func (l *Lifecycle) Stop() { l.stop() }

// Kill ends Run at once, without a drain, as the loss of the instance would.
func (l *Lifecycle) Kill() { l.kill() }

// Draining reports whether a planned stop has begun.
func (l *Lifecycle) Draining() bool { return l.draining.Load() }

// Run runs the duties until ctx ends, which is a planned stop, until Kill, or
// until a duty fails.
func (l *Lifecycle) Run(ctx context.Context, duties []Task) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, shared := errgroup.WithContext(running)
	for _, duty := range duties {
		group.Go(func() error { return IgnoreCancelled(duty(shared)) })
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
		case <-shared.Done():
		}
		return nil
	})
	err := group.Wait()
	l.checkStopped(ctx)
	return err
}

// IgnoreCancelled returns nil for the error of a cancelled context, which ends a
// duty as planned.
func IgnoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain announces the leave, gives others the time to learn of it, waits for
// work in progress and reports the end.
func (l *Lifecycle) drain() {
	l.draining.Store(true)
	l.config.Log.Info("Leaving.")
	ctx, cancel := context.WithTimeout(context.Background(), l.config.NoticePeriod+l.config.DrainTimeout)
	defer cancel()
	if err := l.config.Notifier.Leave(ctx); err != nil {
		l.config.Log.WithError(err).Warn("Leave not announced to the list.")
	}
	time.Sleep(l.config.NoticePeriod)
	if err := l.Work.Wait(ctx); err != nil {
		l.expired.Store(true)
		l.config.Log.WithField("running", l.config.Running()).Warn("Drain time ran out.")
	}
	l.config.Notifier.Left()
	time.Sleep(leftNotice)
}

// checkStopped asserts that a planned stop within its drain time cut nothing.
func (l *Lifecycle) checkStopped(ctx context.Context) {
	planned := (ctx.Err() != nil || l.draining.Load()) && !l.expired.Load()
	running := l.config.Running()
	invariant.Check(invariant.GracefulStop, !planned || running == 0, "stopped with %d requests in progress", running)
}
