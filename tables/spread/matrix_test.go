package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// faultDuration is how long each fault of the matrix lasts.
const faultDuration = 3 * time.Second

// TestFaultMatrixEditSpread injects each fault at each step after the commit of
// an edit: a relay reads it, a daemon adopts it, a daemon acknowledges it. In
// every case all daemons must adopt and acknowledge the revision within
// inForceBound after the end of the fault, and no daemon may count as fresh
// without it for longer.
func TestFaultMatrixEditSpread(t *testing.T) {
	// oncePerNode applies a fault to each node at most once, and to at most 6
	// nodes.
	oncePerNode := func(s *sim, fault func(node *simNode)) func(simStep, *simNode) simStepFault {
		affected := map[core.InstanceID]bool{}
		return func(_ simStep, node *simNode) simStepFault {
			if !affected[node.self.ID] && len(affected) < 6 {
				affected[node.self.ID] = true
				s.schedule(s.now, node, func() { fault(node) })
			}
			return simStepFault{}
		}
	}
	faults := map[string]func(s *sim) func(simStep, *simNode) simStepFault{
		"lost": func(*sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault { return simStepFault{lose: true} }
		},
		"half of them lost": func(s *sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault { return simStepFault{lose: s.random.IntN(2) == 0} }
		},
		"delayed": func(*sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault { return simStepFault{delay: 900 * time.Millisecond} }
		},
		"reordered": func(s *sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault {
				return simStepFault{delay: time.Duration(s.random.IntN(600)) * time.Millisecond}
			}
		},
		"duplicated": func(*sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault { return simStepFault{duplicate: true} }
		},
		"paused": func(s *sim) func(simStep, *simNode) simStepFault {
			return oncePerNode(s, func(node *simNode) {
				node.pausedUntil = s.now.Add(faultDuration)
				node.nodeFaultEnd = node.pausedUntil
			})
		},
		"restarted": func(s *sim) func(simStep, *simNode) simStepFault {
			return oncePerNode(s, s.startProcess)
		},
		"isolated": func(s *sim) func(simStep, *simNode) simStepFault {
			return oncePerNode(s, func(node *simNode) {
				node.isolated = true
				node.nodeFaultEnd = s.now.Add(faultDuration)
			})
		},
		"store down": func(s *sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault {
				s.storeDown = true
				return simStepFault{}
			}
		},
		"stale reads": func(s *sim) func(simStep, *simNode) simStepFault {
			return func(simStep, *simNode) simStepFault {
				s.staleHead = s.head() - 1
				return simStepFault{}
			}
		},
	}
	for _, step := range []simStep{simStepRelay, simStepAdopt, simStepAcknowledge} {
		for name, fault := range faults {
			t.Run(string(step)+"/"+name, func(t *testing.T) {
				s := newSim(7)
				s.advance(3 * time.Second)
				stepFault := fault(s)
				occurrences := 0
				s.stepFault = func(current simStep, node *simNode) simStepFault {
					if current != step {
						return simStepFault{}
					}
					occurrences++
					return stepFault(current, node)
				}
				s.edit(s.entryForEdit(step))
				s.advance(faultDuration)
				require.Positive(t, occurrences)
				s.stepFault, s.storeDown, s.staleHead = nil, false, 0
				s.sharedFaultEnd = s.now
				for _, node := range s.nodes {
					node.isolated = false
				}
				s.advance(inForceBound)
				for _, node := range s.nodes {
					require.Equal(t, s.head(), node.state.Revision(), "%s", node.self.ID)
					require.True(t, s.isFresh(node), "%s", node.self.ID)
					require.Equal(t, s.head(), s.acknowledged[node.self.ID], "%s", node.self.ID)
				}
				require.Empty(t, s.violations)
			})
		}
	}
}

// entryForEdit returns an entry in the store's region through which to make the
// edit. For the relay step it is not a relay, so that the relays have to read
// the edit from the store.
func (s *sim) entryForEdit(step simStep) *simNode {
	for _, node := range s.nodes {
		if node.self.Role != platform.RoleEntry || node.self.Region != simStoreRegion {
			continue
		}
		if step != simStepRelay || !node.state.IsRelay() {
			return node
		}
	}
	panic("the simulation has no suitable entry")
}
