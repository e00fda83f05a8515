package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// An entry that had been suspended took old answers for new ones, and released a part that
// crashes engines at all entries.
func TestAnswersReadAfterASuspensionDoNotReleaseAPart(t *testing.T) {
	reads := map[string]func(s *Set, delayed fleet.CrashEvidence, seconds float64){
		"from a message": func(s *Set, delayed fleet.CrashEvidence, seconds float64) { s.Merge(at(seconds), delayed) },
		"from a server":  func(s *Set, _ fleet.CrashEvidence, seconds float64) { s.Started(at(seconds), parts("dead")) },
	}
	for name, read := range reads {
		for _, isProgressKnown := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				a, suspended := newTestSet(), newTestSet()
				suspended.Progress(at(6))
				a.Started(at(0), parts("dead"))
				crashWith(a, 6, "s-0", "r-0", "dead")
				delayed := a.Evidence(at(6.1))
				require.NotEmpty(t, delayed.Starts)
				last := crashEvery(a, 7, 1, 7, "dead")
				a.Decide(at(last+1), testSettle)
				require.Equal(t, []string{"dead"}, quarantinedIDs(a, last+1))

				if isProgressKnown {
					suspended.Progress(at(last + 4))
				}
				read(suspended, delayed, last+4)
				suspended.Progress(at(last + 4))
				exchange(last+4.1, a, suspended)
				suspended.Decide(at(last+4.2), testSettle)
				exchange(last+4.3, suspended, a)
				a.Decide(at(last+4.4), testSettle)
				require.Equal(t, []string{"dead"}, quarantinedIDs(a, last+4.4))
				require.Equal(t, []string{"dead"}, quarantinedIDs(suspended, last+4.4))
			})
		}
	}
}

func TestEntryDecidesNothingByItselfSoonAfterASuspension(t *testing.T) {
	s := newTestSet()
	s.Progress(at(0))
	crashEvery(s, 1, 1, 5, "dead")
	s.Progress(at(10))
	s.Decide(at(10), testSettle)
	require.Empty(t, quarantinedIDs(s, 10))
	s.Progress(at(11))
	s.Decide(at(11).Add(startPeriod), testSettle)
	require.Equal(t, []string{"dead"}, quarantinedIDs(s, 15))
}
