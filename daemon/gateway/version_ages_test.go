package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/tables/watch"
)

// Other entries heard of the four newest versions alone.
func TestVersionsThatWaitForTheirTimeAreSentToOtherEntries(t *testing.T) {
	now := time.Now()
	reports := reportVersions(now, fastVersions(now, 1, 100), testInForceWithin)
	require.Len(t, reports, 100, "one version is in force and 99 wait")
	require.EqualValues(t, 2, reports[0].Version)
	require.GreaterOrEqual(t, reports[0].Age, testInForceWithin)
	require.EqualValues(t, 101, reports[len(reports)-1].Version)
}

func TestVersionsOfManyModelsFitIntoADatagram(t *testing.T) {
	const datagramBytes = 32 << 10
	now := time.Now()
	for _, models := range []int{1, 3, 10, 60, 200} {
		view := fastVersions(now.Add(-watch.MinReportedAge), models, 100)
		reports := reportVersions(now, view, testInForceWithin)
		require.LessOrEqual(t, len(reports), max(maxGossipedVersions, 2*models))
		datagram, err := cbor.Marshal(reports)
		require.NoError(t, err)
		require.Less(t, len(datagram), datagramBytes/2, "%d models", models)
		limit := max(2, (maxGossipedVersions-models)/models)
		for _, report := range reports {
			require.False(t, report.IsUndated)
			due := testInForceWithin - report.Age
			require.GreaterOrEqual(t, report.Version, view.RequiredVersion(now.Add(due), report.Model, testInForceWithin))
			require.LessOrEqual(t, report.Version, view.RequiredVersion(now.Add(due+2*testInForceWithin/time.Duration(limit)), report.Model, testInForceWithin), "%d models", models)
		}
	}
}

// fastVersions has a number of versions of each model, the newest configured at now and
// the one before the oldest 8 s earlier.
func fastVersions(now time.Time, models, versions int) *watch.View {
	view := &watch.View{Targets: map[fleet.Model][]watch.TargetVersion{}}
	for i := range models {
		model := fleet.Model(fmt.Sprintf("model-of-a-long-name-%d", i))
		for version := range versions + 1 {
			since := now.Add(-testInForceWithin * time.Duration(versions-version) / time.Duration(versions-1))
			view.Targets[model] = append(view.Targets[model], watch.TargetVersion{Version: fleet.WeightsVersion(version + 1), Since: since})
		}
	}
	return view
}

func TestAgeOfAVersionThatAnEntryMayHaveReadLateIsNotSentToOtherEntries(t *testing.T) {
	readAt := time.Now()
	view := &watch.View{Targets: map[fleet.Model][]watch.TargetVersion{"m": {{Version: 2, Since: readAt}}}}
	report := reportVersions(readAt.Add(watch.MinReportedAge-1), view, testInForceWithin)[0]
	require.EqualValues(t, 2, report.Version)
	require.True(t, report.IsUndated)
	report = reportVersions(readAt.Add(watch.MinReportedAge), view, testInForceWithin)[0]
	require.False(t, report.IsUndated)
	require.Equal(t, watch.MinReportedAge, report.Age)
}
