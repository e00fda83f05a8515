package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/latency"
)

const (
	// stallCheckPeriod is how often the entry checks for stalled servers, a small
	// fraction of stall.Timeout.
	stallCheckPeriod = 50 * time.Millisecond
	// processStallThreshold is the time between two checks above which this process
	// itself must have been paused.
	processStallThreshold = 4 * stallCheckPeriod
	// stallPasses is the time without data, in the longest passes of an engine, after
	// which it counts as stalled.
	stallPasses = 1.25
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

// ejectStalledServers ejects servers that have stopped sending and cancels as many of
// their requests as can be retried or resumed at other servers. The others go on
// waiting for the server.
func (g *Gateway) ejectStalledServers(ctx context.Context) error {
	lastCheck := time.Now()
	return runPeriodically(ctx, stallCheckPeriod, func() {
		now := time.Now()
		if now.Sub(lastCheck) > processStallThreshold {
			g.stallDetector.ResetTimers(now)
		}
		lastCheck = now
		g.moveFromStalledServers(now)
	})
}

// moveFromStalledServers takes each retry from the budget before it cancels a request:
// servers that stall at the same moment share the budget.
func (g *Gateway) moveFromStalledServers(now time.Time) {
	for _, stalled := range g.stallDetector.TakeStalled(now) {
		moved := 0
		if placer := g.services.eject(now, stalled.Server); placer != nil {
			for moved < len(stalled.Cancels) && placer.WithdrawRetry() {
				moved++
			}
		}
		g.log.WithFields(logrus.Fields{
			"server": stalled.Server, "quiet_ms": stalled.IdleTime.Milliseconds(), "requests": len(stalled.Cancels), "moved": moved,
		}).Warn("Server stopped responding; ejecting it and moving its requests to other servers.")
		for _, cancel := range stalled.Cancels[:moved] {
			cancel()
		}
	}
}
