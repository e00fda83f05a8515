package members

import (
	"encoding/binary"
	"math"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const tenth = 100 * time.Millisecond

// link is the state of the exchange with one neighbour.
type link struct {
	// incarnation of the neighbour that the positions belong to.
	incarnation core.Incarnation
	// sent is the position of the own log that the neighbour has confirmed.
	sent uint64
	// seen is the position of the neighbour's log that was applied here.
	seen uint64
}

func (r *roster) link(id core.InstanceID) *link {
	existing := r.links[id]
	if existing == nil {
		existing = &link{}
		r.links[id] = existing
	}
	return existing
}

// summaryFor returns what neighbour to has not confirmed yet.
func (r *roster) summaryFor(now time.Time, to core.InstanceID) wire.MembershipSummary {
	l := r.link(to)
	own := r.records[r.self.ID]
	encoder := newSummaryEncoder(now, wire.MembershipSummary{
		From:               r.self.ID,
		Incarnation:        r.incarnation,
		SincePosition:      l.sent,
		Position:           r.position,
		AppliedPosition:    l.seen,
		AppliedIncarnation: l.incarnation,
	})
	if own != nil {
		encoder.summary.Sequence = own.sequence
	}
	for _, known := range r.records {
		if known.incarnation == 0 || known.position <= l.sent {
			continue
		}
		if l.sent > 0 && known.via == to {
			continue
		}
		encoder.add(known, l.sent)
	}
	return encoder.finish()
}

// answer applies a neighbour's summary and returns the own one. A neighbour
// that was replaced is only told so.
func (r *roster) answer(now time.Time, s wire.MembershipSummary) wire.MembershipSummary {
	if !r.supersedes(s) {
		r.receive(now, s, false)
		return r.summaryFor(now, s.From)
	}
	encoder := newSummaryEncoder(now, wire.MembershipSummary{From: r.self.ID, Incarnation: r.incarnation, SincePosition: math.MaxUint64})
	encoder.add(r.records[s.From], 0)
	return encoder.finish()
}

// supersedes reports whether a later process runs in the sender's place.
func (r *roster) supersedes(s wire.MembershipSummary) bool {
	known := r.records[s.From]
	return known != nil && known.incarnation > s.Incarnation
}

// receive applies a neighbour's summary. watch says that this entry calls the
// neighbour regularly, so that its silence means something.
func (r *roster) receive(now time.Time, s wire.MembershipSummary, watch bool) {
	l := r.link(s.From)
	if l.incarnation > s.Incarnation || r.supersedes(s) {
		return
	}
	if l.incarnation < s.Incarnation {
		*l = link{incarnation: s.Incarnation}
	}
	l.sent = 0
	if s.AppliedIncarnation == r.incarnation {
		l.sent = min(s.AppliedPosition, r.position)
	}
	for _, encoded := range s.Records {
		if decoded, ok := decodeRecord(now, s, encoded); ok {
			r.apply(now, s.From, decoded)
		}
	}
	complete := r.receiveBeats(now, s) && r.receiveAcks(now, s)
	switch {
	case !complete:
		l.seen = 0
	case s.SincePosition <= l.seen:
		l.seen = max(l.seen, s.Position)
	}
	r.heardSender(now, s, watch)
}

// receiveBeats reports false when a beat names an unknown daemon.
func (r *roster) receiveBeats(now time.Time, s wire.MembershipSummary) bool {
	complete := true
	for _, beat := range s.Heartbeats {
		known := r.byKey(beat.Key)
		if known == nil {
			complete = false
			continue
		}
		incoming := known.report
		incoming.sequence = beat.Sequence
		incoming.live = livenessAlive
		incoming.running = beat.Running
		incoming.configAge = time.Duration(beat.ConfigAgeTenths) * tenth
		incoming.madeAt = now.Add(-time.Duration(beat.AgeTenths) * tenth)
		r.apply(now, s.From, incoming)
	}
	return complete
}

// receiveAcks reports false when an acknowledgement names an unknown daemon.
func (r *roster) receiveAcks(now time.Time, s wire.MembershipSummary) bool {
	complete := true
	for _, ack := range s.Acks {
		for keys := ack.Keys; len(keys) >= keySize; keys = keys[keySize:] {
			known := r.byKey(binary.BigEndian.Uint64(keys))
			if known == nil {
				complete = false
				continue
			}
			incoming := known.report
			incoming.revision = ack.Revision
			r.apply(now, s.From, incoming)
		}
	}
	return complete
}

// heardSender counts the exchange itself as a report of the sender.
func (r *roster) heardSender(now time.Time, s wire.MembershipSummary, watch bool) {
	known := r.records[s.From]
	if known == nil || known.incarnation != s.Incarnation {
		return
	}
	incoming := known.report
	incoming.sequence = s.Sequence
	incoming.live = livenessAlive
	incoming.madeAt = now
	if r.apply(now, "", incoming) && watch {
		known.observed = true
		known.heardAt = now
	}
}

func (r *roster) byKey(key uint64) *record {
	id, ok := r.keys[key]
	if !ok {
		return nil
	}
	return r.records[id]
}

// summaryEncoder builds a summary with its name and digest tables.
type summaryEncoder struct {
	now     time.Time
	summary wire.MembershipSummary
	names   map[string]int
	digests map[core.Digest]int
	acks    map[core.Revision][]byte
}

func newSummaryEncoder(now time.Time, summary wire.MembershipSummary) *summaryEncoder {
	return &summaryEncoder{
		now:     now,
		summary: summary,
		names:   map[string]int{},
		digests: map[core.Digest]int{},
		acks:    map[core.Revision][]byte{},
	}
}

// add encodes a record in the shortest form that brings a neighbour that
// confirmed position since up to date.
func (e *summaryEncoder) add(known *record, since uint64) {
	if known.statusPosition > since || known.live != livenessAlive {
		e.summary.Records = append(e.summary.Records, e.record(known))
		return
	}
	key := memberKey(known.instance.ID, known.incarnation)
	if known.ackPosition > since {
		e.acks[known.revision] = binary.BigEndian.AppendUint64(e.acks[known.revision], key)
	}
	if known.position > known.ackPosition || known.ackPosition <= since {
		e.summary.Heartbeats = append(e.summary.Heartbeats, e.beat(known, key))
	}
}

func (e *summaryEncoder) finish() wire.MembershipSummary {
	for revision, keys := range e.acks {
		e.summary.Acks = append(e.summary.Acks, wire.RevisionAck{Revision: revision, Keys: keys})
	}
	return e.summary
}

func (e *summaryEncoder) beat(known *record, key uint64) wire.MemberHeartbeat {
	return wire.MemberHeartbeat{
		Key:             key,
		Sequence:        known.sequence,
		AgeTenths:       tenths(e.now.Sub(known.madeAt)),
		Running:         known.running,
		ConfigAgeTenths: tenths(known.configAge),
	}
}

func (e *summaryEncoder) record(known *record) wire.MemberRecord {
	return wire.MemberRecord{
		ID:              known.instance.ID,
		Incarnation:     known.incarnation,
		Sequence:        known.sequence,
		State:           uint8(known.live),
		Flags:           known.flags,
		StatusSequence:  known.statusSequence,
		AgeTenths:       tenths(e.now.Sub(known.madeAt)),
		Running:         known.running,
		ConfigAgeTenths: tenths(known.configAge),
		Role:            e.name(string(known.instance.Role)),
		DataCentre:      e.name(string(known.instance.DataCentre)),
		Group:           e.name(string(known.instance.Group)),
		PeerAddr:        known.instance.PeerAddr,
		HTTPAddr:        known.instance.HTTPAddr,
		Revision:        known.revision,
		Weights:         e.digest(known.status.Weights),
		Target:          e.digest(known.status.Target),
		ChunksDone:      known.status.ChunksDone,
		ChunksTotal:     known.status.ChunksTotal,
		Limit:           known.status.Limit,
		Temperature:     known.status.Temperature,
		EngineFence:     known.status.EngineFence,
	}
}

func (e *summaryEncoder) name(text string) int {
	index, ok := e.names[text]
	if !ok {
		index = len(e.summary.Names)
		e.names[text] = index
		e.summary.Names = append(e.summary.Names, text)
	}
	return index
}

func (e *summaryEncoder) digest(d core.Digest) int {
	index, ok := e.digests[d]
	if !ok {
		index = len(e.summary.Digests)
		e.digests[d] = index
		e.summary.Digests = append(e.summary.Digests, d)
	}
	return index
}

func tenths(d time.Duration) uint32 {
	return uint32(max(d, 0) / tenth)
}

// decodeRecord reports false for a record whose indices are out of range.
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
		live:           liveness(m.State),
		flags:          m.Flags,
		statusSequence: m.StatusSequence,
		revision:       m.Revision,
		running:        m.Running,
		configAge:      time.Duration(m.ConfigAgeTenths) * tenth,
		madeAt:         now.Add(-time.Duration(m.AgeTenths) * tenth),
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
