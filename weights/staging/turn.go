package staging

import (
	"context"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/pause"
	"currantusher.dev/platform/worker"
)

const (
	// usualArrival is the part of a version's time in which its pieces come:
	// 3.4 of 8 s were measured on the users' links, and some slack.
	usualArrival = 0.5
	// lateNotice is how long ahead a pause is announced at least while there is
	// time: half of the answers end within it.
	lateNotice = 600 * time.Millisecond
	// turnPoll is how often a waiting agent looks whether its turn changed.
	turnPoll = 100 * time.Millisecond
)

// turn returns when the engine loads a version, or the zero time when at once:
// engines that serve load one after the other.
func (m *Manager) turn(wanted TargetVersion, plan FetchPlan, report worker.Report) time.Time {
	if len(report.Loaded) == 0 || wanted.RequestedAt.IsZero() {
		return time.Time{}
	}
	return wanted.RequestedAt.Add(plan.LoadDelay(wanted.Version, wanted.InForceWithin))
}

// latestTurn returns the turn, or an earlier time for an engine that skipped an
// older version: it loads before that one must be in force.
func (m *Manager) latestTurn(wanted TargetVersion, turn time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, latest := range m.skipped {
		if key.Model == wanted.Model && key.Version < wanted.Version && latest.Before(turn) {
			turn = latest
		}
	}
	return turn
}

// skip notes that a version gives way to a newer one.
func (m *Manager) skip(wanted TargetVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skipped[wanted.VersionKey] = wanted.latest()
}

// latest is when the load of a version must begin.
func (w TargetVersion) latest() time.Time { return w.RequestedAt.Add(part(loadUntil, w.InForceWithin)) }

// announce tells the entries when the engine stops taking requests.
func (m *Manager) announce(wanted TargetVersion, turn time.Time) {
	if turn.IsZero() || m.config.AnnouncePause == nil {
		return
	}
	m.config.AnnouncePause(fleet.PauseNotice{Model: wanted.Model, Version: wanted.Version, StartsIn: max(time.Until(turn), 0)})
}

// announceLoaded tells the entries that the engine serves a version.
func (m *Manager) announceLoaded(wanted TargetVersion) {
	if m.config.AnnouncePause != nil {
		m.config.AnnouncePause(fleet.PauseNotice{Model: wanted.Model, Version: wanted.Version, Ended: true})
	}
}

// awaitTurn waits until the engine loads the version. The error is
// errSuperseded when a newer version is here in time and is loaded instead.
func (m *Manager) awaitTurn(ctx context.Context, wanted TargetVersion, turn time.Time) error {
	if turn.IsZero() {
		return nil
	}
	// Only an agent that has all pieces knows that it will keep its turn.
	if soon := time.Now().Add(lateNotice); turn.Before(soon) && soon.Before(wanted.latest()) {
		turn = soon
	}
	m.announce(wanted, turn)
	for ctx.Err() == nil && time.Now().Before(m.latestTurn(wanted, turn)) {
		pause.For(ctx, min(turnPoll, time.Until(m.latestTurn(wanted, turn))))
	}
	waits := false
	for ctx.Err() == nil && !m.isNewest(wanted.VersionKey) {
		if m.hasNewer(wanted.VersionKey) {
			m.skip(wanted)
			m.announce(wanted, wanted.latest())
			return errSuperseded
		}
		if !time.Now().Before(wanted.latest()) || m.newerArrival(wanted.VersionKey).After(wanted.latest()) {
			return nil
		}
		if !waits {
			m.announce(wanted, wanted.latest())
		}
		waits = true
		pause.For(ctx, turnPoll)
	}
	return ctx.Err()
}

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }

// newerArrival returns when the pieces of the newest version should be here.
func (m *Manager) newerArrival(key VersionKey) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := m.jobs[VersionKey{Model: key.Model, Version: m.newest[key.Model]}]
	if newer == nil {
		return time.Time{}
	}
	return newer.wanted.RequestedAt.Add(part(usualArrival, newer.wanted.InForceWithin))
}

// hasNewer reports whether all pieces of a newer version are here, which spares
// the engine a load.
func (m *Manager) hasNewer(key VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, held := range m.held {
		if other.Model == key.Model && other.Version > key.Version && held.left() == 0 {
			return true
		}
	}
	return false
}
