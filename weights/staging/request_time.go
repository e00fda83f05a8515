package staging

import (
	"time"

	"github.com/sirupsen/logrus"
)

// correctRequestTime records since when the version of a running job has been configured.
// The caller holds the lock.
func (m *Manager) correctRequestTime(target TargetVersion) {
	if m.jobs[target.VersionKey] != nil && !target.RequestedAt.IsZero() {
		m.requestTimes[target.VersionKey] = target.RequestedAt
		m.turns[target.Model] = m.turns[target.Model].corrected(target.VersionKey, target.RequestedAt)
	}
}

// withRequestTime returns a target with its last known RequestedAt.
func (m *Manager) withRequestTime(target TargetVersion) TargetVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.requestTimes[target.VersionKey]; ok {
		target.RequestedAt = at
	}
	return target
}

// correctLoadTime moves a load whose pause has been announced if the target's RequestedAt
// has been corrected, and announces the pause again.
func (m *Manager) correctLoadTime(target TargetVersion, loadTime time.Time) (TargetVersion, time.Time) {
	corrected := m.withRequestTime(target)
	shift := corrected.RequestedAt.Sub(target.RequestedAt)
	if target.RequestedAt.IsZero() || shift.Abs() < loadTimePollPeriod {
		return target, loadTime
	}
	now := m.config.Now()
	loadTime = corrected.withMinNotice(now, loadTime.Add(shift))
	m.config.Log.WithFields(logrus.Fields{
		"model": target.Model, "version": target.Version, "moved_ms": shift.Milliseconds(), "in_ms": loadTime.Sub(now).Milliseconds(),
	}).Info("Moved the load of a version; it was configured at another time than known before.")
	m.announcePause(corrected, loadTime)
	return corrected, loadTime
}
