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

// step is one fault or edit of a randomised run.
type step struct {
	kind int
	node int
	hold time.Duration
}

const (
	stepEdit = iota
	stepPause
	stepRestart
	stepCutNode
	stepCutRegion
	stepStoreDown
	stepOldReads
	stepQuiet
	stepKinds
)

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			node: rapid.IntRange(0, 17).Draw(t, "node"),
			hold: time.Duration(rapid.IntRange(50, 9000).Draw(t, "hold")) * time.Millisecond,
		}
	}), 1, 20).Draw(t, "steps")
}

func (s *sim) run(st step) {
	node := s.nodes[st.node%len(s.nodes)]
	switch st.kind {
	case stepEdit:
		s.edit(node)
	case stepPause:
		node.pausedTo = s.now.Add(st.hold)
		node.touched = node.pausedTo
		s.advance(st.hold)
	case stepRestart:
		// An edit whose entry dies before it passed it on is known to the
		// store alone; with the store down it stays unknown.
		if s.now.Sub(node.editedAt) > 2*time.Second {
			s.boot(node)
		}
	case stepCutNode:
		node.cut = true
		s.editSomewhere()
		s.advance(st.hold)
		node.cut = false
		node.touched = s.now
	case stepCutRegion:
		s.cutRegion = "south"
		s.editSomewhere()
		s.advance(st.hold)
		s.cutRegion = ""
		s.disturbed = s.now
	case stepStoreDown:
		s.storeDown = true
		s.advance(st.hold)
		s.storeDown = false
		s.disturbed = s.now
	case stepOldReads:
		s.oldHead = max(1, s.head()-1)
		s.advance(st.hold)
		s.oldHead = 0
		s.disturbed = s.now
	}
	s.advance(time.Duration(s.random.IntN(400)) * time.Millisecond)
}

func (s *sim) editSomewhere() {
	for _, node := range s.nodes {
		if s.reachesStore(node) {
			s.edit(node)
			return
		}
	}
}

// TestRandomSpread runs daemons through loss, reorder, duplicates, pauses,
// restarts, cut-off nodes, a cut-off region, outages and old reads of the
// store. At each event of each daemon: its revision never falls; while it is
// fresh it has every revision accepted more than the bound ago; and while it
// is connected and undisturbed it has them too. After the faults end, all
// daemons have the accepted revision within the bound and are fresh.
func TestRandomSpread(t *testing.T) {
	before := invariant.Violations(invariant.NoRevert)
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		s.loss = float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100
		s.duplicate = float64(rapid.IntRange(0, 20).Draw(t, "duplicate")) / 100
		s.advance(3 * time.Second)
		for _, st := range drawSteps(t) {
			s.run(st)
		}
		s.loss = 0
		s.advance(inForceBound)
		for _, node := range s.nodes {
			if node.state.Revision() != s.head() || !s.fresh(node) {
				s.violate("%s has revision %d of %d, age %v, after all faults ended", node.self.ID, node.state.Revision(), s.head(), node.state.Age(s.now))
			}
		}
		if len(s.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
	})
	require.Equal(t, before, invariant.Violations(invariant.NoRevert))
}

// TestStoreOutageAlone has the store down for five minutes.
func TestStoreOutageAlone(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.storeDown = true
	for range 300 * 4 {
		s.advance(250 * time.Millisecond)
		for _, node := range s.nodes {
			require.True(t, s.fresh(node), "%s has age %v", node.self.ID, node.state.Age(s.now))
		}
	}
	fresh := s.nodes[len(s.nodes)-1]
	s.boot(fresh)
	s.advance(3 * time.Second)
	require.True(t, s.fresh(fresh), "a new daemon learns the revision from its peers")
	require.Empty(t, s.violations)
}

// TestCutRegion cuts the region without the store off; it stops, the others go
// on, and it is back soon after.
func TestCutRegion(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.cutRegion = "south"
	s.advance(5 * time.Second)
	for _, node := range s.nodes {
		require.Equal(t, node.self.Region != "south", s.fresh(node), "%s", node.self.ID)
	}
	s.cutRegion = ""
	s.advance(3 * time.Second)
	for _, node := range s.nodes {
		require.True(t, s.fresh(node), "%s", node.self.ID)
	}
	require.Empty(t, s.violations)
}

// TestRestartOfAllWithStoreDown has no daemon that could know the accepted
// revision, so all must refuse until the store is back.
func TestRestartOfAllWithStoreDown(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	s.storeDown = true
	for _, node := range s.nodes {
		s.boot(node)
		s.do(node, node.state.SnapshotRead(s.now, s.configs[0]))
	}
	s.advance(20 * time.Second)
	for _, node := range s.nodes {
		require.False(t, s.fresh(node))
		require.Equal(t, core.Revision(1), node.state.Revision(), "the snapshot is loaded but not confirmed")
	}
	s.storeDown = false
	s.advance(3 * time.Second)
	for _, node := range s.nodes {
		require.True(t, s.fresh(node))
	}
}

func TestPauseCountsIntoTheAge(t *testing.T) {
	s := newSim(1)
	s.advance(3 * time.Second)
	node := s.nodes[0]
	node.pausedTo = s.now.Add(time.Hour)
	s.advance(10 * time.Second)
	require.False(t, s.fresh(node))
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
	state.Offer(simStart, higher)
	require.Empty(t, state.Offer(simStart, lower))
	require.Empty(t, reported)

	state.adoptLower = true
	state.Offer(simStart, lower)
	require.Equal(t, []string{"revision 1 after 2"}, reported)
	require.Equal(t, core.Revision(2), state.Revision())
}

func TestHeldPullsAreBounded(t *testing.T) {
	state := NewState(Settings{})
	answers := 0
	for token := range uint64(2 * maxHeldPulls) {
		asked := PullAsked{Token: token, Pull: wire.ConfigPull{WaitMillis: 1 << 40}}
		answers += len(state.PullAsked(simStart, asked))
	}
	require.Equal(t, maxHeldPulls, answers)
	require.Len(t, state.Tick(simStart.Add(time.Second)), maxHeldPulls+1, "held pulls end within the wait time")
}
