package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// maxDatagram bounds a message that is read.
const maxDatagram = 32 << 10

// Config holds the parts of a Node.
type Config struct {
	Self Member
	// Revisions returns the newest known changes by table.
	Revisions func() map[string]uint64
	// ReachesStore reports whether the platform's store answers.
	ReachesStore func() bool
	// Loads returns the requests in flight at each backend server.
	Loads func() map[core.InstanceID]int
	// NewestWeights returns what the entry knows of the newest weights, and OnNamed takes
	// what another one knows.
	NewestWeights   func() []NewestWeights
	OnNewestWeights func([]NewestWeights)
	// OnPauseNotice takes what agents announce of their backend servers.
	OnPauseNotice func(fleet.PauseNotice)
	Log           *logrus.Entry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Loads are the requests in flight by server at the last round. The maps must
// not be changed.
type Loads struct {
	At time.Time
	// Own are this entry's, Others those of all other living entries.
	Own   map[core.InstanceID]int
	Peers map[core.InstanceID]int
}

// Node exchanges messages with other entries. It is safe for concurrent use.
type Node struct {
	config Config
	socket *net.UDPConn

	mu    sync.Mutex
	state *State
	loads Loads
	alive int
}

// Listen opens the node's socket at its peer address.
func Listen(config Config) (*Node, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.OnPauseNotice == nil {
		config.OnPauseNotice = func(fleet.PauseNotice) {}
	}
	if config.NewestWeights == nil {
		config.NewestWeights = func() []NewestWeights { return nil }
	}
	if config.OnNewestWeights == nil {
		config.OnNewestWeights = func([]NewestWeights) {}
	}
	addr, err := net.ResolveUDPAddr("udp", config.Self.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	state := NewState(config.Self, uint64(config.Self.Incarnation))
	return &Node{config: config, socket: socket, state: state}, nil
}

// AddPeerAddrs adds peer addresses that may be up.
func (n *Node) AddPeerAddrs(addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range addrs {
		n.state.Introduce(n.config.Now(), addr)
	}
}

// SetPhase changes what the entry says of itself and tells the others at once.
func (n *Node) SetPhase(phase Phase) {
	n.mu.Lock()
	changed := n.state.Self().Phase != phase
	n.state.SetPhase(phase)
	n.mu.Unlock()
	if changed {
		n.round()
	}
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.socket.Close() })
	defer stop()
	go n.send(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		length, _, err := n.socket.ReadFromUDP(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.config.Log.WithError(err).Warn("Message not received.")
			continue
		}
		n.receive(buffer[:length])
	}
}

func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		n.round()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) round() {
	revisions, loads, reaches := n.config.Revisions(), n.config.Loads(), n.config.ReachesStore()
	named := n.config.NewestWeights()
	n.mu.Lock()
	n.state.SetReachesStore(reaches)
	now := n.config.Now()
	message, addrs := n.state.Round(now, revisions, loads)
	message.NewestWeights = named
	n.loads = Loads{At: now, Own: loads, Peers: n.state.Loads(now)}
	alive := len(n.state.Alive(now))
	was := n.alive
	n.alive = alive
	n.mu.Unlock()
	if alive != was {
		n.config.Log.WithFields(logrus.Fields{"alive": alive, "before": was}).Info("Living entries changed.")
	}
	datagram, err := cbor.Marshal(message)
	if err != nil {
		n.config.Log.WithError(err).Error("Message not encoded.")
		return
	}
	for _, text := range addrs {
		n.write(datagram, text)
	}
}

func (n *Node) write(datagram []byte, text string) {
	addr, err := net.ResolveUDPAddr("udp", text)
	if err == nil {
		_, err = n.socket.WriteToUDP(datagram, addr)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		// A lost message is made up for by the next round.
		n.config.Log.WithField("peer", text).WithError(err).Debug("Message not sent.")
	}
}

func (n *Node) receive(datagram []byte) {
	var message Message
	if err := cbor.Unmarshal(datagram, &message); err != nil {
		n.config.Log.WithError(err).Warn("Unreadable message.")
		return
	}
	if message.Pause != nil {
		n.config.OnPauseNotice(*message.Pause)
		return
	}
	if len(message.NewestWeights) > 0 {
		n.config.OnNewestWeights(message.NewestWeights)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Receive(n.config.Now(), message)
}

// SendPauseNotice sends a pause of a backend server to the entry at a peer address.
func SendPauseNotice(socket *net.UDPConn, addr string, pause fleet.PauseNotice) error {
	datagram, err := cbor.Marshal(Message{Pause: &pause})
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	_, err = socket.WriteToUDP(datagram, to)
	return err
}

// AliveMembers returns this entry and the others that live, ordered by id.
func (n *Node) AliveMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Alive(n.config.Now())
}

// SenderCount returns how many entries may send requests now.
func (n *Node) SenderCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Senders(n.config.Now())
}

// Loads returns the requests in flight at the last round.
func (n *Node) Loads() Loads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads
}

// PeerReachesStore reports whether the store answers any other living entry.
func (n *Node) PeerReachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.OthersReachStore(n.config.Now())
}

// PeerWithNewerRevision returns the address of a living entry that knows a later revision of a
// table, or "".
func (n *Node) PeerWithNewerRevision(table string, revision uint64) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Ahead(n.config.Now(), table, revision)
}
