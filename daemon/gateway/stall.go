package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// stallCheckPeriod is how often the entry checks for stalled servers, a small
	// fraction of stall.MinTimeout.
	stallCheckPeriod = 50 * time.Millisecond
	// processStallThreshold is the time between two checks above which this process
	// itself must have been paused.
	processStallThreshold = 4 * stallCheckPeriod
	// stallPasses is the time without data, in the longest passes of an engine, after
	// which it counts as stalled.
	stallPasses = 1.25
	// giveUpFraction is the fraction of the time for which callers wait for the first event
	// after which a stream at silent servers ends. The rest is for the answer's way.
	giveUpFraction = 0.9
	// giveUpSilenceFraction is the fraction of that time, and maxGiveUpSilence the time, for
	// which a server must have been silent, longer than the second for which sound servers are.
	giveUpSilenceFraction = 0.8
	maxGiveUpSilence      = 1900 * time.Millisecond
)

// stallTimeout returns the time without data after which a server of a service counts
// as stalled, or 0 if the pace of its engines is unknown.
func (g *Gateway) stallTimeout(name fleet.ServiceName) time.Duration {
	view := g.follower.View()
	if view.Table == nil {
		return 0
	}
	service := view.Table.Service(name)
	if service == nil || service.Engine == nil || !service.Engine.Timing.IsKnown() {
		return 0
	}
	return time.Duration(stallPasses * float64(latency.LongestPass(service.Engine.Timing, service.Engine.Slots)))
}

// giveUpAfter returns the time without data after which a stream ends if its servers are
// silent, and for how long one of them must have been.
func giveUpAfter(route *fleet.Route) (wait, silence time.Duration) {
	timeout := float64(callerEventTimeout(route))
	return time.Duration(giveUpFraction * timeout), min(time.Duration(giveUpSilenceFraction*timeout), maxGiveUpSilence)
}

// silence returns for how long a server has sent nothing, or 0 if that is not unusual.
func (g *Gateway) silence(id core.InstanceID) time.Duration {
	return g.stallDetector.Silence(time.Now(), id)
}

// ejectStalledServers ejects servers that have stopped sending and reports the stall to
// their requests.
func (g *Gateway) ejectStalledServers(ctx context.Context) error {
	lastCheck := time.Now()
	return runPeriodically(ctx, stallCheckPeriod, func() {
		now := time.Now()
		if now.Sub(lastCheck) > processStallThreshold {
			g.stallDetector.ResetTimers(now)
		}
		lastCheck = now
		g.reportStalledServers(now)
	})
}

// reportStalledServers leaves it to each request whether another server continues it. No
// request is closed, since its server may go on.
func (g *Gateway) reportStalledServers(now time.Time) {
	for _, stalled := range g.stallDetector.TakeStalled(now) {
		g.services.eject(now, stalled.Server)
		g.log.WithFields(logrus.Fields{
			"server": stalled.Server, "quiet_ms": stalled.IdleTime.Milliseconds(), "requests": len(stalled.Reports),
		}).Warn("Server stopped responding; ejecting it.")
		for _, report := range stalled.Reports {
			report()
		}
	}
}

// restoreResumedServer makes a server available again that has sent data after a stall.
func (g *Gateway) restoreResumedServer(id core.InstanceID) {
	g.services.restore(id)
	g.log.WithField("server", id).Info("Server responds again; it is no longer ejected.")
}
