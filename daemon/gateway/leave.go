package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/grace"
)

// Phases of a planned stop, as fractions of the platform's time between SIGTERM
// and SIGKILL.
const (
	// acceptFraction is how long a leaving entry still accepts requests of
	// callers whose cached directory response contains it. Requests accepted
	// later might not finish in time.
	acceptFraction = 0.36
	// lastAnswerFraction is when requests are answered with an error whose answer has
	// not begun.
	lastAnswerFraction = 0.88
	// shutdownFraction is when it stops even with requests in progress.
	shutdownFraction = 0.95
	// closeFraction is when the connections of requests are closed that shutdownFraction
	// has not ended.
	closeFraction = 0.97
	// defaultStopTime applies when the settings file sets no stop time.
	defaultStopTime = 5 * time.Second
	// quietTime without any request ends the accepting phase early.
	quietTime = 1200 * time.Millisecond
)

// leavePollPeriod is how often a leaving entry checks whether it may stop.
const leavePollPeriod = 20 * time.Millisecond

// isQuiet reports whether no request is in progress and both the last request and
// the start of the leave are longer than quietTime ago.
func (g *Gateway) isQuiet(startedAt time.Time) bool {
	now := time.Now()
	last := time.Unix(0, g.lastRequestNanos.Load())
	return g.inFlight.Load() == 0 && now.Sub(last) > quietTime && now.Sub(startedAt) > quietTime
}

// leave performs a planned stop: it announces the leave, finishes requests in
// progress and closes the callers' listener.
func (g *Gateway) leave(callerServer *http.Server) {
	startedAt := time.Now()
	g.leaving.Store(true)
	g.gossip.SetPhase(gossip.PhaseLeaving)
	g.log.WithField("requests", g.inFlight.Load()).Info("Leaving.")
	leaveCtx, endLeave := context.WithCancel(context.Background())
	defer endLeave()
	go g.removeRow(leaveCtx)
	g.finishRequests(callerServer, startedAt)
	g.log.WithFields(logrus.Fields{
		"requests": g.inFlight.Load(), "after_ms": time.Since(startedAt).Milliseconds(),
	}).Info("Left.")
}

// finishRequests serves requests for a while, closes the listener and waits until the
// requests in progress have ended.
func (g *Gateway) finishRequests(callerServer *http.Server, startedAt time.Time) {
	stopTime := g.node.Load().Bounds.Stop
	if stopTime <= 0 {
		stopTime = defaultStopTime
	}
	after := func(fraction float64) time.Time { return startedAt.Add(time.Duration(fraction * float64(stopTime))) }
	acceptUntil := after(acceptFraction)
	schedule := grace.Schedule{LastAnswer: after(lastAnswerFraction), Stop: after(shutdownFraction), Close: after(closeFraction)}
	g.schedule.Store(&schedule)
	g.beginLeave()
	endWaits := sync.OnceValue(func() time.Time {
		g.endWaits()
		return time.Now()
	})
	defer time.AfterFunc(time.Until(schedule.LastAnswer), func() { endWaits() }).Stop()
	for time.Now().Before(acceptUntil) && !g.isQuiet(startedAt) {
		time.Sleep(leavePollPeriod)
	}
	// Closes the listener, so that callers immediately try another entry, and
	// waits for requests in progress.
	ctx, cancel := context.WithDeadline(context.Background(), schedule.Stop)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		g.log.WithError(err).WithField("requests", g.inFlight.Load()).Warn("Stop time is over; aborting requests in progress.")
		g.abortRequests(callerServer, schedule.CloseAt(endWaits(), time.Now()))
	}
}

// abortRequests ends the requests in progress between two writes of their answers, so that
// no caller takes a broken one for complete, and closes all connections not later than until.
func (g *Gateway) abortRequests(callerServer *http.Server, until time.Time) {
	g.endStreams()
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	// The server writes the rest of an answer after its request has left inFlight.
	if callerServer.Shutdown(ctx) == nil {
		return
	}
	g.conns.resetActiveOnClose()
	if err := callerServer.Close(); err != nil {
		g.log.WithError(err).Info("Could not close the callers' connections.")
	}
}

// removeRow removes this entry's row until the leave ends.
func (g *Gateway) removeRow(ctx context.Context) {
	if !g.roster.RemoveWithRetry(ctx, string(g.config.Node.Instance)) {
		g.log.Warn("Could not remove this entry's row; other daemons will find it unresponsive.")
	}
}
