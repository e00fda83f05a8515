package gateway

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables/watch"
)

// requirements are the conditions that a request sets for its backend server.
type requirements struct {
	service fleet.ServiceName
	model   fleet.Model
	// regions holds lists of allowed regions; a server must be in all of them. An
	// empty list allows all regions.
	regions [][]core.Region
	// recallable requests may run again at another server.
	recallable bool
	// cost is that of the request, or nil if it is not placed by its cost.
	cost *requestCost
}

// reachableServer is a server of a service that can accept a request, now or as soon as
// it has a place.
type reachableServer struct {
	placement.Candidate
	server *watch.Server
	// slots is how many more requests this entry may start there apart from the limit
	// that the server names. hasPlace tells whether that limit permits one now.
	slots    int
	hasPlace bool
}

// candidates returns the servers of a service that can accept a request now. One whose
// limit permits none is included without free slots, since requests of this entry may
// run there.
func (g *Gateway) candidates(placer *placement.Placer, r requirements) []placement.Candidate {
	reachable := g.reachable(placer, r)
	list := make([]placement.Candidate, 0, len(reachable))
	for _, s := range reachable {
		list = append(list, s.Candidate)
	}
	r.cost.addPredictions(g, reachable, list)
	return list
}

// reachable returns the servers of a service that can accept a request now or as soon as
// the limits that they name permit one.
func (g *Gateway) reachable(placer *placement.Placer, r requirements) []reachableServer {
	view := g.follower.View()
	if view.Table == nil {
		return nil
	}
	service := view.Table.Service(r.service)
	if service == nil {
		return nil
	}
	now, viewNow := time.Now(), g.clock.Now()
	node, sharing, loads := g.node.Load(), g.sharing(), g.gossip.Loads()
	g.queueWaits.observeExchange(viewNow, service, view.Servers[r.service], loads)
	shedsLoad := g.isLoadShedding(r.service)
	list := make([]reachableServer, 0, len(view.Servers[r.service]))
	for _, server := range view.Servers[r.service] {
		if !isAllowedByAll(r.regions, node.Regions[server.DataCentre]) || g.isClosed(now, server) || !g.mayServe(viewNow, view, service, server, r, loads) {
			continue
		}
		pauseStart := g.pauseStart(now, server, r.model)
		if !pauseStart.IsZero() && !now.Before(pauseStart) {
			continue
		}
		if !g.hasPlace(now, server, g.coldParts(sharing, service, server)) {
			continue
		}
		s := g.candidate(now, placer, service, server, loads, shedsLoad)
		s.PauseStart, s.DataCentreOut = pauseStart, view.OutDataCentres[server.DataCentre]
		if s.hasPlace = g.hasPlace(now, server, g.parts(sharing, service, server)); !s.hasPlace {
			s.FreeSlots = min(s.slots, 0)
		}
		list = append(list, s)
	}
	return list
}

// candidate describes a server with its load, without regard to its limits.
func (g *Gateway) candidate(now time.Time, placer *placement.Placer, service *fleet.Service, server *watch.Server, loads gossip.Loads, shedsLoad bool) reachableServer {
	region := g.node.Load().Regions[server.DataCentre]
	limit := g.concurrencyLimit(now, service, server)
	inFlight := placer.InFlight(server.ID)
	free := limit - loads.Own[server.ID] - loads.Peers[server.ID]
	share := g.slotShare(server, region, free, shedsLoad)
	slots := availableSlots(share, free, inFlight, loads.Own[server.ID], service.Engine != nil)
	return reachableServer{server: server, slots: slots, Candidate: placement.Candidate{
		ID:          server.ID,
		Addr:        server.Addr,
		DataCentre:  server.DataCentre,
		Region:      region,
		Incarnation: incarnationOf(server),
		Running:     loads.Peers[server.ID] + inFlight,
		Limit:       limit,
		ReportedAt:  loads.At,
		Direct:      true,
		FreeSlots:   slots,
		Leaving:     server.Leaving,
	}}
}
