package members

import (
	"fmt"
	"testing"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/wire"
	"github.com/stretchr/testify/require"
)

// matrixSeeds is the number of runs of each cell.
const matrixSeeds = 3

// TestFaultMatrixMembership runs every fault at every step of a daemon's
// stay. After each the views of all entries converge, and no revision is in
// force too early on the way.
func TestFaultMatrixMembership(t *testing.T) {
	const victim = core.InstanceID("i06")
	faultList := []struct {
		name  string
		apply func(s *simulation)
	}{
		{"killed", func(s *simulation) { s.kill(victim) }},
		{"restarted", func(s *simulation) {
			if p := s.procs[victim]; p != nil {
				s.spawn(p.instance)
			}
		}},
		{"replaced on same address", func(s *simulation) { s.replaceOnAddress(victim, s.procs[victim]) }},
		{"paused past the lease", func(s *simulation) { s.pause(victim, 30) }},
		{"watching entry killed", func(s *simulation) { s.kill("i00") }},
		{"watching entry paused", func(s *simulation) { s.pause("i00", 30) }},
		{"split", func(s *simulation) { s.side[victim], s.side["i00"] = 1, 1 }},
		{"cut off alone", func(s *simulation) { s.side[victim] = 1 }},
		{"link lossy", func(s *simulation) { s.faults = faults{loss: 40, delay: 60, repeat: 30} }},
		{"list late", func(s *simulation) { s.listed = s.listed[:4] }},
	}
	steps := []struct {
		name string
		run  func(s *simulation)
	}{
		{"join", func(*simulation) {}},
		{"report", func(s *simulation) { s.advance() }},
		{"spread", func(s *simulation) { s.advance() }},
		{"edit", func(s *simulation) { s.head++ }},
		{"acknowledge", func(s *simulation) { s.advance() }},
		{"leave", func(s *simulation) {
			if p := s.procs[victim]; p != nil {
				p.leaving = true
			}
		}},
	}
	for _, fault := range faultList {
		for at := range steps {
			t.Run(fmt.Sprintf("%s/%s", steps[at].name, fault.name), func(t *testing.T) {
				before := invariant.TotalViolations()
				for seed := range uint64(matrixSeeds) {
					s := newSimulation(t, seed, 4, 3)
					for i, step := range steps {
						if i == at {
							fault.apply(s)
						}
						step.run(s)
						for range 1 + s.pick(10) {
							s.advance()
						}
					}
					s.settle()
				}
				require.Zero(t, invariant.TotalViolations()-before)
			})
		}
	}
}

func (s *simulation) pause(id core.InstanceID, steps int) {
	if p := s.procs[id]; p != nil {
		p.pausedFor = steps
	}
}

// TestInvariantReportsAreFinal breaks the merge of reports and shows that the
// checks of the program notice.
func TestInvariantReportsAreFinal(t *testing.T) {
	tests := []struct {
		name    string
		promise invariant.ID
		spoil   func(joined *report)
	}{
		{"incarnation falls", invariant.NoRevert, func(r *report) { r.incarnation-- }},
		{"revision falls", invariant.NoRevert, func(r *report) { r.revision-- }},
		{"leaving is unset", invariant.LeavingBackend, func(r *report) { r.flags = 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, agent := rosterWithAgent()
			r.merge = func(known, incoming report) (report, change) {
				joined, changed := merge(known, incoming)
				test.spoil(&joined)
				return joined, changed
			}
			before := invariant.Violations(test.promise)
			accepted := r.heard(simStart, agent, wire.Heartbeat{Incarnation: 5, Sequence: 2})
			require.False(t, accepted)
			require.Equal(t, before+1, invariant.Violations(test.promise))
			require.Equal(t, core.Revision(7), r.records[agent.ID].revision, "the report is kept as it was")
		})
	}
}
