package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/rowstore"
)

// Requests began on a version whose successor had to be in force when four newer versions
// had been configured since.
func TestVersionMustBeInForceAtItsTimeWhateverTheNumberOfNewerOnes(t *testing.T) {
	for _, count := range []int{5, 6, 20, 100} {
		s := NewState()
		s.versionInForce = func() time.Duration { return testInForceWithin }
		require.True(t, s.Replace(start, OperatorTable, newPage(5, versionRow(1, 5))))
		accepted := acceptVersions(s, count, 7*time.Second/time.Duration(count))
		for version := fleet.WeightsVersion(2); int(version) <= count; version++ {
			due := accepted[version].Add(testInForceWithin)
			require.Equal(t, version-1, s.View().RequiredVersion(due.Add(-time.Millisecond), "m", testInForceWithin), "%d versions", count)
			require.Equal(t, version, s.View().RequiredVersion(due, "m", testInForceWithin), "%d versions", count)
		}
	}
}

// acceptVersions lets a State read the versions from 2 on, and returns when it read them.
// Version 1 has been in force.
func acceptVersions(s *State, newest int, apart time.Duration) map[fleet.WeightsVersion]time.Time {
	accepted := map[fleet.WeightsVersion]time.Time{}
	for version := 2; version <= newest; version++ {
		at := start.Add(time.Duration(version-1) * apart)
		accepted[fleet.WeightsVersion(version)] = at
		s.Apply(at, OperatorTable, newPage(uint64(4+version), versionRow(version, uint64(4+version))))
	}
	return accepted
}

// A process that started after a version of unknown age, and heard of the age of the newest
// one alone, sent requests to engines with any version.
func TestVersionOfUnknownAgeIsRequiredByAnEntryThatStartsAfterANewerOne(t *testing.T) {
	within := func() time.Duration { return testInForceWithin }
	started, restarted := NewState(), NewState()
	started.versionInForce, restarted.versionInForce = within, within
	require.True(t, started.Replace(start, OperatorTable, newPage(5, versionRow(4, 5))))
	started.Apply(start.Add(time.Second), OperatorTable, newPage(6, versionRow(5, 6)))
	now := start.Add(2 * time.Second)
	require.True(t, restarted.Replace(now, OperatorTable, newPage(6, versionRow(5, 6))))
	deliver(now, started, restarted, maxTargets)
	require.EqualValues(t, 4, restarted.View().RequiredVersion(now, "m", testInForceWithin))
	require.EqualValues(t, 4, restarted.View().RequiredVersion(start.Add(9*time.Second-time.Millisecond), "m", testInForceWithin))
	require.EqualValues(t, 5, restarted.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin))
	require.False(t, started.AddUndatedVersion(now, "m", 4), "known")
	require.False(t, restarted.AddUndatedVersion(now, "m", 5), "known")
	require.False(t, restarted.AddUndatedVersion(now, "m", 6), "the rows tell of newer versions")
	require.False(t, restarted.AddUndatedVersion(start.Add(9*time.Second), "m", 3), "a newer version is in force")
}

func TestVersionsThatCannotBindAnyMoreAreDropped(t *testing.T) {
	s := NewState()
	s.versionInForce = func() time.Duration { return testInForceWithin }
	require.True(t, s.Replace(start, OperatorTable, newPage(5, versionRow(1, 5))))
	acceptVersions(s, 200, time.Second)
	require.Len(t, s.View().Targets["m"], 9, "seven or eight versions wait for their time, one is in force")
}

func TestVersionsWithoutNumberStayWithinBoundedMemory(t *testing.T) {
	s := NewState()
	s.versionInForce = func() time.Duration { return testInForceWithin }
	require.True(t, s.Replace(start, OperatorTable, newPage(5, versionRow(1, 5))))
	const apart = 2 * time.Millisecond
	accepted := acceptVersions(s, 3000, apart)
	view := s.View()
	require.LessOrEqual(t, len(view.Targets["m"]), maxTargets)
	const resolution = 2 * testInForceWithin / (maxTargets - 2)
	for version, at := range accepted {
		due := at.Add(testInForceWithin)
		require.GreaterOrEqual(t, view.RequiredVersion(due, "m", testInForceWithin), version)
		require.LessOrEqual(t, view.RequiredVersion(due, "m", testInForceWithin), version+fleet.WeightsVersion(resolution/apart))
	}
}

// TestRandomVersionsAreRequiredLikeWithoutABoundOnTheirNumber runs two fleets alike, one
// of which keeps and sends all versions. Entries read late, stand still and restart.
func TestRandomVersionsAreRequiredLikeWithoutABoundOnTheirNumber(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 50))
		versions := 2 + random.IntN(150)
		limit := 8 + random.IntN(120)
		// An age passes through several entries, each of which may merge versions of the
		// same interval once.
		resolution := 3 * testInForceWithin / time.Duration(limit-2)
		f := newVersionFleet(1+random.IntN(8), limit, random)
		for at := range 400 {
			now := start.Add(time.Duration(at) * 50 * time.Millisecond)
			f.step(now, versions)
			for i := range f.bounded {
				got := f.bounded[i].View().RequiredVersion(now, "m", testInForceWithin)
				require.GreaterOrEqual(t, got, f.requiredByReference(now, i),
					"seed %d: entry %d at %s forgot a version", seed, i, now.Sub(start))
				require.LessOrEqual(t, got, f.reference[i].View().RequiredVersion(now.Add(resolution), "m", testInForceWithin),
					"seed %d: entry %d at %s is too strict, limit %d", seed, i, now.Sub(start), limit)
			}
		}
	}
}

// versionFleet applies the same rows, standstills, restarts and messages to two sets of
// entries.
type versionFleet struct {
	random             *rand.Rand
	limit              int
	bounded, reference []*State
	version            int
	// firstRead holds the times at which the first entry read the versions.
	firstRead   *View
	silentUntil []time.Time
}

func newVersionFleet(entries, limit int, random *rand.Rand) *versionFleet {
	f := &versionFleet{random: random, limit: limit, version: 1, silentUntil: make([]time.Time, entries)}
	f.firstRead = &View{Targets: map[fleet.Model][]TargetVersion{"m": {{Version: 1}}}}
	for range entries {
		f.bounded = append(f.bounded, f.newState(start, limit))
		f.reference = append(f.reference, f.newState(start, 1<<20))
	}
	return f
}

func (f *versionFleet) newState(now time.Time, limit int) *State {
	s := NewState()
	s.maxTargets = limit
	if limit == f.limit {
		s.versionInForce = func() time.Duration { return testInForceWithin }
	}
	s.Replace(now, OperatorTable, f.page())
	return s
}

// step lets the operators configure versions during the first 8 s, and the entries read
// them and exchange ages.
func (f *versionFleet) step(now time.Time, versions int) {
	if now.Sub(start) < testInForceWithin && f.random.IntN(160) < versions {
		f.version++
	}
	for i := range f.bounded {
		if now.Before(f.silentUntil[i]) {
			continue
		}
		switch f.random.IntN(300) {
		case 0:
			f.silentUntil[i] = now.Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
			f.bounded[i].MarkStandstill(now, f.silentUntil[i])
			f.reference[i].MarkStandstill(now, f.silentUntil[i])
			continue
		case 1:
			f.bounded[i], f.reference[i] = f.newState(now, f.limit), f.newState(now, 1<<20)
		}
		if f.random.IntN(4) == 0 {
			f.recordRead(now, i)
			for _, s := range []*State{f.bounded[i], f.reference[i]} {
				s.Apply(now, OperatorTable, f.page())
				s.markRead(OperatorTable, now, now)
			}
		}
		f.send(now, i)
	}
}

// requiredByReference returns the version that an entry of the reference requires. Instead
// of an age that it does not know, which it takes for the greatest one, the true one counts.
func (f *versionFleet) requiredByReference(now time.Time, i int) fleet.WeightsVersion {
	var list []TargetVersion
	for _, target := range f.reference[i].targets["m"] {
		if target.IsDated() {
			list = append(list, target)
		} else if at, known := findTarget(f.firstRead.Targets["m"], target.Version); known {
			list = append(list, f.firstRead.Targets["m"][at])
		}
	}
	view := &View{Targets: map[fleet.Model][]TargetVersion{"m": list}}
	return view.RequiredVersion(now, "m", testInForceWithin)
}

// recordRead records that an entry reads the newest version now. One that stood still
// does not know its age.
func (f *versionFleet) recordRead(now time.Time, i int) {
	newest := f.firstRead.NewestTarget("m").Version
	if version := fleet.WeightsVersion(f.version); version > newest && !f.reference[i].isCatchingUp() {
		f.firstRead.Targets["m"] = append(f.firstRead.Targets["m"], TargetVersion{Version: version, Since: now})
	}
}

func (f *versionFleet) page() rowstore.Page {
	return newPage(uint64(4+f.version), versionRow(f.version, uint64(4+f.version)))
}

// send delivers the versions that an entry knows to some others.
func (f *versionFleet) send(now time.Time, from int) {
	for to := range f.bounded {
		if to == from || now.Before(f.silentUntil[to]) || f.random.IntN(8) > 0 {
			continue
		}
		deliver(now, f.bounded[from], f.bounded[to], f.limit)
		deliver(now, f.reference[from], f.reference[to], 1<<20)
	}
}

func deliver(now time.Time, from, to *State, limit int) {
	list := from.View().EffectiveTargets(now, "m", testInForceWithin, limit)
	for _, target := range list {
		if !target.IsDated() {
			to.AddUndatedVersion(now, "m", target.Version)
		}
	}
	for _, target := range list {
		if target.IsDated() {
			to.SetVersionsSince("m", target.first(), target.Version, target.Since)
		}
	}
}
