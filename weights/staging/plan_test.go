package staging

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

func agentsInRegions(regions ...string) []Agent {
	var list []Agent
	for i, region := range regions {
		list = append(list, Agent{ID: core.InstanceID(fmt.Sprintf("a-%d", i)), Region: core.Region(region), Service: "s"})
	}
	return list
}

// Guards against fetching a piece more than once from the origin, or more than
// once into each other region.
func TestPlanBringsEachPieceOncePerRegion(t *testing.T) {
	agents := agentsInRegions("north", "north", "north", "south", "south", "east", "east", "east")
	const pieces = 64
	fromOrigin, crossings, uploadsByAgent := 0, 0, map[core.InstanceID]int{}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", 64, agents)
		for piece := range pieces {
			sources := plan.Sources(piece)
			if len(sources) == 0 {
				fromOrigin++
				require.True(t, plan.IsRegionFetcher(piece))
				continue
			}
			if sources[0].Region != self.Region {
				crossings++
			}
			uploadsByAgent[sources[0].ID]++
		}
	}
	require.Equal(t, pieces, fromOrigin)
	require.Equal(t, 2*pieces, crossings)
	for id, uploads := range uploadsByAgent {
		require.Less(t, uploads, 2*pieces, "agent %s", id)
	}
}

func TestPlanSpreadsPiecesEvenlyOverAgents(t *testing.T) {
	agents := agentsInRegions("north", "north", "north", "north", "north")
	assignedCounts := map[core.InstanceID]int{}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", 64, agents)
		for piece := range 64 {
			if plan.IsRegionFetcher(piece) {
				assignedCounts[self.ID]++
			}
		}
	}
	for id, count := range assignedCounts {
		require.InDelta(t, 13, count, 1, "agent %s", id)
	}
}

// Guards against a plan in which the agents of the origin's region send much more
// than other agents: the busiest link determines when all agents have a version.
func TestPlanSpreadsCrossRegionTransfers(t *testing.T) {
	agents := agentsInRegions("north", "north", "north", "south", "south", "south", "east", "east", "east")
	const pieces = 64
	byRegion := map[core.Region]int{}
	regionOf := map[core.InstanceID]core.Region{}
	for _, self := range agents {
		regionOf[self.ID] = self.Region
	}
	for _, self := range agents {
		plan := NewFetchPlan(self, "north", 64, agents)
		for piece := range pieces {
			if sources := plan.Sources(piece); len(sources) > 0 {
				byRegion[regionOf[sources[0].ID]]++
			}
		}
	}
	require.Equal(t, 3*pieces, byRegion["north"], "each piece is sent twice within the region and once to another region")
	require.Equal(t, 2*2*pieces+pieces, byRegion["south"]+byRegion["east"])
}

// Guards against plans in which a few agents send most of the pieces: with 200 agents in a
// region and 64 pieces, each sent by one agent to all others, 136 agents would send none.
func TestEveryAgentSendsItsShare(t *testing.T) {
	for _, pieces := range []int{48, 64} {
		for agents := 2; agents <= 300; agents++ {
			sent := make([]int, agents)
			fetched := make([]int, agents)
			for piece := range pieces {
				d := newDistribution(pieces, agents, piece)
				fetched[d.first]++
				for rank := 1; rank < agents; rank++ {
					sender := d.senderOf(rank)
					// Millions of calls of require take a minute with the race detector.
					if sender >= rank || sender >= d.senders || rank < d.senders && sender != 0 {
						t.Fatalf("%d pieces, %d agents, piece %d: rank %d gets it from rank %d of %d senders", pieces, agents, piece, rank, sender, d.senders)
					}
					sent[(d.first+sender)%agents]++
				}
			}
			// A sender may send to each other sender of one piece in addition.
			mostSenders := newDistribution(pieces, agents, 0).senders
			require.LessOrEqual(t, slices.Max(sent), pieces+2*mostSenders, "%d pieces, %d agents", pieces, agents)
			require.LessOrEqual(t, slices.Max(fetched)-slices.Min(fetched), 1, "%d pieces, %d agents", pieces, agents)
		}
	}
}

func TestPlanWithoutAgentsInTheOriginsRegion(t *testing.T) {
	agents := agentsInRegions("south", "south")
	plan := NewFetchPlan(agents[0], "north", 64, agents)
	for piece := range 8 {
		if plan.IsRegionFetcher(piece) {
			require.Empty(t, plan.Sources(piece), "the origin is the only source")
			continue
		}
		require.Equal(t, agents[1].ID, plan.Sources(piece)[0].ID)
	}
}

func TestLoadsAreSpreadOverLoadWindow(t *testing.T) {
	agents := agentsInRegions("n", "n", "n", "s", "s", "s", "e", "e", "e")
	seen := map[time.Duration]bool{}
	for _, self := range agents {
		delay := NewFetchPlan(self, "n", 64, agents).LoadDelay(2, 8*time.Second)
		require.GreaterOrEqual(t, delay, time.Duration(loadWindowStartFraction*float64(8*time.Second)))
		require.Less(t, delay, time.Duration(loadWindowEndFraction*float64(8*time.Second)))
		seen[delay] = true
	}
	require.Len(t, seen, len(agents))
}

// Guards against plans with agents of lost instances: each piece assigned to such
// an agent delays the other agents by seconds.
func TestAgentsOfLostInstancesAreMarked(t *testing.T) {
	agents := agentsInRegions("north", "north", "south")
	listed := map[string]bool{}
	for i := range agents {
		agents[i].EngineAddr = fmt.Sprintf("10.0.0.%d:8000", i)
		listed[agents[i].EngineAddr] = true
	}
	marked, unlisted := MarkUnlisted(agents, listed)
	require.Zero(t, unlisted)
	require.Equal(t, agents, marked)
	delete(listed, agents[1].EngineAddr)
	marked, unlisted = MarkUnlisted(agents, listed)
	require.Equal(t, 1, unlisted)
	require.Equal(t, []bool{false, true, false}, []bool{marked[0].Unlisted, marked[1].Unlisted, marked[2].Unlisted})
	require.False(t, agents[1].Unlisted)
	for piece := range 8 {
		require.Equal(t, []Agent{agents[0]}, NewFetchPlan(marked[2], "north", 8, marked).Sources(piece), "an unlisted agent is no source")
	}
	delete(listed, agents[2].EngineAddr)
	_, unlisted = MarkUnlisted(agents, listed)
	require.Zero(t, unlisted, "a list without most engines counts as incomplete")
}

// Agents that disagree on a few engines must agree on most pieces, and no agent may get
// many more pieces than the others.
func TestRingsWithDifferentListsAgree(t *testing.T) {
	const pieces = 64
	for _, count := range []int{9, 18, 31, 100} {
		var agents []Agent
		for i := range count {
			agents = append(agents, Agent{ID: core.InstanceID(fmt.Sprintf("a-%03d", i)), Unlisted: i%4 == 0})
		}
		fresh := newRing(pieces, agents)
		agents[0].Unlisted, agents[8].Unlisted = false, false
		stale := newRing(pieces, agents)
		loads, agreed := map[core.InstanceID]int{}, 0
		for piece := range pieces {
			first := fresh.rankedFor(piece)[0].ID
			loads[first]++
			// An agent without an engine refuses, and the next one is asked.
			ranked := slices.DeleteFunc(stale.rankedFor(piece), func(a Agent) bool { return a.ID == agents[0].ID || a.ID == agents[8].ID })
			if ranked[0].ID == first {
				agreed++
			}
		}
		require.Greater(t, agreed, pieces/2, "%d agents", count)
		for id, load := range loads {
			require.LessOrEqual(t, load, (pieces+len(fresh.listed)-1)/len(fresh.listed), "%d agents, %s", count, id)
		}
	}
}
