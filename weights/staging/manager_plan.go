package staging

import (
	"context"
	"time"
)

// newPlan returns the plan of a version with the current list of agents, which applies
// to requests of other agents from now on.
func (m *Manager) newPlan(ctx context.Context, target TargetVersion) FetchPlan {
	plan := NewFetchPlan(m.config.Self, target.OriginRegion, target.Pieces, m.config.ListAgents(ctx))
	m.setPlan(target.VersionKey, plan)
	m.downlink.setNeighbours(plan.localAgentCount())
	return plan
}

func (m *Manager) setPlan(key VersionKey, plan FetchPlan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plans[key] = plan
}

// shouldDecline reports whether requests for a piece that this agent should fetch
// into the region are refused because its link is slow, so that another agent
// fetches the piece. That agent never declines, so that the origin sends the
// piece at most twice because of the slow link.
func (m *Manager) shouldDecline(key VersionKey, num int) bool {
	m.mu.Lock()
	plan, ok := m.plans[key]
	m.mu.Unlock()
	return ok && plan.IsRegionFetcher(num) && m.downlink.isLinkSlow(time.Now())
}

// isAssigned reports whether other agents may wait for a piece here: this agent fetches
// it into the region, takes over, or passes it on. It is true while there is no plan.
func (m *Manager) isAssigned(key VersionKey, num int) bool {
	m.mu.Lock()
	plan, ok := m.plans[key]
	m.mu.Unlock()
	return !ok || plan.rank(num) <= 1 || plan.SendsToOthers(num)
}
