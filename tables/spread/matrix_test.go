package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// faultHold is how long each fault of the matrix lasts.
const faultHold = 3 * time.Second

// TestFaultMatrixEditSpread has each fault at each step after an edit was
// committed: a relay reads it, a daemon adopts it, a daemon acknowledges it.
// In every case each revision is in force everywhere and acknowledged within
// the bound after the fault, and no daemon is fresh without it for longer.
func TestFaultMatrixEditSpread(t *testing.T) {
	// hit applies a fault of a node once and remembers it.
	hit := func(s *sim, fault func(node *simNode)) func(simStep, *simNode) simFate {
		done := map[core.InstanceID]bool{}
		return func(_ simStep, node *simNode) simFate {
			if !done[node.self.ID] && len(done) < 6 {
				done[node.self.ID] = true
				s.at(s.now, node, func() { fault(node) })
			}
			return simFate{}
		}
	}
	faults := map[string]func(s *sim) func(simStep, *simNode) simFate{
		"lost": func(*sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate { return simFate{lose: true} }
		},
		"half lost": func(s *sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate { return simFate{lose: s.random.IntN(2) == 0} }
		},
		"late": func(*sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate { return simFate{delay: 900 * time.Millisecond} }
		},
		"reordered": func(s *sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate {
				return simFate{delay: time.Duration(s.random.IntN(600)) * time.Millisecond}
			}
		},
		"twice": func(*sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate { return simFate{duplicate: true} }
		},
		"paused": func(s *sim) func(simStep, *simNode) simFate {
			return hit(s, func(node *simNode) {
				node.pausedTo = s.now.Add(faultHold)
				node.touched = node.pausedTo
			})
		},
		"restarted": func(s *sim) func(simStep, *simNode) simFate {
			return hit(s, s.boot)
		},
		"cut off": func(s *sim) func(simStep, *simNode) simFate {
			return hit(s, func(node *simNode) {
				node.cut = true
				node.touched = s.now.Add(faultHold)
			})
		},
		"store down": func(s *sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate {
				s.storeDown = true
				return simFate{}
			}
		},
		"old reads": func(s *sim) func(simStep, *simNode) simFate {
			return func(simStep, *simNode) simFate {
				s.oldHead = s.head() - 1
				return simFate{}
			}
		},
	}
	for _, step := range []simStep{simRelay, simAdopt, simAcknowledge} {
		for name, fault := range faults {
			t.Run(string(step)+"/"+name, func(t *testing.T) {
				s := newSim(7)
				s.advance(3 * time.Second)
				fate := fault(s)
				occurred := 0
				s.fate = func(at simStep, node *simNode) simFate {
					if at != step {
						return simFate{}
					}
					occurred++
					return fate(at, node)
				}
				s.edit(s.firstOther(step))
				s.advance(faultHold)
				require.Positive(t, occurred)
				s.fate, s.storeDown, s.oldHead = nil, false, 0
				s.disturbed = s.now
				for _, node := range s.nodes {
					node.cut = false
				}
				s.advance(inForceBound)
				for _, node := range s.nodes {
					require.Equal(t, s.head(), node.state.Revision(), "%s", node.self.ID)
					require.True(t, s.fresh(node), "%s", node.self.ID)
					require.Equal(t, s.head(), s.acknowledged[node.self.ID], "%s", node.self.ID)
				}
				require.Empty(t, s.violations)
			})
		}
	}
}

// firstOther returns an entry of the store's region to edit through; for the
// relay step one that is no relay, so that relays must find out.
func (s *sim) firstOther(step simStep) *simNode {
	for _, node := range s.nodes {
		if node.self.Role != platform.RoleEntry || node.self.Region != simStore {
			continue
		}
		if step != simRelay || !node.state.Relay() {
			return node
		}
	}
	panic("no such entry")
}
