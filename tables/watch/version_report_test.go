package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportAfterStandstill returns a Follower that did not run from one second after start
// until five, has read version 2 since, and got a report of its age 10 ms later.
func reportAfterStandstill(t *testing.T, since, sentAfter time.Time) *Follower {
	t.Helper()
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(4 * time.Second)
	importVersion(t, f, 2, 6)
	*now = now.Add(10 * time.Millisecond)
	f.ReportVersion(VersionReport{Model: "m", Version: 2, Since: since, SentAfter: sentAfter})
	return f
}

func TestReportThatWaitedDuringAStandstillDoesNotPostponeAVersion(t *testing.T) {
	f := reportAfterStandstill(t, start.Add(4500*time.Millisecond), start.Add(4510*time.Millisecond))
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "the report is too young by its wait")
	f.ReportVersion(VersionReport{Model: "m", Version: 2, Since: start.Add(1500 * time.Millisecond), SentAfter: start.Add(5100 * time.Millisecond)})
	require.EqualValues(t, 1, f.View().RequiredVersion(start.Add(9400*time.Millisecond), "m", testInForceWithin))
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9500*time.Millisecond), "m", testInForceWithin))
}

func TestReportThatWaitedDuringAStandstillCorrectsAnEstimateThatIsTooYoung(t *testing.T) {
	f := reportAfterStandstill(t, start.Add(500*time.Millisecond), start.Add(4510*time.Millisecond))
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(8500*time.Millisecond), "m", testInForceWithin))
}

func TestReportThatWaitedDuringAStandstillDoesNotPostponeAVersionOfUnknownAge(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(4 * time.Second)
	f.ReportVersion(VersionReport{Model: "m", Version: 1, Since: start.Add(4900 * time.Millisecond), SentAfter: start.Add(4500 * time.Millisecond)})
	require.EqualValues(t, 1, f.View().RequiredVersion(*now, "m", testInForceWithin))
	f.ReportVersion(VersionReport{Model: "m", Version: 1, Since: start, SentAfter: *now})
	require.EqualValues(t, 0, f.View().RequiredVersion(*now, "m", testInForceWithin))
}
