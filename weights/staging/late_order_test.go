package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// lateOrderDelays are delays of orders without an answer, up to the longest that was seen.
var lateOrderDelays = []time.Duration{
	500 * time.Millisecond, 1500 * time.Millisecond, 2100 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 6 * time.Second,
}

const (
	// newerVersionDelay is a time after a version at which the next one cannot supersede
	// it, and whose pieces arrive while the older one is loaded.
	newerVersionDelay = 3500 * time.Millisecond
	lateOrderRunTime  = 25 * time.Second
)

// newLateOrderFleet returns agents whose engines do not answer the first orders and
// perform them after the given delays.
func newLateOrderFleet(t *testing.T, delays ...time.Duration) *weightsFleet {
	f := newWeightsFleet(t, 3, 2, answersFraction)
	for _, e := range f.engines {
		e.lateOrders = append(e.lateOrders, delays...)
	}
	return f
}

func (f *weightsFleet) requireNoMixture() {
	f.t.Helper()
	for id, e := range f.engines {
		require.Empty(f.t, e.mixtures, "engine of %s loaded a mixture", id)
	}
}

// requireLoaded requires that all engines have loaded a version.
func (f *weightsFleet) requireLoaded(version fleet.WeightsVersion) {
	f.t.Helper()
	for id, e := range f.engines {
		require.Equal(f.t, version, e.loaded, "engine of %s", id)
	}
}

func (f *weightsFleet) runTwoVersions(events map[time.Duration]func()) {
	all := map[time.Duration]func(){0: func() { f.nameVersion(2) }, newerVersionDelay: func() { f.nameVersion(3) }}
	for at, event := range events {
		all[at] = event
	}
	f.run(lateOrderRunTime, all)
}

func TestLateLoadOrderTakesNoPiecesOfAnotherVersion(t *testing.T) {
	for _, delay := range lateOrderDelays {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLateOrderFleet(t, delay)
				f.runTwoVersions(nil)
				f.requireNoMixture()
				f.requireLoaded(3)
			})
		})
	}
}
