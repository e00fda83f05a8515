package staging

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// recentOrigin serves the two newest versions alone.
type recentOrigin struct{ *simulatedOrigin }

func (o recentOrigin) check(version fleet.WeightsVersion) error {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	if version+1 < o.fleet.targets[len(o.fleet.targets)-1].Version {
		return core.NewRefusal(core.CodeUnknownEntity, 0, "no such version")
	}
	return nil
}

func (o recentOrigin) Manifest(ctx context.Context, model fleet.Model, version fleet.WeightsVersion) ([][32]byte, error) {
	if err := o.check(version); err != nil {
		return nil, err
	}
	return o.simulatedOrigin.Manifest(ctx, model, version)
}

func (o recentOrigin) Piece(ctx context.Context, model fleet.Model, version fleet.WeightsVersion, piece int) ([]byte, error) {
	if err := o.check(version); err != nil {
		return nil, err
	}
	return o.simulatedOrigin.Piece(ctx, model, version, piece)
}

const fastVersions = 6

// runFastVersions names versions from 2 on, and returns the fleet when the last one must
// have been in force for long.
func runFastVersions(t *testing.T, apart time.Duration, agentsPerRegion int) *weightsFleet {
	f := newWeightsFleet(t, agentsPerRegion, testRegions, answersFraction)
	events := map[time.Duration]func(){}
	for i := range fastVersions {
		events[time.Duration(i)*apart] = func() {
			f.nameVersion(fleet.WeightsVersion(2 + i))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.targets[len(f.targets)-1].Origin = recentOrigin{f.origin}
		}
	}
	f.run((fastVersions-1)*apart+2*inForceWithin, events)
	return f
}

// Versions came faster than they traveled. Agents dropped the pieces of one that others
// still fetched, no engine loaded any but the last one, and none had a version that may
// serve for seconds.
func TestVersionUnderWayIsLoadedWhileNewerOnesAreNamed(t *testing.T) {
	for _, apart := range []time.Duration{1200 * time.Millisecond, 1400 * time.Millisecond, 2500 * time.Millisecond} {
		for _, agentsPerRegion := range []int{1, 5, 12} {
			if apart == 1200*time.Millisecond && agentsPerRegion == 12 {
				continue // TestVersionUnderWayIsLoadedByAllOfManyEngines
			}
			t.Run(fmt.Sprint(apart, agentsPerRegion), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { requireFirstVersionInTime(t, apart, agentsPerRegion) })
			})
		}
	}
}

// Agents that had few pieces of a version when the next one was named gave it up, while the
// others continued it. Those had no version that may serve for seconds.
func TestVersionUnderWayIsLoadedByAllOfManyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireFirstVersionInTime(t, 1200*time.Millisecond, 12) })
}

// The origin's link was shared with the next version, and the origin dropped the first one
// before it had sent the last of 64 pieces. The version after the next one then waited for it.
func TestOriginSendsAVersionWholeBeforeTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { requireFirstVersionInTime(t, time.Second, 1) })
}

func requireFirstVersionInTime(t *testing.T, apart time.Duration, agentsPerRegion int) {
	f := runFastVersions(t, apart, agentsPerRegion)
	require.Less(t, f.lastLoad(2), inForceWithin, "version 2 is the first one under way")
	require.LessOrEqual(t, f.copies(), float64(fastVersions))
	f.lastLoad(1 + fastVersions)
}
