package staging

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
)

// fetchTurn tells which version the agents of a service fetch to its end while newer ones
// are named. It follows from the times at which versions were named and from the origin's
// link, and not from the pieces that have arrived: agents that decide differently wait for
// pieces that others have given up. Agents that have seen the same versions agree; one that
// starts between them knows no earlier turn.
type fetchTurn struct {
	// target is the version whose turn it is, and begin when its turn began, a time of
	// Config.Now.
	target TargetVersion
	begin  time.Time
	// newest is the newest version, which comes next.
	newest TargetVersion
}

// hasTurns reports whether versions are fetched in turns. A narrow origin has a schedule of
// its own.
func (t TargetVersion) hasTurns() bool {
	return t.InForceWithin > 0 && t.OriginPieceTime > 0 && !t.RequestedAt.IsZero() && !t.isOriginNarrow()
}

// next returns the turn after a newer version is named: this one, or that of the version
// that was the newest one, or that of the newer one.
func (t fetchTurn) next(named TargetVersion) fetchTurn {
	for _, candidate := range []fetchTurn{t, t.following(named.RequestedAt)} {
		if candidate.lasts(named) {
			candidate.newest = named
			return candidate
		}
	}
	return fetchTurn{target: named, begin: named.RequestedAt, newest: named}
}

// following returns the turn of the newest version, which begins when this one ends or is
// given up, at the latest at a time.
func (t fetchTurn) following(latest time.Time) fetchTurn {
	begin := t.newest.RequestedAt
	if end := t.end(); !t.isOfNewest() && end.After(begin) {
		begin = end
	}
	if begin.After(latest) {
		begin = latest
	}
	return fetchTurn{target: t.newest, begin: begin, newest: t.newest}
}

func (t fetchTurn) isOfNewest() bool { return t.target.VersionKey == t.newest.VersionKey }

// end returns when all agents are expected to hold the version.
func (t fetchTurn) end() time.Time {
	return t.begin.Add(scaleDuration(expectedArrivalFraction, t.target.InForceWithin))
}

// originFreeAt returns when the origin has sent a copy of the version whose turn it is, if it
// keeps that version, or the zero time.
func (t fetchTurn) originFreeAt() time.Time {
	if t.target.Version+1 < t.newest.Version {
		return time.Time{}
	}
	return t.target.RequestedAt.Add(t.target.originCopyTime())
}

// lasts reports whether the turn goes on when a newer version is named: it has not ended,
// and the origin, which keeps the two newest versions, can send a whole copy in time. The
// next version is expected after the same interval.
func (t fetchTurn) lasts(named TargetVersion) bool {
	kept := named.RequestedAt.Sub(t.target.RequestedAt)
	if t.isOfNewest() {
		kept *= 2
	}
	return named.RequestedAt.Before(t.end()) && kept >= t.target.originCopyTime()
}

// firstPieceFraction is the fraction of a turn within which the first piece arrives.
const firstPieceFraction = 1.0 / 16

// minPieces returns how many pieces an agent has at least when the newest version is named,
// unless the origin is away. With fewer, the agent gives the version up.
func (t fetchTurn) minPieces() int {
	elapsed := float64(t.newest.RequestedAt.Sub(t.begin)) / float64(t.end().Sub(t.begin))
	return max(0, scaleCount(minProgressToContinue*(elapsed-firstPieceFraction), t.target.Pieces))
}

// isAfter reports whether the turn of an older version is over and was not given up: the
// origin has had the time to send a whole copy.
func (t fetchTurn) isAfter(older TargetVersion) bool {
	return older.Version < t.target.Version && t.newest.RequestedAt.Sub(older.RequestedAt) >= older.originCopyTime()
}

// corrected returns the turn with another time at which a version was named.
func (t fetchTurn) corrected(key VersionKey, requestedAt time.Time) fetchTurn {
	if t.target.VersionKey == key {
		if t.begin.Equal(t.target.RequestedAt) {
			t.begin = requestedAt
		}
		t.target.RequestedAt = requestedAt
	}
	if t.newest.VersionKey == key {
		t.newest.RequestedAt = requestedAt
	}
	return t
}

// nextTurn returns the turn from the naming of a version on, and logs it unless it is that of
// the version itself. The caller holds the lock.
func (m *Manager) nextTurn(named TargetVersion) fetchTurn {
	turn := m.turns[named.Model].next(named)
	m.turns[named.Model] = turn
	if named.hasTurns() && !turn.isOfNewest() {
		m.config.Log.WithFields(logrus.Fields{
			"model": named.Model, "version": named.Version, "turn_version": turn.target.Version, "missing_pieces": m.missingOf(turn.target),
			"turn_age_ms": named.RequestedAt.Sub(turn.begin).Milliseconds(), "turn_ends_in_ms": turn.end().Sub(m.config.Now()).Milliseconds(),
		}).Info("An older version has its turn when a newer one is named.")
	}
	return turn
}

// isContinued reports whether a version in progress is fetched to its end. With turns, the
// first one in progress also is when its turn is over: this agent is then late, and others
// hold the pieces. The caller holds the lock.
func (m *Manager) isContinued(older, first *job, turn fetchTurn) bool {
	key := older.target.VersionKey
	isFirst := older == first && m.hasSomePieces(key)
	switch {
	case !older.target.hasTurns():
		return isFirst && m.canContinue(older.target)
	case key == turn.target.VersionKey:
		return older.target.Pieces-m.missingOf(older.target) >= turn.minPieces()
	default:
		return isFirst && turn.isAfter(older.target)
	}
}

// isOthersTurn reports whether other agents may still fetch a version that this one has
// loaded. The caller holds the lock.
func (m *Manager) isOthersTurn(key VersionKey) bool {
	return m.turns[key.Model].target.VersionKey == key
}

// dropReplacedPieces drops the pieces of the versions older than the one before newest,
// except those in progress, of which other agents fetch pieces. The caller holds the lock.
func (m *Manager) dropReplacedPieces(newest VersionKey, keepsTurn bool) {
	var previous fleet.WeightsVersion
	for key := range m.pieceSets {
		if key.Model == newest.Model && key.Version < newest.Version {
			previous = max(previous, key.Version)
		}
	}
	for key := range m.pieceSets {
		isOld := key.Model == newest.Model && key.Version < previous && m.jobs[key] == nil
		if isOld && !(keepsTurn && m.isOthersTurn(key)) {
			delete(m.pieceSets, key)
		}
	}
}
