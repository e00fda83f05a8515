package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silencePeriod is how often the entry looks for silent servers, a small
	// part of the silence that it looks for.
	silencePeriod = 50 * time.Millisecond
	// ownDelay is a pause between two looks that shows that this process was
	// held up itself.
	ownDelay = 4 * silencePeriod
)

// watchSilence gives up the requests at servers that fell silent, which go on
// elsewhere, and leaves the servers out for a while.
func (g *Gateway) watchSilence(ctx context.Context) error {
	last := time.Now()
	return every(ctx, silencePeriod, func() {
		now := time.Now()
		if now.Sub(last) > ownDelay {
			g.silence.ResetTimers(now)
		}
		last = now
		for _, silent := range g.silence.TakeStalled(now) {
			g.services.eject(now, silent.Server)
			g.log.WithFields(logrus.Fields{
				"server": silent.Server, "quiet_ms": silent.IdleTime.Milliseconds(), "requests": len(silent.Cancels),
			}).Warn("Server fell silent; its requests go on elsewhere.")
			for _, cancel := range silent.Cancels {
				cancel()
			}
		}
	})
}
