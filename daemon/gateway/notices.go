package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/notices"
	"currantusher.dev/tables/watch"
)

// maxTracedClosed bounds the closed servers that a log line names.
const maxTracedClosed = 8

// lifetimeOf returns the process of a server as its row describes it.
func lifetimeOf(server *watch.Server) notices.Lifetime {
	return notices.Lifetime{Server: server.ID, Incarnation: core.Incarnation(max(server.StartedAt.UnixMilli(), 0))}
}

// isClosed reports whether a server has announced that it is leaving or wants no
// requests from this entry now.
func (g *Gateway) isClosed(now time.Time, server *watch.Server) bool {
	return g.notices.State(now, lifetimeOf(server)).Reason != notices.Open
}

// closure returns the closure of all servers that could serve a request if they
// accepted any, or nil.
func (g *Gateway) closure(r requirements) *fair.Closure {
	if g.notices.IsEmpty() && g.rateLimits.IsEmpty() {
		return nil
	}
	now := time.Now()
	servers, ok := g.closedCapableServers(now, r)
	if !ok {
		return nil
	}
	closure, ok := g.notices.Closure(now, servers)
	if !ok {
		return nil
	}
	result := &fair.Closure{
		OpensAt: closure.OpensAt,
		Slots:   closure.Slots / max(g.senders().Count, 1),
		Detail:  closure.String(),
	}
	if closure.Limited > 0 {
		result.Code = core.CodeServerLimited
		result.Interval = g.placeInterval(servers)
	}
	return result
}

// closedCapableServers returns the servers that meet the conditions of a request and
// are neither leaving nor taken out according to the platform's list. It returns false
// if one of them is open.
func (g *Gateway) closedCapableServers(now time.Time, r requirements) ([]notices.Server, bool) {
	view := g.follower.View()
	if view.Table == nil {
		return nil, false
	}
	service := view.Table.Service(r.service)
	if service == nil {
		return nil, false
	}
	viewNow, loads := g.clock.Now(), g.gossip.Loads()
	regions, sharing := g.node.Load().Regions, g.sharing()
	var list []notices.Server
	for _, server := range view.Servers[r.service] {
		if server.Leaving || view.OutDataCentres[server.DataCentre] {
			continue
		}
		if !isAllowedByAll(r.regions, regions[server.DataCentre]) || !g.mayServe(viewNow, view, service, server, r, loads) {
			continue
		}
		closed := notices.Server{Lifetime: lifetimeOf(server), Slots: slotsOf(server)}
		if !g.isClosed(now, server) {
			if closed.LimitedUntil = g.limitedUntil(now, sharing, server); closed.LimitedUntil.IsZero() {
				return nil, false
			}
		}
		list = append(list, closed)
	}
	return list, true
}

// slotsOf returns how many requests a server may run at once.
func slotsOf(server *watch.Server) int {
	if server.Slots <= 0 {
		return defaultSlots
	}
	return server.Slots
}

// sweepNotices drops the announcements of servers that are no longer listed.
func (g *Gateway) sweepNotices(now time.Time) {
	if g.notices.IsEmpty() {
		metrics.GetOrRegisterGauge("servers.closed", g.registry).Update(0)
		return
	}
	listed := map[notices.Lifetime]bool{}
	for _, servers := range g.follower.View().Servers {
		for _, server := range servers {
			listed[lifetimeOf(server)] = true
		}
	}
	closed := g.notices.Sweep(now, func(l notices.Lifetime) bool { return listed[l] })
	metrics.GetOrRegisterGauge("servers.closed", g.registry).Update(int64(closed))
}

// CheckOpen implements direct.Observer.
func (o observer) CheckOpen(server notices.Lifetime) error {
	now := time.Now()
	if err := o.gateway.crashGuard.check(o.traits); err != nil {
		return err
	}
	switch state := o.gateway.notices.State(now, server); state.Reason {
	case notices.Leaving:
		return core.NewRefusal(core.CodeServerClosed, 0, "%s has announced that it is leaving; nothing was sent", server.Server)
	case notices.Paused:
		return core.NewRefusal(core.CodeServerClosed, 0, "%s wants no requests for another %v; nothing was sent", server.Server, state.OpensAt.Sub(now).Round(time.Millisecond))
	default:
		return nil
	}
}

// NoticeReceived implements direct.Observer.
func (o observer) NoticeReceived(server notices.Lifetime, notice notices.Notice) {
	change := o.gateway.notices.Record(time.Now(), server, notice)
	fields := logrus.Fields{"server": server.Server, "service": o.service}
	if change.StartsLeaving {
		metrics.GetOrRegisterCounter("servers.leaving_notices", o.gateway.registry).Inc(1)
		o.gateway.log.WithFields(fields).Info("A server announced that it is leaving; it gets no new requests.")
	}
	if change.Pause > 0 {
		metrics.GetOrRegisterCounter("servers.pause_notices", o.gateway.registry).Inc(1)
	}
	if change.StartsPause {
		o.gateway.log.WithFields(fields).WithField("pause_ms", change.Pause.Milliseconds()).Info("A server asked for a pause; it gets no requests until its end.")
	}
}

// closedServers describes the servers of a service that get no requests because of
// their announcements, for log lines.
func (g *Gateway) closedServers(now time.Time, service fleet.ServiceName) []string {
	if g.notices.IsEmpty() && g.rateLimits.IsEmpty() {
		return nil
	}
	var list []string
	sharing := g.sharing()
	for _, server := range g.follower.View().Servers[service] {
		if perSecond, limited := g.rateLimits.Rate(lifetimeOf(server)); limited && !g.limitedUntil(now, sharing, server).IsZero() {
			list = append(list, fmt.Sprintf("%s limited to %v/s", server.ID, perSecond))
		}
		switch state := g.notices.State(now, lifetimeOf(server)); state.Reason {
		case notices.Leaving:
			list = append(list, fmt.Sprintf("%s %v", server.ID, state.Reason))
		case notices.Paused:
			list = append(list, fmt.Sprintf("%s %v for %v", server.ID, state.Reason, state.OpensAt.Sub(now).Round(time.Millisecond)))
		}
	}
	if more := len(list) - maxTracedClosed; more > 0 {
		list = append(slices.Clip(list[:maxTracedClosed]), fmt.Sprintf("%d more", more))
	}
	return list
}
