package members

import (
	"math"
	"slices"
	"sort"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// receiverLoadFactor bounds the number of agents that report to one entry, as a
// multiple of the mean in its data centre.
const receiverLoadFactor = 1.25

// receiverPolicy selects the entries that receive an agent's heartbeats:
// perDataCentre in each data centre, at most maxTotal in all.
type receiverPolicy struct {
	perDataCentre int
	maxTotal      int
}

// choose returns the receivers for self, those in its own data centre first. In
// each data centre it takes the preferred entries, then those with the highest
// rendezvous hash. Entries in avoided are used only if the data centre has no
// other entries.
func (p receiverPolicy) choose(self platform.Instance, candidates []platform.Instance, avoided, preferred map[core.InstanceID]bool) []platform.Instance {
	byDataCentre := entriesByDataCentre(candidates, self.ID)
	var receivers []platform.Instance
	for _, dataCentre := range orderDataCentres(self, byDataCentre) {
		ranked := byDataCentre[dataCentre]
		sort.Slice(ranked, func(i, j int) bool { return receiverBefore(self.ID, avoided, preferred, ranked[i].ID, ranked[j].ID) })
		receivers = append(receivers, ranked[:min(p.perDataCentre, len(ranked))]...)
	}
	return receivers[:min(p.maxTotal, len(receivers))]
}

func receiverBefore(self core.InstanceID, avoided, preferred map[core.InstanceID]bool, a, b core.InstanceID) bool {
	if avoided[a] != avoided[b] {
		return !avoided[a]
	}
	if preferred[a] != preferred[b] {
		return preferred[a]
	}
	return rendezvousHash("home", self, a) > rendezvousHash("home", self, b)
}

func entriesByDataCentre(instances []platform.Instance, excluded core.InstanceID) map[core.DataCentre][]platform.Instance {
	byDataCentre := map[core.DataCentre][]platform.Instance{}
	for _, instance := range instances {
		if instance.Role == platform.RoleEntry && instance.ID != excluded {
			byDataCentre[instance.DataCentre] = append(byDataCentre[instance.DataCentre], instance)
		}
	}
	return byDataCentre
}

// orderDataCentres returns the data centres in the order in which an agent uses
// them, its own first.
func orderDataCentres(self platform.Instance, byDataCentre map[core.DataCentre][]platform.Instance) []core.DataCentre {
	dataCentres := make([]core.DataCentre, 0, len(byDataCentre))
	for dataCentre := range byDataCentre {
		dataCentres = append(dataCentres, dataCentre)
	}
	sort.Slice(dataCentres, func(i, j int) bool {
		if (dataCentres[i] == self.DataCentre) != (dataCentres[j] == self.DataCentre) {
			return dataCentres[i] == self.DataCentre
		}
		return rendezvousHash("zone", self.ID, core.InstanceID(dataCentres[i])) > rendezvousHash("zone", self.ID, core.InstanceID(dataCentres[j]))
	})
	return dataCentres
}

// assign computes receivers for all listed agents by rendezvous hashing with
// bounded loads, and returns the receivers of self. Agents with the same list
// compute the same assignment, so the number of agents per entry stays
// balanced.
func (p receiverPolicy) assign(self platform.Instance, instances []platform.Instance) map[core.InstanceID]bool {
	byDataCentre := entriesByDataCentre(instances, self.ID)
	agents := agentsIncluding(self, instances)
	limits := p.loadLimits(agents, byDataCentre)
	load := map[core.InstanceID]int{}
	for _, agent := range agents {
		assigned := map[core.InstanceID]bool{}
		for _, dataCentre := range p.dataCentres(agent, byDataCentre) {
			for range min(p.perDataCentre, len(byDataCentre[dataCentre])) {
				if entry := highestBelowLimit(agent.ID, byDataCentre[dataCentre], assigned, load, limits[dataCentre]); entry != "" {
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

// dataCentres returns the data centres with receivers for an agent.
func (p receiverPolicy) dataCentres(agent platform.Instance, byDataCentre map[core.DataCentre][]platform.Instance) []core.DataCentre {
	dataCentres := orderDataCentres(agent, byDataCentre)
	count := (p.maxTotal + p.perDataCentre - 1) / p.perDataCentre
	return dataCentres[:min(count, len(dataCentres))]
}

// loadLimits returns the maximum number of agents per entry in each data
// centre.
func (p receiverPolicy) loadLimits(agents []platform.Instance, byDataCentre map[core.DataCentre][]platform.Instance) map[core.DataCentre]int {
	assignmentCount := map[core.DataCentre]int{}
	for _, agent := range agents {
		for _, dataCentre := range p.dataCentres(agent, byDataCentre) {
			assignmentCount[dataCentre] += p.perDataCentre
		}
	}
	limits := map[core.DataCentre]int{}
	for dataCentre, count := range assignmentCount {
		limits[dataCentre] = int(math.Ceil(receiverLoadFactor * float64(count) / float64(len(byDataCentre[dataCentre]))))
	}
	return limits
}

// agentsIncluding returns the listed agents and self, ordered by ID.
func agentsIncluding(self platform.Instance, instances []platform.Instance) []platform.Instance {
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

// highestBelowLimit returns the entry with the highest rendezvous hash among
// those whose load is below limit, or "".
func highestBelowLimit(agent core.InstanceID, entries []platform.Instance, assigned map[core.InstanceID]bool, load map[core.InstanceID]int, limit int) core.InstanceID {
	var best core.InstanceID
	var bestScore uint64
	for _, entry := range entries {
		if assigned[entry.ID] || load[entry.ID] >= limit {
			continue
		}
		if score := rendezvousHash("home", agent, entry.ID); best == "" || score > bestScore {
			best = entry.ID
			bestScore = score
		}
	}
	return best
}
