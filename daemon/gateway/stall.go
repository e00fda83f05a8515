package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// stallCheckPeriod is how often the entry checks for stalled servers, a small
	// fraction of stall.Timeout.
	stallCheckPeriod = 50 * time.Millisecond
	// processStallThreshold is the time between two checks above which this process
	// itself must have been paused.
	processStallThreshold = 4 * stallCheckPeriod
)

// ejectStalledServers ejects servers that have stopped sending and cancels their
// requests, which are then retried or resumed at other servers.
func (g *Gateway) ejectStalledServers(ctx context.Context) error {
	lastCheck := time.Now()
	return runPeriodically(ctx, stallCheckPeriod, func() {
		now := time.Now()
		if now.Sub(lastCheck) > processStallThreshold {
			g.stallDetector.ResetTimers(now)
		}
		lastCheck = now
		for _, stalled := range g.stallDetector.TakeStalled(now) {
			g.services.eject(now, stalled.Server)
			g.log.WithFields(logrus.Fields{
				"server": stalled.Server, "quiet_ms": stalled.IdleTime.Milliseconds(), "requests": len(stalled.Cancels),
			}).Warn("Server stopped responding; ejecting it and moving its requests to other servers.")
			for _, cancel := range stalled.Cancels {
				cancel()
			}
		}
	})
}
