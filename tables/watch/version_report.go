package watch

import (
	"time"

	"currantusher.dev/core/fleet"
)

// VersionReport is another daemon's report of since when a version has been configured.
type VersionReport struct {
	Model   fleet.Model
	Version fleet.WeightsVersion
	// Since is the time of the report's arrival less the reported age.
	Since time.Time
	// SentAfter is a time before the report was sent, provided that this process has run
	// since.
	SentAfter time.Time
}

// ReportVersion sets since when a version has been configured. It has no effect, and
// reports false, if this daemon knows an earlier time, or if the report may have waited
// during a standstill of this process and is later than the earliest possible time.
func (s *State) ReportVersion(r VersionReport) bool {
	if s.mayHaveWaited(r) && s.isEarliestPossible(r) {
		return false
	}
	return s.SetVersionSince(r.Model, r.Version, r.Since)
}

// mayHaveWaited reports whether a report may have been sent before the end of the last
// standstill of this process. Its age is then too low by the time that it waited.
func (s *State) mayHaveWaited(r VersionReport) bool { return r.SentAfter.Before(s.resumedAt) }

// isEarliestPossible reports whether this daemon assumes the earliest possible time for the
// version of a report, and that time is not later than the report's.
func (s *State) isEarliestPossible(r VersionReport) bool {
	list := s.targets[r.Model]
	at, known := findTarget(list, r.Version)
	return known && (list[at].Since.IsZero() || list[at].IsEstimate) && !r.Since.Before(list[at].Since)
}

// ReportVersion sets since when a version has been configured, as State.ReportVersion does.
func (f *Follower) ReportVersion(r VersionReport) {
	if improvesSince(f.View().Targets[r.Model], r.Version, r.Since) {
		f.update(func(time.Time) { f.state.ReportVersion(r) })
	}
}
