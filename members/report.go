package members

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// liveness is the gossiped state of a daemon as of one sequence number. At the
// same sequence number a later constant wins over an earlier one.
type liveness uint8

const (
	livenessAlive liveness = iota
	livenessSuspected
	livenessGone
)

// Flags of a report. Once set, a flag stays set for the incarnation.
const (
	flagLeaving uint8 = 1 << iota
	flagLeft
)

// report combines what one incarnation of a daemon reported about itself and
// what other entries concluded about it. The reports of a daemon form a
// semilattice under merge, so loss, repetition and reordering of messages do
// not matter.
type report struct {
	instance       platform.Instance
	incarnation    core.Incarnation
	sequence       uint64
	liveness       liveness
	flags          uint8
	statusSequence uint64
	status         wire.Status
	// revision is the highest reported one; it never decreases within an
	// incarnation.
	revision  core.Revision
	running   int
	configAge time.Duration
	// reportedAt is when the daemon created the report with this sequence
	// number, on the local monotonic clock.
	reportedAt time.Time
}

// changeKind classifies how a merge changed a report, in increasing order of
// what neighbours must be sent.
type changeKind uint8

const (
	// changeNone: the incoming report has nothing new.
	changeNone changeKind = iota
	// changeHeartbeat: the incoming report is newer but has the same state.
	changeHeartbeat
	// changeRevision: the configuration revision increased.
	changeRevision
	// changeRecord: state, status or incarnation changed, so that neighbours
	// need the full record.
	changeRecord
)

// merge returns the join of two reports of the same instance and the kind of
// change relative to current.
func merge(current, incoming report) (report, changeKind) {
	if incoming.incarnation < current.incarnation {
		return current, changeNone
	}
	if incoming.incarnation > current.incarnation {
		return incoming, changeRecord
	}
	merged := current
	kind := changeNone
	if isNewer(incoming, current) {
		merged.sequence = incoming.sequence
		merged.liveness = incoming.liveness
		merged.running = incoming.running
		merged.configAge = incoming.configAge
		merged.reportedAt = incoming.reportedAt
		kind = changeHeartbeat
		if incoming.liveness != current.liveness {
			kind = changeRecord
		}
	}
	if incoming.revision > current.revision {
		merged.revision = incoming.revision
		kind = max(kind, changeRevision)
	}
	if incoming.statusSequence > current.statusSequence {
		merged.statusSequence = incoming.statusSequence
		merged.status = incoming.status
		merged.instance = incoming.instance
		if isSignificantChange(current.status, incoming.status) || current.instance != incoming.instance {
			kind = changeRecord
		}
	}
	merged.flags |= incoming.flags
	if merged.flags != current.flags {
		kind = changeRecord
	}
	return merged, kind
}

func isNewer(a, b report) bool {
	if a.sequence != b.sequence {
		return a.sequence > b.sequence
	}
	return a.liveness > b.liveness
}

// progressLevels is the number of levels to which download progress is rounded.
// A change within a level is not spread on its own.
const progressLevels = 10

// isSignificantChange reports whether a change of status must be spread soon.
func isSignificantChange(old, next wire.Status) bool {
	if progressLevel(old) != progressLevel(next) {
		return true
	}
	old.ChunksDone = next.ChunksDone
	old.Revision = next.Revision
	return old != next
}

func progressLevel(s wire.Status) int {
	if s.ChunksTotal == 0 {
		return 0
	}
	return s.ChunksDone * progressLevels / s.ChunksTotal
}

// hasLeft reports whether the daemon announced its own exit.
func (r report) hasLeft() bool { return r.flags&flagLeft != 0 }

// state derives the State from the liveness and the flags.
func (r report) state() State {
	switch {
	case r.hasLeft() || r.liveness == livenessGone:
		return StateGone
	case r.flags&flagLeaving != 0:
		return StateLeaving
	case r.liveness == livenessSuspected:
		return StateSuspected
	default:
		return StateAlive
	}
}

// isSilent reports whether the reports of the daemon are overdue.
func (r report) isSilent() bool { return r.liveness != livenessAlive }

func (r report) toMember(now time.Time, listedLeaving bool) Member {
	state := r.state()
	if listedLeaving && state != StateGone {
		state = StateLeaving
	}
	return Member{
		Instance:    r.instance.ID,
		Role:        r.instance.Role,
		Incarnation: r.incarnation,
		PeerAddr:    r.instance.PeerAddr,
		HTTPAddr:    r.instance.HTTPAddr,
		DataCentre:  r.instance.DataCentre,
		Group:       r.instance.Group,
		State:       state,
		Revision:    r.revision,
		ConfigAge:   r.configAge,
		Age:         max(now.Sub(r.reportedAt), 0),
	}
}

func (r report) toAgent(now time.Time, listedLeaving bool) Agent {
	return Agent{
		Member:      r.toMember(now, listedLeaving),
		Weights:     r.status.Weights,
		Target:      r.status.Target,
		ChunksDone:  r.status.ChunksDone,
		ChunksTotal: r.status.ChunksTotal,
		Running:     r.running,
		Limit:       r.status.Limit,
		Temperature: r.status.Temperature,
		EngineFence: r.status.EngineFence,
	}
}
