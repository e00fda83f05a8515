package gossip

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// unlistedPeriod is the time after its start for which a member may be missing from
	// an agent's list of entries. It exceeds the age of such lists.
	unlistedPeriod = 25 * time.Second
	// pauseForwardPeriod is the time after the start or the end of a pause for which its
	// notice is forwarded.
	pauseForwardPeriod = 4 * time.Second
	// pauseForwarders is the number of members that forward a notice to a member, because
	// datagrams can be lost and some may not have received the notice.
	pauseForwarders = 3
	// maxPauseLead bounds the time from a notice to the start of the pause. A notice is
	// kept until some time after that, and the latest one counts.
	maxPauseLead = 10 * time.Minute
	// maxPausesPerMessage keeps a message within one packet.
	maxPausesPerMessage = 16
)

// pauseKey identifies a pause.
type pauseKey struct {
	addr    string
	version fleet.WeightsVersion
}

// receivedPause is a notice that an agent has sent to this entry.
type receivedPause struct {
	notice fleet.PauseNotice
	// at is when the pause starts, or when its end was announced.
	at time.Time
}

// isPlausible reports whether a notice can be that of an agent.
func isPlausible(notice fleet.PauseNotice) bool {
	return notice.StartsIn >= 0 && notice.StartsIn <= maxPauseLead
}

// RecordPause stores a notice that an agent has sent to this entry, for PauseForwards.
func (s *State) RecordPause(now time.Time, notice fleet.PauseNotice) {
	key := pauseKey{addr: notice.Addr, version: notice.Version}
	if latest, ok := s.pauses[key]; ok && notice.Sequence <= latest.notice.Sequence {
		return
	}
	s.pauses[key] = receivedPause{notice: notice, at: now.Add(notice.StartsIn)}
	s.newPauses = append(s.newPauses, key)
}

// PauseForwards returns messages with the notices that this entry is to forward: to
// members that agents may not have on their lists, because they started recently or are
// leaving. A member that started recently gets all notices in force first, and from then
// on new ones like the others.
func (s *State) PauseForwards(now time.Time) []Outgoing {
	maps.DeleteFunc(s.pauses, func(_ pauseKey, p receivedPause) bool { return now.Sub(p.at) > pauseForwardPeriod })
	latest := s.newPauses
	s.newPauses = nil
	if len(s.pauses) == 0 || s.IsLarge() && now.Sub(s.startedAt) < unlistedPeriod {
		return nil
	}
	alive := s.alivePeers(now)
	forwarders := filter(alive, func(p *peer) bool { return !p.mayBeUnlisted(now) })
	var list []Outgoing
	for _, target := range filter(alive, func(p *peer) bool { return p.mayBeUnlisted(now) }) {
		keys := latest
		if !target.hasPauses && target.isRecent(now) {
			keys = slices.Collect(maps.Keys(s.pauses))
		}
		target.hasPauses = true
		for notices := range slices.Chunk(s.forwardedNotices(now, keys, target, forwarders), maxPausesPerMessage) {
			list = append(list, Outgoing{Message: Message{Pauses: notices}, Addrs: []string{target.member.PeerAddr}})
		}
	}
	return list
}

// forwardedNotices returns those of some notices that this entry forwards to a member.
func (s *State) forwardedNotices(now time.Time, keys []pauseKey, target *peer, forwarders []*peer) []fleet.PauseNotice {
	var notices []fleet.PauseNotice
	for _, key := range keys {
		p, ok := s.pauses[key]
		if !ok || !s.isForwarder(key, target, forwarders) {
			continue
		}
		notice := p.notice
		notice.StartsIn = max(p.at.Sub(now), 0)
		notices = append(notices, notice)
	}
	slices.SortFunc(notices, func(a, b fleet.PauseNotice) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return notices
}

// isForwarder reports whether this entry is among the members that forward a notice to a
// member.
func (s *State) isForwarder(key pauseKey, target *peer, others []*peer) bool {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key.addr))
	_, _ = hash.Write(strconv.AppendInt(nil, int64(key.version), 10))
	seed := hash.Sum64() + uint64(target.key)
	own, ahead := mix(seed+uint64(s.self.key())), 0
	for _, p := range others {
		if mix(seed+uint64(p.key)) > own {
			ahead++
		}
	}
	return ahead < pauseForwarders
}

// mix is the finalizer of MurmurHash3, which distributes similar values evenly.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// mayBeUnlisted reports whether agents may not have a member on their lists of entries.
func (p *peer) mayBeUnlisted(now time.Time) bool {
	return p.isRecent(now) || p.member.Phase == PhaseLeaving
}

// isRecent reports whether a member started within unlistedPeriod.
func (p *peer) isRecent(now time.Time) bool { return now.Sub(p.learnedAt) < unlistedPeriod }
