package gateway

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/endpoints"
)

// minNear is how many entries near a caller are enough to name no others.
const minNear = 2

// resolve answers a caller's question where to connect.
func (g *Gateway) resolve(q endpoints.ResolveRequest) ([]string, time.Duration) {
	members := ready(g.gossip.Alive())
	return choose(members, q, g.regionsOfHost(q.Host)), g.config.AddressTTL
}

func ready(members []gossip.Member) []gossip.Member {
	var list []gossip.Member
	for _, m := range members {
		if m.Phase == gossip.Ready {
			list = append(list, m)
		}
	}
	return list
}

// regionsOfHost returns the regions to which routes of a host or any team are
// bound, and nil if none is.
func (g *Gateway) regionsOfHost(host string) []core.Region {
	view := g.follower.View()
	if view.Table == nil {
		return nil
	}
	var bound []core.Region
	for i := range view.Table.Config.Routes {
		if route := &view.Table.Config.Routes[i]; route.Host == host {
			bound = append(bound, route.Regions...)
		}
	}
	for i := range view.Table.Config.Teams {
		bound = append(bound, view.Table.Config.Teams[i].Regions...)
	}
	return bound
}

// choose returns the addresses of the entries in the caller's data centre, and
// more from farther away while they are few. Where regions are bound, entries
// outside them and the caller's own are named only when there are no others.
func choose(members []gossip.Member, q endpoints.ResolveRequest, bound []core.Region) []string {
	var here, region, allowed, others []string
	for _, m := range members {
		switch {
		case m.DataCentre == q.DataCentre:
			here = append(here, m.CallerAddr)
		case m.Region == q.Region:
			region = append(region, m.CallerAddr)
		case contains(bound, m.Region):
			allowed = append(allowed, m.CallerAddr)
		default:
			others = append(others, m.CallerAddr)
		}
	}
	list := here
	for _, farther := range [][]string{region, allowed} {
		if len(list) < minNear {
			list = append(list, farther...)
		}
	}
	if len(list) == 0 {
		list = others
	}
	return list
}
