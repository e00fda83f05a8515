package members

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// liveness is the gossiped belief about one sequence number of a daemon. A
// later constant wins over an earlier one at the same sequence number.
type liveness uint8

const (
	livenessAlive liveness = iota
	livenessSuspected
	livenessGone
)

// Sticky bits of a report: once set they stay for the incarnation.
const (
	flagLeaving uint8 = 1 << iota
	flagLeft
)

// report is what one incarnation of a daemon said about itself and what
// others concluded. Reports of the same daemon form a semilattice under merge,
// so that order, loss and repetition of messages do not matter.
type report struct {
	instance       platform.Instance
	incarnation    core.Incarnation
	sequence       uint64
	live           liveness
	flags          uint8
	statusSequence uint64
	status         wire.Status
	// revision is the highest one reported; it never falls in an incarnation.
	revision  core.Revision
	running   int
	configAge time.Duration
	// madeAt is when the report with this sequence number was made, on the
	// local monotonic clock.
	madeAt time.Time
}

// change says how much a merge altered a report.
type change uint8

const (
	// changeNone: the incoming report said nothing new.
	changeNone change = iota
	// changeBeat: a newer report of the same state.
	changeBeat
	// changeAck: the configuration revision rose.
	changeAck
	// changeMaterial: state, status or incarnation changed.
	changeMaterial
)

// merge returns the join of two reports of the same instance.
func merge(known, incoming report) (report, change) {
	if incoming.incarnation < known.incarnation {
		return known, changeNone
	}
	if incoming.incarnation > known.incarnation {
		return incoming, changeMaterial
	}
	joined := known
	changed := changeNone
	if newer(incoming, known) {
		joined.sequence = incoming.sequence
		joined.live = incoming.live
		joined.running = incoming.running
		joined.configAge = incoming.configAge
		joined.madeAt = incoming.madeAt
		changed = changeBeat
		if incoming.live != known.live {
			changed = changeMaterial
		}
	}
	if incoming.revision > known.revision {
		joined.revision = incoming.revision
		changed = max(changed, changeAck)
	}
	if incoming.statusSequence > known.statusSequence {
		joined.statusSequence = incoming.statusSequence
		joined.status = incoming.status
		joined.instance = incoming.instance
		if materialStatus(known.status, incoming.status) || known.instance != incoming.instance {
			changed = changeMaterial
		}
	}
	joined.flags |= incoming.flags
	if joined.flags != known.flags {
		changed = changeMaterial
	}
	return joined, changed
}

func newer(a, b report) bool {
	if a.sequence != b.sequence {
		return a.sequence > b.sequence
	}
	return a.live > b.live
}

// progressSteps is how many values of download progress are passed on.
const progressSteps = 10

// materialStatus reports whether other entries need the new status soon.
func materialStatus(old, next wire.Status) bool {
	if progress(old) != progress(next) {
		return true
	}
	old.ChunksDone = next.ChunksDone
	old.Revision = next.Revision
	return old != next
}

func progress(s wire.Status) int {
	if s.ChunksTotal == 0 {
		return 0
	}
	return s.ChunksDone * progressSteps / s.ChunksTotal
}

// left reports whether the daemon itself said that it ended.
func (r report) left() bool { return r.flags&flagLeft != 0 }

// state combines liveness and sticky flags.
func (r report) state() State {
	switch {
	case r.left() || r.live == livenessGone:
		return StateGone
	case r.flags&flagLeaving != 0:
		return StateLeaving
	case r.live == livenessSuspected:
		return StateSuspected
	default:
		return StateAlive
	}
}

// silent reports whether others believe that reports are missing.
func (r report) silent() bool { return r.live != livenessAlive }

func (r report) member(now time.Time, listedLeaving bool) Member {
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
		Age:         max(now.Sub(r.madeAt), 0),
	}
}

func (r report) agent(now time.Time, listedLeaving bool) Agent {
	return Agent{
		Member:      r.member(now, listedLeaving),
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
