package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
)

const (
	// RoundPeriod is the time between two rounds of messages.
	RoundPeriod = 300 * time.Millisecond
	// AliveTimeout is the time after its last new message for which a member
	// counts as alive. It spans several periods, so that a few lost datagrams
	// have no effect, and is well below the time after which answers to callers
	// must not contain the address of a failed entry.
	AliveTimeout = 2500 * time.Millisecond
	// relayedAliveTimeout applies in place of AliveTimeout if signs of life are
	// relayed, which takes several rounds.
	relayedAliveTimeout = 3 * time.Second
	// SenderTimeout is the time for which a silent member still counts as a
	// sender: it may be cut off from this entry but not from the backend
	// servers.
	SenderTimeout = 20 * time.Second
	// isolatedSenderTimeout applies in place of SenderTimeout if most of the other
	// senders are silent: then this entry is probably the one that is cut off,
	// and the others use their shares.
	isolatedSenderTimeout = time.Minute
	// firstSignTimeout is the time after its introduction within which the first
	// sign of life of a running entry arrives.
	firstSignTimeout = 5 * time.Second
	// maxLoad and maxPace bound the loads and paces that a peer reports; others are
	// ignored.
	maxLoad = 1 << 20
	maxPace = 1e6
	// peerRetention is the time after which a silent member is removed.
	peerRetention = 10 * time.Minute
)

type peer struct {
	// member is the latest full description. Its Phase and Active are those of
	// the latest sign of life, which may be newer.
	member Member
	// key is that of the member's incarnation.
	key uint32
	// sequence is that of the latest sign of life, received at heardAt; heardAt
	// is zero while there is none.
	sequence uint64
	heardAt  time.Time
	// learnedAt is when the first description of the incarnation was received.
	learnedAt time.Time
	// loads and paces were received at loadsAt.
	loads   map[core.InstanceID]int
	paces   map[core.InstanceID]float64
	loadsAt time.Time
	// work is the latest valid report of work by fleet.WorkKey, received at workAt.
	work   map[uint32]fleet.Work
	workAt time.Time
	// hasPauses is true if the notices in force were forwarded to the incarnation.
	hasPauses bool
}

// State is the view that one entry has of the other entries. It is not safe for
// concurrent use.
type State struct {
	self  Member
	peers map[core.InstanceID]*peer
	// peersByKey finds the peer of a heartbeat.
	peersByKey map[uint32]*peer
	// discoveredAt maps each peer address at which an entry may be running to
	// the time at which it was added.
	discoveredAt map[string]time.Time
	random       *rand.Rand
	round        int
	// changed is set until a change of this entry's phase or activity is sent.
	changed bool
	// wanted holds the keys of unknown members by the peer address that sent their
	// heartbeats, and requested the keys that members at an address want to know.
	// Both are sent in the next round.
	wanted    map[string][]uint32
	requested map[string][]uint32
	// pauses holds the latest notices of agents, and newPauses those that came since
	// notices were last forwarded.
	pauses    map[pauseKey]receivedPause
	newPauses []pauseKey
	// startedAt is when the first round was sent.
	startedAt time.Time
}

// NewState returns the state of an entry that has no peers yet. seed is the
// seed of its random choices.
func NewState(self Member, seed uint64) *State {
	return &State{
		self:         self,
		peers:        map[core.InstanceID]*peer{},
		peersByKey:   map[uint32]*peer{},
		discoveredAt: map[string]time.Time{},
		wanted:       map[string][]uint32{},
		requested:    map[string][]uint32{},
		pauses:       map[pauseKey]receivedPause{},
		random:       rand.New(rand.NewPCG(seed, 2)),
	}
}

// AddPeerAddr adds a peer address at which an entry may be running, unless it is invalid.
func (s *State) AddPeerAddr(now time.Time, addr string) {
	if _, ok := s.discoveredAt[addr]; !ok && addr != s.self.PeerAddr && netdial.CheckAddr(addr) == nil {
		s.discoveredAt[addr] = now
	}
}

// Introduce adds the description of an entry that may be running. The entry does
// not count as alive until a sign of life arrives.
func (s *State) Introduce(now time.Time, member Member) {
	s.AddPeerAddr(now, member.PeerAddr)
	s.describe(now, member)
}

// SetPhase changes the phase of this entry and reports whether it differs from the
// previous one.
func (s *State) SetPhase(phase Phase) bool {
	changed := s.self.Phase != phase
	s.self.Phase = phase
	s.changed = s.changed || changed
	return changed
}

// SetActivity sets whether this entry is active and its recent request rate. It
// reports whether the entry became active or inactive.
func (s *State) SetActivity(active bool, requestsPerSecond float64) bool {
	changed := s.self.Active != active
	s.self.Active, s.self.RequestsPerSecond = active, requestsPerSecond
	s.changed = s.changed || changed
	return changed
}

// RequireMessage makes the next round include a message of this entry to others of its
// data centre, also if none is due.
func (s *State) RequireMessage() { s.changed = true }

// Self returns the description of this entry.
func (s *State) Self() Member { return s.self }

// SetReachesStore sets whether the store responds to this entry.
func (s *State) SetReachesStore(reaches bool) { s.self.ReachesStore = reaches }

// SetEra sets the store's era of the revisions in this entry's description.
func (s *State) SetEra(era uint64) { s.self.Era = era }

// PeerReachesStore reports whether the store responds to any alive peer.
func (s *State) PeerReachesStore(now time.Time) bool {
	for _, p := range s.alivePeers(now) {
		if p.member.ReachesStore {
			return true
		}
	}
	return false
}

// Receive applies a message. It reports whether the message was accepted:
// messages that are not newer than the last description of their sender are
// ignored.
func (s *State) Receive(now time.Time, message Message) bool {
	if !s.updateMember(now, message.From) {
		return false
	}
	if !message.OmitsLoads {
		p := s.peers[message.From.ID]
		p.loads, p.paces, p.loadsAt = message.Loads, message.Paces, now
		p.receiveWork(now, message.Work)
		maps.DeleteFunc(p.loads, func(_ core.InstanceID, load int) bool { return load < 0 || load > maxLoad })
		maps.DeleteFunc(p.paces, func(_ core.InstanceID, pace float64) bool { return !(pace > 0 && pace <= maxPace) })
	}
	for _, relayed := range message.Relayed {
		s.updateMember(now, relayed)
	}
	s.receiveHeartbeats(now, message)
	if len(message.Wanted) > 0 {
		s.requested[message.From.PeerAddr] = message.Wanted
	}
	return true
}

func (s *State) receiveHeartbeats(now time.Time, message Message) {
	var unknown []uint32
	for _, h := range message.Heartbeats {
		if p := s.peersByKey[h.Key]; p != nil {
			p.recordSignOfLife(now, h.Sequence, h.Phase, h.Active)
		} else if h.Key != s.self.key() {
			unknown = append(unknown, h.Key)
		}
	}
	if len(unknown) > 0 {
		s.wanted[message.From.PeerAddr] = unknown
	}
}

// updateMember applies a description that its member has sent recently.
func (s *State) updateMember(now time.Time, member Member) bool {
	if !s.describe(now, member) {
		return false
	}
	s.peers[member.ID].recordSignOfLife(now, member.Sequence, member.Phase, member.Active)
	return true
}

// describe stores a description if it is newer than the known one.
func (s *State) describe(now time.Time, member Member) bool {
	if member.ID == s.self.ID || member.PeerAddr == s.self.PeerAddr || netdial.CheckAddr(member.PeerAddr) != nil {
		return false
	}
	p := s.peers[member.ID]
	switch {
	case p == nil:
		p = &peer{learnedAt: now}
		s.peers[member.ID] = p
	case !member.isNewerThan(&p.member):
		return false
	case p.member.Incarnation != member.Incarnation:
		delete(s.peersByKey, p.key)
		*p = peer{learnedAt: now}
	default:
		// The latest sign of life decides on these, and may be newer.
		member.Phase, member.Active = p.member.Phase, p.member.Active
	}
	p.member, p.key = member, member.key()
	s.peersByKey[p.key] = p
	return true
}

func (p *peer) recordSignOfLife(now time.Time, sequence uint64, phase Phase, active bool) {
	if sequence <= p.sequence && !p.heardAt.IsZero() {
		return
	}
	p.sequence, p.heardAt = sequence, now
	p.member.Phase, p.member.Active = phase, active
}

// removeSilentPeers removes the peers that were silent for peerRetention.
func (s *State) removeSilentPeers(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.lastSignOrIntroduction()) > peerRetention {
			delete(s.peers, id)
			delete(s.peersByKey, p.key)
		}
	}
}

func (p *peer) lastSignOrIntroduction() time.Time {
	if p.heardAt.IsZero() {
		return p.learnedAt
	}
	return p.heardAt
}

// IsLarge reports whether more entries are known than a round of messages reaches.
func (s *State) IsLarge() bool { return max(len(s.peers), len(s.discoveredAt)) > fanout }

func (s *State) isAlive(now time.Time, p *peer) bool {
	timeout := AliveTimeout
	if s.IsLarge() {
		timeout = relayedAliveTimeout
	}
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < timeout
}

func (s *State) alivePeers(now time.Time) []*peer {
	var peers []*peer
	for _, p := range s.peers {
		if s.isAlive(now, p) {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return peers
}

// AliveMembers returns this entry and the alive peers, ordered by ID. In a large
// deployment, standby members of other data centres are mostly missing, because
// their signs of life are not relayed.
func (s *State) AliveMembers(now time.Time) []Member {
	members := []Member{s.self}
	for _, p := range s.alivePeers(now) {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// AwaitedMembers returns the introduced members from which a first sign of life is
// expected.
func (s *State) AwaitedMembers(now time.Time) []Member {
	var members []Member
	for _, p := range s.peers {
		if p.heardAt.IsZero() && now.Sub(p.learnedAt) < firstSignTimeout {
			members = append(members, p.member)
		}
	}
	return members
}

// Senders describes the entries that may be using their shares of the limits of
// backend servers.
type Senders struct {
	// Count is the number of these entries: this entry, the active peers that were
	// alive within SenderTimeout, and the entries discovered within SenderTimeout
	// from which no sign of life has arrived.
	Count int
	// Others describes those other than this entry, if they are known.
	Others []Member
	// IsIsolated means that this entry counts all of them twice.
	IsIsolated bool
}

// Senders returns the entries that may be using their shares. An isolated entry
// counts all of them twice: others may have become active that it cannot learn of.
func (s *State) Senders(now time.Time) Senders {
	timeout := SenderTimeout
	if s.IsIsolated(now) {
		timeout = isolatedSenderTimeout
	}
	senders := Senders{Count: 1}
	knownAddrs := map[string]bool{}
	for _, p := range s.peers {
		knownAddrs[p.member.PeerAddr] = true
		if !p.maySend(now, timeout) {
			continue
		}
		senders.Count++
		senders.Others = append(senders.Others, p.member)
	}
	for addr, since := range s.discoveredAt {
		if !knownAddrs[addr] && now.Sub(since) < SenderTimeout {
			senders.Count++
		}
	}
	senders.IsIsolated = s.IsIsolated(now)
	if senders.IsIsolated {
		senders.Count *= 2
	}
	return senders
}

// maySend reports whether a peer may be using its share: it was active within the
// timeout, or its first sign of life is still awaited.
func (p *peer) maySend(now time.Time, timeout time.Duration) bool {
	if p.heardAt.IsZero() {
		return now.Sub(p.learnedAt) < SenderTimeout
	}
	return p.member.Active && now.Sub(p.heardAt) < timeout
}

// IsIsolated reports whether this entry and the active peers that are alive are the
// smaller part of those known within isolatedSenderTimeout. Of two equal parts, the
// one without the lowest ID is isolated. An entry that was started recently is isolated
// while it hears none of the peers that were introduced to it.
func (s *State) IsIsolated(now time.Time) bool {
	known, alive := 1, 1
	lowest, isLowestAlive := s.self.ID, true
	hearsAny, isAwaiting := false, false
	for id, p := range s.peers {
		hearsAny = hearsAny || s.isAlive(now, p)
		isAwaiting = isAwaiting || p.heardAt.IsZero() && now.Sub(p.learnedAt) < SenderTimeout
		if !p.member.Active || now.Sub(p.heardAt) >= isolatedSenderTimeout {
			continue
		}
		known++
		isAlive := s.isAlive(now, p)
		if isAlive {
			alive++
		}
		if id < lowest {
			lowest, isLowestAlive = id, isAlive
		}
	}
	return isAwaiting && !hearsAny || 2*alive < known || 2*alive == known && !isLowestAlive
}

// PeerWithNewerRevision returns the address of the alive peer with the latest
// revision of table, or "" if no alive peer has a later one than revision in era.
// Revisions of a later era are later, even if they are lower.
func (s *State) PeerWithNewerRevision(now time.Time, table string, era, revision uint64) string {
	addr := ""
	for _, p := range s.alivePeers(now) {
		r, ok := p.member.Revisions[table]
		if ok && cmp.Or(cmp.Compare(p.member.Era, era), cmp.Compare(r, revision)) > 0 {
			era, revision, addr = p.member.Era, r, p.member.PeerAddr
		}
	}
	return addr
}
