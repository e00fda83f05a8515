package members

import (
	"encoding/binary"
	"math"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const ageUnit = 100 * time.Millisecond

// exchangeState is the state of the exchanges with one entry.
type exchangeState struct {
	// incarnation is the incarnation of that entry to which the positions
	// apply.
	incarnation core.Incarnation
	// confirmedPosition is the position of this entry's log up to which the
	// other entry has confirmed it.
	confirmedPosition uint64
	// appliedPosition is the position of the other entry's log up to which this
	// entry has applied it.
	appliedPosition uint64
}

func (r *roster) exchangeWith(id core.InstanceID) *exchangeState {
	existing := r.exchanges[id]
	if existing == nil {
		existing = &exchangeState{}
		r.exchanges[id] = existing
	}
	return existing
}

// buildSummary returns the changes that neighbour has not confirmed.
func (r *roster) buildSummary(now time.Time, neighbour core.InstanceID) wire.MembershipSummary {
	exchange := r.exchangeWith(neighbour)
	ownRecord := r.records[r.self.ID]
	encoder := newSummaryEncoder(now, wire.MembershipSummary{
		From:               r.self.ID,
		Incarnation:        r.incarnation,
		SincePosition:      exchange.confirmedPosition,
		Position:           r.logPosition,
		AppliedPosition:    exchange.appliedPosition,
		AppliedIncarnation: exchange.incarnation,
	})
	if ownRecord != nil {
		encoder.summary.Sequence = ownRecord.sequence
	}
	for _, rec := range r.records {
		if rec.incarnation == 0 || rec.logPosition <= exchange.confirmedPosition {
			continue
		}
		if exchange.confirmedPosition > 0 && rec.learnedFrom == neighbour {
			continue
		}
		encoder.add(rec, exchange.confirmedPosition)
	}
	return encoder.finish()
}

// answerSummary applies the summary of another entry and returns the reply. If
// the sender has been replaced, the reply holds only the record of the later
// process.
func (r *roster) answerSummary(now time.Time, s wire.MembershipSummary) wire.MembershipSummary {
	if !r.isSenderReplaced(s) {
		r.applySummary(now, s, false)
		return r.buildSummary(now, s.From)
	}
	encoder := newSummaryEncoder(now, wire.MembershipSummary{From: r.self.ID, Incarnation: r.incarnation, SincePosition: math.MaxUint64})
	encoder.add(r.records[s.From], 0)
	return encoder.finish()
}

// isSenderReplaced reports whether a later process has replaced the sender.
func (r *roster) isSenderReplaced(s wire.MembershipSummary) bool {
	rec := r.records[s.From]
	return rec != nil && rec.incarnation > s.Incarnation
}

// applySummary applies the summary of another entry. observe means that this
// entry exchanges summaries with the sender in each round, so that missing
// summaries indicate a failure of the sender.
func (r *roster) applySummary(now time.Time, s wire.MembershipSummary, observe bool) {
	exchange := r.exchangeWith(s.From)
	if exchange.incarnation > s.Incarnation || r.isSenderReplaced(s) {
		return
	}
	if exchange.incarnation < s.Incarnation {
		*exchange = exchangeState{incarnation: s.Incarnation}
	}
	exchange.confirmedPosition = 0
	if s.AppliedIncarnation == r.incarnation {
		exchange.confirmedPosition = min(s.AppliedPosition, r.logPosition)
	}
	for _, encoded := range s.Records {
		if decoded, ok := decodeRecord(now, s, encoded); ok {
			r.applyReport(now, s.From, decoded)
		}
	}
	complete := r.applyHeartbeats(now, s) && r.applyAcks(now, s)
	switch {
	case !complete:
		exchange.appliedPosition = 0
	case s.SincePosition <= exchange.appliedPosition:
		exchange.appliedPosition = max(exchange.appliedPosition, s.Position)
	}
	r.refreshSender(now, s, observe)
}

// applyHeartbeats reports false if a heartbeat refers to an unknown daemon.
func (r *roster) applyHeartbeats(now time.Time, s wire.MembershipSummary) bool {
	complete := true
	for _, heartbeat := range s.Heartbeats {
		rec := r.recordByKey(heartbeat.Key)
		if rec == nil {
			complete = false
			continue
		}
		incoming := rec.report
		incoming.sequence = heartbeat.Sequence
		incoming.liveness = livenessAlive
		incoming.running = heartbeat.Running
		incoming.configAge = time.Duration(heartbeat.ConfigAgeTenths) * ageUnit
		incoming.reportedAt = now.Add(-time.Duration(heartbeat.AgeTenths) * ageUnit)
		r.applyReport(now, s.From, incoming)
	}
	return complete
}

// applyAcks reports false if an acknowledgement refers to an unknown daemon.
func (r *roster) applyAcks(now time.Time, s wire.MembershipSummary) bool {
	complete := true
	for _, ack := range s.Acks {
		for keys := ack.Keys; len(keys) >= memberKeyBytes; keys = keys[memberKeyBytes:] {
			rec := r.recordByKey(binary.BigEndian.Uint64(keys))
			if rec == nil {
				complete = false
				continue
			}
			incoming := rec.report
			incoming.revision = ack.Revision
			r.applyReport(now, s.From, incoming)
		}
	}
	return complete
}

// refreshSender counts the summary as a report of its sender.
func (r *roster) refreshSender(now time.Time, s wire.MembershipSummary, observe bool) {
	rec := r.records[s.From]
	if rec == nil || rec.incarnation != s.Incarnation {
		return
	}
	incoming := rec.report
	incoming.sequence = s.Sequence
	incoming.liveness = livenessAlive
	incoming.reportedAt = now
	if r.applyReport(now, "", incoming) && observe {
		rec.observed = true
		rec.lastReportAt = now
	}
}

func (r *roster) recordByKey(key uint64) *record {
	id, ok := r.idsByKey[key]
	if !ok {
		return nil
	}
	return r.records[id]
}

// summaryEncoder builds a summary with its tables of names and digests.
type summaryEncoder struct {
	now           time.Time
	summary       wire.MembershipSummary
	nameIndices   map[string]int
	digestIndices map[core.Digest]int
	ackKeys       map[core.Revision][]byte
}

func newSummaryEncoder(now time.Time, summary wire.MembershipSummary) *summaryEncoder {
	return &summaryEncoder{
		now:           now,
		summary:       summary,
		nameIndices:   map[string]int{},
		digestIndices: map[core.Digest]int{},
		ackKeys:       map[core.Revision][]byte{},
	}
}

// add encodes a record in the shortest form that brings a neighbour up to date
// that has confirmed the log up to sincePosition.
func (e *summaryEncoder) add(rec *record, sincePosition uint64) {
	if rec.recordPosition > sincePosition || rec.liveness != livenessAlive {
		e.summary.Records = append(e.summary.Records, e.memberRecord(rec))
		return
	}
	key := memberKey(rec.instance.ID, rec.incarnation)
	if rec.revisionPosition > sincePosition {
		e.ackKeys[rec.revision] = binary.BigEndian.AppendUint64(e.ackKeys[rec.revision], key)
	}
	if rec.logPosition > rec.revisionPosition || rec.revisionPosition <= sincePosition {
		e.summary.Heartbeats = append(e.summary.Heartbeats, e.memberHeartbeat(rec, key))
	}
}

func (e *summaryEncoder) finish() wire.MembershipSummary {
	for revision, keys := range e.ackKeys {
		e.summary.Acks = append(e.summary.Acks, wire.RevisionAck{Revision: revision, Keys: keys})
	}
	return e.summary
}

func (e *summaryEncoder) memberHeartbeat(rec *record, key uint64) wire.MemberHeartbeat {
	return wire.MemberHeartbeat{
		Key:             key,
		Sequence:        rec.sequence,
		AgeTenths:       toTenths(e.now.Sub(rec.reportedAt)),
		Running:         rec.running,
		ConfigAgeTenths: toTenths(rec.configAge),
	}
}

func (e *summaryEncoder) memberRecord(rec *record) wire.MemberRecord {
	return wire.MemberRecord{
		ID:              rec.instance.ID,
		Incarnation:     rec.incarnation,
		Sequence:        rec.sequence,
		State:           uint8(rec.liveness),
		Flags:           rec.flags,
		StatusSequence:  rec.statusSequence,
		AgeTenths:       toTenths(e.now.Sub(rec.reportedAt)),
		Running:         rec.running,
		ConfigAgeTenths: toTenths(rec.configAge),
		Role:            e.nameIndex(string(rec.instance.Role)),
		DataCentre:      e.nameIndex(string(rec.instance.DataCentre)),
		Group:           e.nameIndex(string(rec.instance.Group)),
		PeerAddr:        rec.instance.PeerAddr,
		HTTPAddr:        rec.instance.HTTPAddr,
		Revision:        rec.revision,
		Weights:         e.digestIndex(rec.status.Weights),
		Target:          e.digestIndex(rec.status.Target),
		ChunksDone:      rec.status.ChunksDone,
		ChunksTotal:     rec.status.ChunksTotal,
		Limit:           rec.status.Limit,
		Temperature:     rec.status.Temperature,
		EngineFence:     rec.status.EngineFence,
	}
}

func (e *summaryEncoder) nameIndex(text string) int {
	index, ok := e.nameIndices[text]
	if !ok {
		index = len(e.summary.Names)
		e.nameIndices[text] = index
		e.summary.Names = append(e.summary.Names, text)
	}
	return index
}

func (e *summaryEncoder) digestIndex(d core.Digest) int {
	index, ok := e.digestIndices[d]
	if !ok {
		index = len(e.summary.Digests)
		e.digestIndices[d] = index
		e.summary.Digests = append(e.summary.Digests, d)
	}
	return index
}

func toTenths(d time.Duration) uint32 {
	return uint32(max(d, 0) / ageUnit)
}

// decodeRecord reports false if a field of the record is out of range.
func decodeRecord(now time.Time, s wire.MembershipSummary, m wire.MemberRecord) (report, bool) {
	for _, index := range []int{m.Role, m.DataCentre, m.Group} {
		if index < 0 || index >= len(s.Names) {
			return report{}, false
		}
	}
	for _, index := range []int{m.Weights, m.Target} {
		if index < 0 || index >= len(s.Digests) {
			return report{}, false
		}
	}
	if m.ID == "" || m.Incarnation == 0 || m.State > uint8(livenessGone) {
		return report{}, false
	}
	return report{
		instance: platform.Instance{
			ID:         m.ID,
			Role:       platform.Role(s.Names[m.Role]),
			DataCentre: core.DataCentre(s.Names[m.DataCentre]),
			Group:      core.Group(s.Names[m.Group]),
			State:      platform.InstanceLive,
			PeerAddr:   m.PeerAddr,
			HTTPAddr:   m.HTTPAddr,
		},
		incarnation:    m.Incarnation,
		sequence:       m.Sequence,
		liveness:       liveness(m.State),
		flags:          m.Flags,
		statusSequence: m.StatusSequence,
		revision:       m.Revision,
		running:        m.Running,
		configAge:      time.Duration(m.ConfigAgeTenths) * ageUnit,
		reportedAt:     now.Add(-time.Duration(m.AgeTenths) * ageUnit),
		status: wire.Status{
			Weights:     s.Digests[m.Weights],
			Target:      s.Digests[m.Target],
			ChunksDone:  m.ChunksDone,
			ChunksTotal: m.ChunksTotal,
			Limit:       m.Limit,
			Temperature: m.Temperature,
			EngineFence: m.EngineFence,
		},
	}, true
}
