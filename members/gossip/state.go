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
	// Period is the time between two rounds of messages.
	Period = 300 * time.Millisecond
	// AliveFor is how long after its last new message a member counts as
	// alive: several periods, so that a few lost datagrams change nothing, and
	// well under the time in which answers must stop naming a dead entry.
	AliveFor = 2500 * time.Millisecond
	// ShareFor is how long a silent member still counts as one that may send:
	// it may be cut off from this one and not from the backend servers.
	ShareFor = 20 * time.Second
	// forgetAfter is how long a silent member is remembered at all.
	forgetAfter = 10 * time.Minute
	// fanout bounds the messages of a round.
	fanout = 16
	// relayedFew and relayedMany bound the members that a message tells of
	// beside its sender: while its fan-out reaches all members, and beyond.
	relayedFew  = 1
	relayedMany = 6
	// strangers is how many addresses that never answered a round tries.
	strangers = 2
)

// Phase is the part of its life that a member is in.
type Phase uint8

const (
	// PhaseStarting members take no requests yet.
	PhaseStarting Phase = iota
	// PhaseReady members take requests.
	PhaseReady
	// PhaseLeaving members finish their requests and end.
	PhaseLeaving
)

// Member is one entry process as it describes itself.
type Member struct {
	ID          core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	// Beat grows with each round of the member's life.
	Beat       uint64          `cbor:"3,keyasint"`
	Phase      Phase           `cbor:"4,keyasint"`
	DataCentre core.DataCentre `cbor:"5,keyasint"`
	Region     core.Region     `cbor:"6,keyasint"`
	PeerAddr   string          `cbor:"7,keyasint"`
	// CallerAddr is where callers connect.
	CallerAddr string `cbor:"8,keyasint"`
	// Revisions are the newest changes of the platform's tables that the
	// member knows, by table.
	Revisions map[string]uint64 `cbor:"9,keyasint,omitempty"`
	// ReachesStore says that the platform's store answers the member.
	ReachesStore bool `cbor:"10,keyasint"`
}

func (m *Member) isNewerThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Beat > other.Beat
}

// Message is one datagram.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Loads are the sender's requests in flight at the backend servers.
	Loads map[core.InstanceID]int `cbor:"2,keyasint,omitempty"`
	// Others are members that the sender heard of lately.
	Others []Member `cbor:"3,keyasint,omitempty"`
	// NewestWeights tells since when the sender knows of the newest weights, for entries
	// that started later and can't tell from the rows.
	NewestWeights []NewestWeights `cbor:"5,keyasint,omitempty"`
	// Pause comes from an agent, alone in its message.
	Pause *fleet.PauseNotice `cbor:"4,keyasint,omitempty"`
}

// NewestWeights is a version of a model's weights that operators have named.
type NewestWeights struct {
	Model   fleet.Model          `cbor:"1,keyasint"`
	Version fleet.WeightsVersion `cbor:"2,keyasint"`
	// Age is how long before the message the sender learned of it.
	Age time.Duration `cbor:"3,keyasint"`
}

type peer struct {
	member Member
	// heard is when the newest beat came, zero when none did.
	heard time.Time
	loads map[core.InstanceID]int
}

// State is what one entry knows of the others. It is not safe for concurrent
// use.
type State struct {
	self  Member
	peers map[core.InstanceID]*peer
	// introduced holds the addresses that may be up, and since when they are
	// known.
	introduced map[string]time.Time
	random     *rand.Rand
}

// NewState returns the state of an entry that knows nobody.
func NewState(self Member, seed uint64) *State {
	return &State{
		self:       self,
		peers:      map[core.InstanceID]*peer{},
		introduced: map[string]time.Time{},
		random:     rand.New(rand.NewPCG(seed, 2)),
	}
}

// Introduce adds a peer address that may be up.
func (s *State) Introduce(now time.Time, addr string) {
	if _, ok := s.introduced[addr]; !ok && addr != s.self.PeerAddr {
		s.introduced[addr] = now
	}
}

// SetPhase changes what the entry says of itself.
func (s *State) SetPhase(phase Phase) { s.self.Phase = phase }

// Self returns what the entry says of itself.
func (s *State) Self() Member { return s.self }

// SetReachesStore changes whether the store answers the entry.
func (s *State) SetReachesStore(reaches bool) { s.self.ReachesStore = reaches }

// OthersReachStore reports whether the store answers any other living member.
func (s *State) OthersReachStore(now time.Time) bool {
	for _, p := range s.alive(now) {
		if p.member.ReachesStore {
			return true
		}
	}
	return false
}

// Round returns the next message and the addresses it goes to.
func (s *State) Round(now time.Time, revisions map[string]uint64, loads map[core.InstanceID]int) (Message, []string) {
	s.self.Beat++
	for id, p := range s.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(s.peers, id)
		}
	}
	s.self.Revisions = revisions
	message := Message{From: s.self, Loads: loads}
	alive := s.alive(now)
	s.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	relayed := relayedFew
	if len(alive) > fanout {
		relayed = relayedMany
	}
	var addrs []string
	for _, p := range alive {
		if len(addrs) < fanout {
			addrs = append(addrs, p.member.PeerAddr)
		}
		if len(message.Others) < relayed {
			message.Others = append(message.Others, p.member)
		}
	}
	return message, append(addrs, s.strangers(now)...)
}

// strangers returns a few addresses that are not known to be alive.
func (s *State) strangers(now time.Time) []string {
	silent := map[string]bool{}
	for addr := range s.introduced {
		silent[addr] = true
	}
	for _, p := range s.peers {
		silent[p.member.PeerAddr] = !p.isAlive(now)
	}
	var addrs []string
	for addr, is := range silent {
		if is {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	s.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(strangers, len(addrs))]
}

// Receive takes a message. It returns whether it told anything new.
func (s *State) Receive(now time.Time, message Message) bool {
	if !s.hear(now, message.From) {
		return false
	}
	s.peers[message.From.ID].loads = message.Loads
	for _, other := range message.Others {
		s.hear(now, other)
	}
	return true
}

func (s *State) hear(now time.Time, member Member) bool {
	if member.ID == s.self.ID || member.PeerAddr == s.self.PeerAddr || !isAddress(member.PeerAddr) {
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
	p.heard = now
	return true
}

func isAddress(addr string) bool {
	_, _, err := net.SplitHostPort(addr)
	return err == nil
}

func (p *peer) isAlive(now time.Time) bool { return now.Sub(p.heard) < AliveFor }

func (s *State) alive(now time.Time) []*peer {
	var list []*peer
	for _, p := range s.peers {
		if p.isAlive(now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return list
}

// Alive returns this entry and the others that live, ordered by id.
func (s *State) Alive(now time.Time) []Member {
	members := []Member{s.self}
	for _, p := range s.alive(now) {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Senders returns how many entries may send requests now: those alive, those
// that fell silent lately, and the addresses that were learned of lately and
// have not answered yet.
func (s *State) Senders(now time.Time) int {
	count := 1
	met := map[string]bool{}
	for _, p := range s.peers {
		met[p.member.PeerAddr] = true
		if now.Sub(p.heard) < ShareFor {
			count++
		}
	}
	for addr, since := range s.introduced {
		if !met[addr] && now.Sub(since) < ShareFor {
			count++
		}
	}
	return count
}

// Loads returns the other living entries' requests in flight by server.
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

// Ahead returns the peer address of a living member that knows a later
// revision of a table, or "".
func (s *State) Ahead(now time.Time, table string, revision uint64) string {
	best, addr := revision, ""
	for _, p := range s.alive(now) {
		if r := p.member.Revisions[table]; r > best {
			best, addr = r, p.member.PeerAddr
		}
	}
	return addr
}
