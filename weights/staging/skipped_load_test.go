package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// loadTimes returns the first and the last time at which an engine had loaded a version.
func (f *weightsFleet) loadTimes(version fleet.WeightsVersion) (first, last time.Duration) {
	first = time.Hour
	for _, e := range f.engines {
		if at, ok := e.loadedAt[version]; ok {
			first, last = min(first, at.Sub(f.started)), max(last, at.Sub(f.started))
		}
	}
	return first, last
}

// An engine that once skipped a version loaded each later version as soon as its pieces were
// held, and so did all others: the deadline of the skipped version was never forgotten.
func TestVersionLongAfterASkippedOneIsNotLoadedByAllEnginesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const laterNamed = 30 * time.Second
		f := newWeightsFleetOf(t, []int{5, 5, 5}, 0, 3*agentLink)
		f.run(laterNamed+2*inForceWithin, map[time.Duration]func(){
			0:                       func() { f.nameVersion(2) },
			1500 * time.Millisecond: func() { f.nameVersion(3) },
			laterNamed:              func() { f.nameVersion(4) },
		})
		first, last := f.loadTimes(4)
		t.Logf("loads end %v to %v after the version is named", first-laterNamed, last-laterNamed)
		require.GreaterOrEqual(t, first-laterNamed, scaleDuration(loadWindowStartFraction, inForceWithin))
		require.Greater(t, last-first, scaleDuration(loadWindowEndFraction-loadWindowStartFraction, inForceWithin)/2)
		require.Less(t, last-laterNamed, inForceWithin)
		skipped := 0
		for _, e := range f.engines {
			if _, ok := e.loadedAt[2]; !ok {
				skipped++
			}
		}
		require.Positive(t, skipped, "the test is about engines that skip version 2")
	})
}

// Engines waited with the newest version for its own load time, although those that it
// replaces had to be in force earlier and their pieces had been given up.
func TestNewestVersionIsLoadedInTimeForOlderOnesThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWeightsFleet(t, 5, testRegions, answersFraction)
		const apart, versions = 200 * time.Millisecond, 8
		events := map[time.Duration]func(){}
		for i := range versions {
			events[time.Duration(i)*apart] = func() { f.nameVersion(fleet.WeightsVersion(2 + i)) }
		}
		f.run(2*inForceWithin, events)
		for _, e := range f.engines {
			require.Equal(t, []fleet.WeightsVersion{1 + versions}, e.accepted, "the test is about versions that are given up")
		}
		t.Logf("the last load ends after %v", f.lastLoad(2))
		require.Less(t, f.lastLoad(2), inForceWithin)
	})
}
