package staging

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func agentsOf(regions ...string) []Agent {
	var list []Agent
	for i, region := range regions {
		list = append(list, Agent{ID: core.InstanceID(fmt.Sprintf("a-%d", i)), Region: core.Region(region), Service: "s"})
	}
	return list
}

// Each piece must leave the origin once and cross into each other region once.
func TestPlanBringsEachPieceOncePerRegion(t *testing.T) {
	agents := agentsOf("north", "north", "north", "south", "south", "east", "east", "east")
	const pieces = 64
	fromOrigin, crossings, work := 0, 0, map[core.InstanceID]int{}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", agents)
		for piece := range pieces {
			sources := plan.Sources(piece)
			if len(sources) == 0 {
				fromOrigin++
				require.True(t, plan.Owns(piece))
				continue
			}
			if sources[0].Region != self.Region {
				crossings++
			}
			work[sources[0].ID]++
		}
	}
	require.Equal(t, pieces, fromOrigin)
	require.Equal(t, 2*pieces, crossings)
	for id, uploads := range work {
		require.Less(t, uploads, 2*pieces, "agent %s", id)
	}
}

func TestPlanFillsTheLinksAlike(t *testing.T) {
	agents := agentsOf("north", "north", "north", "north", "north")
	owned := map[core.InstanceID]int{}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", agents)
		for piece := range 64 {
			if plan.Owns(piece) {
				owned[self.ID]++
			}
		}
	}
	for id, count := range owned {
		require.InDelta(t, 13, count, 1, "agent %s", id)
	}
}

// The agents of the origin's region must not send much more than the others:
// the busiest link decides the time to all.
func TestPlanSharesTheWorkOfCrossings(t *testing.T) {
	agents := agentsOf("north", "north", "north", "south", "south", "south", "east", "east", "east")
	const pieces = 64
	byRegion := map[core.Region]int{}
	region := map[core.InstanceID]core.Region{}
	for _, self := range agents {
		region[self.ID] = self.Region
	}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", agents)
		for piece := range pieces {
			if sources := plan.Sources(piece); len(sources) > 0 {
				byRegion[region[sources[0].ID]]++
			}
		}
	}
	require.Equal(t, 3*pieces, byRegion["north"], "two in the region and one over the border for each piece")
	require.Equal(t, 2*2*pieces+pieces, byRegion["south"]+byRegion["east"])
}

func TestPlanWithoutAgentsInTheOriginsRegion(t *testing.T) {
	agents := agentsOf("south", "south")
	plan := NewFetchPlan(agents[0], "north", agents)
	for piece := range 8 {
		if plan.Owns(piece) {
			require.Empty(t, plan.Sources(piece), "the origin is the only source")
			continue
		}
		require.Equal(t, agents[1].ID, plan.Sources(piece)[0].ID)
	}
}

func TestLoadsAreSpreadWithinTheTime(t *testing.T) {
	agents := agentsOf("n", "n", "n", "s", "s", "s", "e", "e", "e")
	seen := map[time.Duration]bool{}
	for _, self := range agents {
		delay := NewFetchPlan(self, "n", agents).LoadDelay(2, 8*time.Second)
		require.GreaterOrEqual(t, delay, time.Duration(loadFrom*float64(8*time.Second)))
		require.Less(t, delay, time.Duration(loadUntil*float64(8*time.Second)))
		seen[delay] = true
	}
	require.Len(t, seen, len(agents))
}

// Agents of lost instances must have no part in a plan: each of their pieces
// costs the others seconds.
func TestLostAgentsAreLeftOut(t *testing.T) {
	agents := agentsOf("north", "north", "south")
	listed := map[string]bool{}
	for i := range agents {
		agents[i].EngineAddr = fmt.Sprintf("10.0.0.%d:8000", i)
		listed[agents[i].EngineAddr] = true
	}
	require.Len(t, LiveAgents(agents, listed), 3)
	delete(listed, agents[1].EngineAddr)
	require.Equal(t, []Agent{agents[0], agents[2]}, LiveAgents(agents, listed))
	delete(listed, agents[2].EngineAddr)
	require.Len(t, LiveAgents(agents, listed), 3, "a list without most engines is in doubt")
}
