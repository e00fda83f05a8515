package gateway

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/endpoints"
)

// minNearbyEntries is the number of nearby entries at which a directory response
// omits entries farther away.
const minNearbyEntries = 2

// resolve returns the caller addresses of entries for a directory request, and
// how long the response may be cached.
func (g *Gateway) resolve(q endpoints.ResolveRequest) ([]string, time.Duration) {
	members := namedMembers(g.gossip.AliveMembers(), g.config.Node.DataCentre)
	return selectAddresses(members, q, g.allowedRegions(q.Host)), g.config.AddressTTL
}

// namedMembers returns the ready members that callers are directed to: those that an
// entry selects in its own data centre, and those of the others that report to be
// active.
func namedMembers(alive []gossip.Member, ownCentre core.DataCentre) []gossip.Member {
	selected := selectedEntries(alive, ownCentre)
	var list []gossip.Member
	for _, m := range readyMembers(alive) {
		if selected[m.ID] || m.DataCentre != ownCentre && m.Active {
			list = append(list, m)
		}
	}
	return list
}

func readyMembers(members []gossip.Member) []gossip.Member {
	var list []gossip.Member
	for _, m := range members {
		if m.Phase == gossip.PhaseReady {
			list = append(list, m)
		}
	}
	return list
}

// allowedRegions returns the regions to which the routes of a host or any team
// are restricted, or nil without such restrictions.
func (g *Gateway) allowedRegions(host string) []core.Region {
	view := g.follower.View()
	if view.Table == nil {
		return nil
	}
	var regions []core.Region
	for i := range view.Table.Config.Routes {
		if route := &view.Table.Config.Routes[i]; route.Host == host {
			regions = append(regions, route.Regions...)
		}
	}
	for i := range view.Table.Config.Teams {
		regions = append(regions, view.Table.Config.Teams[i].Regions...)
	}
	return regions
}

// selectAddresses returns the addresses of the entries in the caller's data
// centre, and adds the caller's region and then other allowed regions while there
// are fewer than minNearbyEntries. Entries outside the allowed regions and the
// caller's own region are returned only when there are none within them.
func selectAddresses(members []gossip.Member, q endpoints.ResolveRequest, regions []core.Region) []string {
	var sameDataCentre, sameRegion, otherRegions, disallowed []string
	for _, m := range members {
		switch {
		case m.DataCentre == q.DataCentre:
			sameDataCentre = append(sameDataCentre, m.CallerAddr)
		case m.Region == q.Region:
			sameRegion = append(sameRegion, m.CallerAddr)
		case isRegionAllowed(regions, m.Region):
			otherRegions = append(otherRegions, m.CallerAddr)
		default:
			disallowed = append(disallowed, m.CallerAddr)
		}
	}
	list := sameDataCentre
	for _, farther := range [][]string{sameRegion, otherRegions} {
		if len(list) < minNearbyEntries {
			list = append(list, farther...)
		}
	}
	if len(list) == 0 {
		list = disallowed
	}
	return list
}
