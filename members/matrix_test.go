package members

import (
	"fmt"
	"testing"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/wire"
	"github.com/stretchr/testify/require"
)

// seedsPerCell is the number of runs of each combination of fault and step.
const seedsPerCell = 3

// TestFaultMatrixMembership injects each fault at each step of a daemon's life.
// The views of all entries must then converge, and no revision may be reported
// as in force too early.
func TestFaultMatrixMembership(t *testing.T) {
	const target = core.InstanceID("i06")
	faultCases := []struct {
		name  string
		apply func(s *simulation)
	}{
		{"killed", func(s *simulation) { s.kill(target) }},
		{"restarted", func(s *simulation) {
			if p := s.procs[target]; p != nil {
				s.spawn(p.instance)
			}
		}},
		{"replaced on same address", func(s *simulation) { s.replaceOnAddress(target, s.procs[target]) }},
		{"paused past the lease", func(s *simulation) { s.pause(target, 30) }},
		{"observing entry killed", func(s *simulation) { s.kill("i00") }},
		{"observing entry paused", func(s *simulation) { s.pause("i00", 30) }},
		{"network partition", func(s *simulation) { s.partition[target], s.partition["i00"] = 1, 1 }},
		{"daemon isolated", func(s *simulation) { s.partition[target] = 1 }},
		{"lossy network", func(s *simulation) { s.faultRates = faultRates{loss: 40, delay: 60, duplicate: 30} }},
		{"incomplete instance list", func(s *simulation) { s.listed = s.listed[:4] }},
	}
	steps := []struct {
		name string
		run  func(s *simulation)
	}{
		{"join", func(*simulation) {}},
		{"report", func(s *simulation) { s.advance() }},
		{"spread", func(s *simulation) { s.advance() }},
		{"edit", func(s *simulation) { s.latestRevision++ }},
		{"acknowledge", func(s *simulation) { s.advance() }},
		{"leave", func(s *simulation) {
			if p := s.procs[target]; p != nil {
				p.leaving = true
			}
		}},
	}
	for _, fault := range faultCases {
		for faultStep := range steps {
			t.Run(fmt.Sprintf("%s/%s", steps[faultStep].name, fault.name), func(t *testing.T) {
				violations := invariant.TotalViolations()
				for seed := range uint64(seedsPerCell) {
					s := newSimulation(t, seed, 4, 3)
					for i, step := range steps {
						if i == faultStep {
							fault.apply(s)
						}
						step.run(s)
						for range 1 + s.randomBelow(10) {
							s.advance()
						}
					}
					s.converge()
				}
				require.Zero(t, invariant.TotalViolations()-violations)
			})
		}
	}
}

func (s *simulation) pause(id core.InstanceID, steps int) {
	if p := s.procs[id]; p != nil {
		p.pausedFor = steps
	}
}

// TestInvariantMergeIsMonotonic corrupts the merge of reports and asserts that
// the invariant checks detect it.
func TestInvariantMergeIsMonotonic(t *testing.T) {
	tests := []struct {
		name        string
		invariantID invariant.ID
		corrupt     func(merged *report)
	}{
		{"incarnation decreases", invariant.NoRevert, func(r *report) { r.incarnation-- }},
		{"revision decreases", invariant.NoRevert, func(r *report) { r.revision-- }},
		{"leaving flag is cleared", invariant.LeavingBackend, func(r *report) { r.flags = 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, agent := rosterWithAgent()
			r.merge = func(current, incoming report) (report, changeKind) {
				merged, kind := merge(current, incoming)
				test.corrupt(&merged)
				return merged, kind
			}
			violations := invariant.Violations(test.invariantID)
			accepted := r.applyHeartbeat(simStart, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2})
			require.False(t, accepted)
			require.Equal(t, violations+1, invariant.Violations(test.invariantID))
			require.Equal(t, core.Revision(7), r.records[agent.ID].revision, "the report is unchanged")
		})
	}
}
