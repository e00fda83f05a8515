package watch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// minSinceCorrection is the least correction of the time since when a version has
// been configured. Reports of peers differ by the time that datagrams take.
const minSinceCorrection = 50 * time.Millisecond

type timeSpan struct{ from, until time.Time }

// MarkStandstill records that the process did not run between two times. If the store
// was not read since an earlier standstill, both count as one.
func (s *State) MarkStandstill(from, until time.Time) {
	if s.isCatchingUp() {
		from = s.standstill.from
	}
	s.standstill = timeSpan{from: from, until: until}
	s.resumedAt = until
}

// isCatchingUp reports whether versions may have been accepted during a standstill that
// this daemon has not read yet.
func (s *State) isCatchingUp() bool { return !s.standstill.until.IsZero() }

// newTarget returns a version that was read at now, with the time since when it has been
// configured as far as this daemon can tell.
func (s *State) newTarget(now time.Time, version fleet.WeightsVersion, isFirstRead bool) TargetVersion {
	switch {
	case isFirstRead:
		return TargetVersion{Version: version}
	case s.isCatchingUp():
		return TargetVersion{Version: version, Since: s.standstill.from, IsEstimate: true}
	default:
		return s.lastRead.newTarget(now, version)
	}
}

// SetVersionSince sets since when a version has been configured, as reported by
// another daemon. The earliest report is the best one, because no daemon reads a version
// before the store accepts it: this one may have read it late. Reports include versions
// that were superseded before this daemon started, which no row tells and which may have
// to be in force before the newest one. It reports false, and has no effect, if this
// daemon knows an earlier time, and for versions after its newest one.
func (s *State) SetVersionSince(model fleet.Model, version fleet.WeightsVersion, since time.Time) bool {
	if !improvesSince(s.targets[model], version, since) {
		return false
	}
	// Views refer to the old list, so that the new one must be a copy.
	list := slices.Clone(s.targets[model])
	at, known := findTarget(list, version)
	detail := fmt.Sprintf("a peer reported since when version %d has been configured", version)
	switch {
	case !known || list[at].Since.IsZero():
	case list[at].IsEstimate:
		detail += fmt.Sprintf(", %d ms later than estimated", since.Sub(list[at].Since).Milliseconds())
	default:
		detail += fmt.Sprintf(", %d ms earlier than known", list[at].Since.Sub(since).Milliseconds())
	}
	s.events = append(s.events, Event{Subject: "weights", Key: string(model), Detail: detail, VersionSince: since})
	if known {
		list[at].Since, list[at].IsEstimate = since, false
	} else {
		list = slices.Insert(list, at, TargetVersion{Version: version, Since: since})
	}
	s.targets[model] = mergeTargets(list, s.maxTargets)
	return true
}

// SetVersionsSince does the same for a version into which a daemon has merged the earlier
// ones from first on. The unknown ages of those are no greater.
func (s *State) SetVersionsSince(model fleet.Model, first, version fleet.WeightsVersion, since time.Time) bool {
	changed := false
	for _, target := range s.targets[model] {
		if target.Version >= first && target.Version < version && !target.IsDated() {
			changed = s.SetVersionSince(model, target.Version, since) || changed
		}
	}
	return s.SetVersionSince(model, version, since) || changed
}

// improvesSince reports whether a report of the time since when a version has been
// configured is better than what a list of versions tells.
func improvesSince(list []TargetVersion, version fleet.WeightsVersion, since time.Time) bool {
	at, known := findTarget(list, version)
	switch {
	case at == len(list), !known && isSuperseded(list, version, since):
		return false
	case !known || list[at].Since.IsZero() || list[at].IsEstimate:
		return true
	default:
		return list[at].Since.Sub(since) >= minSinceCorrection
	}
}

func findTarget(list []TargetVersion, version fleet.WeightsVersion) (at int, known bool) {
	return slices.BinarySearchFunc(list, version, func(t TargetVersion, v fleet.WeightsVersion) int { return cmp.Compare(t.Version, v) })
}
