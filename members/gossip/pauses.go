package gossip

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"currantusher.dev/core"
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

// RecordPause stores a notice that an agent has sent to this entry, for PauseForwards.
func (s *State) RecordPause(now time.Time, notice fleet.PauseNotice) {
	key := pauseKey{addr: notice.Addr, version: notice.Version}
	if latest, ok := s.pauses[key]; ok && notice.Sequence <= latest.notice.Sequence {
		return
	}
	s.pauses[key] = receivedPause{notice: notice, at: now.Add(notice.StartsIn)}
}

// PauseForwards returns messages with the notices that this entry is to forward and has
// not: to members that agents may not have on their lists, because they started recently
// or are leaving.
func (s *State) PauseForwards(now time.Time) []Outgoing {
	maps.DeleteFunc(s.pauses, func(_ pauseKey, p receivedPause) bool { return now.Sub(p.at) > pauseForwardPeriod })
	if len(s.pauses) == 0 || s.IsLarge() && now.Sub(s.startedAt) < unlistedPeriod {
		return nil
	}
	alive := s.alivePeers(now)
	forwarders := filter(alive, func(p *peer) bool { return !p.mayBeUnlisted(now) })
	var list []Outgoing
	for _, target := range filter(alive, func(p *peer) bool { return p.mayBeUnlisted(now) }) {
		if notices := s.takeForwards(now, target, forwarders); len(notices) > 0 {
			list = append(list, Outgoing{Message: Message{Pauses: notices}, Addrs: []string{target.member.PeerAddr}})
		}
	}
	return list
}

// takeForwards returns the notices to send to a member, and marks them as sent.
func (s *State) takeForwards(now time.Time, target *peer, forwarders []*peer) []fleet.PauseNotice {
	maps.DeleteFunc(target.forwarded, func(key pauseKey, _ uint64) bool { _, ok := s.pauses[key]; return !ok })
	var notices []fleet.PauseNotice
	for key, p := range s.pauses {
		if target.forwarded[key] >= p.notice.Sequence || !s.isForwarder(key, target, forwarders) {
			continue
		}
		if target.forwarded == nil {
			target.forwarded = map[pauseKey]uint64{}
		}
		target.forwarded[key] = p.notice.Sequence
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
	own, ahead := forwardRank(key, target, s.self.ID), 0
	for _, p := range others {
		if forwardRank(key, target, p.member.ID) > own {
			ahead++
		}
	}
	return ahead < pauseForwarders
}

func forwardRank(key pauseKey, target *peer, forwarder core.InstanceID) uint64 {
	hash := fnv.New64a()
	for _, part := range []string{key.addr, strconv.FormatInt(int64(key.version), 10), string(target.member.ID), string(forwarder)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// mayBeUnlisted reports whether agents may not have a member on their lists of entries.
func (p *peer) mayBeUnlisted(now time.Time) bool {
	return now.Sub(p.learnedAt) < unlistedPeriod || p.member.Phase == PhaseLeaving
}
