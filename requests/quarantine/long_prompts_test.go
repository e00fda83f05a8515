package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

const (
	// crashesOfTheRule and boundOfTheRule are the number of crashes and the seconds after
	// the last of them from which no more than a few requests with a deadly part may run.
	crashesOfTheRule, boundOfTheRule = 5, 3.0
	// bystandersAtAServer is the number of other requests that wait at a full server, and
	// fewBystanders that at another one.
	bystandersAtAServer, fewBystanders = 15, 2
)

// longPrompt returns the shared parts of a prompt with a deadly one at a place.
func longPrompt(name string, count, place int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s-%d", name, i))
	}
	ids[place] = "dead"
	return ids
}

// soundParts returns the parts of such a prompt but the deadly one.
func soundParts(count, place int) []fleet.Trait {
	return slices.Delete(parts(longPrompt("shared", count, place)...), place, place+1)
}

// exchangeAll lets the entries exchange what they know, and decide.
func exchangeAll(seconds float64, entries []*Set) {
	for _, from := range entries {
		if len(entries) == 1 {
			break
		}
		e := from.Evidence(at(seconds))
		for _, to := range entries {
			if from != to {
				to.Merge(at(seconds), e)
			}
		}
	}
	for _, s := range entries {
		s.Decide(at(seconds), testSettle)
	}
}

// soundTraffic says what is known of the other parts of deadly prompts.
type soundTraffic uint8

const (
	soundBefore soundTraffic = iota
	soundAfterCrashes
	// neverSound is for prompts whose other parts no other prompt has.
	neverSound
)

// crashLongPrompts lets requests with a deadly part crash servers of different entries,
// one in a second beside requests with as many parts. It returns the time of the last one.
func crashLongPrompts(entries []*Set, count, place int, traffic soundTraffic) float64 {
	sound := soundParts(count, place)
	bystanders := bystandersAtAServer
	if len(entries) == 1 {
		bystanders = fewBystanders
	}
	for round := 0; ; round++ {
		seconds := 0.3 * float64(round)
		crashed := int(seconds)
		if isCrash := seconds-float64(crashed) < 0.3; isCrash {
			entry := entries[crashed%len(entries)]
			server, name := fmt.Sprint("s", crashed), "shared"
			if traffic == neverSound {
				name = fmt.Sprint("own", crashed)
			}
			id := fmt.Sprint("dead-", crashed)
			entry.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(parts(longPrompt(name, count, place)...), whole(id))))
			for bystander := range bystanders {
				id := fmt.Sprintf("%d-%d", crashed, bystander)
				traits := append([]fleet.Trait{}, sound...)
				if traffic == neverSound {
					own := longPrompt(id, count, place)
					own[place] = id
					traits = parts(own...)
				}
				entry.Crashed(at(seconds), lifetime(server), at(seconds), suspects(id, append(traits, whole(id))))
			}
		}
		if traffic == soundBefore || traffic == soundAfterCrashes && seconds > crashesOfTheRule-1 {
			entries[round%len(entries)].Started(at(seconds), sound)
		}
		exchangeAll(seconds, entries)
		if crashed == crashesOfTheRule-1 {
			return seconds
		}
	}
}

// requireFoundInTime checks that the deadly part of long prompts is quarantined everywhere,
// and nothing else is.
func requireFoundInTime(t *testing.T, entryCount, count, place int, traffic soundTraffic) {
	t.Helper()
	entries := make([]*Set, entryCount)
	for i := range entries {
		entries[i] = newTestSet()
	}
	last := crashLongPrompts(entries, count, place, traffic)
	sound := soundParts(count, place)
	for seconds := last + 0.3; seconds < last+boundOfTheRule; seconds += 0.3 {
		if traffic != neverSound {
			entries[0].Started(at(seconds), sound)
		}
		exchangeAll(seconds, entries)
	}
	for i, s := range entries {
		_, _, isRefused := s.Quarantined(at(last+boundOfTheRule), append(parts(longPrompt("shared", count, place)...), whole("new")))
		require.True(t, isRefused, "traffic %d, %d parts, place %d, entry %d", traffic, count, place, i)
		_, _, isRefused = s.Quarantined(at(last+boundOfTheRule), append(sound, whole("other")))
		require.False(t, isRefused, "sound: traffic %d, %d parts, place %d, entry %d", traffic, count, place, i)
		requireBounds(t, s)
	}
}

// Guards against deadly parts that are not found because a prompt has many parts.
func TestDeadlyPartOfALongPromptIsFoundAtEachPlace(t *testing.T) {
	for _, count := range []int{10, 20, 200} {
		for place := range count {
			requireFoundInTime(t, 1, count, place, soundBefore)
		}
		for place := count - 1; place >= 0; place -= max(1, count/5) {
			for _, traffic := range []soundTraffic{soundBefore, soundAfterCrashes, neverSound} {
				requireFoundInTime(t, 3, count, place, traffic)
			}
		}
	}
}

func BenchmarkStartOfALongPrompt(b *testing.B) {
	s := newTestSet()
	traits := parts(longPrompt("shared", 200, 100)...)
	for i := 0; b.Loop(); i++ {
		s.Started(at(float64(i)/1000), traits)
	}
}
