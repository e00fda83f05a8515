package staging

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A repeat is accepted, and the engine restarts while the first call is still outstanding.
func TestFirstCopyOfAnAcceptedOrderTakesNoPiecesOfAnotherVersionAfterARestart(t *testing.T) {
	for _, restartAfter := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond} {
		for _, delay := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprint(restartAfter, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLateOrderFleet(t, delay)
					f.runTwoVersions(map[time.Duration]func(){time.Second: func() { f.afterFirstOrder(restartAfter, (*simulatedEngine).restart) }})
					f.requireNoMixture()
					f.requireLoaded(3)
				})
			})
		}
	}
}
