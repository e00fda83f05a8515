package watch

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

const testInForceWithin = 8 * time.Second

func versionRow(version int, revision uint64) rowstore.Row {
	return operatorRow(standin.VersionKey("m"), string(standin.VersionRow("m", version)), revision)
}

// newTestFollower returns a Follower that has read version 1 at start, and its clock.
func newTestFollower(t *testing.T) (*Follower, *time.Time) {
	t.Helper()
	now := start
	log := logrus.New()
	log.SetOutput(t.Output())
	f := NewFollower(Config{Now: func() time.Time { return now }, Log: log.WithField("test", t.Name())})
	require.True(t, f.Import(Snapshot{Table: OperatorTable, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{versionRow(1, 5)}}))
	return f, &now
}

func importVersion(t *testing.T, f *Follower, version int, revision uint64) {
	t.Helper()
	require.True(t, f.Import(Snapshot{Table: OperatorTable, NewestRevision: revision, Cursor: revision, Rows: []rowstore.Row{versionRow(version, revision)}}))
}

// advance moves a test's clock in steps in which the Follower runs its periodic checks.
func advance(f *Follower, now *time.Time, d time.Duration) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(expireInterval)
		f.update(func(time.Time) {})
	}
}

func TestVersionReadLateIsRequiredFromTheAgeThatPeersReport(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, 4*time.Second)
	importVersion(t, f, 2, 6)
	f.SetVersionSince("m", 2, start.Add(time.Second))
	require.EqualValues(t, 1, f.View().RequiredVersion(start.Add(8*time.Second), "m", testInForceWithin))
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin))
	f.SetVersionSince("m", 2, start.Add(2*time.Second))
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "a younger age is that of a peer that read the version later")
}

func TestVersionReadAfterAStandstillIsRequiredFromItsBeginning(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(4 * time.Second)
	importVersion(t, f, 2, 6)
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "the version may have been accepted at the beginning of the standstill")
	f.SetVersionSince("m", 2, start.Add(3*time.Second))
	require.EqualValues(t, 1, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "a peer that was running knows the time better")
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(11*time.Second), "m", testInForceWithin))
}
