package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silenceCheckPeriod is how often the entry checks for silent servers, a
	// small fraction of the silence that makes a server count as silent.
	silenceCheckPeriod = 50 * time.Millisecond
	// stallThreshold is the time between two checks above which this process
	// itself must have been stalled.
	stallThreshold = 4 * silenceCheckPeriod
)

// ejectSilentServers ejects servers that have stopped responding and cancels
// their requests, which are then retried or resumed at other servers.
func (g *Gateway) ejectSilentServers(ctx context.Context) error {
	lastCheck := time.Now()
	return runPeriodically(ctx, silenceCheckPeriod, func() {
		now := time.Now()
		if now.Sub(lastCheck) > stallThreshold {
			g.silenceDetector.ResetTimers(now)
		}
		lastCheck = now
		for _, silent := range g.silenceDetector.TakeStalled(now) {
			g.services.eject(now, silent.Server)
			g.log.WithFields(logrus.Fields{
				"server": silent.Server, "quiet_ms": silent.IdleTime.Milliseconds(), "requests": len(silent.Cancels),
			}).Warn("Server stopped responding; ejecting it and moving its requests to other servers.")
			for _, cancel := range silent.Cancels {
				cancel()
			}
		}
	})
}
