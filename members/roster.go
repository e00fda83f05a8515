package members

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// timing holds the periods that the roster decides by.
type timing struct {
	// suspectAfter is the silence that makes an agent suspected, entryAfter
	// that of an entry.
	suspectAfter time.Duration
	entryAfter   time.Duration
	goneAfter    time.Duration
	retention    time.Duration
	// lease is how long a daemon that does not confirm its configuration may
	// go on starting work, with the margin for clock drift.
	lease time.Duration
}

// record is a report with what this entry needs to keep and spread it.
type record struct {
	report
	// position is the log position of the last change, statusPosition and
	// ackPosition those of the last material change and revision change.
	position       uint64
	statusPosition uint64
	ackPosition    uint64
	// via is the neighbour that the last change came from.
	via      core.InstanceID
	bumpedAt time.Time
	// learnedAt is when a newer report was last learned.
	learnedAt time.Time
	// observed is set while the daemon reports to this entry directly.
	observed bool
	heardAt  time.Time
	// silentAt is when the daemon was first believed suspected or gone.
	silentAt      time.Time
	listed        bool
	listedLeaving bool
	ghost         ghost
}

// ghost stands for the earlier incarnations that never said that they ended:
// the lowest revision of theirs, and until when they are remembered.
type ghost struct {
	revision core.Revision
	until    time.Time
}

// with adds an incarnation that ran revision.
func (g ghost) with(now time.Time, revision core.Revision, retention time.Duration) ghost {
	if now.Before(g.until) {
		revision = min(revision, g.revision)
	}
	return ghost{revision: revision, until: now.Add(retention)}
}

// roster is the membership state of one entry. It is pure: it has no clock and
// does no I/O.
type roster struct {
	self        platform.Instance
	incarnation core.Incarnation
	timing      timing

	records map[core.InstanceID]*record
	keys    map[uint64]core.InstanceID
	// holders names the latest process on each address.
	holders  map[string]core.InstanceID
	position uint64
	links    map[core.InstanceID]*link
	known    revisionLog
	listRead bool
	// replaced is set when a later process runs in this one's place.
	replaced bool
	// urgent is set when a change should be spread without delay.
	urgent bool
	// merge joins two reports; tests replace it to show that checkMerge fails.
	merge func(known, incoming report) (report, change)
}

func newRoster(self platform.Instance, incarnation core.Incarnation, t timing) *roster {
	return &roster{
		self:        self,
		incarnation: incarnation,
		timing:      t,
		records:     map[core.InstanceID]*record{},
		keys:        map[uint64]core.InstanceID{},
		holders:     map[string]core.InstanceID{},
		links:       map[core.InstanceID]*link{},
		merge:       merge,
	}
}

const keySize = 8

// memberKey hashes a daemon's id and incarnation.
func memberKey(id core.InstanceID, incarnation core.Incarnation) uint64 {
	hash := fnv.New64a()
	var number [keySize]byte
	binary.BigEndian.PutUint64(number[:], uint64(incarnation))
	_, _ = hash.Write(number[:])
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// heard applies a heartbeat that came from the daemon itself. instance is the
// description that the stream began with. It reports false for a heartbeat of
// an incarnation that was replaced.
func (r *roster) heard(now time.Time, instance platform.Instance, beat wire.Heartbeat) bool {
	incoming := report{
		instance:    instance,
		incarnation: beat.Incarnation,
		sequence:    beat.Sequence,
		flags:       beatFlags(beat),
		running:     beat.Running,
		configAge:   time.Duration(beat.ConfigAgeMillis) * time.Millisecond,
		madeAt:      now,
	}
	if beat.Status != nil {
		incoming.statusSequence = beat.Sequence
		incoming.status = *beat.Status
		incoming.revision = beat.Status.Revision
	}
	if !r.apply(now, "", incoming) {
		return false
	}
	kept := r.records[instance.ID]
	kept.observed = true
	kept.heardAt = now
	return true
}

func beatFlags(beat wire.Heartbeat) uint8 {
	var flags uint8
	if beat.Leaving || beat.Left {
		flags |= flagLeaving
	}
	if beat.Left {
		flags |= flagLeft
	}
	return flags
}

// apply merges a report that came from neighbour via, or from the daemon
// itself when via is "". It reports false when the incarnation was replaced.
func (r *roster) apply(now time.Time, via core.InstanceID, incoming report) bool {
	id := incoming.instance.ID
	if id == r.self.ID && incoming.incarnation > r.incarnation {
		r.replaced = true
		return false
	}
	known := r.records[id]
	if known == nil {
		known = &record{report: report{instance: incoming.instance, live: livenessSuspected, madeAt: now}}
		r.records[id] = known
	}
	if incoming.incarnation < known.incarnation {
		r.rejectReplaced(now, known, via, incoming)
		return false
	}
	if r.displaced(incoming) {
		return false
	}
	before := known.report
	joined, changed := r.merge(known.report, incoming)
	if !checkMerge(before, joined) {
		return false
	}
	known.report = joined
	r.known.note(now, joined.revision)
	if joined.incarnation > before.incarnation {
		r.succeed(now, known, before)
	}
	if changed != changeNone {
		known.learnedAt = now
	}
	r.trackSilence(now, known, before)
	r.spread(now, known, via, changed, outdated(before, incoming))
	return true
}

// checkMerge asserts that a report never loses what is final.
func checkMerge(before, joined report) bool {
	id := before.instance.ID
	if joined.incarnation != before.incarnation {
		return invariant.Check(invariant.NoRevert, joined.incarnation > before.incarnation,
			"incarnation of %s fell from %d to %d", id, before.incarnation, joined.incarnation)
	}
	kept := invariant.Check(invariant.NoRevert, joined.revision >= before.revision,
		"revision of %s fell from %d to %d", id, before.revision, joined.revision)
	return kept && invariant.Check(invariant.LeavingBackend, joined.flags&before.flags == before.flags,
		"%s is no longer leaving in incarnation %d", id, joined.incarnation)
}

// outdated reports whether incoming wrongly doubts a daemon, so that its
// sender needs the newer report.
func outdated(known, incoming report) bool {
	return incoming.silent() && incoming.sequence < known.sequence
}

func (r *roster) succeed(now time.Time, known *record, before report) {
	delete(r.keys, memberKey(before.instance.ID, before.incarnation))
	r.keys[memberKey(known.instance.ID, known.incarnation)] = known.instance.ID
	known.observed = false
	if before.incarnation != 0 && !before.left() {
		known.ghost = known.ghost.with(now, before.revision, r.timing.retention)
	}
	r.supersedeAddress(now, known)
}

// supersedeAddress marks an earlier process on the same address as gone.
func (r *roster) supersedeAddress(now time.Time, current *record) {
	addr := current.instance.PeerAddr
	other := r.records[r.holders[addr]]
	if other != nil && other.incarnation > current.incarnation {
		return
	}
	r.holders[addr] = current.instance.ID
	if other == nil || other == current || other.live == livenessGone {
		return
	}
	other.live = livenessGone
	other.observed = false
	other.silentAt = now
	r.bump(now, other, "", changeMaterial)
}

// displaced reports whether a later process holds the address of an alive
// report, which therefore is late.
func (r *roster) displaced(incoming report) bool {
	if incoming.silent() {
		return false
	}
	holder := r.records[r.holders[incoming.instance.PeerAddr]]
	return holder != nil && holder.instance.ID != incoming.instance.ID && holder.incarnation > incoming.incarnation
}

// rejectReplaced tells a neighbour about the later incarnation. A replaced
// process that reports to this entry itself evidently still runs, so it is
// remembered for longer.
func (r *roster) rejectReplaced(now time.Time, known *record, via core.InstanceID, incoming report) {
	if via != "" {
		r.bump(now, known, "", changeMaterial)
		return
	}
	if incoming.left() {
		return
	}
	known.ghost = known.ghost.with(now, incoming.revision, r.timing.retention)
}

func (r *roster) trackSilence(now time.Time, known *record, before report) {
	if !known.silent() {
		known.silentAt = time.Time{}
		return
	}
	if !before.silent() || known.silentAt.IsZero() {
		known.silentAt = now
	}
}

// spread decides whether a change enters the log that neighbours read.
func (r *roster) spread(now time.Time, known *record, via core.InstanceID, changed change, refute bool) {
	switch {
	case refute:
		r.bump(now, known, "", changeMaterial)
	case changed == changeBeat:
		interval := refreshInterval(len(r.records))
		if via != "" {
			interval -= interval / 4
		}
		if now.Sub(known.bumpedAt) >= interval {
			r.bump(now, known, via, changeBeat)
		}
	case changed != changeNone:
		r.bump(now, known, via, changed)
	}
}

func (r *roster) bump(now time.Time, known *record, via core.InstanceID, changed change) {
	r.position++
	known.position = r.position
	known.via = via
	known.bumpedAt = now
	switch changed {
	case changeMaterial:
		known.statusPosition = r.position
		r.urgent = true
	case changeAck:
		known.ackPosition = r.position
		r.urgent = true
	}
}

// unobserve ends the direct watch of a daemon that reports elsewhere now.
func (r *roster) unobserve(id core.InstanceID, incarnation core.Incarnation) {
	known := r.records[id]
	if known != nil && known.incarnation == incarnation {
		known.observed = false
	}
}

// listed applies the platform's list. It only names candidates: it neither
// revives a daemon that is gone nor ends one that reports.
func (r *roster) list(now time.Time, instances []platform.Instance) {
	r.listRead = true
	for _, known := range r.records {
		known.listed = false
		known.listedLeaving = false
	}
	for _, instance := range instances {
		known := r.records[instance.ID]
		if known == nil {
			known = &record{report: report{live: livenessSuspected, madeAt: now}, silentAt: now, learnedAt: now}
			r.records[instance.ID] = known
		}
		if known.incarnation == 0 {
			known.instance = instance
		}
		known.listed = true
		known.listedLeaving = instance.State == platform.InstanceLeaving
	}
}

// tick ages the records.
func (r *roster) tick(now time.Time) {
	silentAfter := silentAfter(len(r.records))
	for id, known := range r.records {
		if id == r.self.ID {
			continue
		}
		switch {
		case known.live == livenessAlive:
			if r.missing(now, known, silentAfter) {
				r.doubt(now, known, livenessSuspected)
			}
		case known.live == livenessSuspected:
			if known.incarnation != 0 && now.Sub(known.silentAt) >= r.timing.goneAfter {
				r.doubt(now, known, livenessGone)
			}
		}
		if r.forgettable(now, known) {
			r.forget(id, known)
		}
	}
}

func (r *roster) missing(now time.Time, known *record, silentAfter time.Duration) bool {
	if known.observed && known.instance.Role == platform.RoleEntry {
		return now.Sub(known.heardAt) >= r.timing.entryAfter
	}
	if known.observed {
		return now.Sub(known.heardAt) >= r.timing.suspectAfter
	}
	return now.Sub(known.learnedAt) >= silentAfter
}

// doubt records that reports are missing. The watch ends, so that a daemon that
// reports elsewhere is doubted only once.
func (r *roster) doubt(now time.Time, known *record, live liveness) {
	known.live = live
	known.observed = false
	if live == livenessSuspected {
		known.silentAt = now
	}
	r.bump(now, known, "", changeMaterial)
}

func (r *roster) forgettable(now time.Time, known *record) bool {
	if known.listed {
		return false
	}
	if known.incarnation == 0 {
		return true
	}
	return known.state() == StateGone && now.Sub(known.learnedAt) >= r.timing.retention
}

func (r *roster) forget(id core.InstanceID, known *record) {
	delete(r.keys, memberKey(id, known.incarnation))
	if r.holders[known.instance.PeerAddr] == id {
		delete(r.holders, known.instance.PeerAddr)
	}
	delete(r.records, id)
	delete(r.links, id)
}
