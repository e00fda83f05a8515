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

// timing holds the timeouts of a roster.
type timing struct {
	// agentSuspectAfter and entrySuspectAfter are the times without a report
	// after which a directly observed agent or entry is suspected.
	agentSuspectAfter time.Duration
	entrySuspectAfter time.Duration
	goneAfter         time.Duration
	retention         time.Duration
	// lease is how long a daemon may start new work with a configuration that
	// it cannot confirm, including the margin for clock drift.
	lease time.Duration
}

// record is a report with the state that this entry needs to age and spread it.
type record struct {
	report
	// logPosition is the log position of the last change, recordPosition that
	// of the last changeRecord and revisionPosition that of the last
	// changeRevision.
	logPosition      uint64
	recordPosition   uint64
	revisionPosition uint64
	// learnedFrom is the neighbour that sent the last change, or "".
	learnedFrom core.InstanceID
	loggedAt    time.Time
	// updatedAt is when the report last became newer.
	updatedAt time.Time
	// observed is set while the daemon reports directly to this entry.
	observed     bool
	lastReportAt time.Time
	// silentSince is when the daemon became suspected or gone.
	silentSince   time.Time
	listed        bool
	listedLeaving bool
	stale         staleIncarnations
}

// staleIncarnations represents the earlier incarnations of a daemon that did
// not report their exit, and hence may still run: their lowest revision, and
// when they are no longer considered.
type staleIncarnations struct {
	minRevision core.Revision
	expiresAt   time.Time
}

// add includes an incarnation that ran revision.
func (s staleIncarnations) add(now time.Time, revision core.Revision, retention time.Duration) staleIncarnations {
	if now.Before(s.expiresAt) {
		revision = min(revision, s.minRevision)
	}
	return staleIncarnations{minRevision: revision, expiresAt: now.Add(retention)}
}

// roster is the membership state of one entry. It is deterministic: it has no
// clock and does no I/O.
type roster struct {
	self        platform.Instance
	incarnation core.Incarnation
	timing      timing

	records  map[core.InstanceID]*record
	idsByKey map[uint64]core.InstanceID
	// idsByAddr maps each peer address to the instance of its latest process.
	idsByAddr   map[string]core.InstanceID
	logPosition uint64
	exchanges   map[core.InstanceID]*exchangeState
	revisions   revisionLog
	listRead    bool
	// replaced is set when a later process has replaced this one.
	replaced bool
	// hasUrgentChange is set when a change should spread without delay.
	hasUrgentChange bool
	// merge is the function merge; tests replace it to violate the invariants.
	merge func(current, incoming report) (report, changeKind)
}

func newRoster(self platform.Instance, incarnation core.Incarnation, t timing) *roster {
	return &roster{
		self:        self,
		incarnation: incarnation,
		timing:      t,
		records:     map[core.InstanceID]*record{},
		idsByKey:    map[uint64]core.InstanceID{},
		idsByAddr:   map[string]core.InstanceID{},
		exchanges:   map[core.InstanceID]*exchangeState{},
		merge:       merge,
	}
}

const memberKeyBytes = 8

// memberKey returns a hash of a daemon's ID and incarnation.
func memberKey(id core.InstanceID, incarnation core.Incarnation) uint64 {
	hash := fnv.New64a()
	var number [memberKeyBytes]byte
	binary.BigEndian.PutUint64(number[:], uint64(incarnation))
	_, _ = hash.Write(number[:])
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// applyHeartbeat applies a heartbeat that the daemon itself sent. instance is
// the description from the start of the stream. It reports false if the
// incarnation has been replaced.
func (r *roster) applyHeartbeat(now time.Time, instance platform.Instance, heartbeat wire.Heartbeat) bool {
	incoming := report{
		instance:    instance,
		incarnation: heartbeat.Incarnation,
		sequence:    heartbeat.Sequence,
		flags:       heartbeatFlags(heartbeat),
		running:     heartbeat.Running,
		configAge:   time.Duration(heartbeat.ConfigAgeMillis) * time.Millisecond,
		reportedAt:  now,
	}
	if heartbeat.Status != nil {
		incoming.statusSequence = heartbeat.Sequence
		incoming.status = *heartbeat.Status
		incoming.revision = heartbeat.Status.Revision
	}
	if !r.applyReport(now, "", incoming) {
		return false
	}
	rec := r.records[instance.ID]
	rec.observed = true
	rec.lastReportAt = now
	return true
}

func heartbeatFlags(heartbeat wire.Heartbeat) uint8 {
	var flags uint8
	if heartbeat.Leaving || heartbeat.Left {
		flags |= flagLeaving
	}
	if heartbeat.Left {
		flags |= flagLeft
	}
	return flags
}

// applyReport merges a report from a neighbour, or from the daemon itself if
// neighbour is "". It reports false if the report is rejected because its
// incarnation has been replaced.
func (r *roster) applyReport(now time.Time, neighbour core.InstanceID, incoming report) bool {
	id := incoming.instance.ID
	if id == r.self.ID && incoming.incarnation > r.incarnation {
		r.replaced = true
		return false
	}
	rec := r.records[id]
	if rec == nil {
		rec = &record{report: report{instance: incoming.instance, liveness: livenessSuspected, reportedAt: now}}
		r.records[id] = rec
	}
	if incoming.incarnation < rec.incarnation {
		r.handleStaleReport(now, rec, neighbour, incoming)
		return false
	}
	if r.hasLaterHolder(incoming) {
		return false
	}
	previous := rec.report
	merged, kind := r.merge(rec.report, incoming)
	if !checkMergeInvariants(previous, merged) {
		return false
	}
	rec.report = merged
	r.revisions.add(now, merged.revision)
	if merged.incarnation > previous.incarnation {
		r.startIncarnation(now, rec, previous)
	}
	if kind != changeNone {
		rec.updatedAt = now
	}
	r.trackSilence(now, rec, previous)
	r.logIfDue(now, rec, neighbour, kind, isFalseSuspicion(previous, incoming))
	return true
}

// checkMergeInvariants asserts that a merge decreases neither the incarnation
// nor the revision, and clears no flag.
func checkMergeInvariants(previous, merged report) bool {
	id := previous.instance.ID
	if merged.incarnation != previous.incarnation {
		return invariant.Check(invariant.NoRevert, merged.incarnation > previous.incarnation,
			"incarnation of %s decreased from %d to %d", id, previous.incarnation, merged.incarnation)
	}
	revisionKept := invariant.Check(invariant.NoRevert, merged.revision >= previous.revision,
		"revision of %s decreased from %d to %d", id, previous.revision, merged.revision)
	return revisionKept && invariant.Check(invariant.LeavingBackend, merged.flags&previous.flags == previous.flags,
		"leaving flag of %s was cleared in incarnation %d", id, merged.incarnation)
}

// isFalseSuspicion reports whether incoming suspects a daemon that has sent a
// newer report, which the sender of incoming then needs.
func isFalseSuspicion(current, incoming report) bool {
	return incoming.isSilent() && incoming.sequence < current.sequence
}

func (r *roster) startIncarnation(now time.Time, rec *record, previous report) {
	delete(r.idsByKey, memberKey(previous.instance.ID, previous.incarnation))
	r.idsByKey[memberKey(rec.instance.ID, rec.incarnation)] = rec.instance.ID
	rec.observed = false
	if previous.incarnation != 0 && !previous.hasLeft() {
		rec.stale = rec.stale.add(now, previous.revision, r.timing.retention)
	}
	r.claimAddress(now, rec)
}

// claimAddress makes rec the holder of its peer address and marks the earlier
// process at that address as gone.
func (r *roster) claimAddress(now time.Time, rec *record) {
	addr := rec.instance.PeerAddr
	holder := r.records[r.idsByAddr[addr]]
	if holder != nil && holder.incarnation > rec.incarnation {
		return
	}
	r.idsByAddr[addr] = rec.instance.ID
	if holder == nil || holder == rec || holder.liveness == livenessGone {
		return
	}
	holder.liveness = livenessGone
	holder.observed = false
	holder.silentSince = now
	r.logChange(now, holder, "", changeRecord)
}

// hasLaterHolder reports whether incoming, which shows the daemon as alive, is
// late: a later process of another instance holds the daemon's address.
func (r *roster) hasLaterHolder(incoming report) bool {
	if incoming.isSilent() {
		return false
	}
	holder := r.records[r.idsByAddr[incoming.instance.PeerAddr]]
	return holder != nil && holder.instance.ID != incoming.instance.ID && holder.incarnation > incoming.incarnation
}

// handleStaleReport handles a report of an incarnation that has been replaced.
// It sends the later incarnation to the neighbour that sent the report. If the
// replaced process itself sent the report, the process still runs, so its
// incarnation is considered for longer.
func (r *roster) handleStaleReport(now time.Time, rec *record, neighbour core.InstanceID, incoming report) {
	if neighbour != "" {
		r.logChange(now, rec, "", changeRecord)
		return
	}
	if incoming.hasLeft() {
		return
	}
	rec.stale = rec.stale.add(now, incoming.revision, r.timing.retention)
}

func (r *roster) trackSilence(now time.Time, rec *record, previous report) {
	if !rec.isSilent() {
		rec.silentSince = time.Time{}
		return
	}
	if !previous.isSilent() || rec.silentSince.IsZero() {
		rec.silentSince = now
	}
}

// logIfDue decides whether a change is appended to the log that neighbours
// read. With refute set, neighbours get the full record to correct a false
// suspicion.
func (r *roster) logIfDue(now time.Time, rec *record, neighbour core.InstanceID, kind changeKind, refute bool) {
	switch {
	case refute:
		r.logChange(now, rec, "", changeRecord)
	case kind == changeHeartbeat:
		interval := refreshInterval(len(r.records))
		if neighbour != "" {
			interval -= interval / 4
		}
		if now.Sub(rec.loggedAt) >= interval {
			r.logChange(now, rec, neighbour, changeHeartbeat)
		}
	case kind != changeNone:
		r.logChange(now, rec, neighbour, kind)
	}
}

func (r *roster) logChange(now time.Time, rec *record, neighbour core.InstanceID, kind changeKind) {
	r.logPosition++
	rec.logPosition = r.logPosition
	rec.learnedFrom = neighbour
	rec.loggedAt = now
	switch kind {
	case changeRecord:
		rec.recordPosition = r.logPosition
		r.hasUrgentChange = true
	case changeRevision:
		rec.revisionPosition = r.logPosition
		r.hasUrgentChange = true
	}
}

// stopObserving ends the direct observation of a daemon that now reports to
// another entry.
func (r *roster) stopObserving(id core.InstanceID, incarnation core.Incarnation) {
	rec := r.records[id]
	if rec != nil && rec.incarnation == incarnation {
		rec.observed = false
	}
}

// applyList applies the platform's instance list. The list only adds
// candidates: it neither revives a daemon that is gone nor ends a daemon that
// reports.
func (r *roster) applyList(now time.Time, instances []platform.Instance) {
	r.listRead = true
	for _, rec := range r.records {
		rec.listed = false
		rec.listedLeaving = false
	}
	for _, instance := range instances {
		rec := r.records[instance.ID]
		if rec == nil {
			rec = &record{report: report{liveness: livenessSuspected, reportedAt: now}, silentSince: now, updatedAt: now}
			r.records[instance.ID] = rec
		}
		if rec.incarnation == 0 {
			rec.instance = instance
		}
		rec.listed = true
		rec.listedLeaving = instance.State == platform.InstanceLeaving
	}
}

// tick suspects daemons with overdue reports, marks daemons that were suspected
// for too long as gone, and removes expired records.
func (r *roster) tick(now time.Time) {
	suspectAfter := indirectSuspectAfter(len(r.records))
	for id, rec := range r.records {
		if id == r.self.ID {
			continue
		}
		switch {
		case rec.liveness == livenessAlive:
			if r.isReportOverdue(now, rec, suspectAfter) {
				r.markSilent(now, rec, livenessSuspected)
			}
		case rec.liveness == livenessSuspected:
			if rec.incarnation != 0 && now.Sub(rec.silentSince) >= r.timing.goneAfter {
				r.markSilent(now, rec, livenessGone)
			}
		}
		if r.canRemove(now, rec) {
			r.remove(id, rec)
		}
	}
}

func (r *roster) isReportOverdue(now time.Time, rec *record, suspectAfter time.Duration) bool {
	if rec.observed && rec.instance.Role == platform.RoleEntry {
		return now.Sub(rec.lastReportAt) >= r.timing.entrySuspectAfter
	}
	if rec.observed {
		return now.Sub(rec.lastReportAt) >= r.timing.agentSuspectAfter
	}
	return now.Sub(rec.updatedAt) >= suspectAfter
}

// markSilent marks a daemon as suspected or gone. It ends the direct
// observation, so that a daemon that now reports to another entry is not
// suspected again.
func (r *roster) markSilent(now time.Time, rec *record, next liveness) {
	rec.liveness = next
	rec.observed = false
	if next == livenessSuspected {
		rec.silentSince = now
	}
	r.logChange(now, rec, "", changeRecord)
}

func (r *roster) canRemove(now time.Time, rec *record) bool {
	if rec.listed {
		return false
	}
	if rec.incarnation == 0 {
		return true
	}
	return rec.state() == StateGone && now.Sub(rec.updatedAt) >= r.timing.retention
}

func (r *roster) remove(id core.InstanceID, rec *record) {
	delete(r.idsByKey, memberKey(id, rec.incarnation))
	if r.idsByAddr[rec.instance.PeerAddr] == id {
		delete(r.idsByAddr, rec.instance.PeerAddr)
	}
	delete(r.records, id)
	delete(r.exchanges, id)
}
