package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/rowstore"
)

// Parts of the time that the platform gives a process to stop.
const (
	// serveFraction is how long a leaving entry goes on taking requests of
	// callers whose directory answer still names it. What it takes later could
	// not end in time.
	serveFraction = 0.36
	// endFraction is when it ends even with requests in progress.
	endFraction = 0.95
	// defaultStop is the time when the settings file names none.
	defaultStop = 5 * time.Second
	// quietTime without a request ends the taking early.
	quietTime = 1200 * time.Millisecond
)

// leavePoll is how often a leaving entry looks whether its work has ended.
const leavePoll = 20 * time.Millisecond

// isQuiet reports whether no request is in progress and none came for a while.
func (g *Gateway) isQuiet(began time.Time) bool {
	now := time.Now()
	last := time.Unix(0, g.lastRequest.Load())
	return g.inFlight.Load() == 0 && now.Sub(last) > quietTime && now.Sub(began) > quietTime
}

// leave ends this entry's service without cutting a request.
func (g *Gateway) leave(callers *http.Server) {
	began := time.Now()
	g.leaving.Store(true)
	g.gossip.SetPhase(gossip.Leaving)
	g.log.WithField("requests", g.inFlight.Load()).Info("Leaving.")
	go g.removeRow()
	stop := g.node.Load().Bounds.Stop
	if stop <= 0 {
		stop = defaultStop
	}
	serveUntil := began.Add(time.Duration(serveFraction * float64(stop)))
	end := began.Add(time.Duration(endFraction * float64(stop)))
	for time.Now().Before(serveUntil) && !g.isQuiet(began) {
		time.Sleep(leavePoll)
	}
	// New connections are refused from here on, so that callers try another
	// entry at once; requests in progress end.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.WithError(err).WithField("requests", g.inFlight.Load()).Warn("Requests in progress are cut.")
	}
	g.log.WithFields(logrus.Fields{
		"requests": g.inFlight.Load(), "after_ms": time.Since(began).Milliseconds(),
	}).Info("Left.")
}

func (g *Gateway) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowstore.CallTimeout)
	defer cancel()
	if err := g.roster.Remove(ctx, string(g.config.Node.Instance)); err != nil {
		g.log.WithError(err).Warn("Row of this entry not removed; it will be silent.")
	}
}
