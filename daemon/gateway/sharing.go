package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/sharedlimit"
	"currantusher.dev/tables/watch"
)

// isolatedRateFraction is the fraction of a rate that the entries use together which are
// cut off from most others: the others may have taken over their parts.
const isolatedRateFraction = 0.5

// limitSharing is who divides the limits of servers, as this entry sees it.
type limitSharing struct {
	sharedlimit.Sharers
	isIsolated bool
	regions    map[core.DataCentre]core.Region
	// settling divides limits among all known entries; nil unless this one is settling.
	settling *sharedlimit.Sharers
}

// sharing returns who divides the limits of servers now. This entry is one of them
// unless it is on standby or has not discovered the others yet.
func (g *Gateway) sharing() limitSharing {
	node, senders := g.node.Load(), g.senders()
	hasPart := senders.Count > 0
	if !hasPart {
		senders = g.gossip.Senders()
		senders.Count--
	}
	self := gossip.Member{ID: node.Instance, DataCentre: node.DataCentre, Region: node.Region}
	sharing := newLimitSharing(self, senders, hasPart, node.Regions)
	if known, ok := g.settlingSenders(); ok {
		settling := newLimitSharing(self, known, true, node.Regions).Sharers
		sharing.settling = &settling
	}
	return sharing
}

// settlingSenders returns all known entries if this one is settling. It divides the limits
// of cold servers and the retries among them until it uses its share: after a restart of
// all entries, no entry could send to a restarted server for settleTime otherwise. The
// entries that settle at a time use little beside the shares of the others, since most of
// the known entries are on standby.
func (g *Gateway) settlingSenders() (gossip.Senders, bool) {
	g.activityMu.Lock()
	isSettling := g.activity.IsSettling()
	g.activityMu.Unlock()
	if !isSettling || !g.entriesLoaded.Load() || !g.gossip.IsLarge() {
		return gossip.Senders{}, false
	}
	known := g.gossip.Known()
	return known, !known.IsIsolated
}

func newLimitSharing(self gossip.Member, senders gossip.Senders, hasPart bool, regions map[core.DataCentre]core.Region) limitSharing {
	others := senders.Others
	if hasPart {
		others = append(others[:len(others):len(others)], self)
	}
	members := make([]sharedlimit.Sharer, 0, len(others))
	for _, m := range others {
		region := m.Region
		if region == "" {
			region = regions[m.DataCentre]
		}
		members = append(members, sharedlimit.Sharer{ID: m.ID, DataCentre: m.DataCentre, Region: region})
	}
	return limitSharing{
		Sharers:    sharedlimit.NewSharers(self.ID, members, senders.Count),
		isIsolated: senders.IsIsolated, regions: regions,
	}
}

// rate returns the limit that a server names and those who divide it: the entries near
// the server, which send it most requests.
func (s limitSharing) rate(server *watch.Server, perSecond float64) (sharedlimit.Sharers, sharedlimit.Limit) {
	if s.isIsolated {
		perSecond *= isolatedRateFraction
	}
	return s.Near(server.DataCentre, s.regions[server.DataCentre]), sharedlimit.Rate(perSecond)
}

// isCold reports whether a server is in cold start and has a limit because of that.
func (g *Gateway) isCold(service *fleet.Service, server *watch.Server) bool {
	return service != nil && service.ColdPerSecond > 0 && g.clock.Now().Before(g.coldUntil(server))
}

// coldParts returns this entry's part of the limit of a server in cold start, if it is.
func (g *Gateway) coldParts(sharing limitSharing, service *fleet.Service, server *watch.Server) []sharedlimit.Part {
	if !g.isCold(service, server) {
		return nil
	}
	bounds := g.node.Load().Bounds
	return []sharedlimit.Part{sharing.coldPart(server.ID, sharedlimit.Cold(service.ColdPerSecond, bounds.ColdOvershoot, bounds.ColdSlack))}
}

// coldPart returns this entry's part of the limit of a server in cold start.
func (s limitSharing) coldPart(server core.InstanceID, limit sharedlimit.Limit) sharedlimit.Part {
	if s.settling != nil {
		return s.settling.Part(server, limit)
	}
	return s.Part(server, limit)
}

// parts returns this entry's parts of all limits of a server.
func (g *Gateway) parts(sharing limitSharing, service *fleet.Service, server *watch.Server) []sharedlimit.Part {
	parts := g.coldParts(sharing, service, server)
	if perSecond, limited := g.rateLimits.Rate(lifetimeOf(server)); limited {
		near, limit := sharing.rate(server, perSecond)
		parts = append(parts, near.Part(server.ID, limit))
	}
	return parts
}

// hasPlace reports whether the parts permit a request to a server now.
func (g *Gateway) hasPlace(now time.Time, server *watch.Server, parts []sharedlimit.Part) bool {
	if len(parts) == 0 {
		return true
	}
	opensAt, ok := g.ledger.OpensAt(now, server.ID, parts)
	return ok && !opensAt.After(now)
}

// limitedUntil returns when the limit that a server names is expected to permit a request
// of this entry, or the zero time if it permits one now.
func (g *Gateway) limitedUntil(now time.Time, sharing limitSharing, server *watch.Server) time.Time {
	perSecond, limited := g.rateLimits.Rate(lifetimeOf(server))
	if !limited {
		return time.Time{}
	}
	near, limit := sharing.rate(server, perSecond)
	opensAt, ok := g.ledger.OpensAt(now, server.ID, []sharedlimit.Part{near.Part(server.ID, limit)})
	switch {
	case ok && !opensAt.After(now):
		return time.Time{}
	case ok:
		return opensAt
	}
	if retryAt := g.holders.nextRetry(now, server.ID); !retryAt.IsZero() {
		return retryAt
	}
	return now.Add(time.Duration(float64(time.Second) / perSecond))
}

// placeInterval returns the mean time between two requests that this entry may send to
// the limited ones of some servers, if all entries have the same number of callers.
func (g *Gateway) placeInterval(servers []notices.Server) time.Duration {
	sum := 0.0
	for _, server := range servers {
		if perSecond, limited := g.rateLimits.Rate(server.Lifetime); limited {
			sum += perSecond
		}
	}
	return time.Duration(float64(max(g.gossip.Senders().Count, 1)) / sum * float64(time.Second))
}

// currentParts returns this entry's parts of the limits of a server of a service, or nil
// if it has no limits.
func (g *Gateway) currentParts(name fleet.ServiceName, lifetime notices.Lifetime) []sharedlimit.Part {
	view := g.follower.View()
	server := view.Server(name, lifetime.Server)
	if server == nil || view.Table == nil {
		return nil
	}
	service := view.Table.Service(name)
	if _, limited := g.rateLimits.Rate(lifetimeOf(server)); !limited && !g.isCold(service, server) {
		return nil
	}
	return g.parts(g.sharing(), service, server)
}

// Reserve implements direct.Observer.
func (o observer) Reserve(lifetime notices.Lifetime) (direct.Reservation, error) {
	g, now := o.gateway, time.Now()
	parts := g.currentParts(o.service, lifetime)
	reservation, ok := g.ledger.Reserve(now, lifetime.Server, parts)
	if ok && len(parts) > 0 {
		metrics.GetOrRegisterCounter("limits.places_used", g.registry).Inc(1)
	}
	if !ok {
		metrics.GetOrRegisterCounter("limits.reservations_refused", g.registry).Inc(1)
		return nil, core.NewRefusal(core.CodeServerLimited, 0, "the last place within the limits of %s was taken; nothing was sent", lifetime.Server)
	}
	return reservation, nil
}
