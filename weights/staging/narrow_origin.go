package staging

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
)

const (
	// narrowOriginFraction is the part of the time within which a version must be in force
	// from which on the transfer of one copy makes an origin narrow. Below it, two copies and
	// an outage of a few seconds fit into that time.
	narrowOriginFraction = 0.3
	// maxOriginWindow bounds the missing pieces that are requested from a narrow origin at
	// once, and originWindowTime the time that its link takes to send them. Together they
	// cover the time in which a piece reaches the other agents of the region, and stay below
	// sourceTimeout.
	maxOriginWindow  = 12
	originWindowTime = 900 * time.Millisecond
	// originProbers is how many missing pieces are requested while a narrow origin is away,
	// each by its own agent, and originProbePeriod the interval between two requests of one.
	// With 6 agents the versions were not complete earlier.
	originProbers     = 3
	originProbePeriod = 100 * time.Millisecond
	// minProbeTimeout bounds a request to an origin that is away, which may not answer.
	minProbeTimeout = 500 * time.Millisecond
	// originTurnPoll is the interval at which a waiting request checks whether its turn has
	// come, if no piece arrives.
	originTurnPoll = 50 * time.Millisecond
	// narrowSourceBackoff is failedSourceBackoff before a narrow origin: an agent that is killed
	// starts again within a second, and within 2 s the link sends half of a copy.
	narrowSourceBackoff = 500 * time.Millisecond
	// loadMargin is how long before it must be in force the first engine must have a version
	// that the origin's link works for. An engine loads in about 0.7 s. With 2 s, versions
	// yielded of which most pieces had arrived, and neither version was in force in time.
	loadMargin = 1200 * time.Millisecond
)

// originCopyTime returns how long the origin's link takes to send one copy, or 0 if unknown.
func (t TargetVersion) originCopyTime() time.Duration {
	return time.Duration(t.Pieces) * t.OriginPieceTime
}

// isOriginNarrow reports whether one copy takes so long on the origin's link that the link
// must not be idle, and must be used for one version at a time.
func (t TargetVersion) isOriginNarrow() bool {
	return t.InForceWithin > 0 && t.originCopyTime() > scaleDuration(narrowOriginFraction, t.InForceWithin)
}

// canBeInForce reports whether a version of which some pieces are missing can be in force in
// time if the origin's link sends nothing else from now on.
func (t TargetVersion) canBeInForce(now time.Time, missing int) bool {
	if t.RequestedAt.IsZero() {
		return true
	}
	done := now.Add(time.Duration(missing)*t.OriginPieceTime + loadMargin)
	return !done.After(t.RequestedAt.Add(t.InForceWithin))
}

// originSchedule decides when the pieces of a version are requested from a narrow origin.
// The agents of a region decide independently, from the pieces that have reached them: the
// first missing pieces are requested at once, so that the link is not idle when a request
// fails or its agent is lost, and the others at the rate at which the link sends, in case
// that pieces reach this agent late.
type originSchedule struct {
	pieces    *pieceSet
	pieceTime time.Duration
	window    int

	mu sync.Mutex
	// epoch is when the origin's link began to work for the version, or the return of the
	// origin, and positions holds the number of pieces that were missing then before each one.
	hasBegun  bool
	epoch     time.Time
	positions []int
	// missingWhenAway is the number of missing pieces at the last failure, 0 while the origin
	// is not known to be away. A piece that arrives shows that it may be back.
	missingWhenAway int
	// dueSince is when the turn of a piece had come.
	dueSince map[int]time.Time
}

func newOriginSchedule(now time.Time, pieces *pieceSet, target TargetVersion) *originSchedule {
	s := &originSchedule{pieces: pieces, pieceTime: target.OriginPieceTime, window: target.originWindow()}
	s.restart(now)
	return s
}

// restart begins to count the turns anew. The caller holds the lock, or is the only user.
func (s *originSchedule) restart(now time.Time) {
	s.epoch, s.missingWhenAway, s.positions, s.dueSince = now, 0, s.pieces.missingBefore(), map[int]time.Time{}
}

// originWindow returns how many missing pieces are requested from a narrow origin at once.
func (t TargetVersion) originWindow() int {
	return max(2, min(maxOriginWindow, int(originWindowTime/t.OriginPieceTime)))
}

// begin counts the turns from now on if it is called for the first time. While the link worked
// for an older version, all turns passed, and agents requested all pieces at once.
func (s *originSchedule) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasBegun {
		s.hasBegun = true
		s.restart(now)
	}
}

// isDue reports whether a piece may be requested.
func (s *originSchedule) isDue(now time.Time, num int) bool {
	position := s.pieces.missingBefore()[num]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingWhenAway > 0 {
		if s.pieces.missingCount() >= s.missingWhenAway {
			return position < originProbers
		}
		s.restart(now)
	}
	if position >= s.window && now.Sub(s.epoch) < time.Duration(s.positions[num])*s.pieceTime {
		return false
	}
	if s.dueSince[num].IsZero() {
		s.dueSince[num] = now
	}
	return true
}

// isOverdue reports whether the turn of a piece came so long ago that another agent should
// request it.
func (s *originSchedule) isOverdue(now time.Time, num int) bool {
	if !s.isDue(now, num) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.dueSince[num]
	return ok && s.missingWhenAway == 0 && now.Sub(since) > takeOverDelay
}

// noteResult notes whether a request to the origin has succeeded. It reports whether the
// state of the origin has changed.
func (s *originSchedule) noteResult(now time.Time, succeeded bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasAway := s.missingWhenAway > 0
	switch {
	case succeeded && wasAway:
		s.restart(now)
	case !succeeded:
		s.missingWhenAway = max(1, s.pieces.missingCount())
	}
	return wasAway == succeeded
}

// timeout returns how long a request may take.
func (s *originSchedule) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingWhenAway > 0 {
		return max(minProbeTimeout, 3*originProbers*s.pieceTime)
	}
	return max(sourceTimeout, 4*time.Duration(s.window)*s.pieceTime)
}

// awaitTurn waits until a piece may be requested from a narrow origin.
func (f *fetcher) awaitTurn(ctx context.Context, num int) {
	f.awaitPeersTurn(ctx)
	for ctx.Err() == nil {
		content, arrived := f.schedule.pieces.get(num)
		isChosen := f.manager.isOriginsVersion(f.log, f.target)
		if isChosen {
			f.schedule.begin(time.Now())
		}
		if content != nil || isChosen && f.schedule.isDue(time.Now(), num) {
			return
		}
		timer := time.NewTimer(originTurnPoll)
		select {
		case <-ctx.Done():
		case <-arrived:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isOriginsVersion reports whether the link of a narrow origin works for a version, and logs
// when that changes. The oldest version in progress goes first if it can be in force in time
// and the origin still has it, which keeps the two newest ones. Otherwise the newest one
// does, which replaces all others.
func (m *Manager) isOriginsVersion(log *logrus.Entry, target TargetVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, isFirst := m.config.Now(), false
	chosen, reason := m.newestVersions[target.Model], "newest version; no older one that can be in force in time needs the link"
	if first := m.jobs[VersionKey{Model: target.Model, Version: chosen - 1}]; first != nil && !first.isFetched() {
		// Agents see the pieces of others late. One that changed its choice back and forth
		// made the link work for both versions.
		first.hasYielded = first.hasYielded || !first.target.canBeInForce(now, m.missingOf(first.target))
		isFirst = !first.hasYielded && first.target.Version == target.Version
		// The last pieces of a version are under way; the link is idle unless the next one
		// is requested meanwhile.
		if !first.hasYielded && m.missingOf(first.target) >= first.target.originWindow()/4 {
			chosen, reason = first.target.Version, "oldest version in progress; it can be in force in time"
		}
	}
	if m.originsVersions[target.Model] != chosen {
		m.originsVersions[target.Model] = chosen
		key := VersionKey{Model: target.Model, Version: chosen}
		fields := logrus.Fields{"origin_version": chosen, "reason": reason}
		if j := m.jobs[key]; j != nil {
			fields["missing_pieces"] = m.missingOf(j.target)
			fields["must_be_in_force_in_ms"] = j.target.RequestedAt.Add(j.target.InForceWithin).Sub(now).Milliseconds()
		}
		log.WithFields(fields).Info("Chose the version that the origin's link works for.")
	}
	return isFirst || target.Version == chosen
}

// missingOf returns how many pieces of a version are missing. The caller holds the lock.
func (m *Manager) missingOf(target TargetVersion) int {
	if pieces := m.pieceSets[target.VersionKey]; pieces != nil {
		return pieces.missingCount()
	}
	return target.Pieces
}

// canContinue reports whether a version in progress of which enough has arrived can be in
// force in time. Origins that are not narrow serve several versions beside each other. The
// caller holds the lock.
func (m *Manager) canContinue(target TargetVersion) bool {
	return !target.isOriginNarrow() || target.canBeInForce(m.config.Now(), m.missingOf(target))
}

// isPreviousOfNarrowOrigin reports whether a version in progress continues beside older ones
// when target is named. The origin still has it, while its predecessors get their last pieces
// from other agents alone. The caller holds the lock.
func (m *Manager) isPreviousOfNarrowOrigin(older, target TargetVersion) bool {
	return older.isOriginNarrow() && older.Version+1 == target.Version && m.hasSomePieces(older.VersionKey) && m.canContinue(older)
}

// deadlineOfIncomplete returns loadTime, or the earlier load deadline of an older version whose
// pieces have not all arrived from a narrow origin: this one then takes its place. The caller
// holds the lock.
func (m *Manager) deadlineOfIncomplete(target TargetVersion, loadTime time.Time) time.Time {
	for key, older := range m.jobs {
		isOlder := key.Model == target.Model && key.Version < target.Version
		if !isOlder || older.isFetched() || !older.target.isOriginNarrow() || older.target.RequestedAt.IsZero() {
			continue
		}
		if deadline := older.target.loadDeadline(); deadline.Before(loadTime) {
			loadTime = deadline
		}
	}
	return loadTime
}

// stagesEarly reports whether pieces of a version are staged as they arrive: those of the
// newest version, or with a narrow origin those of the oldest one in progress, which then
// survive a restart of the agent.
func (m *Manager) stagesEarly(target TargetVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	staged := m.newestVersions[target.Model]
	if target.isOriginNarrow() {
		staged = m.oldestUnloaded(target.Model, staged)
	}
	return staged == target.Version
}

// oldestUnloaded returns the oldest version of a model with a job, or newest. The caller
// holds the lock.
func (m *Manager) oldestUnloaded(model fleet.Model, newest fleet.WeightsVersion) fleet.WeightsVersion {
	for key := range m.jobs {
		if key.Model == model {
			newest = min(newest, key.Version)
		}
	}
	return newest
}
