package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// turnTarget returns a version that is named some time after start. A copy takes 1.6 s on
// the origin's link, and a turn 4 s.
func turnTarget(version fleet.WeightsVersion, start time.Time, named time.Duration) TargetVersion {
	return TargetVersion{
		VersionKey: VersionKey{Model: "m", Version: version}, Pieces: 64, OriginPieceTime: 25 * time.Millisecond,
		RequestedAt: start.Add(named), InForceWithin: inForceWithin,
	}
}

// turnsOf returns the version whose turn it is after each of the versions, from 2 on, is named.
func turnsOf(start time.Time, named ...time.Duration) (versions []fleet.WeightsVersion, last fetchTurn) {
	for i, at := range named {
		last = last.next(turnTarget(fleet.WeightsVersion(2+i), start, at))
		versions = append(versions, last.target.Version)
	}
	return versions, last
}

func TestTurnFollowsFromTheTimesAtWhichVersionsAreNamed(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		named    []time.Duration
		versions []fleet.WeightsVersion
		begin    time.Duration
	}{
		{"first version", []time.Duration{0}, []fleet.WeightsVersion{2}, 0},
		{"the origin keeps each one for too short", []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond}, []fleet.WeightsVersion{2, 3, 4}, 1400 * time.Millisecond},
		{"until the turn ends", []time.Duration{0, 1200 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond}, []fleet.WeightsVersion{2, 2, 2, 2}, 0},
		{"then the version before", []time.Duration{0, 1200 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond, 4800 * time.Millisecond}, []fleet.WeightsVersion{2, 2, 2, 2, 5}, 4 * time.Second},
		{"dropped before its copy is sent", []time.Duration{0, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond}, []fleet.WeightsVersion{2, 2, 4, 4}, 1500 * time.Millisecond},
		{"given up for the version before", []time.Duration{0, 800 * time.Millisecond, 1590 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond}, []fleet.WeightsVersion{2, 2, 4, 4, 4}, 1590 * time.Millisecond},
		{"long after the last one", []time.Duration{0, time.Minute}, []fleet.WeightsVersion{2, 3}, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			versions, last := turnsOf(start, c.named...)
			require.Equal(t, c.versions, versions)
			require.Equal(t, c.begin, last.begin.Sub(start))
		})
	}
}

// While the origin was away, agents waited for a version of which none had a piece.
func TestVersionOfWhichNothingArrivesIsNotContinued(t *testing.T) {
	start := time.Now()
	_, turn := turnsOf(start, 0, 1200*time.Millisecond)
	require.Equal(t, fleet.WeightsVersion(2), turn.target.Version)
	m := newTestManager(nil)
	m.jobs[turn.target.VersionKey] = newJob(turn.target, m.config.Now, func() {}, nil)
	older := m.jobs[turn.target.VersionKey]
	require.False(t, m.isContinued(older, older, turn))
	pieces := newPieceSet(turn.target.VersionKey, make([][32]byte, turn.target.Pieces))
	m.pieceSets[turn.target.VersionKey] = pieces
	pieces.missing -= turn.minPieces()
	require.True(t, m.isContinued(older, older, turn))
}

// Some agents had no piece half a second after a turn had begun and gave the version up, which
// the others continued.
func TestVersionIsContinuedBeforeItsFirstPieceArrives(t *testing.T) {
	_, turn := turnsOf(time.Now(), 0, 900*time.Millisecond, 1800*time.Millisecond, 2700*time.Millisecond, 3600*time.Millisecond, 4500*time.Millisecond)
	require.Equal(t, fleet.WeightsVersion(6), turn.target.Version)
	require.Zero(t, turn.minPieces())
}

// An agent that restarted while versions followed each other fetched others than the rest.
func TestTurnOfAnAgentThatStartsBetweenVersionsIsThatOfTheOthers(t *testing.T) {
	const versions = 8
	start := time.Now()
	for _, apart := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(apart.String(), func(t *testing.T) {
			var others, restarted fetchTurn
			for i := range versions {
				named := turnTarget(fleet.WeightsVersion(2+i), start, time.Duration(i)*apart)
				others = others.next(named)
				if i > 0 {
					restarted = restarted.next(named)
					require.Equal(t, others.target.Version, restarted.target.Version, "version %d is named", named.Version)
				}
			}
		})
	}
}

// A version without a time or an origin without a known link takes no part in turns.
func TestVersionsOfUnknownTimeHaveNoTurn(t *testing.T) {
	start := time.Now()
	target := turnTarget(2, start, 0)
	require.True(t, target.hasTurns())
	target.RequestedAt = time.Time{}
	require.False(t, target.hasTurns())
	require.Equal(t, fleet.WeightsVersion(2), fetchTurn{}.next(target).target.Version)
	_, turn := turnsOf(start, 0)
	target.Version = 3
	require.Equal(t, fleet.WeightsVersion(3), turn.next(target).target.Version)
}

func TestNewestVersionIsRequestedAfterTheCopyThatTheOriginKeeps(t *testing.T) {
	start := time.Now()
	_, turn := turnsOf(start, 0, 1200*time.Millisecond)
	require.Equal(t, 1600*time.Millisecond, turn.originFreeAt().Sub(start))
	_, turn = turnsOf(start, 0, 1200*time.Millisecond, 2400*time.Millisecond)
	require.True(t, turn.originFreeAt().IsZero(), "the origin has dropped version 2")
}

// Agents that learned late of a version, and corrected its time, chose other versions than
// the rest.
func TestTurnMovesWithTheCorrectedTimeOfItsVersion(t *testing.T) {
	start := time.Now()
	_, late := turnsOf(start, 900*time.Millisecond)
	late = late.corrected(late.target.VersionKey, start)
	late = late.next(turnTarget(3, start, 1200*time.Millisecond))
	require.Equal(t, fleet.WeightsVersion(2), late.target.Version)
	require.Equal(t, 4*time.Second, late.end().Sub(start))
}

// An agent whose engine had loaded a version dropped its pieces while others still fetched
// them, and the origin no longer served them.
func TestPiecesOfTheVersionWhoseTurnItIsAreKeptForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		m := newTestManager(nil)
		_, m.turns["m"] = turnsOf(start, 0, 1200*time.Millisecond, 2400*time.Millisecond)
		var sets []*pieceSet
		for version := range fleet.WeightsVersion(3) {
			sets = append(sets, newPieceSet(VersionKey{Model: "m", Version: 2 + version}, make([][32]byte, 4)))
			m.addPieces(sets[version])
		}
		require.NotNil(t, m.piecesOf(sets[0].key), "version 2 has its turn")
		m.newestVersions["m"] = 4
		m.forgetReplaced(sets[2].key)
		require.Nil(t, m.piecesOf(sets[0].key), "the newest version is loaded")
		require.NotNil(t, m.piecesOf(sets[1].key))
	})
}
