package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"currantusher.dev/core/fleet"
)

// Three servers of a pool end within a second, as by overload, and the same sound request waits at each.
func TestRequestThatWasAnsweredShortlyBeforeIsNotRefusedAfterThreeCrashes(t *testing.T) {
	for _, answered := range []float64{-6, -30, -100} {
		t.Run(fmt.Sprint(answered), func(t *testing.T) {
			s, hot := newTestSet(), []fleet.Trait{{ID: "hot"}}
			s.Started(at(answered), hot)
			for i := range 3 {
				seconds := 0.3 * float64(i)
				id := fmt.Sprint(i)
				s.Crashed(at(seconds), lifetime(id), at(seconds), suspects("other"+id, []fleet.Trait{{ID: id}}))
				s.Crashed(at(seconds), lifetime(id), at(seconds), suspects("hot"+id, hot))
			}
			s.Decide(at(3), testSettle)
			assert.Empty(t, quarantinedIDs(s, 3))
		})
	}
}
