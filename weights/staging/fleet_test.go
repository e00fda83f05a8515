package staging

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const (
	originPieceTime     = 26 * time.Millisecond
	testRegions         = 3
	testAgentsPerRegion = 20
)

// With 32 agents in a region pieces queue for seconds at the links of their sources.
// Transfers that reached their timeout there were repeated.
func TestFleetLoadsAVersionInTime(t *testing.T) {
	for _, agentsPerRegion := range []int{2, 6, testAgentsPerRegion, 32} {
		t.Run(fmt.Sprint(agentsPerRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, agentsPerRegion, testRegions, answersFraction)
				f.run(12*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
				require.Less(t, f.lastLoad(2), inForceWithin)
				require.InDelta(t, 1, f.copies(), 0.1)
				require.Zero(t, f.wastedTransfers)
				// A few agents request their pieces later than in turn, and must not wait
				// for the next one: the origin may fail.
				require.Less(t, f.origin.lastSentAt, fleetPieces*originPieceTime*5/4)
			})
		})
	}
}

// After an outage of the origin all agents requested the missing pieces at once, and
// most requests reached their timeout; the last engine loaded the version 7.4 s after
// the origin's return.
func TestFleetRecoversFromAnOutageOfTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		f.origin.downFrom, f.origin.downUntil = 500*time.Millisecond, 6500*time.Millisecond
		f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		// The pieces arrive within 45% of the time in which the version must be in force;
		// half of the time is left for those that are loaded meanwhile.
		require.Less(t, f.lastLoad(2)-f.origin.downUntil, inForceWithin*3/4)
		require.Less(t, f.copies(), 1.5)
	})
}

// A newer version used to replace one of which less than half had arrived. When the
// origin failed right after, no engine had a version that may serve for seconds.
func TestOlderVersionIsLoadedWhenTheNewerOneCannotBeFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		f.origin.downFrom, f.origin.downUntil = 2500*time.Millisecond, 8500*time.Millisecond
		f.run(25*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }, 2 * time.Second: func() { f.nameVersion(3) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.lastLoad(3)-f.origin.downUntil, inForceWithin*3/4)
	})
}

// Agents whose engines are gone still run. All others waited for the pieces that such
// an agent should fetch into their region, each piece for seconds.
func TestFleetDoesNotWaitForAgentsWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
		for i, a := range f.agents {
			f.engines[a.ID].isGone = i%4 == 0
		}
		f.run(16*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
	})
}

// Agents read the list of agents at different times while instances leave. Each then
// assigns the pieces to other agents, and agents that waited for each other fetched a
// piece only after the lists agreed, or never.
func TestFleetLoadsAVersionWhileListsDiffer(t *testing.T) {
	for seed := *fleetSeed; seed < *fleetSeed+*fleetSeeds; seed++ {
		runWhileListsDiffer(t, seed, time.Hour)
	}
	runWhileListsDiffer(t, *fleetSeed, 3*time.Second)
}

// An agent asked the same two agents for a piece, which waited for it themselves, until
// it took over by chance; others of the region had the piece for seconds.
func TestAgentWithOutdatedListFindsHolders(t *testing.T) {
	for _, seed := range []uint64{25, 26, 41, 88, 106, 169, 184, 197} {
		runWhileListsDiffer(t, seed, time.Hour)
	}
}

// runWhileListsDiffer checks a fleet whose agents do not all list those without engines,
// until agreeAt after the start.
func runWhileListsDiffer(t *testing.T, seed uint64, agreeAt time.Duration) {
	t.Run(fmt.Sprintf("seed %d until %v", seed, agreeAt), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newWeightsFleet(t, testAgentsPerRegion, testRegions, 0)
			f.seed = seed
			for i, a := range f.agents {
				f.engines[a.ID].isGone = i%4 == 0
			}
			lists := f.drawLists()
			f.listedBy = func(self Agent) []Agent {
				if time.Since(f.started) < agreeAt {
					return lists[self.ID]
				}
				list := slices.Clone(f.agents)
				for i, a := range list {
					list[i].Unlisted = f.engines[a.ID].isGone
				}
				return list
			}
			f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
			t.Logf("last load after %v, %.2f copies from the origin", f.lastLoad(2), f.copies())
			require.Less(t, f.lastLoad(2), inForceWithin)
			require.Less(t, f.copies(), 4.0)
		})
	})
}

// drawLists returns for each agent a list that lacks some of the agents without engines.
func (f *weightsFleet) drawLists() map[core.InstanceID][]Agent {
	random := rand.New(rand.NewPCG(f.seed, 1))
	lists := map[core.InstanceID][]Agent{}
	for _, self := range f.agents {
		share := random.Float64()
		for _, a := range f.agents {
			a.Unlisted = f.engines[a.ID].isGone && random.Float64() > share
			lists[self.ID] = append(lists[self.ID], a)
		}
	}
	return lists
}

// Two runs of one seed must not differ, so that a failure can be repeated.
func TestFleetRunsAreRepeatable(t *testing.T) {
	var loads [2][]time.Duration
	for run := range loads {
		synctest.Test(t, func(t *testing.T) {
			f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
			f.origin.downFrom, f.origin.downUntil = 500*time.Millisecond, 2*time.Second
			f.run(12*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
			for _, a := range f.agents {
				loads[run] = append(loads[run], f.engines[a.ID].loadedAt[2].Sub(f.started))
			}
			loads[run] = append(loads[run], f.origin.lastSentAt, time.Duration(f.origin.sentPieces))
		})
	}
	require.Equal(t, loads[0], loads[1])
}

// Agents that leave while a version travels leave pieces to the agents after them, which
// request them at once. The origin may fail soon.
func TestPiecesOfLostAgentsAreFetchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, 5, testRegions, 0)
		lostAt := 600 * time.Millisecond
		f.run(12*time.Second, map[time.Duration]func(){
			0:      func() { f.nameVersion(2) },
			lostAt: func() { f.lose(f.agents[1], f.agents[4]) },
		})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.origin.lastSentAt, fleetPieces*originPieceTime*3/2)
	})
}

// A source on a narrow link has its pieces, but sends them slowly. The others must get
// them from each other.
func TestFleetLeavesSourcesOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, 5, testRegions, 0)
		f.uplinks[f.agents[1].ID] = newSimulatedLink(0.95)
		f.run(16*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.copies(), 1.25)
	})
}

// As TestFleetRecoversFromAnOutageOfTheOrigin, while answers take a part of the links.
func TestFleetRecoversFromAnOutageBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
		f.origin.downFrom, f.origin.downUntil = 500*time.Millisecond, 6500*time.Millisecond
		f.run(20*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }})
		require.Less(t, f.lastLoad(2)-f.origin.downUntil, inForceWithin*3/4)
		require.Less(t, f.copies(), 1.5)
	})
}

// As TestOlderVersionIsLoadedWhenTheNewerOneCannotBeFetched, while answers take a part of
// the links.
func TestOlderVersionIsLoadedBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
		f.origin.downFrom, f.origin.downUntil = 2500*time.Millisecond, 8500*time.Millisecond
		f.run(25*time.Second, map[time.Duration]func(){0: func() { f.nameVersion(2) }, 2 * time.Second: func() { f.nameVersion(3) }})
		require.Less(t, f.lastLoad(2), inForceWithin)
		require.Less(t, f.lastLoad(3)-f.origin.downUntil, inForceWithin*3/4)
	})
}

// Guards against a schedule by the weights that an engine had when a version was
// requested, several seconds before its pieces are held.
func TestEngineThatStartsToServeWhileAVersionArrivesIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, testAgentsPerRegion, testRegions, answersFraction)
		var mu sync.Mutex
		announced := map[core.InstanceID]time.Duration{}
		for id, m := range f.managers {
			f.engines[id].loaded = 0
			m.config.AnnouncePause = func(notice fleet.PauseNotice) {
				mu.Lock()
				defer mu.Unlock()
				if _, ok := announced[id]; !ok && !notice.Ended {
					announced[id] = time.Since(f.started)
				}
			}
		}
		f.run(12*time.Second, map[time.Duration]func(){
			0: func() { f.nameVersion(2) },
			time.Second: func() {
				for _, e := range f.engines {
					e.mu.Lock()
					e.loaded = 1
					e.mu.Unlock()
				}
			},
		})
		require.Less(t, f.lastLoad(2), inForceWithin)
		for id, e := range f.engines {
			require.Contains(t, announced, id)
			require.GreaterOrEqual(t, e.loadedAt[2].Sub(f.started), announced[id]+minPauseNotice)
		}
	})
}
