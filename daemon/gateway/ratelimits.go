package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// millisPerUnit converts a rate to thousandths of a request a second, since gauges are
// whole numbers.
const millisPerUnit = 1000

// LimitReceived implements direct.Observer.
func (o observer) LimitReceived(server notices.Lifetime, observation notices.LimitObservation) {
	g := o.gateway
	observation.Source = string(g.config.Node.Instance)
	g.recordLimit(server, observation)
}

// onRateLimits handles limits that another entry reports.
func (g *Gateway) onRateLimits(from core.InstanceID, limits []fleet.RateLimit) {
	now := time.Now()
	for _, report := range limits {
		observation, ok := notices.ReportedObservation(now, from, report)
		if !ok {
			g.log.WithFields(logrus.Fields{"server": report.Server, "from": from}).Warn("Ignoring an invalid report of a server's limit.")
			continue
		}
		g.recordLimit(notices.Lifetime{Server: report.Server, Incarnation: report.Incarnation}, observation)
	}
}

// recordLimit records what an answer says about a server's limit and logs a change.
func (g *Gateway) recordLimit(server notices.Lifetime, observation notices.LimitObservation) {
	now := time.Now()
	change := g.rateLimits.Record(now, server, observation)
	if change.IsNone() {
		return
	}
	metrics.GetOrRegisterCounter("servers.limit_changes", g.registry).Inc(1)
	g.gossip.SendSoon()
	entry := g.log.WithFields(logrus.Fields{
		"server": server.Server, "learned_from": observation.Source, "age_ms": now.Sub(observation.ReceivedAt).Milliseconds(),
	})
	if change.Previous != notices.Unlimited {
		entry = entry.WithField("previous_per_second", change.Previous)
	}
	if change.Current == notices.Unlimited {
		entry.Info("The limit of a server ended.")
		return
	}
	entry.WithField("per_second", change.Current).Info("A server named a limit on the requests of all entries.")
}

// sweepRateLimits drops the limits of servers that are no longer listed.
func (g *Gateway) sweepRateLimits(now time.Time) {
	listed, sharing, ownRate := map[notices.Lifetime]bool{}, g.sharing(), 0.0
	if !g.rateLimits.IsEmpty() {
		for _, servers := range g.follower.View().Servers {
			for _, server := range servers {
				listed[lifetimeOf(server)] = true
				if perSecond, limited := g.rateLimits.Rate(lifetimeOf(server)); limited {
					near, limit := sharing.rate(server, perSecond)
					ownRate += ratePerSecond(near.Part(server.ID, limit))
				}
			}
		}
	}
	limited, oldest := g.rateLimits.Sweep(now, func(l notices.Lifetime) bool { return listed[l] })
	metrics.GetOrRegisterGauge("servers.limited", g.registry).Update(int64(limited))
	metrics.GetOrRegisterGauge("servers.limit_age_millis", g.registry).Update(oldest.Milliseconds())
	metrics.GetOrRegisterGauge("limits.own_rate_millis", g.registry).Update(int64(millisPerUnit * ownRate))
}
