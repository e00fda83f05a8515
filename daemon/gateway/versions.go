package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/queuewait"
	"currantusher.dev/tables/watch"
)

const (
	// recallPeriod is how often the entry checks for requests that an engine must not
	// begin any more.
	recallPeriod = 25 * time.Millisecond
	// recallLead is how long before a version must be in force a request is recalled
	// that an engine with older weights has not begun. It covers recallPeriod and the
	// way to the server.
	recallLead = 100 * time.Millisecond
	// recallableWait bounds the wait that is allowed for before a version must be in
	// force if the request can be recalled. The bounds of full engines are longer, and
	// leaving these out for so long refuses more callers than recalls delay.
	recallableWait = 1200 * time.Millisecond
)

// requiredVersion returns the oldest weights version on which a request may begin that
// is sent to a server now, a time of g.clock, or 0 for any.
func (g *Gateway) requiredVersion(now time.Time, view *watch.View, service *fleet.Service, server *watch.Server, model fleet.Model, loads gossip.Loads) fleet.WeightsVersion {
	if model == "" || service.Engine == nil {
		return 0
	}
	return g.requiredVersionAt(now.Add(g.queueWaits.bound(now, service, server, loads)), view, model)
}

// requiredVersionAt returns the oldest weights version on which a request may begin at a
// time of g.clock.
func (g *Gateway) requiredVersionAt(begin time.Time, view *watch.View, model fleet.Model) fleet.WeightsVersion {
	return view.RequiredVersion(begin, model, g.node.Load().Bounds.VersionInForce)
}

// beginsInTime reports whether a request that is sent to a server now begins while the
// server's weights may still serve it.
func (g *Gateway) beginsInTime(now time.Time, view *watch.View, service *fleet.Service, server *watch.Server, model fleet.Model, loads gossip.Loads) bool {
	if model == "" {
		return true
	}
	version := g.knownVersion(server, model)
	if version == 0 || version >= view.NewestTarget(model).Version {
		return version > 0
	}
	return version >= g.requiredVersion(now, view, service, server, model, loads)
}

// beginsOrIsRecalled reports the same for a request that is recalled if it does not begin
// in time.
func (g *Gateway) beginsOrIsRecalled(now time.Time, view *watch.View, service *fleet.Service, server *watch.Server, model fleet.Model, loads gossip.Loads) bool {
	return g.beginsInTime(now, view, service, server, model, loads) ||
		g.knownVersion(server, model) >= max(1, g.requiredVersionAt(now.Add(recallableWait), view, model))
}

// mayServe reports whether a server has weights on which a request may begin that is sent
// to it now.
func (g *Gateway) mayServe(now time.Time, view *watch.View, service *fleet.Service, server *watch.Server, r requirements, loads gossip.Loads) bool {
	if r.recallable && r.model != "" {
		return g.beginsOrIsRecalled(now, view, service, server, r.model, loads)
	}
	return g.beginsInTime(now, view, service, server, r.model, loads)
}

// expectedVersion returns the weights version that a server must have to accept a
// request, or 0 for any. It is the newest version that the server is known to have
// loaded, so that a server that actually has an older one refuses the request.
func (g *Gateway) expectedVersion(r requirements, id core.InstanceID) fleet.WeightsVersion {
	view, now := g.follower.View(), g.clock.Now()
	if view.Table == nil {
		return 0
	}
	service, server := view.Table.Service(r.service), view.Server(r.service, id)
	if service == nil || server == nil {
		return g.requiredVersionAt(now.Add(queuewait.UnknownBound), view, r.model)
	}
	required := g.requiredVersion(now, view, service, server, r.model, g.gossip.Loads())
	if r.recallable {
		required = min(required, g.requiredVersionAt(now.Add(recallableWait), view, r.model))
	}
	if required == 0 {
		return 0
	}
	return max(required, g.knownVersion(server, r.model))
}

// recallLateRequests cancels the requests that no engine has begun shortly before its
// weights may no longer serve them. Most servers drop a request when its connection is
// closed, but none confirms that. One that may run only once is thus not sent again.
func (g *Gateway) recallLateRequests(ctx context.Context) error {
	return runPeriodically(ctx, recallPeriod, func() {
		now, view := g.clock.Now(), g.follower.View()
		for _, t := range g.recallLate(now, view) {
			g.log.WithFields(logrus.Fields{
				"server": t.server, "model": t.model, "waiting_ms": now.Sub(t.sentAt).Milliseconds(),
			}).Warn("Recalling a request that would begin on weights that are out of date.")
			metrics.GetOrRegisterCounter("weights.recalled_requests", g.registry).Inc(1)
		}
	})
}

// recallLate recalls the requests that must not begin any more at their servers.
func (g *Gateway) recallLate(now time.Time, view *watch.View) []*trackedWait {
	return g.queueWaits.recallPending(direct.RecallOutdated, func(t *trackedWait) bool { return g.isLate(now, view, t) })
}

// reportOutdatedBegin counts and logs a request whose first event was received now from a
// server whose weights must not serve it any more.
func (g *Gateway) reportOutdatedBegin(now time.Time, t *trackedWait) {
	version := g.observations.version(now, lifetimeOf(t.listed), t.model)
	if version == 0 {
		return
	}
	view := g.follower.View()
	required := view.RequiredVersion(now, t.model, g.node.Load().Bounds.VersionInForce)
	if version >= required {
		return
	}
	metrics.GetOrRegisterCounter("weights.outdated_begins", g.registry).Inc(1)
	g.log.WithFields(logrus.Fields{
		"server": t.server, "model": t.model, "version": version, "required_version": required,
		"waiting_ms": now.Sub(t.sentAt).Milliseconds(), "listed": view.Server(t.service, t.server) != nil,
	}).Warn("A server began a request on weights that are out of date.")
}

// isLate reports whether a request must not begin any more at its server.
func (g *Gateway) isLate(now time.Time, view *watch.View, t *trackedWait) bool {
	if t.model == "" {
		return false
	}
	required := view.RequiredVersion(now.Add(recallLead), t.model, g.node.Load().Bounds.VersionInForce)
	if required == 0 {
		return false
	}
	server := view.Server(t.service, t.server)
	if server == nil {
		// A server that stands still loses its row, and begins the request when it goes on.
		server = t.listed
	}
	return g.knownVersion(server, t.model) < required
}
