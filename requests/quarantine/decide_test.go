package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"currantusher.dev/core/fleet"
)

func TestPartOfThreeCrashesIsQuarantinedOnceItsEvidenceHasSettled(t *testing.T) {
	s := newTestSet()
	last := crashEvery(s, 0, 0.2, 3, "dead")
	assert.Empty(t, s.Decide(at(last), time.Second))
	changes := s.Decide(at(1), time.Second)
	assert.Equal(t, []Change{{Trait: part("dead"), Reason: Decided, Until: at(1).Add(basePeriod), Crashes: 3}}, changes)
	p, until, found := s.Quarantined(at(1), parts("sound", "dead"))
	assert.True(t, found)
	assert.Equal(t, part("dead"), p)
	assert.Equal(t, at(1).Add(basePeriod), until)
	_, _, found = s.Quarantined(at(1), parts("sound"))
	assert.False(t, found)
}

func TestTwoCrashesQuarantineNothing(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 2, "p")
	assert.Empty(t, s.Decide(at(10), testSettle))
}

func TestServersThatCrashAtOneMomentQuarantineNothing(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 0.005, 10, "p")
	assert.Empty(t, s.Decide(at(10), testSettle))
}

func TestSingleRequestThatIsSentAgainQuarantinesNothing(t *testing.T) {
	s := newTestSet()
	for i := range 5 {
		crashWith(s, float64(i), fmt.Sprint(i), "the same request", "p")
	}
	assert.Empty(t, s.Decide(at(6), testSettle))
}

func TestPartThatBeganLatelyIsNotQuarantinedWithADeadlyOne(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("team"))
	crashEvery(s, 1, 1, 3, "team", "dead")
	s.Started(at(3.1), parts("team"))
	s.Decide(at(3.2), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 3.2))
}

func TestRarePartThatBeganLongAgoIsNotTakenForTheCause(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("a-team"))
	crashEvery(s, 10, 1, 3, "a-team", "dead")
	s.Decide(at(12.5), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 12.5))
}

func TestRarePartInOneMoreCrashIsNotTakenForTheCause(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("a-team"))
	crashEvery(s, 10, 1, 3, "a-team", "dead")
	crashWith(s, 13, "ordinary", "r-ordinary", "a-team")
	s.Decide(at(13.5), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 13.5))
}

func TestStartThatOnlyAnotherEntryKnowsDecidesBetweenTwoParts(t *testing.T) {
	a, b := newTestSet(), newTestSet()
	b.Started(at(0), parts("a-team"))
	last := crashEvery(a, 10, 0.25, 3, "a-team", "dead")
	exchange(last, a, b)
	exchange(last+0.05, b, a)
	a.Decide(at(11), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(a, 11))
}

func TestTwoDeadlyPartsAreBothQuarantined(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 5, "dead1")
	crashEvery(s, 0.5, 1, 5, "dead2")
	s.Decide(at(5), testSettle)
	assert.Equal(t, []string{"dead1", "dead2"}, quarantinedIDs(s, 5))
}

func TestPartWhoseCrashesAnotherExplainsIsReleased(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "dead", "a-companion")
	s.Decide(at(2.5), testSettle)
	assert.Equal(t, []string{"a-companion"}, quarantinedIDs(s, 2.5), "the parts are indistinguishable so far")
	crashWith(s, 3, "other", "r-other", "dead")
	changes := s.Decide(at(3.1), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 3.1))
	assert.Contains(t, changes, Change{Trait: part("a-companion"), Reason: ExplainedOtherwise, Crashes: 3})
}

func TestDeadlyPartIsNotReleasedByAnEntryThatKnowsFewOfItsCrashes(t *testing.T) {
	known := newTestSet()
	crashEvery(known, 0, 1, 3, "dead1")
	known.Decide(at(2.5), testSettle)
	restarted := newTestSet()
	exchange(9, known, restarted)
	assert.Equal(t, []string{"dead1"}, quarantinedIDs(restarted, 9))
	crashEvery(restarted, 10, 1, 3, "dead2", "dead1")
	crashEvery(restarted, 13, 1, 2, "dead2")
	restarted.Decide(at(15), testSettle)
	assert.Contains(t, quarantinedIDs(restarted, 15), "dead1")
}

func TestDeadlyPartIsNotReleasedWhenItsFirstCrashesExpire(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "dead1")
	s.Decide(at(2.5), testSettle)
	crashWith(s, 20, "both", "r-both", "dead1", "dead2")
	crashEvery(s, 21, 1, 4, "dead2")
	s.Decide(at(25), testSettle)
	s.Crashed(at(25.1), lifetime("x"), at(25.1), suspects("y", parts("dead2")))
	for seconds := 26.0; seconds < 60; seconds++ {
		s.Decide(at(seconds), testSettle)
		crashWith(s, seconds, fmt.Sprint(seconds), fmt.Sprint(seconds), "other")
		s.Started(at(seconds+0.5), parts("other"))
	}
	assert.Equal(t, []string{"dead1", "dead2"}, quarantinedIDs(s, 60))
}

func TestAnswerWithAQuarantinedPartReleasesIt(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "p")
	s.Decide(at(2.5), testSettle)
	assert.True(t, s.Started(at(2.6), parts("p")), "others should know soon")
	assert.Equal(t, []Change{{Trait: part("p"), Reason: ProvedSound, Crashes: 3}}, s.Decide(at(2.65), testSettle))
	assert.Empty(t, quarantinedIDs(s, 2.65))
	assert.Empty(t, s.Decide(at(30), testSettle))
}

func TestEndedQuarantineReturnsAtTheNextCrashAndLastsTwiceAsLong(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "dead")
	s.Decide(at(2.5), testSettle)
	end := 2.5 + basePeriod.Seconds()
	assert.Equal(t, []Change{{Trait: part("dead"), Reason: Ended, Crashes: 3}}, s.Decide(at(end), testSettle))
	crashWith(s, end+1, "again", "r-again", "dead", "team")
	changes := s.Decide(at(end+1.05), testSettle)
	assert.Equal(t, []Change{{Trait: part("dead"), Reason: Decided, Until: at(end + 1.05).Add(2 * basePeriod), Crashes: 1}}, changes)
}

func TestPartThatIsSoundAgainAfterItsQuarantineNeedsThreeCrashesAgain(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "p")
	s.Decide(at(2.5), testSettle)
	end := 2.5 + basePeriod.Seconds()
	s.Decide(at(end), testSettle)
	s.Started(at(end+1), parts("p"))
	s.Decide(at(end+1.05), testSettle)
	crashWith(s, end+10, "ordinary", "r", "p")
	s.Decide(at(end+11), testSettle)
	assert.Empty(t, quarantinedIDs(s, end+11))
}

func TestPartThatBecomesDeadlyIsFoundWithinTheTimeThatItsLastAnswerProvesItSound(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("p"))
	found := 0.0
	for i := 1; i < 100 && found == 0; i++ {
		seconds := float64(i) * 0.2
		crashWith(s, seconds, fmt.Sprint(i), fmt.Sprint(i), "p")
		s.Decide(at(seconds), testSettle)
		if len(quarantinedIDs(s, seconds)) > 0 {
			found = seconds
		}
	}
	assert.InDelta(t, soundPeriod.Seconds()+0.9, found, 0.5)
}

func TestRarePartIsNotQuarantinedAmongManyUnexplainedCrashes(t *testing.T) {
	s := newTestSet()
	for i := range 20 {
		crashWith(s, float64(i), fmt.Sprint(i), fmt.Sprint(i), fmt.Sprintf("part-%d", i))
	}
	crashEvery(s, 17.1, 1, 3, "rare")
	s.Decide(at(20), testSettle)
	assert.Empty(t, quarantinedIDs(s, 20))
}

func TestDeadlyPartIsQuarantinedAmongManyUnexplainedCrashes(t *testing.T) {
	s := newTestSet()
	for i := range 60 {
		seconds := float64(i) * 0.4
		crashWith(s, seconds, fmt.Sprint(i), fmt.Sprint(i), fmt.Sprintf("part-%d", i))
	}
	last := crashEvery(s, 20, 0.3, 8, "dead")
	s.Decide(at(last+1), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, last+1))
}

func TestNothingIsLeftAfterTheRetention(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("sound"))
	crashEvery(s, 0, 1, 3, "dead", "sound")
	s.Decide(at(3), testSettle)
	assert.Equal(t, Counts{Quarantined: 1, Crashes: 3}, s.Counts())
	later := at(3).Add(basePeriod + strikeRetention + time.Second)
	s.Decide(later, testSettle)
	assert.Equal(t, Counts{}, s.Counts())
	assert.Empty(t, s.quarantines)
	assert.Equal(t, fleet.CrashEvidence{}, s.Evidence(later))
	assert.True(t, s.lastStart(part("sound")).IsZero())
}

func TestFirstPartIsNotTakenForADeadlyLaterPartOfTheSameRequests(t *testing.T) {
	s := newTestSet()
	crashEvery(s, 0, 1, 3, "a-team", "dead")
	s.Decide(at(2.5), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 2.5))
}

func TestEntryThatHasJustStartedQuarantinesNothingByItself(t *testing.T) {
	s := NewSet()
	s.Decide(at(0), testSettle)
	crashEvery(s, 0.1, 0.3, 4, "p")
	assert.Empty(t, s.Decide(at(2.9), testSettle))
	s.Started(at(2.95), parts("p"))
	assert.Empty(t, s.Decide(at(3), testSettle))
	last := crashEvery(s, 3, 0.3, 4, "dead")
	s.Decide(at(last+1), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, last+1))
}

func TestPartThatBeganLongAgoNeedsMoreCrashes(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("p"))
	crashEvery(s, 10, 1, 4, "p")
	s.Decide(at(14), testSettle)
	assert.Empty(t, quarantinedIDs(s, 14))
	crashWith(s, 14.5, "fifth", "r-fifth", "p")
	s.Decide(at(15), testSettle)
	assert.Equal(t, []string{"p"}, quarantinedIDs(s, 15))
}
