package staging

import (
	"context"
	"maps"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// expectedArrivalFraction is the fraction of a version's InForceWithin after
	// which its pieces are expected to be held: on the users' links they arrive
	// in 3.4 of 8 s; the rest is slack.
	expectedArrivalFraction = 0.5
	// minPauseNotice is the shortest notice before a pause, unless the load
	// deadline is earlier. Half of the running answers end within it.
	minPauseNotice = 600 * time.Millisecond
	// loadTimePollPeriod is the interval at which a waiting agent checks whether
	// its load time has changed.
	loadTimePollPeriod = 100 * time.Millisecond
)

// scheduledLoadTime returns the time at which the engine loads a version, or the
// zero time to load immediately. Engines that serve requests load one after the
// other; an engine without any weights, which serves none, loads immediately. The
// report is as of when all pieces are held: an engine that was loading an older
// version when this one was requested serves that version meanwhile.
func (m *Manager) scheduledLoadTime(target TargetVersion, plan FetchPlan, report worker.Report) time.Time {
	if len(report.Loaded) == 0 && !report.Busy {
		return time.Time{}
	}
	if target.RequestedAt.IsZero() {
		return m.config.Now().Add(minPauseNotice)
	}
	return target.RequestedAt.Add(plan.LoadDelay(target.Version, target.InForceWithin))
}

// effectiveLoadTime returns loadTime, or the earlier load deadline of an older
// version that the engine skipped: the newer version must be loaded in time for
// the older version to count as in force.
func (m *Manager) effectiveLoadTime(target TargetVersion, loadTime time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, deadline := range m.skippedLoadDeadlines {
		if key.Model == target.Model && key.Version < target.Version && deadline.Before(loadTime) {
			loadTime = deadline
		}
	}
	return m.deadlineOfIncomplete(target, loadTime)
}

// markSkipped records that a version is superseded by a newer version.
func (m *Manager) markSkipped(target TargetVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skippedLoadDeadlines[target.VersionKey] = target.loadDeadline()
}

// forgetReplaced forgets the deadlines and the pieces of the versions that a loaded one
// replaces.
func (m *Manager) forgetReplaced(loaded VersionKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.skippedLoadDeadlines, func(key VersionKey, _ time.Time) bool {
		return key.Model == loaded.Model && key.Version < loaded.Version
	})
	if m.newestVersions[loaded.Model] == loaded.Version {
		m.dropReplacedPieces(loaded, false)
	}
}

// loadDeadline returns the time by which the load of a version must start.
func (t TargetVersion) loadDeadline() time.Time {
	return t.RequestedAt.Add(scaleDuration(loadWindowEndFraction, t.InForceWithin))
}

// announcePause notifies the entries when the engine stops accepting requests.
func (m *Manager) announcePause(target TargetVersion, loadTime time.Time) {
	if loadTime.IsZero() || m.config.AnnouncePause == nil {
		return
	}
	m.config.AnnouncePause(fleet.PauseNotice{Model: target.Model, Version: target.Version, StartsIn: max(loadTime.Sub(m.config.Now()), 0)})
}

// announcePauseEnd notifies the entries that the engine serves a version.
func (m *Manager) announcePauseEnd(target TargetVersion) {
	if m.config.AnnouncePause != nil {
		m.config.AnnouncePause(fleet.PauseNotice{Model: target.Model, Version: target.Version, Ended: true})
	}
}

// awaitLoadTime waits for the time at which the engine loads the version. It
// returns errSuperseded if all pieces of a newer version are held in time, so
// that the newer version is loaded instead.
func (m *Manager) awaitLoadTime(ctx context.Context, target TargetVersion, loadTime time.Time) error {
	if loadTime.IsZero() {
		return nil
	}
	// The pause is announced only now: before it held all pieces, the agent
	// could not tell whether it would meet its load time.
	loadTime = target.withMinNotice(m.config.Now(), loadTime)
	m.announcePause(target, loadTime)
	for ctx.Err() == nil && m.config.Now().Before(m.effectiveLoadTime(target, loadTime)) {
		pause.For(ctx, min(loadTimePollPeriod, m.effectiveLoadTime(target, loadTime).Sub(m.config.Now())))
		target, loadTime = m.correctLoadTime(target, loadTime)
	}
	announced := false
	for ctx.Err() == nil && !m.isNewest(target.VersionKey) {
		if m.hasCompleteNewerVersion(target.VersionKey) {
			m.markSkipped(target)
			m.announcePause(target, target.loadDeadline())
			return errSuperseded
		}
		if !m.config.Now().Before(target.loadDeadline()) || m.expectedArrivalOfNewest(target.VersionKey).After(target.loadDeadline()) {
			return nil
		}
		if !announced {
			m.announcePause(target, target.loadDeadline())
		}
		announced = true
		pause.For(ctx, loadTimePollPeriod)
	}
	return ctx.Err()
}

// withMinNotice returns loadTime, or a later time that leaves minPauseNotice if that is
// before the load deadline.
func (t TargetVersion) withMinNotice(now, loadTime time.Time) time.Time {
	if earliest := now.Add(minPauseNotice); loadTime.Before(earliest) && earliest.Before(t.loadDeadline()) {
		return earliest
	}
	return loadTime
}

func scaleDuration(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// expectedArrivalOfNewest returns the time at which the pieces of the newest
// version are expected to be held, or the zero time if it has no job.
func (m *Manager) expectedArrivalOfNewest(key VersionKey) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := m.jobs[VersionKey{Model: key.Model, Version: m.newestVersions[key.Model]}]
	if newer == nil {
		return time.Time{}
	}
	return newer.expectedArrival(m.config.Now())
}

// hasCompleteNewerVersion reports whether all pieces of a newer version are held,
// in which case the engine can skip the load of this version.
func (m *Manager) hasCompleteNewerVersion(key VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, pieces := range m.pieceSets {
		if other.Model == key.Model && other.Version > key.Version && pieces.missingCount() == 0 {
			return true
		}
	}
	return false
}

func scaleCount(fraction float64, count int) int { return int(fraction * float64(count)) }
