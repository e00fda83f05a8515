package watch

import (
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// maxTargets is the number of configured versions of a model above which State merges
// some. Within the time in which a version must be in force, versions that are merged
// are configured less than that time / (maxTargets-2) apart.
const maxTargets = 128

// IsDated reports whether the time since when the version has been configured is known.
func (t TargetVersion) IsDated() bool { return !t.Since.IsZero() && !t.IsEstimate }

// MinReportedAge is the age of a version from which a daemon tells it to others. One that
// read the version late has learned its age by then: entries tell it to each other every
// 300 ms, and agents ask two of them at once.
const MinReportedAge = 600 * time.Millisecond

// IsReportable reports whether the time since when the version has been configured is told
// to other daemons at now.
func (t TargetVersion) IsReportable(now time.Time) bool {
	return t.IsDated() && now.Sub(t.Since) >= MinReportedAge
}

func (t TargetVersion) first() fleet.WeightsVersion {
	if t.First > 0 {
		return t.First
	}
	return t.Version
}

// addTarget adds a version that is newer than the known ones, and drops those that
// cannot have to be in force before a newer one any more.
func (s *State) addTarget(now time.Time, model fleet.Model, target TargetVersion) {
	list := s.targets[model]
	if s.versionInForce != nil {
		list = effectiveTargets(now, list, s.versionInForce())
	}
	// Views refer to the old list, so that the new one must be a copy.
	s.targets[model] = mergeTargets(append(slices.Clone(list), target), s.maxTargets)
}

// EffectiveTargets returns the newest version of a model that is known to be in force at
// now and all newer ones, the newest last. If these are more than limit, some are merged:
// the newer of two versions counts from the time of the older one.
func (v *View) EffectiveTargets(now time.Time, model fleet.Model, inForceWithin time.Duration, limit int) []TargetVersion {
	return mergeTargets(effectiveTargets(now, v.Targets[model], inForceWithin), limit)
}

func effectiveTargets(now time.Time, list []TargetVersion, inForceWithin time.Duration) []TargetVersion {
	for at := len(list) - 1; at > 0; at-- {
		if list[at].IsDated() && now.Sub(list[at].Since) >= inForceWithin {
			return list[at:]
		}
	}
	return list
}

// mergeTargets returns a list of at most limit versions that requires none of them later
// than list does. It merges those with the least time in between.
func mergeTargets(list []TargetVersion, limit int) []TargetVersion {
	if len(list) <= limit {
		return list
	}
	list = slices.Clone(list)
	for len(list) > max(1, limit) {
		at := closestPair(list)
		if older := list[at]; !list[at+1].IsDated() || older.Since.Before(list[at+1].Since) {
			list[at+1].Since, list[at+1].IsEstimate = older.Since, false
		}
		list[at+1].First = list[at].first()
		list = slices.Delete(list, at, at+1)
	}
	return list
}

// closestPair returns the position of the older one of two successive versions of which
// the newer one counts from the time of the older one at the least cost. Versions whose
// age is unknown are the last to be merged.
func closestPair(list []TargetVersion) int {
	closest, least := 0, time.Duration(-1)
	for at := range len(list) - 1 {
		if !list[at].IsDated() || !list[at+1].IsDated() {
			continue
		}
		if gap := max(0, list[at+1].Since.Sub(list[at].Since)); least < 0 || gap < least {
			closest, least = at, gap
		}
	}
	return closest
}

// isSuperseded reports whether a version need not be known because a newer one has been
// configured for as long.
func isSuperseded(list []TargetVersion, version fleet.WeightsVersion, since time.Time) bool {
	return slices.ContainsFunc(list, func(t TargetVersion) bool {
		return t.Version > version && t.IsDated() && !t.Since.After(since)
	})
}

// AddUndatedVersion adds a version that another daemon knows without its age. If this
// daemon knows newer versions alone, it was superseded before this daemon started, and
// must be in force until one of those is. It reports whether it added the version.
func (s *State) AddUndatedVersion(now time.Time, model fleet.Model, version fleet.WeightsVersion) bool {
	list := s.targets[model]
	if !s.lacksUndated(now, list, version) {
		return false
	}
	// Views refer to the old list, so that the new one must be a copy.
	s.targets[model] = mergeTargets(slices.Insert(slices.Clone(list), 0, TargetVersion{Version: version}), s.maxTargets)
	s.events = append(s.events, Event{
		Subject: "weights", Key: string(model), Detail: fmt.Sprintf("a peer reported version %d, which was configured before the known ones", version),
	})
	return true
}

func (s *State) lacksUndated(now time.Time, list []TargetVersion, version fleet.WeightsVersion) bool {
	if len(list) == 0 || version >= list[0].Version {
		return false
	}
	if s.versionInForce == nil {
		return true
	}
	within := s.versionInForce()
	return !slices.ContainsFunc(list, func(t TargetVersion) bool { return t.IsDated() && now.Sub(t.Since) >= within })
}

// AddUndatedVersion adds a version that another daemon knows without its age.
func (f *Follower) AddUndatedVersion(model fleet.Model, version fleet.WeightsVersion) {
	if f.state.lacksUndated(f.config.Now(), f.View().Targets[model], version) {
		f.update(func(now time.Time) { f.state.AddUndatedVersion(now, model, version) })
	}
}

// SetVersionSince sets since when a version has been configured, as reported by
// another daemon. It has no effect if this daemon knows an earlier time.
func (f *Follower) SetVersionSince(model fleet.Model, version fleet.WeightsVersion, since time.Time) {
	f.SetVersionsSince(model, version, version, since)
}

// SetVersionsSince does the same for a version into which the daemon has merged the
// earlier ones from first on.
func (f *Follower) SetVersionsSince(model fleet.Model, first, version fleet.WeightsVersion, since time.Time) {
	list := f.View().Targets[model]
	if first == version && !improvesSince(list, version, since) {
		return
	}
	f.update(func(time.Time) { f.state.SetVersionsSince(model, first, version, since) })
}
