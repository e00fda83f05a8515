package quarantine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

func request(id string) fleet.Trait { return fleet.Trait{ID: id} }

// crashOf reports the crash of a server with waiting requests, each with an ID of its own that
// tells the attempt chain.
func crashOf(s *Set, seconds float64, server, chain string, requests ...string) {
	for _, id := range requests {
		s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id+chain, []fleet.Trait{request(id)}))
	}
}

func TestRequestOfThreeCrashesIsQuarantinedThoughItsAttemptsFollowAtOnce(t *testing.T) {
	s := newTestSet()
	crashOf(s, 0, "a", "1", "dead")
	crashOf(s, 0.03, "b", "1", "dead")
	crashOf(s, 0.1, "c", "2", "dead")
	s.Decide(at(0.5), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 0.5))
	_, _, found := s.Quarantined(at(0.5), append(parts("team"), request("dead")))
	assert.True(t, found)
	_, _, found = s.Quarantined(at(0.5), append(parts("team"), request("other")))
	assert.False(t, found)
}

func TestServersThatCrashAtOneMomentQuarantineNoRequest(t *testing.T) {
	s := newTestSet()
	for i := range 5 {
		crashOf(s, float64(i)/1000, fmt.Sprint(i), fmt.Sprint(i), "sound")
	}
	assert.Empty(t, s.Decide(at(10), testSettle))
}

func TestSingleRequestIDQuarantinesNoRequest(t *testing.T) {
	s := newTestSet()
	for i := range 5 {
		crashOf(s, float64(i), fmt.Sprint(i), "1", "sound")
	}
	assert.Empty(t, s.Decide(at(10), testSettle))
}

func TestRequestIsNotDecidedBeforeItsLastCrashHasSettled(t *testing.T) {
	s := newTestSet()
	crashOf(s, 0, "a", "1", "sound", "dead")
	crashOf(s, 1, "b", "1", "sound", "dead")
	crashOf(s, 2, "c", "2", "sound")
	assert.Empty(t, s.Decide(at(2.05), testSettle))
	crashOf(s, 2, "c", "2", "dead")
	assert.Empty(t, s.Decide(at(2.5), testSettle))
}

func TestBystanderInTheSameCrashesIsToldApartByTheNextOne(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i/2), "sound", "dead")
	}
	assert.Empty(t, s.Decide(at(3), testSettle), "the requests are indistinguishable so far")
	crashOf(s, 4, "fourth", "4", "dead")
	s.Decide(at(4.5), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 4.5))
}

func TestBystanderInTheSameCrashesIsToldApartByItsAnswer(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i/2), "sound", "dead")
	}
	assert.Empty(t, s.Decide(at(3), testSettle))
	s.Started(at(3.1), []fleet.Trait{request("sound")})
	s.Decide(at(3.2), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 3.2))
}

func TestTwoDeadlyRequestsInTheSameCrashesAreBothQuarantinedAfterTwoMore(t *testing.T) {
	s := newTestSet()
	for i := range 5 {
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i/2), "dead1", "dead2")
		s.Decide(at(float64(i)+0.5), testSettle)
		if i < 4 {
			assert.Empty(t, quarantinedIDs(s, float64(i)+0.5))
		}
	}
	assert.Equal(t, []string{"dead1", "dead2"}, quarantinedIDs(s, 4.5))
}

func TestRequestThatIsRepeatedWithSoundPartsIsTheCauseInTheirPlace(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		server := fmt.Sprint(i)
		s.Crashed(at(float64(i)), lifetime(server), at(float64(i)), suspects(server, append(parts("team", "middle"), request("dead"))))
	}
	s.Decide(at(3), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 3))
	_, _, found := s.Quarantined(at(3), append(parts("team", "middle"), request("other")))
	assert.False(t, found)
}

func TestDeadlyPartIsTheCauseInPlaceOfTheRequestsThatRepeatIt(t *testing.T) {
	s := newTestSet()
	for i := range 6 {
		server, seconds := fmt.Sprint(i), float64(i)
		s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(server, append(parts("dead"), request(fmt.Sprint("repeated", i/3)))))
		s.Decide(at(seconds+0.5), testSettle)
	}
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 5.5))
}

func TestRepeatsThatAreMinutesApartCountTogether(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		seconds := 240 * float64(i)
		crashOf(s, seconds, fmt.Sprint(i), fmt.Sprint(i), "dead")
		s.Decide(at(seconds+1), testSettle)
	}
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 481))
}

func TestOldCrashesDoNotRenewAnEndedQuarantine(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i), "dead")
	}
	s.Decide(at(3), testSettle)
	end := 3 + basePeriod.Seconds()
	s.Decide(at(end), testSettle)
	crashWith(s, end+1, "ordinary", "r", "other")
	s.Decide(at(end+2), testSettle)
	assert.Empty(t, quarantinedIDs(s, end+2))
	crashOf(s, end+3, "again", "again", "dead")
	s.Decide(at(end+3.05), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, end+3.05))
}

func TestEntryThatRestartsLearnsOldSuspicionsOfRequests(t *testing.T) {
	known, restarted := newTestSet(), newTestSet()
	crashOf(known, 0, "a", "1", "dead")
	crashOf(known, 40, "b", "2", "dead")
	exchange(70, known, restarted)
	crashOf(restarted, 80, "c", "3", "dead")
	restarted.Decide(at(81), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(restarted, 81))
}

func TestEntryThatRestartsLearnsThatAQuarantineHasEnded(t *testing.T) {
	known, restarted := newTestSet(), newTestSet()
	for i := range 3 {
		crashOf(known, float64(i), fmt.Sprint(i), fmt.Sprint(i), "dead")
	}
	known.Decide(at(3), testSettle)
	end := 3 + basePeriod.Seconds()
	exchange(end+1, known, restarted)
	crashOf(restarted, end+2, "again", "again", "dead")
	restarted.Decide(at(end+2.05), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(restarted, end+2.05))
}

func TestFullServersDoNotHideADeadlyRequestFromOtherEntries(t *testing.T) {
	a, b := newTestSet(), newTestSet()
	for crash := range 3 {
		server, seconds := fmt.Sprint(crash), float64(crash)
		for i := range 40 {
			id := fmt.Sprintf("sound-%d-%d", crash, i)
			a.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(parts("x"+id, "y"+id, "z"+id), request("r"+id))))
		}
		crashOf(a, seconds, server, server, "dead")
		for round := range 4 {
			exchange(seconds+0.1+0.3*float64(round), a, b)
		}
	}
	b.Decide(at(4), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(b, 4))
}

func TestManyRequestsDoNotDisplaceTheBeginsOfParts(t *testing.T) {
	s := newTestSet()
	s.Started(at(0), parts("team"))
	for i := range 3 * maxStarts {
		s.Started(at(0), []fleet.Trait{request(fmt.Sprint(i))})
	}
	assert.Equal(t, at(0), s.lastStart(part("team")))
	requireBounds(t, s)
}

func TestCrashThatIsReportedUnderTwoIncarnationsIsOne(t *testing.T) {
	s := newTestSet()
	s.Crashed(at(0), notices.Lifetime{Server: "server", Incarnation: 1}, at(0), suspects("r1", parts("p")))
	s.Crashed(at(0), notices.Lifetime{Server: "server", Incarnation: 2}, at(0.01), suspects("r2", parts("p")))
	assert.Equal(t, 1, s.Counts().Crashes)
}

func TestRestartedEntryLearnsAHundredQuarantinesFromSixOthersWithinTenSeconds(t *testing.T) {
	const quarantines, others = 100, 6
	restarted := newTestSet()
	sets := make([]*Set, others)
	for i := range sets {
		sets[i] = newTestSet()
		for j := range quarantines {
			// The order in which an entry learned of them decides which ones it sends first.
			id := fmt.Sprint((j + i*quarantines/others) % quarantines)
			sets[i].quarantines.put(request(id), &quarantine{generation: 1, decidedAt: at(0), changedAt: at(0), sentAt: at(float64(j) / 1000), crashes: 3})
		}
	}
	rounds := 0
	for now := 10.0; len(quarantinedIDs(restarted, now)) < quarantines; now += 0.3 {
		rounds++
		require.Less(t, now, 20.0)
		for _, s := range sets {
			exchange(now, s, restarted)
		}
	}
	t.Logf("%v", time.Duration(rounds)*simRound)
}

func TestWholeRequestIsMoreSpecificThanEachPart(t *testing.T) {
	list := suspects("r", append(parts("team", "middle"), request("whole")))
	assert.Equal(t, uint8(math.MaxUint8), list[2].Position)
	assert.Equal(t, uint8(1), list[1].Position)
}

func TestEntryThatMeetsAQuarantinedRequestLearnsItAtOnce(t *testing.T) {
	known, restarted := newTestSet(), newTestSet()
	for i := range 20 {
		known.quarantines.put(request(fmt.Sprint("other", i)), &quarantine{generation: 1, decidedAt: at(0), changedAt: at(0)})
	}
	known.quarantines.put(request("z"), &quarantine{generation: 1, decidedAt: at(0), changedAt: at(0), sentAt: at(59)})
	crashOf(restarted, 60, "server", "r", "z")
	_, isNews := exchange(60.05, restarted, known)
	assert.True(t, isNews)
	exchange(60.1, known, restarted)
	assert.Contains(t, quarantinedIDs(restarted, 60.1), "z")
}

func TestBystanderInOneMoreCrashIsNotTakenForAQuarantinedRequest(t *testing.T) {
	s := newTestSet()
	for i := range 3 {
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i), "dead")
		crashOf(s, float64(i), fmt.Sprint(i), fmt.Sprint(i/2), "sound")
	}
	crashOf(s, 2.5, "3", "3", "dead")
	s.Decide(at(3), testSettle)
	require.Equal(t, []string{"dead"}, quarantinedIDs(s, 3))
	crashOf(s, 4, "other-1", "4", "sound")
	crashOf(s, 5, "other-2", "5", "sound")
	s.Decide(at(6), testSettle)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 6))
}
