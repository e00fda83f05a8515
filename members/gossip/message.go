package gossip

import (
	"errors"
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
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
	// the member has. It omits tables that the member has not read in Era.
	Revisions map[string]uint64 `cbor:"9,keyasint,omitempty"`
	// ReachesStore reports whether the platform's store responds to the member.
	ReachesStore bool `cbor:"10,keyasint"`
	// Active reports whether the member takes callers' requests and shares the
	// limits of backend servers. The others are on standby.
	Active bool `cbor:"11,keyasint,omitempty"`
	// Cores is the member's share of a processor, 0 if unknown.
	Cores float64 `cbor:"12,keyasint,omitempty"`
	// RequestsPerSecond is the recent peak of the member's request rate.
	RequestsPerSecond float64 `cbor:"13,keyasint,omitempty"`
	// Era is the store's era to which Revisions belong.
	Era uint64 `cbor:"14,keyasint,omitempty"`
}

// Validate returns an error unless m describes the entry with an id, which others can
// reach.
func (m Member) Validate(id string) error {
	if string(m.ID) != id {
		return errOtherID
	}
	if !isFinite(m.Cores) || !isFinite(m.RequestsPerSecond) {
		return errNotFinite
	}
	return netdial.CheckAddr(m.PeerAddr)
}

// Reasons for which a Member is invalid.
var (
	errOtherID   = errors.New("the id of the entry is not that of its row")
	errNotFinite = errors.New("a number is not finite")
)

func isFinite(number float64) bool { return !math.IsNaN(number) && !math.IsInf(number, 0) }

func (m *Member) isNewerThan(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Sequence > other.Sequence
}

// key identifies an incarnation of the member in heartbeats. Two of a thousand
// members have the same key with a probability of about one in ten thousand; then
// one of them may be taken for alive because of the other.
func (m *Member) key() uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(m.ID))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(strconv.FormatUint(uint64(m.Incarnation), 36)))
	return hash.Sum32()
}

// Message is the content of one datagram.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Loads counts the sender's requests in flight by backend server.
	Loads map[core.InstanceID]int `cbor:"2,keyasint,omitempty"`
	// OmitsLoads reports that Loads is empty because the message does not carry
	// loads.
	OmitsLoads bool `cbor:"6,keyasint,omitempty"`
	// Paces holds the backend servers that the sender observes to be slower than usual,
	// with the factor. It is sent with Loads.
	Paces map[core.InstanceID]float64 `cbor:"9,keyasint,omitempty"`
	// Relayed holds descriptions of other alive members.
	Relayed []Member `cbor:"3,keyasint,omitempty"`
	// Heartbeats holds the latest sign of life of other alive members.
	Heartbeats []Heartbeat `cbor:"7,keyasint,omitempty"`
	// Wanted holds the keys of heartbeats of which the sender does not know the
	// member. The receiver returns the descriptions that it has.
	Wanted []uint32 `cbor:"8,keyasint,omitempty"`
	// NewestWeights holds the newest weights versions that the sender has
	// learned of. An entry that started later cannot derive their age from the
	// rows of the tables.
	NewestWeights []NewestWeights `cbor:"5,keyasint,omitempty"`
	// UndatedWeights holds the versions among them of which the sender does not know the
	// age.
	UndatedWeights []NewestWeights `cbor:"15,keyasint,omitempty"`
	// Evidence is what the sender knows of prompt parts that crash backend servers.
	Evidence *fleet.CrashEvidence `cbor:"10,keyasint,omitempty"`
	// PauseNotice is sent by an agent. The other fields of its message are
	// empty.
	PauseNotice *fleet.PauseNotice `cbor:"4,keyasint,omitempty"`
	// Pauses holds notices of agents that another entry forwards. The other fields of its
	// message are empty.
	Pauses []fleet.PauseNotice `cbor:"11,keyasint,omitempty"`
	// RateLimits holds limits of backend servers.
	RateLimits []fleet.RateLimit `cbor:"12,keyasint,omitempty"`
	// PlaceRequest and PlaceReply are sent alone. The other fields of their messages are
	// empty.
	PlaceRequest *fleet.PlaceRequest `cbor:"13,keyasint,omitempty"`
	PlaceReply   *fleet.PlaceReply   `cbor:"14,keyasint,omitempty"`
	// Work is the work of the sender's requests by backend server. It is sent with Loads.
	Work WorkReport `cbor:"16,keyasint,omitempty"`
}

// Heartbeat is the part of a member's description that changes often, in a form
// that is small enough to relay it for all members.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Key is Member.key.
	Key      uint32
	Sequence uint64
	Phase    Phase
	Active   bool
}

// NewestWeights is a version of a model's weights that operators have
// requested.
type NewestWeights struct {
	Model   fleet.Model          `cbor:"1,keyasint"`
	Version fleet.WeightsVersion `cbor:"2,keyasint"`
	// Age is the time since the sender learned of the version, as of the
	// message.
	Age time.Duration `cbor:"3,keyasint"`
	// First is the oldest of the versions that are merged into this one, to bound the
	// message: the age of each is at most Age. It is 0 if there are none.
	First fleet.WeightsVersion `cbor:"4,keyasint,omitempty"`
	// IsUndated means that the age is not known.
	IsUndated bool `cbor:"-"`
}

// setWeights replaces the versions of the message. Processes that do not know UndatedWeights
// would take a version without an age for a new one.
func (m *Message) setWeights(list []NewestWeights) {
	m.NewestWeights, m.UndatedWeights = nil, nil
	for _, w := range list {
		if w.IsUndated {
			m.UndatedWeights = append(m.UndatedWeights, w)
		} else {
			m.NewestWeights = append(m.NewestWeights, w)
		}
	}
}

// weights returns the valid versions of the message. Those without an age are the first:
// they may have to be in force until the age of a newer one has passed.
func (m *Message) weights() []NewestWeights {
	var list []NewestWeights
	for _, w := range m.UndatedWeights {
		if w.Version >= 1 {
			list = append(list, NewestWeights{Model: w.Model, Version: w.Version, IsUndated: true})
		}
	}
	for _, w := range m.NewestWeights {
		if w.Version >= 1 && w.Age >= 0 {
			list = append(list, w)
		}
	}
	return list
}

// Outgoing is a message with the peer addresses to send it to.
type Outgoing struct {
	Message Message
	Addrs   []string
	// IsLoadsOnly marks a message to many members that carries nothing but loads and what
	// depends on them.
	IsLoadsOnly bool
}
