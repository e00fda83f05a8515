package watch

import (
	"slices"
	"time"

	"currantusher.dev/core/fleet"
)

// VersionSource tells from where a daemon knows since when a version has been configured.
type VersionSource string

const (
	// SourceStart means that the version was configured before the daemon started, at an
	// unknown time.
	SourceStart VersionSource = "start"
	// SourceRead is the daemon's own read of the row.
	SourceRead VersionSource = "read"
	// SourceStandstill is the earliest possible time, the beginning of a standstill of the
	// process or of a pause after its start.
	SourceStandstill VersionSource = "standstill"
	// SourceGossip is an entry's message to another entry.
	SourceGossip VersionSource = "gossip"
	// SourceAgent and SourceEntry are exchanges between agents and entries.
	SourceAgent VersionSource = "agent"
	SourceEntry VersionSource = "entry"
)

// ownSource returns from where the time of a version that was just read is known.
func (t TargetVersion) ownSource() VersionSource {
	switch {
	case t.Since.IsZero():
		return SourceStart
	case t.IsEstimate:
		return SourceStandstill
	default:
		return SourceRead
	}
}

// VersionReport is another daemon's report of since when a version has been configured.
type VersionReport struct {
	Model fleet.Model
	// First is the oldest of the versions that the other daemon has merged into Version, or
	// Version itself.
	First, Version fleet.WeightsVersion
	// Since is the time of the report's arrival less the reported age.
	Since time.Time
	// SentAfter is a time before the report was sent, provided that this process has run
	// since.
	SentAfter time.Time
	Source    VersionSource
}

// ReportVersion sets since when a version has been configured. It has no effect, and
// reports false, if this daemon knows an earlier time, or if the report may have waited
// during a standstill of this process and is later than the earliest possible time.
func (s *State) ReportVersion(r VersionReport) bool {
	if s.mayHaveWaited(r) && s.isEarliestPossible(r) {
		return false
	}
	before := len(s.events)
	changed := s.SetVersionsSince(r.Model, r.first(), r.Version, r.Since)
	for i := range s.events[before:] {
		s.events[before+i].VersionSource = r.Source
	}
	return changed
}

func (r VersionReport) first() fleet.WeightsVersion {
	if r.First > 0 {
		return min(r.First, r.Version)
	}
	return r.Version
}

// mayHaveWaited reports whether a report may have been sent before the end of the last
// standstill of this process. Its age is then too low by the time that it waited.
func (s *State) mayHaveWaited(r VersionReport) bool { return r.SentAfter.Before(s.resumedAt) }

// isEarliestPossible reports whether this daemon assumes the earliest possible time for a
// version of a report, and that time is not later than the report's.
func (s *State) isEarliestPossible(r VersionReport) bool {
	return slices.ContainsFunc(s.targets[r.Model], func(t TargetVersion) bool {
		return t.Version >= r.first() && t.Version <= r.Version && !t.IsDated() && !r.Since.Before(t.Since)
	})
}

// ReportVersion sets since when a version has been configured, as State.ReportVersion does.
func (f *Follower) ReportVersion(r VersionReport) {
	if r.first() < r.Version || improvesSince(f.View().Targets[r.Model], r.Version, r.Since) {
		f.update(func(time.Time) { f.state.ReportVersion(r) })
	}
}
