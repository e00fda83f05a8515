package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// isRefused reports whether a request with these parts is refused.
func isRefused(s *Set, seconds float64, ids ...string) bool {
	_, _, found := s.Quarantined(at(seconds), parts(ids...))
	return found
}

// newSetWithRivals returns a Set that cannot tell the team's part from the deadly one.
func newSetWithRivals() *Set {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "team", "dead")
	s.Decide(at(2.5), testSettle)
	return s
}

func TestSoundCallerOfAPartThatCannotBeToldFromTheDeadlyOneIsNotRefused(t *testing.T) {
	s := newSetWithRivals()
	assert.True(t, isRefused(s, 2.5, "team", "dead"))
	assert.False(t, isRefused(s, 2.5, "team"))
	assert.False(t, isRefused(s, 2.5, "team", "other"))
	assert.False(t, isRefused(s, 2.5, "other", "dead"))
}

func TestDeadlyPartIsRefusedAloneOnceItsRivalBegan(t *testing.T) {
	s := newSetWithRivals()
	s.Started(at(3), parts("team"))
	changes := s.Decide(at(3.05), testSettle)
	assert.Equal(t, []Change{{Trait: part("dead"), Reason: Widened, Until: at(2.5).Add(basePeriod), Crashes: 3}}, changes)
	assert.True(t, isRefused(s, 3.05, "other", "dead"))
	assert.False(t, isRefused(s, 3.05, "team"))
}

func TestChangeAppliesToTheRequestsThatAreRefused(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "team", "dead")
	change := s.Decide(at(2.5), testSettle)[0]
	for _, ids := range [][]string{{"team", "dead"}, {"team"}, {"dead"}, {"other", "dead"}, {"x", "team", "y", "dead"}} {
		assert.Equal(t, isRefused(s, 2.5, ids...), change.AppliesTo(parts(ids...)), "%v", ids)
	}
	assert.False(t, Change{Trait: part("p"), Reason: Ended}.AppliesTo(parts("p")))
}

func TestDeadlyPartIsRefusedAloneAfterACrashWithoutItsRival(t *testing.T) {
	s := newSetWithRivals()
	crashWith(s, 3, "fourth", "r-fourth", "other", "dead")
	s.Decide(at(3.05), testSettle)
	assert.True(t, isRefused(s, 3.05, "another", "dead"))
	assert.False(t, isRefused(s, 3.05, "team"))
	assert.False(t, isRefused(s, 3.05, "other"))
}

func TestDeadlyFirstPartIsRefusedAloneAfterACrashWithoutItsRival(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "dead", "middle")
	s.Decide(at(2.5), testSettle)
	crashWith(s, 3, "fourth", "r-fourth", "dead")
	s.Decide(at(3.05), testSettle)
	assert.True(t, isRefused(s, 3.05, "dead", "other"))
	assert.False(t, isRefused(s, 3.05, "team", "middle"))
}

func TestOtherEntriesRefuseWhatRemainsOfTheRivals(t *testing.T) {
	a, b, c := newSetWithRivals(), newTestSet(), newTestSet()
	exchange(60, a, b)
	exchange(60, a, c)
	assert.True(t, isRefused(b, 60, "team", "dead"))
	assert.False(t, isRefused(b, 60, "dead"))
	b.Started(at(61), parts("team"))
	b.Decide(at(61), testSettle)
	assert.True(t, isRefused(b, 61, "dead"))
	changes, isNews := exchange(61, b, a)
	assert.True(t, isNews)
	assert.Equal(t, Widened, changes[0].Reason)
	exchange(61, a, c)
	exchange(62, c, a)
	for _, s := range []*Set{a, b, c} {
		assert.True(t, isRefused(s, 62, "dead"))
		assert.False(t, isRefused(s, 62, "team"))
	}
}

func TestRivalIsNotQuarantinedAgainForOneCrashWithoutTheDeadlyPart(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "dead", "middle")
	s.Decide(at(2.5), testSettle)
	end := 2.5 + basePeriod.Seconds()
	s.Decide(at(end), testSettle)
	crashWith(s, end+1, "ordinary", "r", "middle")
	s.Decide(at(end+2), testSettle)
	assert.False(t, isRefused(s, end+2, "middle"))
	crashWith(s, end+200, "again", "r-again", "dead", "middle")
	s.Decide(at(end+200.1), testSettle)
	assert.True(t, isRefused(s, end+200.1, "dead", "middle"))
	assert.False(t, isRefused(s, end+200.1, "middle"))
}

func TestRestartedEntryThatSawOneCrashDoesNotWidenAQuarantine(t *testing.T) {
	known, restarted := newSetWithRivals(), newTestSet()
	exchange(60, known, restarted)
	crashWith(restarted, 61, "ordinary", "r", "dead")
	restarted.Decide(at(62), testSettle)
	assert.True(t, isRefused(restarted, 62, "team", "dead"))
	assert.False(t, isRefused(restarted, 62, "team"))
}
