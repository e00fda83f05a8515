package spread

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// randomStep is one fault or edit of a randomised run.
type randomStep struct {
	kind     int
	node     int
	duration time.Duration
}

const (
	stepEdit = iota
	stepPause
	stepRestart
	stepIsolateNode
	stepIsolateRegion
	stepStoreDown
	stepStaleReads
	stepNone
	stepKinds
)

func drawSteps(t *rapid.T) []randomStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomStep {
		return randomStep{
			kind:     rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			node:     rapid.IntRange(0, 17).Draw(t, "node"),
			duration: time.Duration(rapid.IntRange(50, 9000).Draw(t, "duration")) * time.Millisecond,
		}
	}), 1, 20).Draw(t, "steps")
}

func (s *sim) runStep(step randomStep) {
	node := s.nodes[step.node%len(s.nodes)]
	switch step.kind {
	case stepEdit:
		s.edit(node)
	case stepPause:
		node.pausedUntil = s.now.Add(step.duration)
		node.nodeFaultEnd = node.pausedUntil
		s.advance(step.duration)
	case stepRestart:
		// Does not restart an entry that has just made an edit: the edit might
		// then be only in the store, and would not spread while that is down.
		if s.now.Sub(node.editedAt) > 2*time.Second {
			s.startProcess(node)
		}
	case stepIsolateNode:
		node.isolated = true
		s.editThroughAnyEntry()
		s.advance(step.duration)
		node.isolated = false
		node.nodeFaultEnd = s.now
	case stepIsolateRegion:
		s.isolatedRegion = "south"
		s.editThroughAnyEntry()
		s.advance(step.duration)
		s.isolatedRegion = ""
		s.sharedFaultEnd = s.now
	case stepStoreDown:
		s.storeDown = true
		s.advance(step.duration)
		s.storeDown = false
		s.sharedFaultEnd = s.now
	case stepStaleReads:
		s.staleHead = max(1, s.head()-1)
		s.advance(step.duration)
		s.staleHead = 0
		s.sharedFaultEnd = s.now
	}
	s.advance(time.Duration(s.random.IntN(400)) * time.Millisecond)
}

func (s *sim) editThroughAnyEntry() {
	for _, node := range s.nodes {
		if s.reachesStore(node) {
			s.edit(node)
			return
		}
	}
}

// TestRandomSpread runs daemons with lost, reordered and duplicated messages,
// pauses, restarts, isolated nodes, an isolated region, and outages and stale
// reads of the store. Each event checks its daemon with checkNode. Within
// inForceBound after all faults have ended, all daemons must have the accepted
// revision and be fresh.
func TestRandomSpread(t *testing.T) {
	before := invariant.Violations(invariant.NoRevert)
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		s.lossRate = float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100
		s.duplicateRate = float64(rapid.IntRange(0, 20).Draw(t, "duplicate")) / 100
		s.advance(3 * time.Second)
		for _, step := range drawSteps(t) {
			s.runStep(step)
		}
		s.lossRate = 0
		s.advance(inForceBound)
		for _, node := range s.nodes {
			if node.state.Revision() != s.head() || !s.isFresh(node) {
				s.addViolation("%s has revision %d instead of %d, and age %v, after all faults ended", node.self.ID, node.state.Revision(), s.head(), node.state.Age(s.now))
			}
		}
		if len(s.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
	})
	require.Equal(t, before, invariant.Violations(invariant.NoRevert))
}

// TestStoreOutageKeepsDaemonsFresh checks that daemons stay fresh while the store
// is down for five minutes and nothing else fails, and that a process started
// during the outage becomes fresh.
func TestStoreOutageKeepsDaemonsFresh(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.storeDown = true
	for range 300 * 4 {
		s.advance(250 * time.Millisecond)
		for _, node := range s.nodes {
			require.True(t, s.isFresh(node), "%s has age %v", node.self.ID, node.state.Age(s.now))
		}
	}
	restarted := s.nodes[len(s.nodes)-1]
	s.startProcess(restarted)
	s.advance(3 * time.Second)
	require.True(t, s.isFresh(restarted), "a new process gets the revision from its peers")
	require.Empty(t, s.violations)
}

// TestIsolatedRegion isolates the region that has no store. Its daemons must
// become stale while all others stay fresh, and become fresh again soon after
// the region is reconnected.
func TestIsolatedRegion(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.isolatedRegion = "south"
	s.advance(5 * time.Second)
	for _, node := range s.nodes {
		require.Equal(t, node.self.Region != "south", s.isFresh(node), "%s", node.self.ID)
	}
	s.isolatedRegion = ""
	s.advance(3 * time.Second)
	for _, node := range s.nodes {
		require.True(t, s.isFresh(node), "%s", node.self.ID)
	}
	require.Empty(t, s.violations)
}

// TestRestartOfAllDaemonsDuringStoreOutage restarts all daemons while the store
// is down. No daemon can confirm the accepted revision, so all must stay stale
// until the store is available again.
func TestRestartOfAllDaemonsDuringStoreOutage(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.storeDown = true
	for _, node := range s.nodes {
		s.startProcess(node)
		s.execute(node, node.state.SnapshotRead(s.now, s.configs[0]))
	}
	s.advance(20 * time.Second)
	for _, node := range s.nodes {
		require.False(t, s.isFresh(node))
		require.Equal(t, core.Revision(1), node.state.Revision(), "the snapshot is loaded but not confirmed")
	}
	s.storeDown = false
	s.advance(3 * time.Second)
	for _, node := range s.nodes {
		require.True(t, s.isFresh(node))
	}
}

func TestPauseCountsTowardsAge(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	node := s.nodes[0]
	node.pausedUntil = s.now.Add(time.Hour)
	s.advance(10 * time.Second)
	require.False(t, s.isFresh(node))
}

func TestInvariantNoRevert(t *testing.T) {
	var reported []string
	previous := invariant.SetReporter(func(p invariant.ID, detail string) {
		require.Equal(t, invariant.NoRevert, p)
		reported = append(reported, detail)
	})
	defer func() { invariant.SetReporter(previous) }()
	state := NewState(Settings{})
	higher, err := tables.Compile(tables.Rows{Revision: 2})
	require.NoError(t, err)
	lower, err := tables.Compile(tables.Rows{Revision: 1})
	require.NoError(t, err)
	state.PublishEdit(simStart, higher)
	require.Empty(t, state.PublishEdit(simStart, lower))
	require.Empty(t, reported)

	state.allowLowerRevision = true
	state.PublishEdit(simStart, lower)
	require.Equal(t, []string{"revision 1 after 2"}, reported)
	require.Equal(t, core.Revision(2), state.Revision())
}

func TestHeldPullsAreBounded(t *testing.T) {
	state := NewState(Settings{})
	answers := 0
	for token := range uint64(2 * maxHeldPulls) {
		received := PullReceived{Token: token, Pull: wire.ConfigPull{WaitMillis: 1 << 40}}
		answers += len(state.PullReceived(simStart, received))
	}
	require.Equal(t, maxHeldPulls, answers)
	require.Len(t, state.Tick(simStart.Add(time.Second)), maxHeldPulls+1, "held pulls are answered after at most PullWait")
}
