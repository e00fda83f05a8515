package gossip

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const (
	// RoundPeriod is the time between two rounds of messages.
	RoundPeriod = 300 * time.Millisecond
	// AliveTimeout is the time after its last new message for which a member
	// counts as alive. It spans several periods, so that a few lost datagrams
	// have no effect, and is well below the time after which answers to callers
	// must not contain the address of a failed entry.
	AliveTimeout = 2500 * time.Millisecond
	// SenderTimeout is the time for which a silent member still counts as a
	// sender: it may be cut off from this entry but not from the backend
	// servers.
	SenderTimeout = 20 * time.Second
	// peerRetention is the time after which a silent member is removed.
	peerRetention = 10 * time.Minute
	// fanout bounds the alive members that a round sends to.
	fanout = 16
	// relayedWithinFanout and relayedBeyondFanout bound the number of other
	// members that a message describes: if a round reaches all alive members,
	// and if there are more than fanout.
	relayedWithinFanout = 1
	relayedBeyondFanout = 6
	// silentAddrsPerRound bounds the addresses without an alive member that a
	// round sends to.
	silentAddrsPerRound = 2
)

// Phase is the lifecycle phase of a member.
type Phase uint8

const (
	// PhaseStarting members accept no requests yet.
	PhaseStarting Phase = iota
	// PhaseReady members accept requests.
	PhaseReady
	// PhaseLeaving members finish their requests and exit.
	PhaseLeaving
)

// Member is the description of an entry process by itself.
type Member struct {
	ID          core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	// Sequence grows with each message of an incarnation.
	Sequence   uint64          `cbor:"3,keyasint"`
	Phase      Phase           `cbor:"4,keyasint"`
	DataCentre core.DataCentre `cbor:"5,keyasint"`
	Region     core.Region     `cbor:"6,keyasint"`
	PeerAddr   string          `cbor:"7,keyasint"`
	// CallerAddr is the address that callers connect to.
	CallerAddr string `cbor:"8,keyasint"`
	// Revisions holds the latest revision of each of the platform's tables that
	// the member has.
	Revisions map[string]uint64 `cbor:"9,keyasint,omitempty"`
	// ReachesStore reports whether the platform's store responds to the member.
	ReachesStore bool `cbor:"10,keyasint"`
}

func (m *Member) isNewerThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Sequence > other.Sequence
}

// Message is the content of one datagram.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Loads counts the sender's requests in flight by backend server.
	Loads map[core.InstanceID]int `cbor:"2,keyasint,omitempty"`
	// Relayed holds descriptions of other alive members.
	Relayed []Member `cbor:"3,keyasint,omitempty"`
	// NewestWeights holds the newest weights versions that the sender has
	// learned of. An entry that started later cannot derive their age from the
	// rows of the tables.
	NewestWeights []NewestWeights `cbor:"5,keyasint,omitempty"`
	// PauseNotice is sent by an agent. The other fields of its message are
	// empty.
	PauseNotice *fleet.PauseNotice `cbor:"4,keyasint,omitempty"`
}

// NewestWeights is a version of a model's weights that operators have
// requested.
type NewestWeights struct {
	Model   fleet.Model          `cbor:"1,keyasint"`
	Version fleet.WeightsVersion `cbor:"2,keyasint"`
	// Age is the time since the sender learned of the version, as of the
	// message.
	Age time.Duration `cbor:"3,keyasint"`
}

type peer struct {
	member Member
	// receivedAt is when the latest description was received.
	receivedAt time.Time
	loads      map[core.InstanceID]int
}

// State is the view that one entry has of the other entries. It is not safe for
// concurrent use.
type State struct {
	self  Member
	peers map[core.InstanceID]*peer
	// discoveredAt maps each peer address at which an entry may be running to
	// the time at which it was added.
	discoveredAt map[string]time.Time
	random       *rand.Rand
}

// NewState returns the state of an entry that has no peers yet. seed is the
// seed of its random choices.
func NewState(self Member, seed uint64) *State {
	return &State{
		self:         self,
		peers:        map[core.InstanceID]*peer{},
		discoveredAt: map[string]time.Time{},
		random:       rand.New(rand.NewPCG(seed, 2)),
	}
}

// AddPeerAddr adds a peer address at which an entry may be running.
func (s *State) AddPeerAddr(now time.Time, addr string) {
	if _, ok := s.discoveredAt[addr]; !ok && addr != s.self.PeerAddr {
		s.discoveredAt[addr] = now
	}
}

// SetPhase changes the phase of this entry.
func (s *State) SetPhase(phase Phase) { s.self.Phase = phase }

// Self returns the description of this entry.
func (s *State) Self() Member { return s.self }

// SetReachesStore sets whether the store responds to this entry.
func (s *State) SetReachesStore(reaches bool) { s.self.ReachesStore = reaches }

// PeerReachesStore reports whether the store responds to any alive peer.
func (s *State) PeerReachesStore(now time.Time) bool {
	for _, p := range s.alivePeers(now) {
		if p.member.ReachesStore {
			return true
		}
	}
	return false
}

// NextMessage starts a round. It returns the message and the addresses to send
// it to.
func (s *State) NextMessage(now time.Time, revisions map[string]uint64, loads map[core.InstanceID]int) (Message, []string) {
	s.self.Sequence++
	for id, p := range s.peers {
		if now.Sub(p.receivedAt) > peerRetention {
			delete(s.peers, id)
		}
	}
	s.self.Revisions = revisions
	message := Message{From: s.self, Loads: loads}
	alive := s.alivePeers(now)
	s.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	relayed := relayedWithinFanout
	if len(alive) > fanout {
		relayed = relayedBeyondFanout
	}
	var addrs []string
	for _, p := range alive {
		if len(addrs) < fanout {
			addrs = append(addrs, p.member.PeerAddr)
		}
		if len(message.Relayed) < relayed {
			message.Relayed = append(message.Relayed, p.member)
		}
	}
	return message, append(addrs, s.silentAddrs(now)...)
}

// silentAddrs returns up to silentAddrsPerRound random addresses without an
// alive member.
func (s *State) silentAddrs(now time.Time) []string {
	silentByAddr := map[string]bool{}
	for addr := range s.discoveredAt {
		silentByAddr[addr] = true
	}
	for _, p := range s.peers {
		silentByAddr[p.member.PeerAddr] = !p.isAlive(now)
	}
	var addrs []string
	for addr, silent := range silentByAddr {
		if silent {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	s.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(silentAddrsPerRound, len(addrs))]
}

// Receive applies a message. It reports whether the message was accepted:
// messages that are not newer than the last description of their sender are
// ignored.
func (s *State) Receive(now time.Time, message Message) bool {
	if !s.updateMember(now, message.From) {
		return false
	}
	s.peers[message.From.ID].loads = message.Loads
	for _, relayed := range message.Relayed {
		s.updateMember(now, relayed)
	}
	return true
}

func (s *State) updateMember(now time.Time, member Member) bool {
	if member.ID == s.self.ID || member.PeerAddr == s.self.PeerAddr || !isHostPort(member.PeerAddr) {
		return false
	}
	p := s.peers[member.ID]
	if p == nil {
		p = &peer{}
		s.peers[member.ID] = p
	} else if !member.isNewerThan(&p.member) {
		return false
	}
	if p.member.Incarnation != member.Incarnation {
		p.loads = nil
	}
	p.member = member
	p.receivedAt = now
	return true
}

func isHostPort(addr string) bool {
	_, _, err := net.SplitHostPort(addr)
	return err == nil
}

func (p *peer) isAlive(now time.Time) bool { return now.Sub(p.receivedAt) < AliveTimeout }

func (s *State) alivePeers(now time.Time) []*peer {
	var peers []*peer
	for _, p := range s.peers {
		if p.isAlive(now) {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return peers
}

// AliveMembers returns this entry and the alive peers, ordered by ID.
func (s *State) AliveMembers(now time.Time) []Member {
	members := []Member{s.self}
	for _, p := range s.alivePeers(now) {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// SenderCount returns the number of entries that may be sending requests to
// backend servers: this entry, the peers that were alive within SenderTimeout,
// and the addresses added within SenderTimeout from which no message has
// arrived.
func (s *State) SenderCount(now time.Time) int {
	count := 1
	knownAddrs := map[string]bool{}
	for _, p := range s.peers {
		knownAddrs[p.member.PeerAddr] = true
		if now.Sub(p.receivedAt) < SenderTimeout {
			count++
		}
	}
	for addr, since := range s.discoveredAt {
		if !knownAddrs[addr] && now.Sub(since) < SenderTimeout {
			count++
		}
	}
	return count
}

// Loads returns the sum of the alive peers' requests in flight by backend
// server.
func (s *State) Loads(now time.Time) map[core.InstanceID]int {
	sum := map[core.InstanceID]int{}
	for _, p := range s.peers {
		if !p.isAlive(now) {
			continue
		}
		for server, load := range p.loads {
			sum[server] += load
		}
	}
	return sum
}

// PeerWithNewerRevision returns the address of the alive peer with the latest
// revision of table, or "" if no alive peer has a later revision than revision.
func (s *State) PeerWithNewerRevision(now time.Time, table string, revision uint64) string {
	newest, addr := revision, ""
	for _, p := range s.alivePeers(now) {
		if r := p.member.Revisions[table]; r > newest {
			newest, addr = r, p.member.PeerAddr
		}
	}
	return addr
}
