package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/rowstore"
)

// Parts of the time that the platform gives a process to stop.
const (
	// serveFraction is how long a leaving entry goes on taking requests of
	// callers whose directory answer still names it.
	serveFraction = 0.55
	// endFraction is when it ends even with requests in progress.
	endFraction = 0.92
	// defaultStop is the time when the settings file names none.
	defaultStop = 5 * time.Second
	// quietTime without a request ends the taking early.
	quietTime = 1200 * time.Millisecond
)

const leavePoll = 20 * time.Millisecond

// leave ends this entry's service without cutting a request.
func (g *Gateway) leave() {
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
	for {
		now := time.Now()
		quiet := now.Sub(time.Unix(0, g.lastRequest.Load())) > quietTime && now.Sub(began) > quietTime
		if g.inFlight.Load() == 0 && (quiet || now.After(serveUntil)) || now.After(end) {
			break
		}
		time.Sleep(leavePoll)
	}
	g.log.WithFields(logrus.Fields{
		"requests": g.inFlight.Load(), "after_ms": time.Since(began).Milliseconds(),
	}).Info("Left.")
}

func (g *Gateway) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowstore.CallTimeout)
	defer cancel()
	err := g.store.Remove(ctx, rowstore.Row{Table: entriesTable, Key: string(g.config.Node.Instance)})
	if err != nil {
		g.log.WithError(err).Warn("Row of this entry not removed; it will be silent.")
	}
}
