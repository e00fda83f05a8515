package watch

import (
	"math/rand/v2"
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

func TestVersionReadSomeTimeAfterAStandstillIsRequiredFromItsBeginning(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(4 * time.Second)
	advance(f, now, 1100*time.Millisecond)
	importVersion(t, f, 2, 6)
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "no call of the store has ended since the standstill began")
}

func TestVersionReadAfterTwoStandstillsIsRequiredFromTheBeginningOfTheFirst(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(2500 * time.Millisecond)
	advance(f, now, 200*time.Millisecond)
	*now = now.Add(1600 * time.Millisecond)
	importVersion(t, f, 2, 6)
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second+300*time.Millisecond), "m", testInForceWithin), "no call of the store has ended since the first standstill began")
}

// TestRandomVersionAges checks that daemons which learn of versions at random times, stand
// still at random times and exchange ages through lost and late messages never assume an
// age above the true one, and agree on the age at the first reader within a few rounds.
func TestRandomVersionAges(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 25))
		f := newAgeFleet(t, random, 2+random.IntN(20))
		accepted := f.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		firstRead := f.runUntilRead(accepted)
		const rounds = 12
		for range rounds {
			f.exchange()
		}
		for i, s := range f.states {
			since := s.targets["m"][len(s.targets["m"])-1].Since
			require.False(t, since.Before(accepted), "seed %d: entry %d assumes an age above the true one", seed, i)
			require.Less(t, since.Sub(firstRead), minSinceCorrection+maxMessageTime, "seed %d: entry %d assumes a younger version than the first reader", seed, i)
		}
	}
}

const maxMessageTime = 20 * time.Millisecond

type ageFleet struct {
	random *rand.Rand
	now    time.Time
	states []*State
}

func newAgeFleet(t *testing.T, random *rand.Rand, size int) *ageFleet {
	t.Helper()
	f := &ageFleet{random: random, now: start}
	for range size {
		s := NewState()
		require.True(t, s.Replace(start, OperatorTable, newPage(5, versionRow(1, 5))))
		f.states = append(f.states, s)
	}
	return f
}

// runUntilRead lets all entries read version 2: most at once, some late, some after a
// standstill that includes the acceptance. At least one was running at the acceptance. It
// returns when the first one read it.
func (f *ageFleet) runUntilRead(accepted time.Time) time.Time {
	for i, s := range f.states {
		readAt := accepted.Add(time.Duration(f.random.IntN(5)) * time.Millisecond)
		switch {
		case i > 0 && f.random.IntN(3) == 0:
			readAt = accepted.Add(time.Duration(f.random.IntN(6000)) * time.Millisecond)
			s.MarkStandstill(accepted.Add(-time.Duration(f.random.IntN(2000))*time.Millisecond), readAt)
		case i > 0 && f.random.IntN(3) == 0:
			readAt = accepted.Add(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		}
		s.Apply(readAt, OperatorTable, newPage(6, versionRow(2, 6)))
	}
	f.now = accepted.Add(6 * time.Second)
	return f.earliestRead()
}

func (f *ageFleet) earliestRead() time.Time {
	earliest := f.now
	for _, s := range f.states {
		target := s.targets["m"][len(s.targets["m"])-1]
		if !target.IsEstimate && target.Since.Before(earliest) {
			earliest = target.Since
		}
	}
	return earliest
}

// exchange lets every entry send the ages that it knows to half of the others.
func (f *ageFleet) exchange() {
	f.now = f.now.Add(300 * time.Millisecond)
	for _, from := range f.states {
		for _, target := range from.targets["m"] {
			if target.Since.IsZero() || target.IsEstimate {
				continue
			}
			for _, to := range f.states {
				if to != from && f.random.IntN(2) == 0 {
					transfer := time.Duration(f.random.Int64N(int64(maxMessageTime)))
					to.SetVersionSince("m", target.Version, target.Since.Add(transfer))
				}
			}
		}
	}
}
