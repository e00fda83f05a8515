package members

import (
	"math"
	"slices"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// homeLoadFactor bounds the agents that report to one entry, as a multiple of
// the mean of its data centre.
const homeLoadFactor = 1.25

// homeRule says how many entries an agent reports to.
type homeRule struct {
	perDataCentre int
	limit         int
}

// choose returns the entries that self reports to: in each data centre the
// preferred ones, then the highest by rendezvous hash, the own data centre
// first. Candidates in avoid are used only when a data centre has no others.
func (h homeRule) choose(self platform.Instance, candidates []platform.Instance, avoid, preferred map[core.InstanceID]bool) []platform.Instance {
	byZone := entriesByZone(candidates, self.ID)
	var homes []platform.Instance
	for _, zone := range homeZones(self, byZone) {
		ranked := byZone[zone]
		sort.Slice(ranked, func(i, j int) bool { return preferHome(self.ID, avoid, preferred, ranked[i].ID, ranked[j].ID) })
		homes = append(homes, ranked[:min(h.perDataCentre, len(ranked))]...)
	}
	return homes[:min(h.limit, len(homes))]
}

func preferHome(self core.InstanceID, avoid, preferred map[core.InstanceID]bool, a, b core.InstanceID) bool {
	if avoid[a] != avoid[b] {
		return !avoid[a]
	}
	if preferred[a] != preferred[b] {
		return preferred[a]
	}
	return rendezvous("home", self, a) > rendezvous("home", self, b)
}

func entriesByZone(instances []platform.Instance, without core.InstanceID) map[core.DataCentre][]platform.Instance {
	byZone := map[core.DataCentre][]platform.Instance{}
	for _, instance := range instances {
		if instance.Role == platform.RoleEntry && instance.ID != without {
			byZone[instance.DataCentre] = append(byZone[instance.DataCentre], instance)
		}
	}
	return byZone
}

// homeZones orders the data centres for an agent, its own first.
func homeZones(self platform.Instance, byZone map[core.DataCentre][]platform.Instance) []core.DataCentre {
	zones := make([]core.DataCentre, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool {
		if (zones[i] == self.DataCentre) != (zones[j] == self.DataCentre) {
			return zones[i] == self.DataCentre
		}
		return rendezvous("zone", self.ID, core.InstanceID(zones[i])) > rendezvous("zone", self.ID, core.InstanceID(zones[j]))
	})
	return zones
}

// balance assigns every listed agent to entries by rendezvous hash with
// bounded loads, and returns those of self. Agents that see the same list
// agree, so no entry gets many more agents than another.
func (h homeRule) balance(self platform.Instance, instances []platform.Instance) map[core.InstanceID]bool {
	byZone := entriesByZone(instances, self.ID)
	agents := agentsWith(self, instances)
	bound := h.bounds(agents, byZone)
	load := map[core.InstanceID]int{}
	for _, agent := range agents {
		assigned := map[core.InstanceID]bool{}
		for _, zone := range h.zones(agent, byZone) {
			for range min(h.perDataCentre, len(byZone[zone])) {
				if entry := highestWithRoom(agent.ID, byZone[zone], assigned, load, bound[zone]); entry != "" {
					assigned[entry] = true
					load[entry]++
				}
			}
		}
		if agent.ID == self.ID {
			return assigned
		}
	}
	return nil
}

// zones returns the data centres whose entries an agent reports to.
func (h homeRule) zones(agent platform.Instance, byZone map[core.DataCentre][]platform.Instance) []core.DataCentre {
	zones := homeZones(agent, byZone)
	count := (h.limit + h.perDataCentre - 1) / h.perDataCentre
	return zones[:min(count, len(zones))]
}

// bounds returns the most agents for one entry of each data centre.
func (h homeRule) bounds(agents []platform.Instance, byZone map[core.DataCentre][]platform.Instance) map[core.DataCentre]int {
	reports := map[core.DataCentre]int{}
	for _, agent := range agents {
		for _, zone := range h.zones(agent, byZone) {
			reports[zone] += h.perDataCentre
		}
	}
	bound := map[core.DataCentre]int{}
	for zone, count := range reports {
		bound[zone] = int(math.Ceil(homeLoadFactor * float64(count) / float64(len(byZone[zone]))))
	}
	return bound
}

// agentsWith returns the listed agents and self, ordered by id.
func agentsWith(self platform.Instance, instances []platform.Instance) []platform.Instance {
	agents := []platform.Instance{self}
	for _, instance := range instances {
		if instance.Role == platform.RoleAgent && instance.ID != self.ID {
			agents = append(agents, instance)
		}
	}
	slices.SortFunc(agents, func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return agents
}

// highestWithRoom returns the highest entry by rendezvous hash that has room.
func highestWithRoom(agent core.InstanceID, entries []platform.Instance, taken map[core.InstanceID]bool, load map[core.InstanceID]int, bound int) core.InstanceID {
	var best core.InstanceID
	var bestScore uint64
	for _, entry := range entries {
		if taken[entry.ID] || load[entry.ID] >= bound {
			continue
		}
		if score := rendezvous("home", agent, entry.ID); best == "" || score > bestScore {
			best = entry.ID
			bestScore = score
		}
	}
	return best
}
